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
	"github.com/cloverwheel/cloverwheel/internal/store/storetest"
)

// TestBudgetIsEnforcedAcrossNodes guards against nodes that together exceed the budget,
// and against unused tokens of one node being unavailable to the other.
func TestBudgetIsEnforcedAcrossNodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nodes := newCluster(storetest.New())
		nodeAccounts := []*Accounts{nodes.newAccounts("a"), nodes.newAccounts("b")}
		used := 0
		for turn := range 100 {
			reservation, err := nodeAccounts[turn%2].Reserve(t.Context(), Claim{Program: "p", Budget: 5000, Tokens: 500})
			if err != nil {
				require.True(t, fault.Is(err, fault.BudgetExhausted), err)
				require.Equal(t, fault.RanNo, fault.From(err).Ran)
				break
			}
			reservation.Settle(300, "w1")
			used += 300
			time.Sleep(time.Second)
		}
		require.Less(t, used, 5000+500, "the budget plus the maximum of one turn")
		require.Greater(t, used, 5000-500, "unused tokens of one node are available to the other")
		time.Sleep(time.Minute)
	})
}

// TestTurnMayReserveTheWholeBudget guards against a turn that fits the budget but no
// single share.
func TestTurnMayReserveTheWholeBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		accounts := newTestAccounts(storetest.New(), "a")
		reservation, err := accounts.Reserve(t.Context(), Claim{Program: "p", Budget: 575, Tokens: 575})
		require.NoError(t, err, "a turn may draw from all shares together")
		reservation.Settle(575, "")
		_, err = accounts.Reserve(t.Context(), Claim{Program: "p", Budget: 575, Tokens: 575})
		require.True(t, fault.Is(err, fault.BudgetExhausted))
		time.Sleep(time.Minute)
	})
}

// TestReserveSucceedsWhileFirstShareIsDown guards against a turn that waits for an
// unavailable share.
func TestReserveSucceedsWhileFirstShareIsDown(t *testing.T) {
	for _, down := range []storetest.Fault{storetest.Refused, storetest.RequestLost, storetest.ConnectionReset} {
		synctest.Test(t, func(t *testing.T) {
			table := storetest.New()
			first := rowKey("p", 0).Part
			table.SetFault(func(part string, _ bool) storetest.Fault {
				if part == first {
					return down
				}
				return storetest.None
			})
			start := time.Now()
			_, err := newTestAccounts(table, "a").Reserve(t.Context(), Claim{Program: "p", Budget: 6000, Tokens: 500})
			require.NoError(t, err)
			require.Less(t, time.Since(start), 200*time.Millisecond)
		})
	}
}

// TestStoreOutageIsNotBudgetExhausted guards against reporting the budget as exhausted
// when the store does not answer.
func TestStoreOutageIsNotBudgetExhausted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := storetest.New()
		table.SetFault(func(string, bool) storetest.Fault { return storetest.RequestLost })
		accounts := newTestAccounts(table, "a")
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := accounts.Reserve(ctx, Claim{Program: "p", Budget: 6000, Tokens: 500})
		require.True(t, fault.Is(err, fault.Unavailable), err)
		require.Equal(t, fault.RanNo, fault.From(err).Ran)
		table.SetFault(nil)
		_, err = accounts.Reserve(t.Context(), Claim{Program: "p", Budget: 6000, Tokens: 500})
		require.NoError(t, err)
	})
}

// TestLostCommitAnswerIsNotDrawnTwice guards against counting a draw twice when the
// answer to its commit is lost.
func TestLostCommitAnswerIsNotDrawnTwice(t *testing.T) {
	for _, lost := range []storetest.Fault{storetest.ResponseLost, storetest.AppliedThenReset} {
		synctest.Test(t, func(t *testing.T) {
			table := storetest.New()
			answers := 0
			table.SetFault(func(_ string, write bool) storetest.Fault {
				if answers++; write && answers == 1 {
					return lost
				}
				return storetest.None
			})
			accounts := newTestAccounts(table, "a")
			reservation, err := accounts.Reserve(t.Context(), Claim{Program: "p", Budget: 600, Tokens: 200})
			require.NoError(t, err)
			reservation.Settle(200, "")
			for range 2 {
				reservation, err = accounts.Reserve(t.Context(), Claim{Program: "p", Budget: 600, Tokens: 200})
				require.NoError(t, err, "the first draw counts once")
				reservation.Settle(200, "")
			}
			_, err = accounts.Reserve(t.Context(), Claim{Program: "p", Budget: 600, Tokens: 200})
			require.True(t, fault.Is(err, fault.BudgetExhausted))
			time.Sleep(time.Minute)
		})
	}
}

