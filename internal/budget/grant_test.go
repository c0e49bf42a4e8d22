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

// owner grants one part of each program's budget.
type owner struct {
	silent bool
	lost   bool // answers do not arrive
	slow   time.Duration
	taken  map[string]Holder
	number map[string]uint64
	asks   int
}

func newOwner() *owner { return &owner{taken: map[string]Holder{}, number: map[string]uint64{}} }

// askingOwner is an owner as a process asks it.
type askingOwner struct {
	*owner
	self Holder
}

// Grant implements Granter.
func (g askingOwner) Grant(_ context.Context, program string, tokens int, number uint64) (Grant, bool) {
	g.asks++
	time.Sleep(g.slow)
	if g.silent {
		return Grant{}, false
	}
	taker, taken := g.taken[program]
	if taken && (taker != g.self || g.number[program] != number) {
		return Grant{Taker: taker}, !g.lost
	}
	g.taken[program], g.number[program] = g.self, number
	return Grant{Tokens: tokens}, !g.lost
}

// ownedBook is a book of a cluster whose programs have an owner.
func ownedBook(nodes *cluster, process string, owner *owner) *Book {
	made := nodes.book(process)
	made.options.Granter = askingOwner{owner, made.options.Self}
	return made
}

// large is a claim on a budget that owners have parts of.
var large = Claim{Program: "p", Budget: 4800, Tokens: 600}

func TestProgramBeginsWhileTheTableIsAway(t *testing.T) {
	for _, away := range []storetest.Fault{storetest.Refused, storetest.Silent, storetest.Broken} {
		synctest.Test(t, func(t *testing.T) {
			table := storetest.New()
			nodes, owner := newCluster(table), newOwner()
			table.SetFault(func(string, bool) storetest.Fault { return away })
			ctx, cancel := context.WithTimeout(t.Context(), 900*time.Millisecond)
			defer cancel()
			a := ownedBook(nodes, "a", owner)
			reservation, err := a.Reserve(ctx, large)
			require.NoError(t, err)
			require.True(t, reservation.Granted)
			begun := time.Now()
			claim := large
			claim.Program = "q"
			_, err = a.Reserve(ctx, claim)
			require.NoError(t, err)
			require.Less(t, time.Since(begun), 50*time.Millisecond, "the table is known to be away")
			time.Sleep(time.Minute)
		})
	}
}

// TestKeptTurnIsNotGranted: it could not end without the table.
func TestKeptTurnIsNotGranted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := storetest.New()
		nodes, owner := newCluster(table), newOwner()
		table.SetFault(func(string, bool) storetest.Fault { return storetest.Refused })
		ctx, cancel := context.WithTimeout(t.Context(), 900*time.Millisecond)
		defer cancel()
		claim := large
		claim.Kept = true
		_, err := ownedBook(nodes, "a", owner).Reserve(ctx, claim)
		require.True(t, fault.Is(err, fault.Unavailable), err)
		require.Zero(t, owner.asks)
		time.Sleep(time.Minute)
	})
}

// spend runs turns that use all their tokens until one is refused.
func spend(t *testing.T, b *Book, claim Claim) (used int, refusal error) {
	for {
		reservation, err := b.Reserve(t.Context(), claim)
		if err != nil {
			return used, err
		}
		used += claim.Tokens
		reservation.Settle(claim.Tokens, "")
	}
}

// TestOwnersPartIsTheLastOfABudget: on calm days it is there once the rows are used up, and the
// parts of further owners are not.
func TestOwnersPartIsTheLastOfABudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		used, err := spend(t, ownedBook(newCluster(storetest.New()), "a", newOwner()), large)
		require.True(t, fault.Is(err, fault.BudgetExhausted), err)
		part := ownedPart(large.Budget)
		require.Greater(t, used, large.Budget-OwnedParts*part+part-large.Tokens)
		require.Less(t, used, large.Budget-OwnedParts*part+part+large.Tokens)
		time.Sleep(time.Minute)
	})
}

