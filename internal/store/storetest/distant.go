package storetest

import (
	"context"
	"sync"
	"time"

	"github.com/cloverwheel/cloverwheel/internal/store"
	"github.com/cloverwheel/cloverwheel/internal/timing"
)

// SlowTable is a Table with a latency: each response to Commit and Range takes that long.
type SlowTable struct {
	*Table
	mutex   sync.Mutex
	latency time.Duration
}

var _ store.Store = (*SlowTable)(nil)

// NewSlowTable returns an empty table with the given latency.
func NewSlowTable(latency time.Duration) *SlowTable {
	return &SlowTable{Table: New(), latency: latency}
}

// SetLatency sets the latency of the calls made from now on.
func (d *SlowTable) SetLatency(latency time.Duration) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.latency = latency
}

// delay waits for the latency or the end of ctx.
func (d *SlowTable) delay(ctx context.Context) error {
	d.mutex.Lock()
	latency := d.latency
	d.mutex.Unlock()
	return timing.Sleep(ctx, latency)
}

// Commit implements store.Store. The transaction is applied at once; the response is delayed.
func (d *SlowTable) Commit(ctx context.Context, transaction store.Transaction) (store.Version, error) {
	version, err := d.Table.Commit(ctx, transaction)
	if late := d.delay(ctx); late != nil {
		return 0, late
	}
	return version, err
}

// Range implements store.Store.
func (d *SlowTable) Range(ctx context.Context, table, part, from, to string, limit int) (store.Page, error) {
	page, err := d.Table.Range(ctx, table, part, from, to, limit)
	if late := d.delay(ctx); late != nil {
		return store.Page{}, late
	}
	return page, err
}
