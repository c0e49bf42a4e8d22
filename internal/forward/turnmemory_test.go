package forward

import (
	"strings"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"

	"github.com/cloverwheel/cloverwheel/internal/fault"
	"github.com/cloverwheel/cloverwheel/internal/memory"
	"github.com/cloverwheel/cloverwheel/internal/store/storetest"
)

// Guards against long histories and inputs of many turns that exceed the memory together (FAULT), whether they are cached or read, and
// against memory that is not released. What is refused must not have run.
func TestLongHistoriesReserveMemory(t *testing.T) {
	const input = 100 << 10
	for name, c := range map[string]struct {
		cached bool
		free   int64
		served bool
	}{
		"cached, enough memory": {true, 1 << 20, true},
		"cached, no memory":     {true, 64 << 10, false},
		"read, enough memory":   {false, 1 << 20, true},
		"read, no memory":       {false, 64 << 10, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t, turnRoute(retained))
				f.worker("w", streams(2, 0))
				long := strings.Repeat("x", input)
				require.True(t, f.serve(t.Context(), func(r *Request) { r.ID, r.Body = "t1", []byte(long) }).ended)
				if !c.cached {
					f.forwarder.options.History = newHistory(f.table)
				}
				free := memory.NewBudget(c.free)
				f.forwarder.options.ReserveLong = free.Reserve
				got := f.serve(t.Context(), func(r *Request) { r.ID, r.Body, r.PreviousTurn = "t2", []byte("next"), "t1" })
				require.Equal(t, c.served, got.ended)
				if c.served {
					require.True(t, f.sent()[1].body == long+"t1\nt2\nnext", "the worker gets all of it")
				} else {
					require.Equal(t, fault.Overloaded, got.refusal.Code)
					require.Equal(t, fault.RanNo, got.refusal.Ran)
					require.NotZero(t, got.refusal.RetryAfter)
					require.Len(t, f.sent(), 1)
				}
				require.Zero(t, free.Used())
			})
		})
	}
}

// Guards against a long input that is refused only when it has run and cannot be written (LOST).
func TestLongInputsReserveTheMemoryOfTheirWriting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, turnRoute(retained))
		f.worker("w", streams(2, 0))
		free := memory.NewBudget(64 << 10)
		f.forwarder.options.ReserveLong = free.Reserve
		f.table.SetFault(func(string, bool) storetest.Fault { t.Error("nothing is read or written"); return 0 })
		got := f.serve(t.Context(), func(r *Request) { r.ID, r.Body = "t1", make([]byte, 100<<10) })
		require.Equal(t, fault.Overloaded, got.refusal.Code)
		require.Empty(t, f.sent())
		require.Zero(t, free.Used())
	})
}

// Guards against memory that stays reserved because a reading which was given up still reserves some when its turn has ended (FAULT).
func TestMemoryOfAnEndedTurnIsNotReserved(t *testing.T) {
	free := memory.NewBudget(1 << 20)
	m := newTurnMemory(free.Reserve)
	require.NoError(t, m.add(100<<10))
	m.release()
	require.ErrorIs(t, m.add(100<<10), errNoTurnMemory)
	require.Zero(t, free.Used())
}