// TestSilentOwnerIsNoWordOnTheBudget: its part may be there a moment later.
func TestSilentOwnerIsNoWordOnTheBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		owner := newOwner()
		owner.silent = true
		a := ownedBook(newCluster(storetest.New()), "a", owner)
		_, err := spend(t, a, large)
		require.True(t, fault.Is(err, fault.Unavailable), err)
		owner.silent = false
		_, err = a.Reserve(t.Context(), large)
		require.NoError(t, err)
		time.Sleep(time.Minute)
	})
}

// TestLostGrantIsAskedForAgain: by the same number, so that it brings the same tokens.
func TestLostGrantIsAskedForAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		owner := newOwner()
		owner.lost = true
		a := ownedBook(newCluster(storetest.New()), "a", owner)
		_, err := spend(t, a, large)
		require.True(t, fault.Is(err, fault.Unavailable), err)
		owner.lost = false
		used, _ := spend(t, a, large)
		require.Equal(t, ownedPart(large.Budget)/large.Tokens*large.Tokens, used, "one part, and once")
		time.Sleep(time.Minute)
	})
}

// TestGrantIsHandedOver: whoever is refused hears who got the part, and asks there.
func TestGrantIsHandedOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := storetest.New()
		nodes, owner := newCluster(table), newOwner()
		a, b := ownedBook(nodes, "a", owner), ownedBook(nodes, "b", owner)
		table.SetFault(func(string, bool) storetest.Fault { return storetest.Refused })
		reservation, err := a.Reserve(t.Context(), large)
		require.NoError(t, err)
		reservation.Settle(100, "")
		moved, err := b.Reserve(t.Context(), large)
		require.NoError(t, err)
		require.True(t, moved.Handed)
		time.Sleep(time.Minute)
	})
}

// TestLateGrantIsNotLost: the turn that wanted it has given up, and the next one comes through
// another node.
func TestLateGrantIsNotLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := storetest.New()
		nodes, owner := newCluster(table), newOwner()
		a, b := ownedBook(nodes, "a", owner), ownedBook(nodes, "b", owner)
		table.SetFault(func(string, bool) storetest.Fault { return storetest.Refused })
		owner.slow = 300 * time.Millisecond
		ctx, cancel := context.WithTimeout(t.Context(), 250*time.Millisecond)
		defer cancel()
		_, err := a.Reserve(ctx, large)
		require.True(t, fault.Is(err, fault.Unavailable), err)
		time.Sleep(time.Second)
		synctest.Wait()
		owner.slow = 0
		moved, err := b.Reserve(t.Context(), large)
		require.NoError(t, err)
		require.True(t, moved.Handed)
		time.Sleep(time.Minute)
	})
}

// TestSmallBudgetsAreWhole: their rows hold all of them, and no owner is asked.
func TestSmallBudgetsAreWhole(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		owner := newOwner()
		claim := Claim{Program: "p", Budget: ownedFrom - 1, Tokens: 200}
		used, err := spend(t, ownedBook(newCluster(storetest.New()), "a", owner), claim)
		require.True(t, fault.Is(err, fault.BudgetExhausted), err)
		require.GreaterOrEqual(t, used, claim.Budget-claim.Tokens)
		require.Zero(t, owner.asks)
		time.Sleep(time.Minute)
	})
}

// TestFirstTurnTakesOneCall: also of a budget that holds few.
func TestFirstTurnTakesOneCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := storetest.New()
		_, err := ownedBook(newCluster(table), "a", newOwner()).Reserve(t.Context(), Claim{Program: "p", Budget: 1296, Tokens: 288})
		require.NoError(t, err)
		commits, reads := table.Calls()
		require.Equal(t, 1, commits+reads)
		time.Sleep(time.Minute)
	})
}

// TestPartsAndRowsAreTheBudget: whatever its size.
func TestPartsAndRowsAreTheBudget(t *testing.T) {
	opened := newAccount("p", Holder{})
	opened.owned = true
	for budget := range 3 * ownedFrom {
		total := OwnedParts * ownedPart(budget)
		for index := range shares {
			total += opened.limit(budget, index)
		}
		require.Equal(t, budget, total)
	}
}
