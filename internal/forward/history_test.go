package forward

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cloverwheel/cloverwheel/internal/budget"
	"github.com/cloverwheel/cloverwheel/internal/history"
	"github.com/cloverwheel/cloverwheel/internal/store/storetest"
)

// peerHistory is another node's history cache.
type peerHistory struct {
	store *history.TurnStore
	mutex sync.Mutex
	asked []budget.Holder
}

func (r *peerHistory) record(holder budget.Holder) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.asked = append(r.asked, holder)
}

// History implements HistoryPeers.
func (r *peerHistory) History(_ context.Context, holder budget.Holder, turn string) ([]*history.Turn, error) {
	r.record(holder)
	return r.store.CachedChain(turn), nil
}

// Guards against a turn failing while the store cannot read its history, although the node that
// drew the program's tokens has it cached.
func TestHistoryIsFetchedFromTheNodeThatRanIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, turnRoute(retained))
		f.worker("w", streams(2, 0))
		program := func(id, previous string) func(*Request) {
			return func(r *Request) {
				r.ID, r.Body, r.PreviousTurn = id, []byte(id+";"), previous
				r.Program, r.TokenBudget, r.MaxOutputTokens = "p", 10_000, 60
			}
		}
		f.serve(t.Context(), program("t1", ""))
		f.serve(t.Context(), program("t2", "t1"))

		other := newFixture(t, turnRoute(retained))
		other.worker("w", streams(2, 0))
		other.forwarder.options.Budgets = budget.NewAccounts(budget.Options{Store: f.table, Self: budget.Holder{Process: "m"}})
		peer := &peerHistory{store: f.forwarder.options.History}
		other.forwarder.options.HistoryPeers = peer
		other.table.SetFault(func(string, bool) storetest.Fault { return storetest.RequestLost }) // reads and writes of turns
		other.forwarder.options.History = newHistory(other.table)
		other.serve(t.Context(), program("t3", "t2"))
		require.Equal(t, "t1;t1\nt2\nt2;t1\nt2\nt3;", other.sent()[0].body)
		require.Equal(t, "n", peer.asked[0].Process)
		time.Sleep(time.Minute)
	})
}

// fakeTurnDirectory is a TurnDirectory in memory.
type fakeTurnDirectory struct {
	holders  map[string]budget.Holder
	recorded []string
}

// RecordRun implements TurnDirectory.
func (r *fakeTurnDirectory) RecordRun(_, turn string) { r.recorded = append(r.recorded, turn) }

// Lookup implements TurnDirectory.
func (r *fakeTurnDirectory) Lookup(_ context.Context, _, turn string) (budget.Holder, bool) {
	holder, ok := r.holders[turn]
	return holder, ok
}

// spreadLocator names a number of nodes that ran turns of a program.
type spreadLocator struct{ count int }

// Locate implements budget.Locator.
func (l spreadLocator) Locate(context.Context, string) (located budget.Located) {
	for index := range l.count {
		located.Holders = append(located.Holders, budget.Holder{Process: fmt.Sprint("h", index)})
	}
	return located
}

// RecordRefusal implements budget.Locator.
func (spreadLocator) RecordRefusal(string, int) {}

// RecordReturned implements budget.Locator.
func (spreadLocator) RecordReturned(context.Context, string) {}

