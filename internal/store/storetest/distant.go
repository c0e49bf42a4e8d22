package storetest

import (
	"context"
	"sync"
	"time"

	"github.com/cloverwheel/cloverwheel/internal/store"
	"github.com/cloverwheel/cloverwheel/internal/wait"
)

// Distant is a Table with a latency: each response to Commit and Range takes that long.
type Distant struct {
	*Table
	mutex   sync.Mutex
	latency time.Duration
}

var _ store.Store = (*Distant)(nil)

// NewDistant returns an empty table with the given latency.
func NewDistant(latency time.Duration) *Distant { return &Distant{Table: New(), latency: latency} }

// SetTakes sets the latency of the calls made from now on.
func (d *Distant) SetTakes(latency time.Duration) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.latency = latency
}

// delay waits for the latency or the end of ctx.
func (d *Distant) delay(ctx context.Context) error {
	d.mutex.Lock()
	latency := d.latency
	d.mutex.Unlock()
	return wait.For(ctx, latency)
}

// Commit implements store.Store. The transaction is applied at once; the response is delayed.
func (d *Distant) Commit(ctx context.Context, transaction store.Transaction) (store.Version, error) {
	version, err := d.Table.Commit(ctx, transaction)
	if late := d.delay(ctx); late != nil {
		return 0, late
	}
	return version, err
}

// Range implements store.Store.
func (d *Distant) Range(ctx context.Context, table, part, from, to string, limit int) (store.Page, error) {
	page, err := d.Table.Range(ctx, table, part, from, to, limit)
	if late := d.delay(ctx); late != nil {
		return store.Page{}, late
	}
	return page, err
}
