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

// TestProgramContinuesAfterNodeLossByOverdraft guards against a program that cannot
// continue after a node crashed with the tokens of its turn. One turn may overdraw the
// budget, and only one.
func TestProgramContinuesAfterNodeLossByOverdraft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nodes := newCluster(storetest.New())
		claim := Claim{Program: "p", Budget: 900, Tokens: 589}
		for _, process := range []string{"a", "b"} {
			_, err := nodes.newAccounts(process).Reserve(t.Context(), claim)
			require.NoError(t, err, "at node %s", process)
			nodes.makeUnreachable(process)
		}
		c := nodes.newAccounts("c")
		_, err := c.Reserve(t.Context(), claim)
		require.True(t, fault.Is(err, fault.Unavailable), "the other nodes may still recover: %v", err)
		time.Sleep(unresponsiveGrace)
		_, err = c.Reserve(t.Context(), claim)
		require.True(t, fault.Is(err, fault.BudgetExhausted), "1,178 tokens may have been used; the total must stay below 1,489: %v", err)
		time.Sleep(time.Minute)
	})
}

// TestExhaustedBudgetAllowsNoOverdraft guards against overdrawing a budget that is fully
// drawn, and against a second overdraft after tokens were returned.
func TestExhaustedBudgetAllowsNoOverdraft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := storetest.New()
		for _, tokens := range []int{300, 599, 600} {
			claim := Claim{Program: "p", Budget: 600, Tokens: tokens}
			first := newTestAccounts(table, "a")
			reservation, err := first.Reserve(t.Context(), claim)
			require.NoError(t, err)
			reservation.Settle(0, "")
			first.GiveBack(t.Context())
		}
		_, err := newTestAccounts(table, "b").Reserve(t.Context(), Claim{Program: "p", Budget: 600, Tokens: 600})
		require.NoError(t, err)
		_, err = newTestAccounts(table, "c").Reserve(t.Context(), Claim{Program: "p", Budget: 600, Tokens: 1})
		require.True(t, fault.Is(err, fault.BudgetExhausted), err)
	})
}

// TestUnresponsiveHolderDefersExhaustion guards against reporting the budget as exhausted
// while an unresponsive process may still hand tokens over.
func TestUnresponsiveHolderDefersExhaustion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nodes := newCluster(storetest.New())
		claim := Claim{Program: "p", Budget: 589, Tokens: 589}
		reservation, err := nodes.newAccounts("a").Reserve(t.Context(), claim)
		require.NoError(t, err)
		reservation.Settle(0, "")
		nodes.delivery = func() (asked, answered bool) { return false, false }
		b := nodes.newAccounts("b")
		for range 3 {
			_, err = b.Reserve(t.Context(), claim)
			require.True(t, fault.Is(err, fault.Unavailable), err)
			require.Equal(t, fault.RanNo, fault.From(err).Ran)
			time.Sleep(unresponsiveBackoff / 2)
		}
		nodes.setDelivery(nil)
		time.Sleep(unresponsiveBackoff)
		_, err = b.Reserve(t.Context(), claim)
		require.NoError(t, err, "the holder has recovered")
	})
}

// TestExitedHolderDoesNotDeferExhaustion guards against waiting for a process that has
// exited: its tokens are lost.
func TestExitedHolderDoesNotDeferExhaustion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nodes := newCluster(storetest.New())
		claim := Claim{Program: "p", Budget: 589, Tokens: 589}
		_, err := nodes.newAccounts("a").Reserve(t.Context(), claim)
		require.NoError(t, err)
		nodes.closePort("a")
		_, err = nodes.newAccounts("b").Reserve(t.Context(), claim)
		require.True(t, fault.Is(err, fault.BudgetExhausted), err)
	})
}

// TestReserveSucceedsWhileAnyShareIsDown guards against a turn that depends on a
// particular share.
func TestReserveSucceedsWhileAnyShareIsDown(t *testing.T) {
	for down := range shareCount {
		for _, failure := range []storetest.Fault{storetest.Refused, storetest.RequestLost, storetest.ConnectionReset} {
			synctest.Test(t, func(t *testing.T) {
				table := storetest.New()
				failing := rowKey("p", down).Part
				table.SetFault(func(part string, _ bool) storetest.Fault {
					if part == failing {
						return failure
					}
					return storetest.None
				})
				start := time.Now()
				ctx, cancel := context.WithTimeout(t.Context(), 900*time.Millisecond)
				defer cancel()
				_, err := newTestAccounts(table, "a").Reserve(ctx, Claim{Program: "p", Budget: 6000, Tokens: 500})
				require.NoError(t, err)
				require.Less(t, time.Since(start), 200*time.Millisecond)
			})
		}
	}
}
