package budget

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cloverwheel/cloverwheel/internal/store/storetest"
	"github.com/cloverwheel/cloverwheel/internal/wait"
)

// distantPeers are peers whose answers take a while.
type distantPeers struct {
	Peers
	takes time.Duration
}

// HandOver implements Peers.
func (d distantPeers) HandOver(ctx context.Context, address string, request HandOverRequest) (HandOverAnswer, error) {
	if err := wait.For(ctx, d.takes); err != nil {
		return HandOverAnswer{}, err
	}
	return d.Peers.HandOver(ctx, address, request)
}

// distantBook is a book whose peers are that far, and seen to be so.
func (c *cluster) distantBook(process string, takes time.Duration) *Book {
	return NewBook(Options{
		Store: c.table, Self: Holder{Process: process, Address: process}, Peers: distantPeers{c, takes},
		Patience: func(_ string, least, most time.Duration) time.Duration { return min(max(takes+takes/4, least), most) },
	})
}

// TestTokensComeFromNodesAtAnyDistance that is usual.
func TestTokensComeFromNodesAtAnyDistance(t *testing.T) {
	for _, takes := range []time.Duration{time.Millisecond, 30 * time.Millisecond, 100 * time.Millisecond} {
		t.Run(fmt.Sprint(takes), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				nodes := newCluster(storetest.New())
				claim := Claim{Program: "p", Budget: 60_000, Tokens: 500}
				reservation, err := nodes.book("a").Reserve(t.Context(), claim)
				require.NoError(t, err)
				reservation.Settle(0, "")
				claim.Continues = true
				reservation, err = nodes.distantBook("b", takes).Reserve(t.Context(), claim)
				require.NoError(t, err)
				require.True(t, reservation.Handed)
			})
		})
	}
}

// TestTurnThatEndsEarlySaysNothingOfTheNodeItAsked: that one is asked again at once.
func TestTurnThatEndsEarlySaysNothingOfTheNodeItAsked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nodes := newCluster(storetest.New())
		claim := Claim{Program: "p", Budget: 60_000, Tokens: 500}
		reservation, err := nodes.book("a").Reserve(t.Context(), claim)
		require.NoError(t, err)
		reservation.Settle(0, "")
		two := nodes.distantBook("b", 100*time.Millisecond)
		claim.Continues = true
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		defer cancel()
		_, err = two.Reserve(ctx, claim)
		require.Error(t, err)
		reservation, err = two.Reserve(t.Context(), claim)
		require.NoError(t, err)
		require.True(t, reservation.Handed)
	})
}