// TestLastWorkerIsStoredWithTheAccount guards against a second node not finding the
// worker of the program's newest turn.
func TestLastWorkerIsStoredWithTheAccount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := storetest.New()
		accounts, other := newTestAccounts(table, "a"), newTestAccounts(table, "b")
		reservation, err := accounts.Reserve(t.Context(), Claim{Program: "p", Budget: 6000, Tokens: 500})
		require.NoError(t, err)
		reservation.Settle(500, "w7")
		for range 6 {
			reservation, err = accounts.Reserve(t.Context(), Claim{Program: "p", Budget: 6000, Tokens: 500})
			require.NoError(t, err)
			reservation.Settle(500, "w7")
		}
		reservation, err = other.Reserve(t.Context(), Claim{Program: "p", Budget: 6000, Tokens: 500})
		require.NoError(t, err)
		require.Equal(t, "w7", reservation.LastWorker)
		time.Sleep(time.Minute)
	})
}

// TestNoInterleavingExceedsTheBudget guards against overspending when nodes crash,
// answers are lost and writes take effect late: all turns together must generate less
// than the budget plus the maximum of one turn.
func TestNoInterleavingExceedsTheBudget(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		seed := rapid.Uint64().Draw(r, "seed")
		faulty := rapid.IntRange(0, 60).Draw(r, "faults in 100")
		budget := rapid.IntRange(300, 4000).Draw(r, "budget")
		var failure error
		synctest.Test(t, func(t *testing.T) { failure = checkInterleaving(t, seed, faulty, budget) })
		if failure != nil {
			r.Fatal(failure)
		}
	})
}

// checkInterleaving runs a random schedule of turns, restarts and faults and fails if more
// tokens were generated than allowed.
func checkInterleaving(t *testing.T, seed uint64, faulty, budget int) error {
	random := rand.New(rand.NewPCG(seed, 1))
	var mutex sync.Mutex
	draw := func(below int) int {
		mutex.Lock()
		defer mutex.Unlock()
		return random.IntN(below)
	}
	table := storetest.New()
	var faultsOff atomic.Bool
	table.SetFault(func(string, bool) storetest.Fault {
		if faultsOff.Load() || draw(100) >= faulty {
			return storetest.None
		}
		return storetest.Fault(draw(int(storetest.AppliedThenReset) + 1))
	})
	nodeAccounts := make([]*Accounts, 3)
	nodes := newCluster(table)
	nodes.delivery = func() (asked, answered bool) { return draw(100) >= faulty, draw(100) >= faulty }
	restart := func(index int) {
		if nodeAccounts[index] != nil && draw(2) == 0 {
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			nodeAccounts[index].GiveBack(ctx)
			cancel()
		}
		nodeAccounts[index] = nodes.newAccounts(fmt.Sprintf("%d-%d", index, draw(1<<30)))
	}
	for index := range nodeAccounts {
		restart(index)
	}
	generated, largest := 0, 0
	for range 60 {
		index := draw(len(nodeAccounts))
		switch draw(12) {
		case 0:
			restart(index)
		case 1:
			table.ApplyLate(draw)
		case 2:
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			nodeAccounts[index].GiveBack(ctx)
			cancel()
		default:
			ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
			maxTokens := 50 + draw(300)
			reservation, err := nodeAccounts[index].Reserve(ctx, Claim{Program: "p", Budget: budget, Tokens: maxTokens})
			cancel()
			if err == nil {
				used := draw(maxTokens + 1)
				generated, largest = generated+used, max(largest, maxTokens)
				reservation.Settle(used, "w")
			}
		}
		time.Sleep(time.Duration(draw(400)) * time.Millisecond)
	}
	faultsOff.Store(true)
	time.Sleep(time.Minute)
	if generated >= budget+largest {
		return fmt.Errorf("seed %d: %d tokens of a budget of %d were generated; the largest turn had %d", seed, generated, budget, largest)
	}
	return nil
}

