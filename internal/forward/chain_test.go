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

// remembered is another node's memory of turns.
type remembered struct {
	keeper *history.Keeper
	mutex  sync.Mutex
	asked  []budget.Holder
}

func (r *remembered) note(holder budget.Holder) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.asked = append(r.asked, holder)
}

// Chain implements Neighbours.
func (r *remembered) Chain(_ context.Context, holder budget.Holder, turn string) ([]*history.Turn, error) {
	r.note(holder)
	return r.keeper.Known(turn), nil
}

// TestChainComesFromTheNodeThatRanIt: while the rows of turns are out of reach,
// a program goes on at another node, which asks the one that drew its tokens.
func TestChainComesFromTheNodeThatRanIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, turnRoute(retained))
		f.worker("w", streams(2, 0))
		program := func(id, previous string) func(*Request) {
			return func(r *Request) {
				r.ID, r.Body, r.Continue = id, []byte(id+";"), previous
				r.Program, r.Budget, r.Output = "p", 10_000, 60
			}
		}
		f.serve(t.Context(), program("t1", ""))
		f.serve(t.Context(), program("t2", "t1"))

		other := newFixture(t, turnRoute(retained))
		other.worker("w", streams(2, 0))
		other.forwarder.options.Budgets = budget.NewBook(budget.Options{Store: f.table, Self: budget.Holder{Process: "m"}})
		neighbour := &remembered{keeper: f.forwarder.options.History}
		other.forwarder.options.Neighbours = neighbour
		other.table.SetFault(func(string, bool) storetest.Fault { return storetest.Silent }) // of turns
		other.forwarder.options.History = newHistory(other.table)
		other.serve(t.Context(), program("t3", "t2"))
		require.Equal(t, "t1;t1\nt2\nt2;t1\nt2\nt3;", other.sent()[0].body)
		require.Equal(t, "n", neighbour.asked[0].Process)
		time.Sleep(time.Minute)
	})
}

// ranBy remembers who ran each turn.
type ranBy struct {
	holders map[string]budget.Holder
	noted   []string
}

// NoteRan implements Turns.
func (r *ranBy) NoteRan(_, turn string) { r.noted = append(r.noted, turn) }

// RanBy implements Turns.
func (r *ranBy) RanBy(_ context.Context, _, turn string) (budget.Holder, bool) {
	holder, ok := r.holders[turn]
	return holder, ok
}

// spreadLocator names many nodes that had turns of a program.
type spreadLocator struct{ count int }

// Locate implements budget.Locator.
func (l spreadLocator) Locate(context.Context, string) (located budget.Located) {
	for index := range l.count {
		located.Holders = append(located.Holders, budget.Holder{Process: fmt.Sprint("h", index)})
	}
	return located
}

// NoteSpent implements budget.Locator.
func (spreadLocator) NoteSpent(string, int) {}

// NoteReturned implements budget.Locator.
func (spreadLocator) NoteReturned(context.Context, string) {}

// TestChainOfASpreadProgramIsAskedOfTheNodeThatRanIt: where more nodes had turns than are asked, the
// one that ran the last turn of the line is named by the turn.
func TestChainOfASpreadProgramIsAskedOfTheNodeThatRanIt(t *testing.T) {
	for _, holders := range []int{maxChainAsked - 1, maxChainAsked} {
		synctest.Test(t, func(t *testing.T) {
			f := newFixture(t, turnRoute(retained))
			f.worker("w", streams(2, 0))
			f.serve(t.Context(), func(r *Request) { r.ID = "t1" })

			other := newFixture(t, turnRoute(retained))
			other.worker("w", streams(2, 0))
			other.forwarder.options.Budgets = budget.NewBook(budget.Options{
				Store: f.table, Self: budget.Holder{Process: "m"}, Locator: spreadLocator{count: holders},
			})
			neighbour := &remembered{keeper: f.forwarder.options.History}
			turns := &ranBy{holders: map[string]budget.Holder{"t1": {Process: "ran"}}}
			other.forwarder.options.Neighbours, other.forwarder.options.Turns = neighbour, turns
			other.forwarder.options.History = newHistory(other.table)
			got := other.serve(t.Context(), func(r *Request) {
				r.ID, r.Continue, r.Program, r.Budget, r.Output = "t2", "t1", "p", 10_000, 60
			})
			require.True(t, got.ended)
			synctest.Wait() // for those that were asked at the same time
			_, reads := other.table.Calls()
			require.Zero(t, reads)
			if holders < maxChainAsked {
				require.NotContains(t, neighbour.asked, budget.Holder{Process: "ran"}, "all that had turns are asked")
				require.Empty(t, turns.noted)
				return
			}
			require.Equal(t, []budget.Holder{{Process: "ran"}}, neighbour.asked)
			require.Equal(t, []string{"t2"}, turns.noted)
		})
	}
}

// TestChainThatNoNodeRemembersIsRead, and a node that answers with another chain
// is not believed.
func TestChainThatNoNodeRemembersIsRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, turnRoute(retained))
		f.worker("w", streams(2, 0))
		claim := func(id, previous string) func(*Request) {
			return func(r *Request) {
				r.ID, r.Body, r.Continue = id, []byte(id+";"), previous
				r.Program, r.Budget, r.Output = "p", 10_000, 60
			}
		}
		f.serve(t.Context(), claim("t1", ""))
		for _, memory := range []*history.Keeper{newHistory(f.table), f.forwarder.options.History} {
			other := newFixture(t, turnRoute(retained))
			other.worker("w", streams(2, 0))
			other.forwarder.options.Budgets = budget.NewBook(budget.Options{Store: f.table, Self: budget.Holder{Process: "m"}})
			other.forwarder.options.Neighbours = &mistaken{remembered: remembered{keeper: memory}}
			other.forwarder.options.History = newHistory(f.table)
			other.serve(t.Context(), claim("t2", "t1"))
			require.Equal(t, "t1;t1\nt2\nt2;", other.sent()[0].body)
		}
		time.Sleep(time.Minute)
	})
}

// TestTurnOfWhichTheHistoryIsNotReadIsRefusedUnrun: the turn that it goes on from
// can be read, one before that can not.
func TestTurnOfWhichTheHistoryIsNotReadIsRefusedUnrun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, turnRoute(retained))
		f.worker("w", streams(2, 0))
		claim := func(id, previous string) func(*Request) {
			return func(r *Request) { r.ID, r.Body, r.Continue = id, []byte(id+";"), previous }
		}
		f.serve(t.Context(), claim("t1", ""))
		f.serve(t.Context(), claim("t2", "t1"))
		last, err := f.forwarder.options.History.Chain(t.Context(), "t2")
		require.NoError(t, err)
		table := storetest.New()
		require.NoError(t, newHistory(table).Keep(t.Context(), last[1], nil, time.Minute))

		other := newFixture(t, turnRoute(retained))
		other.worker("w", streams(2, 0))
		other.forwarder.options.Neighbours = &remembered{keeper: newHistory(f.table)}
		other.forwarder.options.History = newHistory(table)
		got := other.serve(t.Context(), claim("t3", "t2"))
		require.NotNil(t, got.refusal, "not a worker's answer, nor a broken connection")
		require.Empty(t, other.sent())
		time.Sleep(time.Minute)
	})
}

// mistaken answers with the chain of another turn.
type mistaken struct{ remembered }

// Chain implements Neighbours.
func (m *mistaken) Chain(context.Context, budget.Holder, string) ([]*history.Turn, error) {
	return []*history.Turn{{ID: "another", Output: []byte("another program's\n")}}, nil
}
