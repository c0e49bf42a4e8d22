package store_test

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/stretchr/testify/require"

	"github.com/cloverwheel/cloverwheel/internal/store"
	"github.com/cloverwheel/cloverwheel/internal/store/storetest"
)

// throttled returns a table that refuses calls for their number, and counts them.
func throttled(first storetest.Fault) (table *storetest.Table, calls *atomic.Int32) {
	table, calls = storetest.New(), new(atomic.Int32)
	table.SetFault(func(string, bool) storetest.Fault {
		if calls.Add(1) == 1 {
			return first
		}
		return storetest.Throttled
	})
	return table, calls
}

// TestThrottledCommitIsNotPressed: 2 s of refusals are few calls, and none begins that its
// caller would not see the answer of.
func TestThrottledCommitIsNotPressed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table, calls := throttled(storetest.Throttled)
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		defer cancel()
		_, err := store.CommitHedged(ctx, table, write("v", 0))
		require.ErrorIs(t, err, store.ErrThrottled)
		require.NoError(t, ctx.Err(), "it is told before its time is over")
		require.LessOrEqual(t, calls.Load(), int32(10))
		require.Greater(t, calls.Load(), int32(3))
	})
}

// TestThrottledHedgeKeepsItsDoubt: a try that may have had an effect is not forgotten.
func TestThrottledHedgeKeepsItsDoubt(t *testing.T) {
	for _, first := range []storetest.Fault{storetest.Broken, storetest.Silent, storetest.Lost, storetest.Late} {
		synctest.Test(t, func(t *testing.T) {
			table, _ := throttled(first)
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			_, err := store.CommitHedged(ctx, table, write("v", 0))
			require.Error(t, err)
			require.NotErrorIs(t, err, store.ErrNotDone, "fault %d", first)
		})
	}
}

// TestCallerThatPausesIsToldAtOnce that the table takes no more calls.
func TestCallerThatPausesIsToldAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table, calls := throttled(storetest.Throttled)
		begun := time.Now()
		_, err := store.CommitUnlessThrottled(t.Context(), table, write("v", 0))
		require.ErrorIs(t, err, store.ErrThrottled)
		require.Zero(t, time.Since(begun))
		require.EqualValues(t, 1, calls.Load())
	})
}

// TestThrottledTableLives: neither the gate nor a part of it closes, and a closed gate opens.
func TestThrottledTableLives(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := storetest.New()
		fault := storetest.Refused
		table.SetFault(func(string, bool) storetest.Fault { return fault })
		gate := store.NewGate(table, &log.Logger{Handler: discard.New()})
		call := func(part int) error {
			ctx, cancel := context.WithTimeout(t.Context(), callerWait)
			defer cancel()
			_, err := gate.Commit(ctx, store.Transaction{Put: []store.Row{{Key: store.Key{Part: fmt.Sprint(part)}}}})
			return err
		}
		fault = storetest.Throttled
		for part := range 100 {
			require.ErrorIs(t, call(part%4), store.ErrThrottled, "a part that the table throttles stays open")
			require.False(t, gate.Suspect())
		}
		require.True(t, gate.ThrottledSince(time.Now()))
		time.Sleep(time.Second)
		require.False(t, gate.ThrottledSince(time.Now().Add(-time.Second/2)))
		fault = storetest.Refused
		for part := range 10 {
			_ = call(part)
		}
		require.True(t, gate.Suspect())
		fault = storetest.Throttled
		time.Sleep(2 * time.Second)
		_ = call(11)
	})
}

// TestThrottledCallIsNotRelayedAtOnce: all nodes are refused alike; a node that is throttled
// alone is helped nevertheless.
func TestThrottledCallIsNotRelayedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := &ways{table: storetest.New()}
		table := relayed(w)
		call := func() error {
			_, err := table.Commit(t.Context(), store.Transaction{Put: []store.Row{{Key: key}}})
			return err
		}
		for turn := range 200 {
			w.own = storetest.Throttled
			if turn%4 == 3 {
				w.own = storetest.None
			}
			err := call()
			require.True(t, err == nil || errors.Is(err, store.ErrThrottled))
		}
		require.Zero(t, w.relayed, "three refusals of four calls are the table's, not the node's")
		w.own = storetest.Throttled
		failed := 0
		for range 100 {
			if call() != nil {
				failed++
			}
		}
		require.LessOrEqual(t, failed, 8, "a node that alone is throttled goes through others")
	})
}
