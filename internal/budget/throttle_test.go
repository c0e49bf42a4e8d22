package budget

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

// TestThrottledDrawIsNotPressed: other shares of the same table do not help. Within 2 s a draw
// costs few calls, and it succeeds soon after the table takes calls again.
func TestThrottledDrawIsNotPressed(t *testing.T) {
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
		one := book(table, "a")
		claim := Claim{Program: "p", Budget: 1000, Tokens: 100, Kept: true}
		limited, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		defer cancel()
		_, err := one.Reserve(limited, claim)
		require.ErrorContains(t, err, store.ErrThrottled.Error())
		require.NoError(t, limited.Err(), "the turn is told before its time is over")
		require.LessOrEqual(t, calls.Load(), int32(10))
		require.False(t, one.away(), "a table that counts its calls is there")
		time.AfterFunc(time.Second, func() { busy.Store(false) })
		begun := time.Now()
		_, err = one.Reserve(t.Context(), claim)
		require.NoError(t, err)
		require.Less(t, time.Since(begun), 1700*time.Millisecond)
		time.Sleep(time.Minute)
	})
}
