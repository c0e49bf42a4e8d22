package store_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
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

var key = store.Key{Table: "t", Part: "p", Name: "k"}

func write(value string, version store.Version) store.Transaction {
	return store.Transaction{
		Conditions: []store.Condition{{Key: key, Version: version}},
		Put:        []store.Row{{Key: key, Value: []byte(value)}},
	}
}

// A hedged commit must succeed soon although its first attempt fails, and leave its write
// recognizable.
func TestHedgedCommitSurvivesFailedAttempt(t *testing.T) {
	for fault := storetest.Refused; fault <= storetest.AppliedThenReset; fault++ {
		synctest.Test(t, func(t *testing.T) {
			table := storetest.New()
			var calls atomic.Int32
			table.SetFault(func(string, bool) storetest.Fault {
				if calls.Add(1) == 1 {
					return fault
				}
				return storetest.None
			})
			begun := time.Now()
			_, err := store.CommitHedged(t.Context(), table, write("v", 0))
			var conflict *store.Conflict
			if errors.As(err, &conflict) {
				require.Equal(t, "v", string(conflict.Find(key).Value), "the first attempt took effect and can be recognized")
			} else {
				require.NoError(t, err)
			}
			require.Less(t, time.Since(begun), 200*time.Millisecond)
		})
	}
}

// A hedged commit must end with its context.
func TestHedgedCommitEndsWithItsContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := storetest.New()
		table.SetFault(func(string, bool) storetest.Fault { return storetest.RequestLost })
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := store.CommitHedged(ctx, table, write("v", 0))
		require.ErrorIs(t, err, context.DeadlineExceeded)
	})
}

// 100 nodes with 20 callers each must not overload a table that is down, and must recover
// soon when it is up.
func TestGateBoundsCallsToTableThatIsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const nodes, callers = 100, 20
		table := storetest.New()
		var calls atomic.Int32
		var down atomic.Bool
		down.Store(true)
		table.SetFault(func(string, bool) storetest.Fault {
			calls.Add(1)
			if down.Load() {
				return storetest.Refused
			}
			return storetest.None
		})
		var served atomic.Int32
		for range nodes {
			gate := store.NewGate(table, &log.Logger{Handler: discard.New()})
			for caller := range callers {
				go func() {
					for t.Context().Err() == nil {
						ctx, cancel := context.WithTimeout(t.Context(), 900*time.Millisecond)
						_, err := gate.Range(ctx, "t", fmt.Sprint("p", caller), "", "", 1)
						cancel()
						if err == nil {
							served.Add(1)
							return
						}
						time.Sleep(300 * time.Millisecond)
					}
				}()
			}
		}
		time.Sleep(2 * time.Second)
		before := calls.Load()
		time.Sleep(10 * time.Second)
		perNode := float64(calls.Load()-before) / 10 / nodes
		require.LessOrEqual(t, perNode, 11.0, "calls per second from a node with 20 waiting callers")
		down.Store(false)
		time.Sleep(1500 * time.Millisecond)
		require.EqualValues(t, nodes*callers, served.Load())
	})
}

// Values must keep their expiry and payload, and values too short for an expiry are rejected.
func TestExpiry(t *testing.T) {
	expires := time.UnixMilli(1_780_000_000_123)
	got, payload, err := store.SplitExpiry(store.WithExpiry(expires, []byte("x")))
	require.NoError(t, err)
	require.True(t, expires.Equal(got))
	require.Equal(t, "x", string(payload))
	_, _, err = store.SplitExpiry([]byte("short"))
	require.ErrorIs(t, err, store.ErrNoExpiry)
}

// Calls to a failed part must be held back without delaying calls to other parts.
func TestFailedPartIsPaused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := storetest.New()
		var calls atomic.Int32
		var down atomic.Bool
		down.Store(true)
		table.SetFault(func(part string, _ bool) storetest.Fault {
			if part == "bad" && down.Load() {
				calls.Add(1)
				return storetest.Refused
			}
			return storetest.None
		})
		gate := store.NewGate(table, &log.Logger{Handler: discard.New()})
		read := func(part string) error {
			_, err := gate.Range(t.Context(), "t", part, "", "", 1)
			return err
		}
		for range 100 {
			require.ErrorIs(t, read("bad"), store.ErrNotApplied)
			require.NoError(t, read("good"))
			time.Sleep(50 * time.Millisecond)
		}
		require.LessOrEqual(t, calls.Load(), int32(12), "calls in 5 s")
		down.Store(false)
		time.Sleep(time.Second)
		require.NoError(t, read("bad"))
	})
}

// With two fifths of the parts down, calls to the others must never wait.
func TestGateStaysOpenWhileSomePartsRespond(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := storetest.New()
		table.SetFault(func(part string, _ bool) storetest.Fault {
			if part < "25" {
				return storetest.Refused
			}
			return storetest.None
		})
		gate := store.NewGate(table, &log.Logger{Handler: discard.New()})
		random := rand.New(rand.NewPCG(1, 1))
		for range 5000 {
			part := fmt.Sprintf("%02d", random.IntN(64))
			begun := time.Now()
			_, err := gate.Range(t.Context(), "t", part, "", "", 1)
			require.Equal(t, part >= "25", err == nil)
			require.Zero(t, time.Since(begun))
			time.Sleep(20 * time.Millisecond)
		}
	})
}

// A hedged commit must fail with ErrNotApplied only if no attempt can have had an effect.
func TestHedgedCommitNotDoneIsCertain(t *testing.T) {
	for first := storetest.Refused; first <= storetest.AppliedThenReset; first++ {
		synctest.Test(t, func(t *testing.T) {
			table := storetest.New()
			var calls atomic.Int32
			table.SetFault(func(string, bool) storetest.Fault {
				if calls.Add(1) == 1 {
					return first
				}
				return storetest.Refused
			})
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			_, err := store.CommitHedged(ctx, table, write("v", 0))
			require.Error(t, err)
			require.Equal(t, first == storetest.Refused, errors.Is(err, store.ErrNotApplied), "fault %d: %v", first, err)
		})
	}
}
