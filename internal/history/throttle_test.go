package history

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cloverwheel/cloverwheel/internal/store"
	"github.com/cloverwheel/cloverwheel/internal/store/storetest"
)

// TestThrottledCallsBackOff guards against calls that add load to a throttled store.
// Within 2 s a turn makes few calls, and it is written soon after throttling ends.
func TestThrottledCallsBackOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := storetest.New()
		var calls atomic.Int32
		var busy atomic.Bool
		busy.Store(true)
		table.SetFault(func(string, bool) storetest.Fault {
			calls.Add(1)
			if busy.Load() {
				return storetest.Throttled
			}
			return storetest.None
		})
		time.AfterFunc(2*time.Second, func() {
			require.LessOrEqual(t, calls.Load(), int32(10))
			busy.Store(false)
		})
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		start := time.Now()
		require.NoError(t, newTestStore(table).Write(ctx, newTurn("a"), nil, time.Minute))
		require.Less(t, time.Since(start), 2700*time.Millisecond)
		busy.Store(true)
		calls.Store(0)
		limited, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		defer cancel()
		_, err := newTestStore(table).Chain(limited, "a")
		require.ErrorIs(t, err, store.ErrThrottled)
		require.LessOrEqual(t, calls.Load(), int32(10))
		time.Sleep(maxReadingTime) // until the reading, which goes on for callers that return, has ended
	})
}

// TestFailedPlaceDoesNotProveTurnMissing guards against ErrNoTurn when one place has no
// turn but the other was throttled or failed.
func TestFailedPlaceDoesNotProveTurnMissing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := storetest.New()
		table.SetFault(func(part string, _ bool) storetest.Fault {
			if part == partOf("a", 0) {
				return storetest.ConnectionReset
			}
			return storetest.None
		})
		require.NoError(t, newTestStore(table).Write(t.Context(), newTurn("a"), nil, time.Minute))
		var calls atomic.Int32
		then := storetest.None
		table.SetFault(func(part string, _ bool) storetest.Fault {
			switch {
			case part != partOf("a", 1):
				return storetest.None
			case calls.Add(1) <= 3:
				return storetest.Throttled
			}
			return then
		})
		_, err := newTestStore(table).Chain(t.Context(), "a")
		require.NoError(t, err)
		calls.Store(0)
		then = storetest.ConnectionReset
		_, err = newTestStore(table).Chain(t.Context(), "a")
		require.ErrorIs(t, err, storetest.ErrConnectionReset)
	})
}
