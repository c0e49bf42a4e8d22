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

// failingPartStore is a store in which one partition applies a write but loses the
// answer, and refuses all calls after that.
type failingPartStore struct {
	store.Store
	part   string
	closed atomic.Bool
}

// Commit implements store.Store.
func (c *failingPartStore) Commit(ctx context.Context, transaction store.Transaction) (store.Version, error) {
	if transaction.Put[0].Key.Part != c.part {
		return c.Store.Commit(ctx, transaction)
	}
	if c.closed.Swap(true) {
		return 0, store.ErrPartUnavailable
	}
	_, _ = c.Store.Commit(ctx, transaction)
	<-ctx.Done()
	return 0, ctx.Err()
}

// TestReturnInDoubtIsNotRepeatedOnAnotherShare guards against returning tokens twice:
// what may have been returned to one share must not be returned to the next.
func TestReturnInDoubtIsNotRepeatedOnAnotherShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := &failingPartStore{Store: storetest.New(), part: rowKey("p", 1).Part}
		table.closed.Store(true)
		accounts := newTestAccounts(table.Store, "a")
		reservation, err := accounts.Reserve(t.Context(), Claim{Program: "p", Budget: 900, Tokens: 589})
		require.NoError(t, err)
		reservation.Settle(300, "")
		accounts.options.Store = table
		table.closed.Store(false)
		accounts.GiveBack(t.Context())
		require.GreaterOrEqual(t, totalDrawn(t, table.Store, "p"), 300, "used tokens stay drawn")
		time.Sleep(time.Minute)
	})
}

// totalDrawn returns how many tokens of a program's budget are drawn, over all shares.
func totalDrawn(t *testing.T, table store.Store, program string) (drawn int) {
	for index := range shareCount {
		share := &share{key: rowKey(program, index)}
		_, err := share.read(t.Context(), table)
		require.NoError(t, err)
		drawn += share.row.Drawn
	}
	return drawn
}
