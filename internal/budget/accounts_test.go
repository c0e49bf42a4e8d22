package budget

import (
	"context"
	"errors"
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

func newTestAccounts(table store.Store, process string) *Accounts {
	return NewAccounts(Options{Store: table, Self: Holder{Process: process, Address: process}})
}

// cluster is the accounts of several nodes that can send requests to each other.
type cluster struct {
	table        store.Store
	mutex        sync.Mutex
	nodeAccounts map[string]*Accounts
	// delivery, if not nil, decides whether a request arrives and whether its answer
	// does.
	delivery func() (asked, answered bool)
	requests int
	// Requests to unreachable nodes time out; those to closed ones are refused.
	unreachable map[string]bool
	closed      map[string]bool
}

// errPortClosed is the connection error of a process that has exited.
var errPortClosed = errors.New("connection refused")

// makeUnreachable makes requests to a node time out, as if its machine had failed.
func (c *cluster) makeUnreachable(process string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.unreachable[process] = true
}

// closePort makes connections to a node fail, as if its process had exited.
func (c *cluster) closePort(process string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.closed[process] = true
}

func (c *cluster) setDelivery(delivery func() (asked, answered bool)) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.delivery = delivery
}

func newCluster(table store.Store) *cluster {
	return &cluster{table: table, nodeAccounts: map[string]*Accounts{}, unreachable: map[string]bool{}, closed: map[string]bool{}}
}

func (c *cluster) newAccounts(process string) *Accounts {
	accounts := NewAccounts(Options{Store: c.table, Self: Holder{Process: process, Address: process}, Peers: c})
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.nodeAccounts[process] = accounts
	return accounts
}

// HandOver implements Peers.
func (c *cluster) HandOver(ctx context.Context, address string, request HandOverRequest) (HandOverAnswer, error) {
	c.mutex.Lock()
	asked, answered := true, true
	if c.delivery != nil {
		asked, answered = c.delivery()
	}
	c.requests++
	to, closed := c.nodeAccounts[address], c.closed[address]
	asked = asked && !c.unreachable[address]
	c.mutex.Unlock()
	if closed {
		return HandOverAnswer{}, errPortClosed
	}
	var answer HandOverAnswer
	if asked && to != nil {
		answer = to.HandOver(ctx, request)
	}
	if !asked || !answered || to == nil {
		<-ctx.Done()
		return HandOverAnswer{}, ctx.Err()
	}
	return answer, nil
}

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

// TestProgramAlternatesBetweenNodesDuringStoreOutage guards against nodes that need the
// store to use tokens that a known peer holds.
func TestProgramAlternatesBetweenNodesDuringStoreOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := storetest.New()
		nodes := newCluster(table)
		claim := Claim{Program: "p", Budget: 60_000, Tokens: 500}
		a, b := nodes.newAccounts("a"), nodes.newAccounts("b")
		for _, accounts := range []*Accounts{a, b} {
			reservation, err := accounts.Reserve(t.Context(), claim)
			require.NoError(t, err)
			reservation.Settle(100, "w1")
		}
		table.SetFault(func(string, bool) storetest.Fault { return storetest.RequestLost })
		ran := 0
		for turn := range 20 {
			ctx, cancel := context.WithTimeout(t.Context(), 900*time.Millisecond)
			reservation, err := []*Accounts{a, b}[turn%2].Reserve(ctx, claim)
			cancel()
			if err != nil {
				break
			}
			ran++
			reservation.Settle(500, "w1")
		}
		require.GreaterOrEqual(t, ran, 4, "tokens for five turns were drawn")
		time.Sleep(time.Minute)
	})
}

// TestSecondNodeReceivesTokensWithoutAWrite guards against needless store writes: a node
// new to a running program reads the holders from a row and gets tokens from them.
func TestSecondNodeReceivesTokensWithoutAWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := storetest.New()
		nodes := newCluster(table)
		claim := Claim{Program: "p", Budget: 60_000, Tokens: 500}
		reservation, err := nodes.newAccounts("a").Reserve(t.Context(), claim)
		require.NoError(t, err)
		reservation.Settle(300, "w7")
		claim.Continues = true
		two := nodes.newAccounts("b")
		reservation, err = two.Reserve(t.Context(), claim)
		require.NoError(t, err)
		require.Equal(t, "w7", reservation.LastWorker)
		require.True(t, reservation.HandedOver)
		reservation.Settle(500, "w8")
		three := nodes.newAccounts("c")
		_, err = three.Reserve(t.Context(), claim)
		require.NoError(t, err)
		commits, _ := table.Calls()
		require.Equal(t, 1, commits)
	})
}

