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
