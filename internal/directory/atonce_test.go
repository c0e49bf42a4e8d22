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

// smallTable takes no more than 100 entries at once, as the platform's does.
type smallTable struct{ store.Store }

// Commit implements store.Store.
func (s smallTable) Commit(ctx context.Context, transaction store.Transaction) (store.Version, error) {
	if len(transaction.Conditions)+len(transaction.Put)+len(transaction.Remove) > 100 {
		return 0, errors.New("too many entries")
	}
	return s.Store.Commit(ctx, transaction)
}

// TestNodeThatOwnsAllSlotsOfItsRegionTakesAndLeavesThem in as many calls as the table needs.
func TestNodeThatOwnsAllSlotsOfItsRegionTakesAndLeavesThem(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := smallTable{storetest.New()}
		options := Options{Store: table, Self: budget.Holder{Process: "before", Address: address(0)}, Logger: &log.Logger{Handler: discard.New()}}
		before := New(options)
		for slot := range slots {
			_, err := before.put(t.Context(), slot, before.successor(slot), "taken")
			require.NoError(t, err)
		}
		options.Self.Process = "after"
		after := New(options)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go after.Run(ctx)
		time.Sleep(100 * time.Millisecond)
		require.Len(t, after.Claims(), slots, "taken again at once")
		cancel()
		synctest.Wait()
		after.Leave(t.Context())
		page, err := table.Range(t.Context(), Table, slotsPart, "", "", 0)
		require.NoError(t, err)
		for _, stored := range page.Rows {
			after.learnRow(stored)
		}
		for slot := range slots {
			require.Empty(t, after.slotOwner(slot).Process, "slot %d is left", slot)
		}
	})
}
