package budget

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cloverwheel/cloverwheel/internal/fault"
	"github.com/cloverwheel/cloverwheel/internal/store/storetest"
)

// fakeOwner grants one part of each program's budget.
type fakeOwner struct {
	unresponsive bool
	loseAnswers  bool // grants take effect, but answers are lost
	delay        time.Duration
	takers       map[string]Holder
	numbers      map[string]uint64
	requests     int
}

func newFakeOwner() *fakeOwner {
	return &fakeOwner{takers: map[string]Holder{}, numbers: map[string]uint64{}}
}

// ownerClient is a process's connection to a fakeOwner.
type ownerClient struct {
	*fakeOwner
	self Holder
}

// Grant implements Granter.
func (g ownerClient) Grant(_ context.Context, program string, tokens int, number uint64) (Grant, bool) {
	g.requests++
	time.Sleep(g.delay)
	if g.unresponsive {
		return Grant{}, false
	}
	taker, taken := g.takers[program]
	if taken && (taker != g.self || g.numbers[program] != number) {
		return Grant{Taker: taker}, !g.loseAnswers
	}
	g.takers[program], g.numbers[program] = g.self, number
	return Grant{Tokens: tokens}, !g.loseAnswers
}

// newOwnedAccounts returns accounts in the cluster that request grants from owner.
func newOwnedAccounts(nodes *cluster, process string, owner *fakeOwner) *Accounts {
	accounts := nodes.newAccounts(process)
	accounts.options.Granter = ownerClient{owner, accounts.options.Self}
	return accounts
}

// largeClaim is for a budget with owned parts.
var largeClaim = Claim{Program: "p", Budget: 4800, Tokens: 600}

// TestProgramStartsDuringStoreOutage guards against programs that cannot start, or
// start slowly, while the store is unavailable.
func TestProgramStartsDuringStoreOutage(t *testing.T) {
	for _, outage := range []storetest.Fault{storetest.Refused, storetest.RequestLost, storetest.ConnectionReset} {
		synctest.Test(t, func(t *testing.T) {
			table := storetest.New()
			nodes, owner := newCluster(table), newFakeOwner()
			table.SetFault(func(string, bool) storetest.Fault { return outage })
			ctx, cancel := context.WithTimeout(t.Context(), 900*time.Millisecond)
			defer cancel()
			a := newOwnedAccounts(nodes, "a", owner)
			reservation, err := a.Reserve(ctx, largeClaim)
			require.NoError(t, err)
			require.True(t, reservation.Granted)
			start := time.Now()
			claim := largeClaim
			claim.Program = "q"
			_, err = a.Reserve(ctx, claim)
			require.NoError(t, err)
			require.Less(t, time.Since(start), 50*time.Millisecond, "the store is known to be unavailable")
			time.Sleep(time.Minute)
		})
	}
}

// TestTurnThatMustPersistIsNotGranted guards against starting a turn that cannot end without the
// store.
func TestTurnThatMustPersistIsNotGranted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := storetest.New()
		nodes, owner := newCluster(table), newFakeOwner()
		table.SetFault(func(string, bool) storetest.Fault { return storetest.Refused })
		ctx, cancel := context.WithTimeout(t.Context(), 900*time.Millisecond)
		defer cancel()
		claim := largeClaim
		claim.MustPersist = true
		_, err := newOwnedAccounts(nodes, "a", owner).Reserve(ctx, claim)
		require.True(t, fault.Is(err, fault.Unavailable), err)
		require.Zero(t, owner.requests)
		time.Sleep(time.Minute)
	})
}

// spendAll runs turns that use all their tokens until one is refused.
func spendAll(t *testing.T, b *Accounts, claim Claim) (used int, refusal error) {
	for {
		reservation, err := b.Reserve(t.Context(), claim)
		if err != nil {
			return used, err
		}
		used += claim.Tokens
		reservation.Settle(claim.Tokens, "")
	}
}

// TestOwnedPartIsGrantedOnceRowsAreExhausted guards against an owned part that is
// unusable while the store is available, and against using the parts of further owners.
func TestOwnedPartIsGrantedOnceRowsAreExhausted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		used, err := spendAll(t, newOwnedAccounts(newCluster(storetest.New()), "a", newFakeOwner()), largeClaim)
		require.True(t, fault.Is(err, fault.BudgetExhausted), err)
		part := ownedPart(largeClaim.Budget)
		require.Greater(t, used, largeClaim.Budget-OwnedParts*part+part-largeClaim.Tokens)
		require.Less(t, used, largeClaim.Budget-OwnedParts*part+part+largeClaim.Tokens)
		time.Sleep(time.Minute)
	})
}

