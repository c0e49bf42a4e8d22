package forward

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cloverwheel/cloverwheel/internal/budget"
	"github.com/cloverwheel/cloverwheel/internal/fault"
	"github.com/cloverwheel/cloverwheel/internal/history"
	"github.com/cloverwheel/cloverwheel/internal/store/storetest"
)

// programTurn makes a request a turn of a program with a budget.
func programTurn(id, previous string) func(*Request) {
	return func(r *Request) {
		r.ID, r.Body, r.PreviousTurn = id, []byte(id+";"), previous
		r.Program, r.TokenBudget, r.MaxOutputTokens = "p", 10_000, 60
	}
}

// readingPeer is another node that reads a history.
type readingPeer struct {
	store     *history.TurnStore
	until     time.Time // when it has read it
	remaining time.Duration
	asked     atomic.Int32
}

// History implements HistoryPeers.
func (r *readingPeer) History(context.Context, budget.Holder, string) ([]*history.Turn, error) {
	r.asked.Add(1)
	if left := time.Until(r.until); left > 0 {
		return nil, &history.BusyError{Ahead: 3, RetryAfter: min(left, r.remaining)}
	}
	return r.store.CachedChain("t2"), nil
}

// readingFixture is a node that has nothing cached of a program's two turns, beside a peer that has them or reads them.
func readingFixture(t *testing.T, peer *readingPeer) (node *fixture, reads *atomic.Int32) {
	first := newFixture(t, turnRoute(retained))
	first.worker("w", streams(2, 0))
	first.serve(t.Context(), programTurn("t1", ""))
	first.serve(t.Context(), programTurn("t2", "t1"))
	node = newFixture(t, turnRoute(retained))
	node.worker("w", streams(2, 0))
	node.forwarder.options.Budgets = budget.NewAccounts(budget.Options{Store: first.table, Self: budget.Holder{Process: "m"}})
	node.forwarder.options.History = newHistory(node.table)
	peer.store = first.forwarder.options.History
	node.forwarder.options.HistoryPeers = peer
	reads = new(atomic.Int32)
	node.table.SetFault(func(_ string, write bool) storetest.Fault {
		if write {
			return storetest.None
		}
		reads.Add(1)
		return storetest.Throttled
	})
	return node, reads
}

// Guards against reading a history again that another node reads already, which makes both later (LOST).
func TestHistoryThatAnotherNodeReadsIsAwaited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		peer := &readingPeer{remaining: time.Second}
		node, reads := readingFixture(t, peer)
		peer.until = time.Now().Add(400 * time.Millisecond)
		got := node.serve(t.Context(), programTurn("t3", "t2"))
		require.True(t, got.ended, "%v", got.refusal)
		require.Zero(t, reads.Load())
		require.LessOrEqual(t, peer.asked.Load(), int32(4))
		time.Sleep(time.Minute)
	})
}

// Guards against a request that waits for a history which comes too late, or is told to come back before it has been read, and against a refusal
// that says it may have run.
func TestHistoryThatComesTooLateIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		peer := &readingPeer{remaining: time.Minute}
		node, reads := readingFixture(t, peer)
		peer.until = time.Now().Add(3 * time.Second)
		got := node.serve(t.Context(), programTurn("t3", "t2"))
		require.NotNil(t, got.refusal)
		require.Less(t, got.took, 50*time.Millisecond)
		require.Equal(t, fault.Unavailable, got.refusal.Code)
		require.NotEqual(t, fault.RanYes, got.refusal.Ran)
		require.GreaterOrEqual(t, got.refusal.RetryAfter, 2900*time.Millisecond)
		require.Empty(t, node.sent())
		require.Zero(t, reads.Load())
		time.Sleep(time.Minute)
	})
}

// Guards against a node that waits for another one after that one has been lost.
func TestHistoryIsReadWhenTheNodeThatReadItIsLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		peer := &readingPeer{remaining: 100 * time.Millisecond}
		node, reads := readingFixture(t, peer)
		peer.until = time.Now().Add(200 * time.Millisecond)
		peer.store = newHistory(storetest.New()) // it has started anew and knows nothing
		got := node.serve(t.Context(), programTurn("t3", "t2"))
		require.NotNil(t, got.refusal, "its own table throttles all reads")
		require.Positive(t, reads.Load())
		time.Sleep(time.Minute)
	})
}
