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

// throttled returns a table that fails the first call as given and throttles the others, and
// a count of the calls.
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

// A throttled commit must back off, and fail before its deadline rather than start an attempt
// at the end.
func TestThrottledCommitBacksOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table, calls := throttled(storetest.Throttled)
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		defer cancel()
		_, err := store.CommitHedged(ctx, table, write("v", 0))
		require.ErrorIs(t, err, store.ErrThrottled)
		require.NoError(t, ctx.Err(), "the commit fails before its deadline")
		require.LessOrEqual(t, calls.Load(), int32(10))
		require.Greater(t, calls.Load(), int32(3))
	})
}

// A commit whose first attempt may have had an effect must not fail with ErrNotApplied because
// later ones are throttled.
func TestThrottledHedgeKeepsUncertainResult(t *testing.T) {
	for _, first := range []storetest.Fault{storetest.ConnectionReset, storetest.RequestLost, storetest.ResponseLost, storetest.AppliedLate} {
		synctest.Test(t, func(t *testing.T) {
			table, _ := throttled(first)
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			_, err := store.CommitHedged(ctx, table, write("v", 0))
			require.Error(t, err)
			require.NotErrorIs(t, err, store.ErrNotApplied, "fault %d", first)
		})
	}
}

// CommitUnlessThrottled must fail on the first throttled attempt.
func TestCommitUnlessThrottledFailsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table, calls := throttled(storetest.Throttled)
		begun := time.Now()
		_, err := store.CommitUnlessThrottled(t.Context(), table, write("v", 0))
		require.ErrorIs(t, err, store.ErrThrottled)
		require.Zero(t, time.Since(begun))
		require.EqualValues(t, 1, calls.Load())
	})
}

// Guards against a gate or a part that throttled calls close, and against a closed gate that stays
// closed while the table answers its probes by throttling them: callers would wait until they time out.
func TestThrottlingDoesNotCloseTheGate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := storetest.New()
		fault := storetest.Refused
		table.SetFault(func(string, bool) storetest.Fault { return fault })
		gate := store.NewGate(table, &log.Logger{Handler: discard.New()})
		call := func(part int) error {
			ctx, cancel := context.WithTimeout(t.Context(), callerTimeout)
			defer cancel()
			_, err := gate.Commit(ctx, store.Transaction{Put: []store.Row{{Key: store.Key{Part: fmt.Sprint(part)}}}})
			return err
		}
		fault = storetest.Throttled
		for part := range 100 {
			require.ErrorIs(t, call(part%4), store.ErrThrottled, "a throttled part stays open")
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
		require.ErrorIs(t, call(11), store.ErrThrottled, "the call reaches the table")
		require.False(t, gate.Suspect())
	})
}

// Throttled calls must not be relayed while some calls succeed, since the rate limit applies to
// all nodes. A node that is throttled all the time must relay.
func TestThrottledCallsAreRelayedOnlyAfterMany(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &paths{table: storetest.New()}
		table := newRelayed(p)
		call := func() error {
			_, err := table.Commit(t.Context(), store.Transaction{Put: []store.Row{{Key: key}}})
			return err
		}
		for round := range 200 {
			p.direct = storetest.Throttled
			if round%4 == 3 {
				p.direct = storetest.None
			}
			err := call()
			require.True(t, err == nil || errors.Is(err, store.ErrThrottled))
		}
		require.Zero(t, p.relayed, "three throttled calls of four show the shared rate limit")
		p.direct = storetest.Throttled
		failed := 0
		for range 100 {
			if call() != nil {
				failed++
			}
		}
		require.LessOrEqual(t, failed, 8, "a node that alone is throttled relays its calls")
	})
}