// TestUnresponsiveOwnerIsNotBudgetExhausted guards against reporting the budget as
// exhausted while an owner may still grant its part.
func TestUnresponsiveOwnerIsNotBudgetExhausted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		owner := newFakeOwner()
		owner.unresponsive = true
		a := newOwnedAccounts(newCluster(storetest.New()), "a", owner)
		_, err := spendAll(t, a, largeClaim)
		require.True(t, fault.Is(err, fault.Unavailable), err)
		owner.unresponsive = false
		_, err = a.Reserve(t.Context(), largeClaim)
		require.NoError(t, err)
		time.Sleep(time.Minute)
	})
}

// TestLostGrantIsRequestedAgain guards against losing a grant, or receiving it twice,
// when its answer is lost.
func TestLostGrantIsRequestedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		owner := newFakeOwner()
		owner.loseAnswers = true
		a := newOwnedAccounts(newCluster(storetest.New()), "a", owner)
		_, err := spendAll(t, a, largeClaim)
		require.True(t, fault.Is(err, fault.Unavailable), err)
		owner.loseAnswers = false
		used, _ := spendAll(t, a, largeClaim)
		require.Equal(t, ownedPart(largeClaim.Budget)/largeClaim.Tokens*largeClaim.Tokens, used, "one part, granted once")
		time.Sleep(time.Minute)
	})
}

// TestGrantIsHandedOver guards against granted tokens being stuck at one node: the owner
// refers other nodes to it.
func TestGrantIsHandedOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := storetest.New()
		nodes, owner := newCluster(table), newFakeOwner()
		a, b := newOwnedAccounts(nodes, "a", owner), newOwnedAccounts(nodes, "b", owner)
		table.SetFault(func(string, bool) storetest.Fault { return storetest.Refused })
		reservation, err := a.Reserve(t.Context(), largeClaim)
		require.NoError(t, err)
		reservation.Settle(100, "")
		moved, err := b.Reserve(t.Context(), largeClaim)
		require.NoError(t, err)
		require.True(t, moved.HandedOver)
		time.Sleep(time.Minute)
	})
}

// TestLateGrantIsNotLost guards against losing a grant that arrives after its turn gave
// up, when the next turn comes through another node.
func TestLateGrantIsNotLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := storetest.New()
		nodes, owner := newCluster(table), newFakeOwner()
		a, b := newOwnedAccounts(nodes, "a", owner), newOwnedAccounts(nodes, "b", owner)
		table.SetFault(func(string, bool) storetest.Fault { return storetest.Refused })
		owner.delay = 300 * time.Millisecond
		ctx, cancel := context.WithTimeout(t.Context(), 250*time.Millisecond)
		defer cancel()
		_, err := a.Reserve(ctx, largeClaim)
		require.True(t, fault.Is(err, fault.Unavailable), err)
		time.Sleep(time.Second)
		synctest.Wait()
		owner.delay = 0
		moved, err := b.Reserve(t.Context(), largeClaim)
		require.NoError(t, err)
		require.True(t, moved.HandedOver)
		time.Sleep(time.Minute)
	})
}

// TestSmallBudgetsHaveNoOwnedParts guards against withholding part of a small budget from
// its rows.
func TestSmallBudgetsHaveNoOwnedParts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		owner := newFakeOwner()
		claim := Claim{Program: "p", Budget: minOwnedBudget - 1, Tokens: 200}
		used, err := spendAll(t, newOwnedAccounts(newCluster(storetest.New()), "a", owner), claim)
		require.True(t, fault.Is(err, fault.BudgetExhausted), err)
		require.GreaterOrEqual(t, used, claim.Budget-claim.Tokens)
		require.Zero(t, owner.requests)
		time.Sleep(time.Minute)
	})
}

// TestFirstTurnTakesOneStoreCall guards against a first row that is too small for a first
// turn, here of a budget just above minOwnedBudget.
func TestFirstTurnTakesOneStoreCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := storetest.New()
		_, err := newOwnedAccounts(newCluster(table), "a", newFakeOwner()).Reserve(t.Context(), Claim{Program: "p", Budget: 1296, Tokens: 288})
		require.NoError(t, err)
		commits, reads := table.Calls()
		require.Equal(t, 1, commits+reads)
		time.Sleep(time.Minute)
	})
}

// TestOwnedPartsAndRowsAddUpToTheBudget guards against rounding that loses or adds
// tokens.
func TestOwnedPartsAndRowsAddUpToTheBudget(t *testing.T) {
	account := newAccount("p", Holder{})
	account.hasOwnedParts = true
	for budget := range 3 * minOwnedBudget {
		total := OwnedParts * ownedPart(budget)
		for index := range shareCount {
			total += account.limit(budget, index)
		}
		require.Equal(t, budget, total)
	}
}
