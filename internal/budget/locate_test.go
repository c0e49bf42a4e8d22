package budget

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cloverwheel/cloverwheel/internal/fault"
	"github.com/cloverwheel/cloverwheel/internal/store/storetest"
)

// fakeLocator records which processes asked for a program.
type fakeLocator struct {
	requesters map[string][]Holder
	self       Holder
	calls      *int
	refused    map[string]int
	refusedAt  map[string]time.Time
}

// Locate implements Locator.
func (l fakeLocator) Locate(_ context.Context, program string) (located Located) {
	*l.calls++
	for _, holder := range l.requesters[program] {
		if holder != l.self {
			located.Holders = append([]Holder{holder}, located.Holders...)
		}
	}
	l.requesters[program] = append(l.requesters[program], l.self)
	located.Spent, located.SpentAgo = l.refused[program], time.Since(l.refusedAt[program])
	return located
}

// RecordRefusal implements Locator.
func (l fakeLocator) RecordRefusal(program string, tokens int) {
	l.refused[program], l.refusedAt[program] = tokens, time.Now()
}

// RecordReturned implements Locator.
func (l fakeLocator) RecordReturned(_ context.Context, program string) { delete(l.refused, program) }

// newLocatedAccounts returns the accounts of nodes that share a locator and have not seen each other.
func newLocatedAccounts(table *storetest.Table, count int) (nodeAccounts []*Accounts, calls *int) {
	nodes := newCluster(table)
	calls = new(int)
	shared := fakeLocator{requesters: map[string][]Holder{}, calls: calls, refused: map[string]int{}, refusedAt: map[string]time.Time{}}
	for index := range count {
		accounts := nodes.newAccounts(fmt.Sprint("n", index))
		shared.self = accounts.options.Self
		accounts.options.Locator = shared
		nodeAccounts = append(nodeAccounts, accounts)
	}
	return nodeAccounts, calls
}

// TestProgramMovesToANewNodeDuringStoreOutage guards against a new node that needs the
// store to find the tokens of a running program.
func TestProgramMovesToANewNodeDuringStoreOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := storetest.New()
		nodeAccounts, _ := newLocatedAccounts(table, 4)
		claim := Claim{Program: "p", Budget: 12000, Tokens: 500}
		reservation, err := nodeAccounts[0].Reserve(t.Context(), claim)
		require.NoError(t, err)
		reservation.Settle(100, "w1")
		table.SetFault(func(string, bool) storetest.Fault { return storetest.Refused })
		for _, accounts := range nodeAccounts[1:] {
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			reservation, err = accounts.Reserve(ctx, claim)
			cancel()
			require.NoError(t, err, "no node has seen another before")
			require.True(t, reservation.HandedOver)
			require.True(t, reservation.LocatorUsed)
			require.Equal(t, "w1", reservation.LastWorker)
			reservation.Settle(100, "w1")
		}
	})
}

// TestMovingAProgramCallsTheStoreOnce guards against store calls by each node that a
// program moves to.
func TestMovingAProgramCallsTheStoreOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := storetest.New()
		nodeAccounts, calls := newLocatedAccounts(table, 4)
		for _, accounts := range nodeAccounts {
			reservation, err := accounts.Reserve(t.Context(), Claim{Program: "p", Budget: 12000, Tokens: 500})
			require.NoError(t, err)
			reservation.Settle(100, "w1")
		}
		commits, reads := table.Calls()
		require.Equal(t, 1, commits, "only the first node draws")
		require.Zero(t, reads)
		require.Equal(t, 4, *calls)
	})
}

// TestLocatorIsNotAskedOnceRowsWereRead guards against a call to the locator for every
// draw.
func TestLocatorIsNotAskedOnceRowsWereRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nodeAccounts, calls := newLocatedAccounts(storetest.New(), 1)
		for range 8 {
			reservation, err := nodeAccounts[0].Reserve(t.Context(), Claim{Program: "p", Budget: 12000, Tokens: 500})
			require.NoError(t, err)
			reservation.Settle(500, "w1")
		}
		require.Equal(t, 1, *calls)
	})
}

// TestReportedExhaustionIsNotReadAgain guards against each node calling the store for a
// budget that is known to be exhausted.
func TestReportedExhaustionIsNotReadAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := storetest.New()
		nodeAccounts, _ := newLocatedAccounts(table, 6)
		claim := Claim{Program: "p", Budget: 600, Tokens: 600}
		reservation, err := nodeAccounts[0].Reserve(t.Context(), claim)
		require.NoError(t, err)
		reservation.Settle(600, "w1")
		_, err = nodeAccounts[1].Reserve(t.Context(), claim)
		require.True(t, fault.Is(err, fault.BudgetExhausted))
		commits, reads := table.Calls()
		for _, accounts := range nodeAccounts[2:] {
			_, err = accounts.Reserve(t.Context(), claim)
			require.True(t, fault.Is(err, fault.BudgetExhausted))
			require.Equal(t, fault.RanNo, fault.From(err).Ran)
		}
		commitsAfter, readsAfter := table.Calls()
		require.Equal(t, []int{commits, reads}, []int{commitsAfter, readsAfter}, "the other nodes reuse the refusal")
		time.Sleep(peerExhaustedTTL)
		_, err = nodeAccounts[5].Reserve(t.Context(), claim)
		require.True(t, fault.Is(err, fault.BudgetExhausted))
		commitsLater, readsLater := table.Calls()
		require.Greater(t, commitsLater+readsLater, commitsAfter+readsAfter, "an older refusal is not reused")
	})
}

// TestTurnSmallerThanTheRefusedOneIsTried guards against refusing a turn that the
// remaining tokens may cover.
func TestTurnSmallerThanTheRefusedOneIsTried(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nodeAccounts, _ := newLocatedAccounts(storetest.New(), 2)
		nodeAccounts[0].options.Locator.RecordRefusal("p", 600)
		reservation, err := nodeAccounts[1].Reserve(t.Context(), Claim{Program: "p", Budget: 900, Tokens: 300})
		require.NoError(t, err)
		reservation.Settle(300, "w1")
	})
}

// TestReturnedTokensWithdrawTheRefusal guards against reusing a refusal after tokens
// were returned to the store.
func TestReturnedTokensWithdrawTheRefusal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nodeAccounts, _ := newLocatedAccounts(storetest.New(), 3)
		claim := Claim{Program: "p", Budget: 600, Tokens: 600}
		reservation, err := nodeAccounts[0].Reserve(t.Context(), claim)
		require.NoError(t, err)
		_, err = nodeAccounts[1].Reserve(t.Context(), claim)
		require.True(t, fault.Is(err, fault.BudgetExhausted), "all tokens are reserved")
		reservation.Settle(0, "")
		require.Equal(t, 600, nodeAccounts[0].GiveBack(t.Context()))
		reservation, err = nodeAccounts[2].Reserve(t.Context(), claim)
		require.NoError(t, err, "the refusal has been withdrawn")
		reservation.Settle(600, "w1")
	})
}
