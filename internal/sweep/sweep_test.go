package sweep

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/stretchr/testify/require"

	"github.com/cloverwheel/cloverwheel/internal/store"
	"github.com/cloverwheel/cloverwheel/internal/store/storetest"
)

func put(t *testing.T, table *storetest.Table, name string, ttl time.Duration) {
	row := store.Row{Key: store.Key{Table: "t", Part: "p", Name: name}, Value: store.WithExpiry(time.Now().Add(ttl), []byte("v"))}
	_, err := table.Commit(t.Context(), store.Transaction{Put: []store.Row{row}})
	require.NoError(t, err)
}

func rowNames(t *testing.T, table *storetest.Table) []string {
	page, err := table.Range(t.Context(), "t", "p", "", "", 0)
	require.NoError(t, err)
	var all []string
	for _, row := range page.Rows {
		all = append(all, row.Name)
	}
	return all
}

func newSweeper(table store.Store) *Sweeper {
	return New(Options{Store: table, Tables: []Table{{Name: "t", Parts: []string{"p"}}}, Logger: &log.Logger{Handler: discard.New()}})
}

// TestOnlyExpiredRowsAreRemoved guards against deleting live rows, deleting within the margin for
// clock skew, and stopping after the first page.
func TestOnlyExpiredRowsAreRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := storetest.New()
		for index := range 250 {
			put(t, table, fmt.Sprintf("short-%03d", index), time.Minute)
		}
		put(t, table, "long", time.Hour)
		removed, err := newSweeper(table).SweepPartition(t.Context(), "t", "p")
		require.NoError(t, err)
		require.Zero(t, removed)
		time.Sleep(3 * time.Minute)
		removed, err = newSweeper(table).SweepPartition(t.Context(), "t", "p")
		require.NoError(t, err)
		require.Equal(t, 250, removed)
		require.Equal(t, []string{"long"}, rowNames(t, table))
	})
}

// renewingStore renews a row between the sweeper's read and its delete.
type renewingStore struct {
	*storetest.Table
	renew func()
}

func (r renewingStore) Range(ctx context.Context, table, partition, from, to string, limit int) (store.Page, error) {
	page, err := r.Table.Range(ctx, table, partition, from, to, limit)
	r.renew()
	return page, err
}

// TestRenewedRowIsKept guards against deleting a row that was renewed after it was read.
func TestRenewedRowIsKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := storetest.New()
		put(t, table, "a", time.Minute)
		time.Sleep(10 * time.Minute)
		_, err := newSweeper(renewingStore{table, func() { put(t, table, "a", time.Minute) }}).SweepPartition(t.Context(), "t", "p")
		require.NoError(t, err)
		require.Equal(t, []string{"a"}, rowNames(t, table))
	})
}
