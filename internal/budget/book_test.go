package budget

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cloverwheel/cloverwheel/internal/fault"
	"github.com/cloverwheel/cloverwheel/internal/store"
	"github.com/cloverwheel/cloverwheel/internal/store/storetest"
)

func book(table store.Store, holder string) *Book {
	return NewBook(Options{Store: table, Holder: holder})
}

func TestBudgetIsHeldAcrossNodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := storetest.New()
		books := []*Book{book(table, "a"), book(table, "b")}
		used := 0
		for turn := range 100 {
			reservation, err := books[turn%2].Reserve(t.Context(), "p", 5000, 500)
			if err != nil {
				require.True(t, fault.Is(err, fault.BudgetExhausted), err)
				require.Equal(t, fault.RanNo, fault.From(err).Ran)
				break
			}
			reservation.Settle(300, "w1")
			used += 300
			time.Sleep(time.Second)
		}
		require.LessOrEqual(t, used, 5000)
		require.Greater(t, used, 5000-2*500, "what nodes hold idle is given back when the budget runs low")
		time.Sleep(time.Minute)
	})
}

func TestWholeBudgetFitsOneTurn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		one := book(storetest.New(), "a")
		reservation, err := one.Reserve(t.Context(), "p", 575, 575)
		require.NoError(t, err, "a turn may draw from all shares together")
		reservation.Settle(575, "")
		_, err = one.Reserve(t.Context(), "p", 575, 575)
		require.True(t, fault.Is(err, fault.BudgetExhausted))
		time.Sleep(time.Minute)
	})
}

func TestTurnsGoOnWhileAShareIsDown(t *testing.T) {
	for _, down := range []storetest.Fault{storetest.Refused, storetest.Silent, storetest.Broken} {
		synctest.Test(t, func(t *testing.T) {
			table := storetest.New()
			first := keyOf("p", 0).Part
			table.SetFault(func(part string, _ bool) storetest.Fault {
				if part == first {
					return down
				}
				return storetest.None
			})
			begun := time.Now()
			_, err := book(table, "a").Reserve(t.Context(), "p", 6000, 500)
			require.NoError(t, err)
			require.Less(t, time.Since(begun), 200*time.Millisecond)
		})
	}
}

func TestTableDownIsNoWordOnTheBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := storetest.New()
		table.SetFault(func(string, bool) storetest.Fault { return storetest.Silent })
		one := book(table, "a")
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := one.Reserve(ctx, "p", 6000, 500)
		require.True(t, fault.Is(err, fault.Unavailable), err)
		require.Equal(t, fault.RanNo, fault.From(err).Ran)
		table.SetFault(nil)
		_, err = one.Reserve(t.Context(), "p", 6000, 500)
		require.NoError(t, err)
	})
}

func TestLostAnswerIsNotDrawnTwice(t *testing.T) {
	for _, lost := range []storetest.Fault{storetest.Lost, storetest.Applied} {
		synctest.Test(t, func(t *testing.T) {
			table := storetest.New()
			answers := 0
			table.SetFault(func(_ string, write bool) storetest.Fault {
				if answers++; write && answers == 1 {
					return lost
				}
				return storetest.None
			})
			one := book(table, "a")
			reservation, err := one.Reserve(t.Context(), "p", 600, 200)
			require.NoError(t, err)
			reservation.Settle(200, "")
			for range 2 {
				reservation, err = one.Reserve(t.Context(), "p", 600, 200)
				require.NoError(t, err, "the first draw counts once")
				reservation.Settle(200, "")
			}
			_, err = one.Reserve(t.Context(), "p", 600, 200)
			require.True(t, fault.Is(err, fault.BudgetExhausted))
			time.Sleep(time.Minute)
		})
	}
}

func TestHomeTravelsWithTheAccount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := storetest.New()
		one, other := book(table, "a"), book(table, "b")
		reservation, err := one.Reserve(t.Context(), "p", 6000, 500)
		require.NoError(t, err)
		reservation.Settle(500, "w7")
		for range 6 {
			reservation, err = one.Reserve(t.Context(), "p", 6000, 500)
			require.NoError(t, err)
			reservation.Settle(500, "w7")
		}
		reservation, err = other.Reserve(t.Context(), "p", 6000, 500)
		require.NoError(t, err)
		require.Equal(t, "w7", reservation.Home)
		time.Sleep(time.Minute)
	})
}

// TestNoInterleavingOverspends runs a few nodes that die, lose answers and find
// late effects, against the oracle that all turns together generate no more
// than the budget.
func TestNoInterleavingOverspends(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		seed := rapid.Uint64().Draw(r, "seed")
		faulty := rapid.IntRange(0, 60).Draw(r, "faults in 100")
		budget := rapid.IntRange(300, 4000).Draw(r, "budget")
		var failure error
		synctest.Test(t, func(t *testing.T) { failure = overspends(t, seed, faulty, budget) })
		if failure != nil {
			r.Fatal(failure)
		}
	})
}

func overspends(t *testing.T, seed uint64, faulty, budget int) error {
	random := rand.New(rand.NewPCG(seed, 1))
	var mutex sync.Mutex
	draw := func(below int) int {
		mutex.Lock()
		defer mutex.Unlock()
		return random.IntN(below)
	}
	table := storetest.New()
	var calm atomic.Bool
	table.SetFault(func(string, bool) storetest.Fault {
		if calm.Load() || draw(100) >= faulty {
			return storetest.None
		}
		return storetest.Fault(draw(int(storetest.Applied) + 1))
	})
	books := make([]*Book, 3)
	restart := func(index int) { books[index] = book(table, fmt.Sprintf("%d-%d", index, draw(1<<30))) }
	for index := range books {
		restart(index)
	}
	generated := 0
	for range 60 {
		index := draw(len(books))
		switch draw(12) {
		case 0:
			restart(index)
		case 1:
			table.Release(draw)
		default:
			ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
			most := 50 + draw(300)
			reservation, err := books[index].Reserve(ctx, "p", budget, most)
			cancel()
			if err == nil {
				used := draw(most + 1)
				generated += used
				reservation.Settle(used, "w")
			}
		}
		time.Sleep(time.Duration(draw(400)) * time.Millisecond)
	}
	calm.Store(true)
	time.Sleep(time.Minute)
	if generated > budget {
		return fmt.Errorf("seed %d: %d tokens of a budget of %d were generated", seed, generated, budget)
	}
	return nil
}
