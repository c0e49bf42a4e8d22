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

// TestProgramOutlivesTheNodeOfItsTurn: a node dies with a turn's tokens and those
// drawn ahead. The budget holds less than a second turn then, which runs all the
// same, once: no more than the budget and the most of one turn is ever drawn.
func TestProgramOutlivesTheNodeOfItsTurn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nodes := newCluster(storetest.New())
		claim := Claim{Program: "p", Budget: 900, Tokens: 589}
		for _, process := range []string{"a", "b"} {
			_, err := nodes.book(process).Reserve(t.Context(), claim)
			require.NoError(t, err, "at node %s", process)
			nodes.kill(process)
		}
		c := nodes.book("c")
		_, err := c.Reserve(t.Context(), claim)
		require.True(t, fault.Is(err, fault.Unavailable), "the others may still come back: %v", err)
		time.Sleep(forgetSilence)
		_, err = c.Reserve(t.Context(), claim)
		require.True(t, fault.Is(err, fault.BudgetExhausted), "1,178 tokens may have been used, 1,488 are the most: %v", err)
		time.Sleep(time.Minute)
	})
}

// TestNothingIsDrawnOfASpentBudget: only a budget that is not all drawn lets a turn
// reach past it, and what is given back is not drawn a second time past it.
func TestNothingIsDrawnOfASpentBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := storetest.New()
		for _, tokens := range []int{300, 599, 600} {
			claim := Claim{Program: "p", Budget: 600, Tokens: tokens}
			first := book(table, "a")
			reservation, err := first.Reserve(t.Context(), claim)
			require.NoError(t, err)
			reservation.Settle(0, "")
			first.GiveBack(t.Context())
		}
		_, err := book(table, "b").Reserve(t.Context(), Claim{Program: "p", Budget: 600, Tokens: 600})
		require.NoError(t, err)
		_, err = book(table, "c").Reserve(t.Context(), Claim{Program: "p", Budget: 600, Tokens: 1})
		require.True(t, fault.Is(err, fault.BudgetExhausted), err)
	})
}

// TestSilentNodeMayHoldTokens: as long as a node that drew tokens may still come
// back with them, the program is asked to come back, too.
func TestSilentNodeMayHoldTokens(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nodes := newCluster(storetest.New())
		claim := Claim{Program: "p", Budget: 589, Tokens: 589}
		reservation, err := nodes.book("a").Reserve(t.Context(), claim)
		require.NoError(t, err)
		reservation.Settle(0, "")
		nodes.fate = func() (asked, answered bool) { return false, false }
		b := nodes.book("b")
		for range 3 {
			_, err = b.Reserve(t.Context(), claim)
			require.True(t, fault.Is(err, fault.Unavailable), err)
			require.Equal(t, fault.RanNo, fault.From(err).Ran)
			time.Sleep(silentFor / 2)
		}
		nodes.setFate(nil)
		time.Sleep(silentFor)
		_, err = b.Reserve(t.Context(), claim)
		require.NoError(t, err, "the node has come back")
	})
}

// TestDeadNodeIsNoReasonToWait: one whose port is closed holds nothing any more.
func TestDeadNodeIsNoReasonToWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nodes := newCluster(storetest.New())
		claim := Claim{Program: "p", Budget: 589, Tokens: 589}
		_, err := nodes.book("a").Reserve(t.Context(), claim)
		require.NoError(t, err)
		nodes.closePort("a")
		_, err = nodes.book("b").Reserve(t.Context(), claim)
		require.True(t, fault.Is(err, fault.BudgetExhausted), err)
	})
}

// TestEachShareMayBeDown: a turn finds its tokens in the others.
func TestEachShareMayBeDown(t *testing.T) {
	for down := range shares {
		for _, trouble := range []storetest.Fault{storetest.Refused, storetest.Silent, storetest.Broken} {
			synctest.Test(t, func(t *testing.T) {
				table := storetest.New()
				silent := keyOf("p", down).Part
				table.SetFault(func(part string, _ bool) storetest.Fault {
					if part == silent {
						return trouble
					}
					return storetest.None
				})
				begun := time.Now()
				ctx, cancel := context.WithTimeout(t.Context(), 900*time.Millisecond)
				defer cancel()
				_, err := book(table, "a").Reserve(ctx, Claim{Program: "p", Budget: 6000, Tokens: 500})
				require.NoError(t, err)
				require.Less(t, time.Since(begun), 200*time.Millisecond)
			})
		}
	}
}
