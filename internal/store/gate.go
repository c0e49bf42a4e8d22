package store

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/apex/log"
)

const (
	// gateFailures in a row, with no answer between them, close the gate.
	gateFailures = 4
	// probeEvery is how often one call is let through a closed gate.
	probeEvery = 100 * time.Millisecond
)

// Gate keeps a node from pressing on a table that does not answer: after a few
// failures in a row only one call at a time, and not too many, goes through; the
// others wait until one of these is answered or their own time is over. Watch
// passes freely: its callers come one at a time and pause by themselves.
type Gate struct {
	Store
	logger   log.Interface
	mutex    sync.Mutex
	closed   time.Time // when the gate closed
	failures int
	probing  bool
	probed   time.Time // when the last call was let through the closed gate
	opened   chan struct{} // closed when the gate opens; nil while it is open
}

// NewGate returns an open gate before table, which logs when it closes and opens.
func NewGate(table Store, logger log.Interface) *Gate { return &Gate{Store: table, logger: logger} }

// Commit implements Store.
func (g *Gate) Commit(ctx context.Context, transaction Transaction) (Version, error) {
	if err := g.enter(ctx); err != nil {
		return 0, err
	}
	version, err := g.Store.Commit(ctx, transaction)
	g.leave(ctx, err)
	return version, err
}

// Range implements Store.
func (g *Gate) Range(ctx context.Context, table, part, from, to string, limit int) (Page, error) {
	if err := g.enter(ctx); err != nil {
		return Page{}, err
	}
	page, err := g.Store.Range(ctx, table, part, from, to, limit)
	g.leave(ctx, err)
	return page, err
}

// enter waits until the call may be made. Its error is ErrNotDone.
func (g *Gate) enter(ctx context.Context) error {
	timer := time.NewTimer(probeEvery)
	defer timer.Stop()
	for {
		g.mutex.Lock()
		opened := g.opened
		if opened == nil {
			g.mutex.Unlock()
			return nil
		}
		g.mutex.Unlock()
		select {
		case <-ctx.Done():
			return errors.Join(ErrNotDone, ctx.Err())
		case <-opened:
		case <-timer.C:
			if g.mayProbe() {
				return nil
			}
			timer.Reset(probeEvery)
		}
	}
}

func (g *Gate) mayProbe() bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.probing || time.Since(g.probed) < probeEvery {
		return false
	}
	g.probing = true
	g.probed = time.Now()
	return true
}

// leave notes what came of a call. A call that its caller broke off early says
// nothing.
func (g *Gate) leave(ctx context.Context, err error) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.probing = false
	var conflict *Conflict
	if err == nil || errors.As(err, &conflict) {
		g.failures = 0
		if g.opened != nil {
			close(g.opened)
			g.opened = nil
			g.logger.WithField("after_ms", time.Since(g.closed).Milliseconds()).Info("table answers again")
		}
		return
	}
	if errors.Is(ctx.Err(), context.Canceled) {
		return
	}
	g.failures++
	if g.failures >= gateFailures && g.opened == nil {
		g.opened = make(chan struct{})
		g.closed = time.Now()
		g.logger.WithError(err).WithField("failures", g.failures).Warn("table does not answer, calling it seldom")
	}
}
