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

// TestRowsThatAnotherNodeKnowsAreNotRead: what it tells beside its tokens is enough to draw the rest.
func TestRowsThatAnotherNodeKnowsAreNotRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := storetest.New()
		books, _ := locatingBooks(table, 3)
		claim := Claim{Program: "p", Budget: 60_000, Tokens: 500}
		reservation, err := books[0].Reserve(t.Context(), claim)
		require.NoError(t, err)
		reservation.Settle(500, "w1")
		claim.Continues = true
		for index, tokens := range []int{3500, 15_000} { // more than the nodes before hold
			book := books[1+index]
			claim.Tokens = tokens
			reservation, err = book.Reserve(t.Context(), claim)
			require.NoError(t, err)
			require.True(t, reservation.Handed)
			reservation.Settle(claim.Tokens, "w1")
		}
		commits, reads := table.Calls()
		require.Equal(t, 3, commits, "each has drawn")
		require.Zero(t, reads)
	})
}

// TestOldHintCostsACall: the draw is refused, and learns the row as it is.
func TestOldHintCostsACall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := storetest.New()
		claim := Claim{Program: "p", Budget: 60_000, Tokens: 500}
		first := book(table, "a")
		_, err := first.Reserve(t.Context(), claim)
		require.NoError(t, err)
		old := first.account("p").rows
		claim.Tokens = 5000
		_, err = first.Reserve(t.Context(), claim)
		require.NoError(t, err)
		before, _ := table.Calls()

		second := book(table, "b")
		second.account("p").noteTold(old)
		claim.Continues = true
		_, err = second.Reserve(t.Context(), claim)
		require.NoError(t, err)
		commits, reads := table.Calls()
		require.Equal(t, before+2, commits)
		require.Zero(t, reads)
		drawn := drawnOf(t, table, "p")
		require.Equal(t, drawn, 500+5000+5000+first.account("p").free+second.account("p").free, "each token is drawn once")
	})
}

// usedUp are rows of a later version than the table has, of which nothing is left.
func usedUp() (rows []KnownRow) {
	for index := range shares {
		rows = append(rows, KnownRow{Share: index, Version: 1 << 40, Row: row{Drawn: 1 << 30}})
	}
	return rows
}

// TestHintIsNoWordThatABudgetIsSpent: only the table's own is.
func TestHintIsNoWordThatABudgetIsSpent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := storetest.New()
		claim := Claim{Program: "p", Budget: 9000, Tokens: 500, Continues: true}
		misled := book(table, "a")
		misled.account("p").noteTold(usedUp())
		_, err := misled.Reserve(t.Context(), claim)
		require.NoError(t, err)

		table.SetFault(func(string, bool) storetest.Fault { return storetest.Silent })
		misled = book(table, "b")
		misled.account("p").noteTold(usedUp())
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err = misled.Reserve(ctx, claim)
		require.True(t, fault.Is(err, fault.Unavailable), err)
	})
}

// TestHintSaysNothingOfTransactionsInDoubt, which are told by the table's row.
func TestHintSaysNothingOfTransactionsInDoubt(t *testing.T) {
	doubtful := &share{unsure: []change{{sequence: 1, tokens: 5}}}
	doubtful.hint(KnownRow{Version: 9, Row: row{Drawn: 7}})
	require.False(t, doubtful.informed())

	known := &share{seen: true, version: 9, known: row{Drawn: 7}}
	known.hint(KnownRow{Version: 8, Row: row{Drawn: 3}})
	require.Equal(t, 7, known.known.Drawn, "an older row")
	known.hint(KnownRow{Version: 10, Row: row{Drawn: 8}})
	require.Equal(t, 8, known.known.Drawn)
	require.EqualValues(t, 10, known.version)
}

func TestNewerRowsAreTold(t *testing.T) {
	rows := []KnownRow{{Share: 0, Version: 5}, {Share: 1, Version: 7}, {Share: 2}}
	require.Equal(t, rows, newer(rows, nil), "a build that does not say what it knows")
	require.Equal(t, []KnownRow{rows[1], rows[2]}, newer(rows, []store.Version{5, 6, 0}), "that there is no row, too")
}

func TestSharesThatAreKnownToHaveTokensComeFirst(t *testing.T) {
	const budget = 900
	unknown := func() *account { return newAccount("p", Holder{Process: "a"}) }
	require.Equal(t, drawOrder[:], unknown().order(budget, 10))

	a := unknown()
	a.noteTold([]KnownRow{{Share: 2, Version: 3, Row: row{Drawn: 10}}})
	require.Equal(t, []int{2, 1, elasticShare}, a.order(budget, 10))

	a = unknown()
	a.noteTold([]KnownRow{{Share: 1, Version: 3, Row: row{Drawn: 300}}, {Share: elasticShare, Version: 4, Row: row{Drawn: 200}}})
	require.Equal(t, []int{2, elasticShare, 1}, a.order(budget, 99), "the used up one is read only before the budget is taken to be spent")
	require.Equal(t, []int{2, 1, elasticShare}, a.order(budget, 100), "the elastic share is not reached past while others may have tokens")
}

// TestNodesAreNamedBeforeTheTableIsAsked: what else they know need not wait for it.
func TestNodesAreNamedBeforeTheTableIsAsked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := storetest.New()
		books, _ := locatingBooks(table, 2)
		claim := Claim{Program: "p", Budget: 60_000, Tokens: 500}
		_, err := books[0].Reserve(t.Context(), claim)
		require.NoError(t, err)
		table.SetFault(func(string, bool) storetest.Fault { return storetest.Silent })
		var named []Holder
		claim.Tokens, claim.Continues = 10_000, true
		claim.Named = func(others []Holder) { named = others }
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err = books[1].Reserve(ctx, claim)
		require.Error(t, err)
		require.Equal(t, []Holder{{Process: "n0", Address: "n0"}}, named)
	})
}
