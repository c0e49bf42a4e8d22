package budget

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cloverwheel/cloverwheel/internal/store"
	"github.com/cloverwheel/cloverwheel/internal/store/storetest"
)

// closingPart is a table of which one part loses the answer to a write that it does,
// and is taken to be down from then on.
type closingPart struct {
	store.Store
	part   string
	closed atomic.Bool
}

// Commit implements store.Store.
func (c *closingPart) Commit(ctx context.Context, transaction store.Transaction) (store.Version, error) {
	if transaction.Put[0].Key.Part != c.part {
		return c.Store.Commit(ctx, transaction)
	}
	if c.closed.Swap(true) {
		return 0, store.ErrPartClosed
	}
	_, _ = c.Store.Commit(ctx, transaction)
	<-ctx.Done()
	return 0, ctx.Err()
}

// TestReturnInDoubtIsNotRepeatedAtAnotherShare: what may have been given back to one
// share is not given back to the next.
func TestReturnInDoubtIsNotRepeatedAtAnotherShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := &closingPart{Store: storetest.New(), part: keyOf("p", 1).Part}
		table.closed.Store(true)
		one := book(table.Store, "a")
		reservation, err := one.Reserve(t.Context(), Claim{Program: "p", Budget: 900, Tokens: 589})
		require.NoError(t, err)
		reservation.Settle(300, "")
		one.options.Store = table
		table.closed.Store(false)
		one.GiveBack(t.Context())
		require.GreaterOrEqual(t, drawnOf(t, table.Store, "p"), 300, "what was used stays drawn")
		time.Sleep(time.Minute)
	})
}

// drawnOf is how much of a program's budget is drawn, over all shares.
func drawnOf(t *testing.T, table store.Store, program string) (drawn int) {
	for index := range shares {
		share := &share{key: keyOf(program, index)}
		_, err := share.read(t.Context(), table)
		require.NoError(t, err)
		drawn += share.known.Drawn
	}
	return drawn
}