// TestUnusedTokensAreAvailableToOtherNodes guards against unused tokens being stuck at
// one node: a turn that was not run there is retried at another one.
func TestUnusedTokensAreAvailableToOtherNodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nodes := newCluster(storetest.New())
		reservation, err := nodes.newAccounts("a").Reserve(t.Context(), Claim{Program: "p", Budget: 900, Tokens: 589})
		require.NoError(t, err)
		reservation.Settle(0, "")
		_, err = nodes.newAccounts("b").Reserve(t.Context(), Claim{Program: "p", Budget: 900, Tokens: 589})
		require.NoError(t, err, "no turn has run")
	})
}

// TestTokensOfAFailedDrawAreNotLost guards against losing tokens that were drawn from one
// share for a turn that failed because the other shares were down.
func TestTokensOfAFailedDrawAreNotLost(t *testing.T) {
	for _, down := range []storetest.Fault{storetest.Refused, storetest.RequestLost, storetest.ConnectionReset, storetest.AppliedLate, storetest.ResponseLost} {
		synctest.Test(t, func(t *testing.T) {
			table := storetest.New()
			nodes := newCluster(table)
			var all atomic.Bool
			up := rowKey("p", 1).Part
			table.SetFault(func(part string, _ bool) storetest.Fault {
				if part == up && !all.Load() {
					return storetest.None
				}
				return down
			})
			accounts := nodes.newAccounts("a")
			for range 3 {
				ctx, cancel := context.WithTimeout(t.Context(), 900*time.Millisecond)
				_, err := accounts.Reserve(ctx, Claim{Program: "p", Budget: 900, Tokens: 589})
				cancel()
				require.True(t, fault.Is(err, fault.Unavailable), err)
				all.Store(true) // from now on the whole store is down
			}
			table.SetFault(nil)
			table.ApplyLate(func(int) int { return 0 })
			_, err := nodes.newAccounts("b").Reserve(t.Context(), Claim{Program: "p", Budget: 900, Tokens: 589})
			require.NoError(t, err, "fault %d: no turn has run", down)
			time.Sleep(time.Minute)
		})
	}
}

// TestStoppingNodeReturnsItsTokens guards against losing tokens, or returning them twice,
// when a node stops while store calls fail.
func TestStoppingNodeReturnsItsTokens(t *testing.T) {
	for _, lost := range []storetest.Fault{storetest.None, storetest.Refused, storetest.ResponseLost, storetest.ConnectionReset, storetest.AppliedThenReset} {
		synctest.Test(t, func(t *testing.T) {
			table := storetest.New()
			accounts := newTestAccounts(table, "a")
			reservation, err := accounts.Reserve(t.Context(), Claim{Program: "p", Budget: 900, Tokens: 589})
			require.NoError(t, err)
			reservation.Settle(300, "")
			calls := 0
			table.SetFault(func(_ string, write bool) storetest.Fault {
				if calls++; !write || calls%2 == 0 {
					return storetest.None
				}
				return lost // the retry arrives
			})
			accounts.GiveBack(t.Context())
			table.SetFault(nil)
			for next, tokens := range []int{589, 10} { // the first one prefetches one token
				_, err = newTestAccounts(table, fmt.Sprint("b", next)).Reserve(t.Context(), Claim{Program: "p", Budget: 900, Tokens: tokens})
				require.NoError(t, err, "fault %d", lost)
			}
			_, err = newTestAccounts(table, "c").Reserve(t.Context(), Claim{Program: "p", Budget: 900, Tokens: 1})
			require.True(t, fault.Is(err, fault.BudgetExhausted), "fault %d: %v", lost, err)
			time.Sleep(time.Minute)
		})
	}
}

// TestContinuingTurnReadsBeforeItWrites guards against a conditional write that is
// refused because the row is unknown: stores limit writes more strictly than reads.
func TestContinuingTurnReadsBeforeItWrites(t *testing.T) {
	for _, continues := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			table := storetest.New()
			claim := Claim{Program: "p", Budget: 60_000, Tokens: 500}
			_, err := newTestAccounts(table, "a").Reserve(t.Context(), claim)
			require.NoError(t, err)
			commits, _ := table.Calls()
			require.Equal(t, 1, commits, "a first turn takes one store call")
			claim.Continues = continues
			_, err = newTestAccounts(table, "b").Reserve(t.Context(), claim)
			require.NoError(t, err)
			commits, reads := table.Calls()
			require.Equal(t, 3, commits+reads)
			require.Equal(t, continues, reads == 1)
		})
	}
}
