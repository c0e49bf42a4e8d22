package store

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/apex/log"
)

const (
	// gateFailures of different parts in a row, with no answer between them, close
	// the gate: so many rarely meet by chance while only some parts are down.
	gateFailures = 8
	// probeEvery is how often one call is let through a closed gate.
	probeEvery = 100 * time.Millisecond
	// A part that failed is closed for a time that doubles with each failure.
	firstPartPause   = 100 * time.Millisecond
	longestPartPause = 800 * time.Millisecond
)

// ErrPartClosed is ErrNotDone at once, without a call: the part has just failed.
var ErrPartClosed = fmt.Errorf("the part of the table has just failed: %w", ErrNotDone)

// Gate keeps a node from pressing on a table that does not answer. A part that
// failed is left alone for a moment, so that callers turn to another. After
// failures of many parts in a row, only one call at a time, and not too
// many, goes through; the others wait until one of these is answered or their own
// time is over. Watch passes freely: its callers come one at a time and pause by
// themselves.
type Gate struct {
	Store
	logger   log.Interface
	mutex    sync.Mutex
	closed   time.Time // when the gate closed
	failures int
	probing  bool
	probed   time.Time     // when the last call was let through the closed gate
	opened   chan struct{} // closed when the gate opens; nil while it is open
	parts    map[string]*partGate
	usual    time.Duration // that a commit takes
}

// Bounds of the patience with a commit, and how it is learnt: the usual time
// follows the newest by usualWeight.
const (
	shortestPatience = 25 * time.Millisecond
	longestPatience  = 150 * time.Millisecond
	patienceTimes    = 3
	usualWeight      = 0.1
)

// Patience implements Paced.
func (g *Gate) Patience() time.Duration {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return min(max(patienceTimes*g.usual, shortestPatience), longestPatience)
}

// learn follows the time that an answered commit took.
func (g *Gate) learn(took time.Duration) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.usual += time.Duration(usualWeight * float64(took-g.usual))
}

// partGate is a part that failed.
type partGate struct {
	pause time.Duration
	until time.Time
}

// Suspect reports whether the last calls have failed, whatever their parts.
func (g *Gate) Suspect() bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.opened != nil || g.failures >= suspectFailures
}

// NewGate returns an open gate before table, which logs when it closes and opens.
func NewGate(table Store, logger log.Interface) *Gate {
	return &Gate{Store: table, logger: logger, parts: map[string]*partGate{}}
}

// Commit implements Store.
func (g *Gate) Commit(ctx context.Context, transaction Transaction) (Version, error) {
	part := transaction.First().Part
	if err := g.enter(ctx, part); err != nil {
		return 0, err
	}
	begun := time.Now()
	version, err := g.Store.Commit(ctx, transaction)
	if err == nil {
		g.learn(time.Since(begun))
	}
	g.leave(ctx, part, err)
	return version, err
}

// Range implements Store.
func (g *Gate) Range(ctx context.Context, table, part, from, to string, limit int) (Page, error) {
	if err := g.enter(ctx, part); err != nil {
		return Page{}, err
	}
	page, err := g.Store.Range(ctx, table, part, from, to, limit)
	g.leave(ctx, part, err)
	return page, err
}

// enter waits until the call may be made. Its error is ErrNotDone.
func (g *Gate) enter(ctx context.Context, part string) error {
	timer := time.NewTimer(probeEvery)
	defer timer.Stop()
	for {
		opened, err := g.state(part)
		if opened == nil {
			return err
		}
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

// state returns what to wait for if the whole gate is closed; else whether the
// part is.
func (g *Gate) state(part string) (opened chan struct{}, err error) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.opened != nil {
		return g.opened, nil
	}
	if failed, ok := g.parts[part]; ok && time.Now().Before(failed.until) {
		return nil, ErrPartClosed
	}
	return nil, nil
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
func (g *Gate) leave(ctx context.Context, part string, err error) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.probing = false
	if Answered(err) {
		delete(g.parts, part)
		g.open()
		return
	}
	if errors.Is(ctx.Err(), context.Canceled) {
		return
	}
	if g.closePart(part) {
		g.failures++
	}
	if g.failures >= gateFailures && g.opened == nil {
		g.opened = make(chan struct{})
		g.closed = time.Now()
		g.logger.WithError(err).WithField("failures", g.failures).Warn("table does not answer, calling it seldom")
	}
}

// open opens the whole gate. All parts may be tried again at once.
func (g *Gate) open() {
	g.failures = 0
	if g.opened == nil {
		return
	}
	clear(g.parts)
	close(g.opened)
	g.opened = nil
	g.logger.WithField("after_ms", time.Since(g.closed).Milliseconds()).Info("table answers again")
}

// closePart closes a part for a while. It reports whether the part was sound.
func (g *Gate) closePart(part string) bool {
	failed, known := g.parts[part]
	if !known {
		failed = &partGate{pause: firstPartPause}
		g.parts[part] = failed
	} else if !time.Now().Before(failed.until) {
		failed.pause = min(2*failed.pause, longestPartPause)
	}
	failed.until = time.Now().Add(failed.pause)
	return !known
}
