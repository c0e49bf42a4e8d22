package budget

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cloverwheel/cloverwheel/internal/store/storetest"
	"github.com/cloverwheel/cloverwheel/internal/timing"
)

// delayedPeers delays each request.
type delayedPeers struct {
	Peers
	delay time.Duration
}

// HandOver implements Peers.
func (d delayedPeers) HandOver(ctx context.Context, address string, request HandOverRequest) (HandOverAnswer, error) {
	if err := timing.Sleep(ctx, d.delay); err != nil {
		return HandOverAnswer{}, err
	}
	return d.Peers.HandOver(ctx, address, request)
}

// newDelayedAccounts returns accounts whose peers answer after delay and whose request timeout is
// adapted to that.
func (c *cluster) newDelayedAccounts(process string, delay time.Duration) *Accounts {
	return NewAccounts(Options{
		Store: c.table, Self: Holder{Process: process, Address: process}, Peers: delayedPeers{c, delay},
		ResponseTimes: func(_ string, least, most time.Duration) time.Duration { return min(max(delay+delay/4, least), most) },
	})
}

// TestTokensAreHandedOverAtAnyUsualLatency guards against request timeouts shorter than
// the latency between regions.
func TestTokensAreHandedOverAtAnyUsualLatency(t *testing.T) {
	for _, delay := range []time.Duration{time.Millisecond, 30 * time.Millisecond, 100 * time.Millisecond} {
		t.Run(fmt.Sprint(delay), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				nodes := newCluster(storetest.New())
				claim := Claim{Program: "p", Budget: 60_000, Tokens: 500}
				reservation, err := nodes.newAccounts("a").Reserve(t.Context(), claim)
				require.NoError(t, err)
				reservation.Settle(0, "")
				claim.Continues = true
				reservation, err = nodes.newDelayedAccounts("b", delay).Reserve(t.Context(), claim)
				require.NoError(t, err)
				require.True(t, reservation.HandedOver)
			})
		})
	}
}

// TestCancelledTurnDoesNotMarkPeerUnresponsive guards against a cancelled turn keeping
// later turns from asking the same process.
func TestCancelledTurnDoesNotMarkPeerUnresponsive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nodes := newCluster(storetest.New())
		claim := Claim{Program: "p", Budget: 60_000, Tokens: 500}
		reservation, err := nodes.newAccounts("a").Reserve(t.Context(), claim)
		require.NoError(t, err)
		reservation.Settle(0, "")
		two := nodes.newDelayedAccounts("b", 100*time.Millisecond)
		claim.Continues = true
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		defer cancel()
		_, err = two.Reserve(ctx, claim)
		require.Error(t, err)
		reservation, err = two.Reserve(t.Context(), claim)
		require.NoError(t, err)
		require.True(t, reservation.HandedOver)
	})
}