// Guards against missing the node that ran the last turn when a program ran on more nodes than
// are asked for its history.
func TestHistoryOfASpreadProgramIsFetchedFromTheLastTurnsNode(t *testing.T) {
	for _, holders := range []int{maxHistoryPeers - 1, maxHistoryPeers} {
		synctest.Test(t, func(t *testing.T) {
			f := newFixture(t, turnRoute(retained))
			f.worker("w", streams(2, 0))
			f.serve(t.Context(), func(r *Request) { r.ID = "t1" })

			other := newFixture(t, turnRoute(retained))
			other.worker("w", streams(2, 0))
			other.forwarder.options.Budgets = budget.NewAccounts(budget.Options{
				Store: f.table, Self: budget.Holder{Process: "m"}, Locator: spreadLocator{count: holders},
			})
			peer := &peerHistory{store: f.forwarder.options.History}
			turns := &fakeTurnDirectory{holders: map[string]budget.Holder{"t1": {Process: "ran"}}}
			other.forwarder.options.HistoryPeers, other.forwarder.options.TurnDirectory = peer, turns
			other.forwarder.options.History = newHistory(other.table)
			got := other.serve(t.Context(), func(r *Request) {
				r.ID, r.PreviousTurn, r.Program, r.TokenBudget, r.MaxOutputTokens = "t2", "t1", "p", 10_000, 60
			})
			require.True(t, got.ended)
			synctest.Wait() // requests to other nodes may still be running
			_, reads := other.table.Calls()
			require.Zero(t, reads)
			if holders < maxHistoryPeers {
				require.NotContains(t, peer.asked, budget.Holder{Process: "ran"}, "all nodes that ran turns are asked")
				require.Empty(t, turns.recorded)
				return
			}
			require.Equal(t, []budget.Holder{{Process: "ran"}}, peer.asked)
			require.Equal(t, []string{"t2"}, turns.recorded)
		})
	}
}

// Guards against failing a turn whose history no node has cached, and against accepting the
// history of another turn.
func TestHistoryThatNoNodeCachesIsReadFromTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, turnRoute(retained))
		f.worker("w", streams(2, 0))
		claim := func(id, previous string) func(*Request) {
			return func(r *Request) {
				r.ID, r.Body, r.PreviousTurn = id, []byte(id+";"), previous
				r.Program, r.TokenBudget, r.MaxOutputTokens = "p", 10_000, 60
			}
		}
		f.serve(t.Context(), claim("t1", ""))
		for _, memory := range []*history.TurnStore{newHistory(f.table), f.forwarder.options.History} {
			other := newFixture(t, turnRoute(retained))
			other.worker("w", streams(2, 0))
			other.forwarder.options.Budgets = budget.NewAccounts(budget.Options{Store: f.table, Self: budget.Holder{Process: "m"}})
			other.forwarder.options.HistoryPeers = &wrongHistory{peerHistory: peerHistory{store: memory}}
			other.forwarder.options.History = newHistory(f.table)
			other.serve(t.Context(), claim("t2", "t1"))
			require.Equal(t, "t1;t1\nt2\nt2;", other.sent()[0].body)
		}
		time.Sleep(time.Minute)
	})
}

// Guards against running a turn with an incomplete history: the store has the previous turn but
// not the one before it.
func TestTurnWithUnreadableHistoryIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, turnRoute(retained))
		f.worker("w", streams(2, 0))
		claim := func(id, previous string) func(*Request) {
			return func(r *Request) { r.ID, r.Body, r.PreviousTurn = id, []byte(id+";"), previous }
		}
		f.serve(t.Context(), claim("t1", ""))
		f.serve(t.Context(), claim("t2", "t1"))
		last, err := f.forwarder.options.History.Chain(t.Context(), "t2")
		require.NoError(t, err)
		table := storetest.New()
		require.NoError(t, newHistory(table).Write(t.Context(), last[1], nil, time.Minute))

		other := newFixture(t, turnRoute(retained))
		other.worker("w", streams(2, 0))
		other.forwarder.options.HistoryPeers = &peerHistory{store: newHistory(f.table)}
		other.forwarder.options.History = newHistory(table)
		got := other.serve(t.Context(), claim("t3", "t2"))
		require.NotNil(t, got.refusal, "not a worker's answer, nor a broken connection")
		require.Empty(t, other.sent())
		time.Sleep(time.Minute)
	})
}

// wrongHistory returns the history of another turn.
type wrongHistory struct{ peerHistory }

// History implements HistoryPeers.
func (m *wrongHistory) History(context.Context, budget.Holder, string) ([]*history.Turn, error) {
	return []*history.Turn{{ID: "another", Output: []byte("another program's\n")}}, nil
}
