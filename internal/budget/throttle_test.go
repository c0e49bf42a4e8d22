package budget

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cloverwheel/cloverwheel/internal/store"
	"github.com/cloverwheel/cloverwheel/internal/store/storetest"
)

// TestThrottledDrawBacksOff guards against a draw that adds load to a throttled store.
// Within 2 s it makes few calls, and it succeeds soon after throttling ends.
func TestThrottledDrawBacksOff(t *testing.T) {
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
		accounts := newTestAccounts(table, "a")
		claim := Claim{Program: "p", Budget: 1000, Tokens: 100, MustPersist: true}
		limited, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		defer cancel()
		_, err := accounts.Reserve(limited, claim)
		require.ErrorContains(t, err, store.ErrThrottled.Error())
		require.NoError(t, limited.Err(), "the turn fails before its deadline")
		require.LessOrEqual(t, calls.Load(), int32(10))
		require.False(t, accounts.storeUnavailable(), "a store that throttles calls is available")
		time.AfterFunc(time.Second, func() { busy.Store(false) })
		start := time.Now()
		_, err = accounts.Reserve(t.Context(), claim)
		require.NoError(t, err)
		require.Less(t, time.Since(start), 1700*time.Millisecond)
		time.Sleep(time.Minute)
	})
}

// TestCanceledCallersDoNotMakeTheStoreUnavailable guards against counting a caller's own end as a call
// that the store left unanswered: the next turns would then use up grants while the store works.
func TestCanceledCallersDoNotMakeTheStoreUnavailable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := storetest.New()
		table.SetFault(func(string, bool) storetest.Fault { return storetest.RequestLost })
		accounts := newTestAccounts(table, "a")
		for index := range 2 * unavailableFailures {
			caller, leave := context.WithCancel(t.Context())
			time.AfterFunc(10*time.Millisecond, leave)
			_, err := accounts.Reserve(caller, Claim{Program: fmt.Sprint("p", index), Budget: 1000, Tokens: 100, MustPersist: true})
			require.Error(t, err)
		}
		require.False(t, accounts.storeUnavailable(), "callers that left after 10 ms say nothing about the store")
		limited, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := accounts.Reserve(limited, Claim{Program: "patient", Budget: 1000, Tokens: 100, MustPersist: true})
		require.Error(t, err)
		require.True(t, accounts.storeUnavailable(), "a caller that waited does")
		time.Sleep(time.Minute)
	})
}
