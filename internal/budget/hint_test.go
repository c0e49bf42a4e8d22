package budget

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cloverwheel/cloverwheel/internal/fault"
	"github.com/cloverwheel/cloverwheel/internal/store"
	"github.com/cloverwheel/cloverwheel/internal/store/storetest"
)

// TestHintedRowsAreNotReadFromTheStore guards against needless reads: the rows in a
// HandOverAnswer are enough to draw the missing tokens.
func TestHintedRowsAreNotReadFromTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := storetest.New()
		nodeAccounts, _ := newLocatedAccounts(table, 3)
		claim := Claim{Program: "p", Budget: 60_000, Tokens: 500}
		reservation, err := nodeAccounts[0].Reserve(t.Context(), claim)
		require.NoError(t, err)
		reservation.Settle(500, "w1")
		claim.Continues = true
		for index, tokens := range []int{3500, 15_000} { // more than the earlier nodes hold
			accounts := nodeAccounts[1+index]
			claim.Tokens = tokens
			reservation, err = accounts.Reserve(t.Context(), claim)
			require.NoError(t, err)
			require.True(t, reservation.HandedOver)
			reservation.Settle(claim.Tokens, "w1")
		}
		commits, reads := table.Calls()
		require.Equal(t, 3, commits, "each node has drawn once")
		require.Zero(t, reads)
	})
}

// TestStaleHintIsCorrectedByTheCommit guards against drawing by an outdated row, and
// against more than one extra call: the refused commit returns the current row.
func TestStaleHintIsCorrectedByTheCommit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := storetest.New()
		claim := Claim{Program: "p", Budget: 60_000, Tokens: 500}
		first := newTestAccounts(table, "a")
		_, err := first.Reserve(t.Context(), claim)
		require.NoError(t, err)
		stale := first.accountOf("p").publishedRows
		claim.Tokens = 5000
		_, err = first.Reserve(t.Context(), claim)
		require.NoError(t, err)
		before, _ := table.Calls()

		second := newTestAccounts(table, "b")
		second.accountOf("p").addHints(stale)
		claim.Continues = true
		_, err = second.Reserve(t.Context(), claim)
		require.NoError(t, err)
		commits, reads := table.Calls()
		require.Equal(t, before+2, commits)
		require.Zero(t, reads)
		drawn := totalDrawn(t, table, "p")
		require.Equal(t, drawn, 500+5000+5000+first.accountOf("p").free+second.accountOf("p").free, "each token is drawn once")
	})
}

// exhaustedRows returns exhausted rows of a later version than the store has.
func exhaustedRows() (rows []KnownRow) {
	for index := range shareCount {
		rows = append(rows, KnownRow{Share: index, Version: 1 << 40, Row: row{Drawn: 1 << 30}})
	}
	return rows
}

// TestHintDoesNotProveTheBudgetExhausted guards against refusing a turn without the
// store's confirmation.
func TestHintDoesNotProveTheBudgetExhausted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := storetest.New()
		claim := Claim{Program: "p", Budget: 9000, Tokens: 500, Continues: true}
		hinted := newTestAccounts(table, "a")
		hinted.accountOf("p").addHints(exhaustedRows())
		_, err := hinted.Reserve(t.Context(), claim)
		require.NoError(t, err)

		table.SetFault(func(string, bool) storetest.Fault { return storetest.RequestLost })
		hinted = newTestAccounts(table, "b")
		hinted.accountOf("p").addHints(exhaustedRows())
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err = hinted.Reserve(ctx, claim)
		require.True(t, fault.Is(err, fault.Unavailable), err)
	})
}

// TestHintDoesNotResolveTransactionsInDoubt guards against a hint replacing a row that is
// needed to resolve transactions in doubt, or a newer row.
func TestHintDoesNotResolveTransactionsInDoubt(t *testing.T) {
	inDoubt := &share{inDoubt: []change{{sequence: 1, tokens: 5}}}
	inDoubt.applyHint(KnownRow{Version: 9, Row: row{Drawn: 7}})
	require.False(t, inDoubt.hasRow())

	known := &share{confirmed: true, version: 9, row: row{Drawn: 7}}
	known.applyHint(KnownRow{Version: 8, Row: row{Drawn: 3}})
	require.Equal(t, 7, known.row.Drawn, "an older row is ignored")
	known.applyHint(KnownRow{Version: 10, Row: row{Drawn: 8}})
	require.Equal(t, 8, known.row.Drawn)
	require.EqualValues(t, 10, known.version)
}

// TestOnlyNewerRowsAreSent guards against sending rows that the requester has, and
// against leaving out those that it does not.
func TestOnlyNewerRowsAreSent(t *testing.T) {
	rows := []KnownRow{{Share: 0, Version: 5}, {Share: 1, Version: 7}, {Share: 2}}
	require.Equal(t, rows, newerRows(rows, nil), "a build that does not send its versions")
	require.Equal(t, []KnownRow{rows[1], rows[2]}, newerRows(rows, []store.Version{5, 6, 0}), "the absence of a row is sent, too")
}

// TestSharesKnownToHaveTokensComeFirst guards against store calls for shares that are
// known to be exhausted.
func TestSharesKnownToHaveTokensComeFirst(t *testing.T) {
	const budget = 900
	unknown := func() *account { return newAccount("p", Holder{Process: "a"}) }
	require.Equal(t, drawOrder[:], unknown().shareOrder(budget, 10))

	a := unknown()
	a.addHints([]KnownRow{{Share: 2, Version: 3, Row: row{Drawn: 10}}})
	require.Equal(t, []int{2, 1, overdraftShare}, a.shareOrder(budget, 10))

	a = unknown()
	a.addHints([]KnownRow{{Share: 1, Version: 3, Row: row{Drawn: 300}}, {Share: overdraftShare, Version: 4, Row: row{Drawn: 200}}})
	require.Equal(t, []int{2, overdraftShare, 1}, a.shareOrder(budget, 99), "the exhausted share comes last, as it is read only to confirm that the budget is exhausted")
	require.Equal(t, []int{2, 1, overdraftShare}, a.shareOrder(budget, 100), "the overdraft share is not overdrawn while others may have tokens")
}

// TestHoldersAreReportedBeforeTheStoreIsCalled guards against delaying other requests to
// the holders until the store answers.
func TestHoldersAreReportedBeforeTheStoreIsCalled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := storetest.New()
		nodeAccounts, _ := newLocatedAccounts(table, 2)
		claim := Claim{Program: "p", Budget: 60_000, Tokens: 500}
		_, err := nodeAccounts[0].Reserve(t.Context(), claim)
		require.NoError(t, err)
		table.SetFault(func(string, bool) storetest.Fault { return storetest.RequestLost })
		var reported []Holder
		claim.Tokens, claim.Continues = 10_000, true
		claim.OnHolders = func(others []Holder) { reported = others }
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err = nodeAccounts[1].Reserve(ctx, claim)
		require.Error(t, err)
		require.Equal(t, []Holder{{Process: "n0", Address: "n0"}}, reported)
	})
}
