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

// TestThrottledTurnIsNotPressed: another place of the same table does not help. Within 2 s a
// turn costs few calls, and is kept soon after the table takes calls again.
func TestThrottledTurnIsNotPressed(t *testing.T) {
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
		begun := time.Now()
		require.NoError(t, keeper(table).Keep(ctx, turn("a"), nil, time.Minute))
		require.Less(t, time.Since(begun), 2700*time.Millisecond)
		busy.Store(true)
		calls.Store(0)
		limited, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		defer cancel()
		_, err := keeper(table).Chain(limited, "a")
		require.ErrorIs(t, err, store.ErrThrottled)
		require.LessOrEqual(t, calls.Load(), int32(10))
	})
}

// TestRefusedPlaceIsNoWordOnTheTurn: that one place has no turn, asked twice because the other
// was refused, does not mean that there is none.
func TestRefusedPlaceIsNoWordOnTheTurn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := storetest.New()
		table.SetFault(func(part string, _ bool) storetest.Fault {
			if part == partOf("a", 0) {
				return storetest.Broken
			}
			return storetest.None
		})
		require.NoError(t, keeper(table).Keep(t.Context(), turn("a"), nil, time.Minute))
		var calls atomic.Int32
		table.SetFault(func(part string, _ bool) storetest.Fault {
			if part == partOf("a", 1) && calls.Add(1) <= 3 {
				return storetest.Throttled
			}
			return storetest.None
		})
		_, err := keeper(table).Chain(t.Context(), "a")
		require.NoError(t, err)
	})
}