// TestUnresponsiveNodeIsNotAskedAgainAtOnce guards against every turn waiting for the
// timeout of a crashed node.
func TestUnresponsiveNodeIsNotAskedAgainAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nodes := newCluster(storetest.New())
		claim := Claim{Program: "p", Budget: 60_000, Tokens: 500}
		_, err := nodes.newAccounts("a").Reserve(t.Context(), claim)
		require.NoError(t, err)
		nodes.delivery = func() (asked, answered bool) { return false, false }
		two := nodes.newAccounts("b")
		start := time.Now()
		for range 10 {
			_, err := two.Reserve(t.Context(), claim)
			require.NoError(t, err)
		}
		require.Equal(t, 1, nodes.requests)
		require.Less(t, time.Since(start), 100*time.Millisecond)
	})
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

// TestUnknownProgramIsBroadcastToRecentPeers guards against a program stopping during a
// store outage because its new node has not served it before, although that node has been
// in contact with the one that has.
func TestUnknownProgramIsBroadcastToRecentPeers(t *testing.T) {
	for _, down := range []storetest.Fault{storetest.RequestLost, storetest.Refused, storetest.ConnectionReset} {
		synctest.Test(t, func(t *testing.T) {
			table := storetest.New()
			nodes := newCluster(table)
			claim := Claim{Program: "p", Budget: 60_000, Tokens: 500}
			a, b := nodes.newAccounts("a"), nodes.newAccounts("b")
			for _, program := range []string{"p", "q", "other"} {
				claim.Program = program
				reservation, err := a.Reserve(t.Context(), claim)
				require.NoError(t, err)
				reservation.Settle(100, "w7")
			}
			_, err := b.Reserve(t.Context(), claim) // a and b learn of each other through another program
			require.NoError(t, err)
			table.SetFault(func(string, bool) storetest.Fault { return down })
			claim.Program = "p"
			ctx, cancel := context.WithTimeout(t.Context(), 900*time.Millisecond)
			defer cancel()
			start := time.Now()
			reservation, err := b.Reserve(ctx, claim)
			require.NoError(t, err)
			require.Equal(t, "w7", reservation.LastWorker)
			require.Equal(t, "a", reservation.Holders[0].Process)
			require.Less(t, time.Since(start), 200*time.Millisecond)

			claim.Program = "q"
			for _, mustPersist := range []bool{true, false} {
				claim.MustPersist = mustPersist // if set, the turn cannot end without the store
				ctx, cancel = context.WithTimeout(t.Context(), 900*time.Millisecond)
				defer cancel()
				_, err = b.Reserve(ctx, claim)
				require.Equal(t, mustPersist, fault.Is(err, fault.Unavailable), err)
			}
			time.Sleep(time.Minute)
		})
	}
}

// TestBroadcastRequestsAreRateLimited guards against a node overloading its peers during
// a store outage.
func TestBroadcastRequestsAreRateLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := storetest.New()
		nodes := newCluster(table)
		accounts := nodes.newAccounts("one")
		for node := range 100 {
			accounts.addPeers(Holder{Process: fmt.Sprint(node), Address: fmt.Sprint(node)})
		}
		table.SetFault(func(string, bool) storetest.Fault { return storetest.Refused })
		for turn := range 100 {
			go func() {
				ctx, cancel := context.WithTimeout(t.Context(), 900*time.Millisecond)
				defer cancel()
				_, _ = accounts.Reserve(ctx, Claim{Program: fmt.Sprint("p", turn), Budget: 60_000, Tokens: 500})
			}()
		}
		time.Sleep(time.Second)
		nodes.mutex.Lock()
		defer nodes.mutex.Unlock()
		require.Positive(t, nodes.requests)
		require.LessOrEqual(t, nodes.requests, 2*broadcastsPerSecond*maxBroadcastPeers)
	})
}

// TestLostHandOverAnswerIsRepeated guards against losing tokens, or receiving them twice,
// when the answer that transfers them is lost.
func TestLostHandOverAnswerIsRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nodes := newCluster(storetest.New())
		a, b := nodes.newAccounts("a"), nodes.newAccounts("b")
		reservation, err := a.Reserve(t.Context(), Claim{Program: "p", Budget: 589, Tokens: 589})
		require.NoError(t, err)
		reservation.Settle(0, "")
		nodes.delivery = func() (asked, answered bool) { return true, false }
		_, err = b.Reserve(t.Context(), Claim{Program: "p", Budget: 589, Tokens: 589})
		require.True(t, fault.Is(err, fault.Unavailable), err)
		nodes.setDelivery(nil)
		time.Sleep(2 * time.Second)
		reservation, err = b.Reserve(t.Context(), Claim{Program: "p", Budget: 589, Tokens: 589})
		require.NoError(t, err, "no turn has run")
		reservation.Settle(289, "")
		_, err = b.Reserve(t.Context(), Claim{Program: "p", Budget: 589, Tokens: 301})
		require.True(t, fault.Is(err, fault.BudgetExhausted), err)
		time.Sleep(2 * time.Second)
		_, err = b.Reserve(t.Context(), Claim{Program: "p", Budget: 589, Tokens: 300})
		require.NoError(t, err, "all tokens that are left")
	})
}
