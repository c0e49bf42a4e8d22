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

// locating is a locator that knows which processes asked for a program before.
type locating struct {
	asked   map[string][]Holder
	self    Holder
	asks    *int
	spent   map[string]int
	spentAt map[string]time.Time
}

// Locate implements Locator.
func (l locating) Locate(_ context.Context, program string) (located Located) {
	*l.asks++
	for _, holder := range l.asked[program] {
		if holder != l.self {
			located.Holders = append([]Holder{holder}, located.Holders...)
		}
	}
	l.asked[program] = append(l.asked[program], l.self)
	located.Spent, located.SpentAgo = l.spent[program], time.Since(l.spentAt[program])
	return located
}

// NoteSpent implements Locator.
func (l locating) NoteSpent(program string, tokens int) {
	l.spent[program], l.spentAt[program] = tokens, time.Now()
}

// NoteReturned implements Locator.
func (l locating) NoteReturned(_ context.Context, program string) { delete(l.spent, program) }

// locatingBooks are books that share a directory and do not know of each other.
func locatingBooks(table *storetest.Table, count int) (books []*Book, asks *int) {
	nodes := newCluster(table)
	asks = new(int)
	shared := locating{asked: map[string][]Holder{}, asks: asks, spent: map[string]int{}, spentAt: map[string]time.Time{}}
	for index := range count {
		made := nodes.book(fmt.Sprint("n", index))
		shared.self = made.options.Self
		made.options.Locator = shared
		books = append(books, made)
	}
	return books, asks
}

func TestProgramMovesToANewNodeWithoutTheTable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := storetest.New()
		books, _ := locatingBooks(table, 4)
		claim := Claim{Program: "p", Budget: 12000, Tokens: 500}
		reservation, err := books[0].Reserve(t.Context(), claim)
		require.NoError(t, err)
		reservation.Settle(100, "w1")
		table.SetFault(func(string, bool) storetest.Fault { return storetest.Refused })
		for _, book := range books[1:] {
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			reservation, err = book.Reserve(ctx, claim)
			cancel()
			require.NoError(t, err, "no node has met another before")
			require.True(t, reservation.Handed)
			require.True(t, reservation.Located)
			require.Equal(t, "w1", reservation.Home)
			reservation.Settle(100, "w1")
		}
	})
}

func TestMoveOfAProgramCallsTheTableOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := storetest.New()
		books, asks := locatingBooks(table, 4)
		for _, book := range books {
			reservation, err := book.Reserve(t.Context(), Claim{Program: "p", Budget: 12000, Tokens: 500})
			require.NoError(t, err)
			reservation.Settle(100, "w1")
		}
		commits, reads := table.Calls()
		require.Equal(t, 1, commits, "the first node's")
		require.Zero(t, reads)
		require.Equal(t, 4, *asks)
	})
}

func TestLocatorIsNotAskedByANodeThatHasRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		books, asks := locatingBooks(storetest.New(), 1)
		for range 8 {
			reservation, err := books[0].Reserve(t.Context(), Claim{Program: "p", Budget: 12000, Tokens: 500})
			require.NoError(t, err)
			reservation.Settle(500, "w1")
		}
		require.Equal(t, 1, *asks)
	})
}

func TestSpentBudgetIsReadByOneNode(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := storetest.New()
		books, _ := locatingBooks(table, 6)
		claim := Claim{Program: "p", Budget: 600, Tokens: 600}
		reservation, err := books[0].Reserve(t.Context(), claim)
		require.NoError(t, err)
		reservation.Settle(600, "w1")
		_, err = books[1].Reserve(t.Context(), claim)
		require.True(t, fault.Is(err, fault.BudgetExhausted))
		commits, reads := table.Calls()
		for _, book := range books[2:] {
			_, err = book.Reserve(t.Context(), claim)
			require.True(t, fault.Is(err, fault.BudgetExhausted))
			require.Equal(t, fault.RanNo, fault.From(err).Ran)
		}
		commitsAfter, readsAfter := table.Calls()
		require.Equal(t, []int{commits, reads}, []int{commitsAfter, readsAfter}, "the others repeat the table's word of a moment ago")
		time.Sleep(othersSpentFor)
		_, err = books[5].Reserve(t.Context(), claim)
		require.True(t, fault.Is(err, fault.BudgetExhausted))
		commitsLater, readsLater := table.Calls()
		require.Greater(t, commitsLater+readsLater, commitsAfter+readsAfter, "an older word is not repeated")
	})
}

func TestSmallerTurnThanTheRefusedOneIsTried(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		books, _ := locatingBooks(storetest.New(), 2)
		books[0].options.Locator.NoteSpent("p", 600)
		reservation, err := books[1].Reserve(t.Context(), Claim{Program: "p", Budget: 900, Tokens: 300})
		require.NoError(t, err)
		reservation.Settle(300, "w1")
	})
}

func TestReturnedTokensWithdrawTheRefusal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		books, _ := locatingBooks(storetest.New(), 3)
		claim := Claim{Program: "p", Budget: 600, Tokens: 600}
		reservation, err := books[0].Reserve(t.Context(), claim)
		require.NoError(t, err)
		_, err = books[1].Reserve(t.Context(), claim)
		require.True(t, fault.Is(err, fault.BudgetExhausted), "all is reserved")
		reservation.Settle(0, "")
		require.Equal(t, 600, books[0].GiveBack(t.Context()))
		reservation, err = books[2].Reserve(t.Context(), claim)
		require.NoError(t, err, "the refusal of a moment ago no longer holds")
		reservation.Settle(600, "w1")
	})
}
