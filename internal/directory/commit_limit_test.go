package directory

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/stretchr/testify/require"

	"github.com/cloverwheel/cloverwheel/internal/budget"
	"github.com/cloverwheel/cloverwheel/internal/store"
	"github.com/cloverwheel/cloverwheel/internal/store/storetest"
)

// limitedStore rejects commits with more than 100 entries, as the real store does.
type limitedStore struct{ store.Store }

// Commit implements store.Store.
func (s limitedStore) Commit(ctx context.Context, transaction store.Transaction) (store.Version, error) {
	if len(transaction.Conditions)+len(transaction.Put)+len(transaction.Remove) > 100 {
		return 0, errors.New("too many entries")
	}
	return s.Store.Commit(ctx, transaction)
}

// Claiming or releasing all slots of a region must not exceed the store's limit per commit.
func TestReclaimAndLeaveRespectTheCommitLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := limitedStore{storetest.New()}
		options := Options{Store: table, Self: budget.Holder{Process: "before", Address: address(0)}, Logger: &log.Logger{Handler: discard.New()}}
		before := New(options)
		for slot := range slotsPerRegion {
			_, err := before.put(t.Context(), slot, before.successor(slot), "taken")
			require.NoError(t, err)
		}
		options.Self.Process = "after"
		after := New(options)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go after.Run(ctx)
		time.Sleep(100 * time.Millisecond)
		require.Len(t, after.Claims(), slotsPerRegion, "reclaimed at startup")
		cancel()
		synctest.Wait()
		after.Leave(t.Context())
		page, err := table.Range(t.Context(), Table, slotsPart, "", "", 0)
		require.NoError(t, err)
		for _, stored := range page.Rows {
			after.applyRow(stored)
		}
		for slot := range slotsPerRegion {
			require.Empty(t, after.slotOwner(slot).Process, "slot %d is released", slot)
		}
	})
}
