package store

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"github.com/cloverwheel/cloverwheel/internal/timing"
)

const (
	// tripThreshold is the number of consecutive failures of different parts that trips the
	// breaker for the whole table. It is high enough to tell an outage of the table from one
	// of some parts.
	tripThreshold = 8
	// Bounds of the pause during which calls to a failed part are rejected. It doubles with
	// each failure.
	minPartPause = 100 * time.Millisecond
	maxPartPause = 800 * time.Millisecond
	// maxConclusiveTime caps the minimum run time after which a timeout counts as a failure of
	// the table. The minimum is the usual latency.
	maxConclusiveTime = 120 * time.Millisecond
)

// ErrPartUnavailable is an ErrNotApplied returned without a call to the table, since recent calls to
// the part failed.
var ErrPartUnavailable = fmt.Errorf("recent calls to this part of the table failed: %w", ErrNotApplied)

// Gate is a circuit breaker around a Store. After a failure of a part, calls to it fail with
// ErrPartUnavailable for a short time, so that callers use another part. After consecutive
// failures of many parts the whole gate closes: callers wait until it opens or their
// context ends, while the gate probes the table (see probe). An open gate lets calls
// through, a closed gate blocks them. Watch is not guarded: its callers make one call at a
// time and back off by themselves.
type Gate struct {
	Store
	logger   log.Interface
	latency  timing.LatencyEstimate // of calls to the table
	mutex    sync.Mutex
	closedAt time.Time
	failures int // consecutive failures of different parts; see closePart
	probes   probes
	opened   chan struct{}         // closed when the gate opens; nil while it is open
	parts    map[string]*partPause // the parts whose last call failed
	// lastThrottled is the time of the last commit that failed with ErrThrottled, in Unix
	// nanoseconds; zero means never.
	lastThrottled atomic.Int64
}

// ThrottledSince reports whether a commit of this node failed with ErrThrottled at or after
// the given time.
func (g *Gate) ThrottledSince(since time.Time) bool {
	last := g.lastThrottled.Load()
	return last != 0 && !time.Unix(0, last).Before(since)
}

// Bounds of the hedge delay, the time to wait for a response before another attempt, and its
// ratio to the usual latency. The factor keeps calls that are only a little slow from being
// repeated.
const (
	minHedgeDelay    = 25 * time.Millisecond
	maxHedgeDelay    = 450 * time.Millisecond
	hedgeDelayFactor = 2
)

// HedgeDelay implements LatencyTracker. The hedge delay follows the observed latency of the table.
func (g *Gate) HedgeDelay() time.Duration {
	return min(max(hedgeDelayFactor*g.latency.Timeout(0, maxHedgeDelay), minHedgeDelay), maxHedgeDelay)
}

// partPause is the pause during which calls to a failed part are rejected.
type partPause struct {
	pause time.Duration
	until time.Time // end of the pause
}

// Suspect reports whether the table may be unreachable: the whole gate is closed, or the last
// calls failed for at least suspectThreshold different parts.
func (g *Gate) Suspect() bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.opened != nil || g.failures >= suspectThreshold
}

// Unreachable reports whether the table is unreachable. For a Gate it is the same as Suspect, since
// there is no other path to the table.
func (g *Gate) Unreachable() bool { return g.Suspect() }

// NewGate returns an open gate around table. It logs when it closes and opens.
func NewGate(table Store, logger log.Interface) *Gate {
	return &Gate{Store: table, logger: logger, parts: map[string]*partPause{}}
}

// Commit implements Store.
func (g *Gate) Commit(ctx context.Context, transaction Transaction) (Version, error) {
	first := transaction.FirstKey()
	if err := g.enter(ctx, first); err != nil {
		return 0, err
	}
	begun := time.Now()
	version, err := g.Store.Commit(ctx, transaction)
	if errors.Is(err, ErrThrottled) {
		g.lastThrottled.Store(time.Now().UnixNano())
	}
	g.leave(ctx, first.Part, begun, err)
	return version, err
}

// Range implements Store.
func (g *Gate) Range(ctx context.Context, table, part, from, to string, limit int) (Page, error) {
	if err := g.enter(ctx, Key{Table: table, Part: part, Name: from}); err != nil {
		return Page{}, err
	}
	begun := time.Now()
	page, err := g.Store.Range(ctx, table, part, from, to, limit)
	g.leave(ctx, part, begun, err)
	return page, err
}

// enter waits until the call may be made, and fails with ErrNotApplied otherwise. While it waits
// or the table is suspect, it probes the table with reads at key.
func (g *Gate) enter(ctx context.Context, key Key) error {
	opened, err := g.state(key.Part)
	if opened == nil {
		if err == nil && g.Suspect() {
			g.probe(key) // the call itself may be canceled when another path responds first
		}
		return err
	}
	tick := time.NewTicker(probePollInterval)
	defer tick.Stop()
	for opened != nil {
		g.probe(key)
		select {
		case <-ctx.Done():
			return errors.Join(ErrNotApplied, ctx.Err())
		case <-opened:
		case <-tick.C:
		}
		opened, err = g.state(key.Part)
	}
	return err
}

// state returns a channel that is closed when the gate opens, if the whole gate is closed.
// Otherwise it returns ErrPartUnavailable if calls to the part are paused.
func (g *Gate) state(part string) (opened chan struct{}, err error) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.opened != nil {
		return g.opened, nil
	}
	if failed, ok := g.parts[part]; ok && time.Now().Before(failed.until) {
		return nil, ErrPartUnavailable
	}
	return nil, nil
}

// leave records the result of a call that started at begun. Calls that the caller canceled, or
// that timed out before the usual latency (at most maxConclusiveTime), are ignored, and so is
// ErrStaleConnection. ErrThrottled counts as a success, since it shows that the table and the part
// respond.
func (g *Gate) leave(ctx context.Context, part string, begun time.Time, err error) {
	took := time.Since(begun)
	if IsDefinite(err) {
		g.latency.Observe(took)
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	switch {
	case IsDefinite(err):
		delete(g.parts, part)
		g.open("call")
	case errors.Is(err, ErrThrottled):
		delete(g.parts, part)
		g.open("refusal")
	case errors.Is(err, ErrStaleConnection): // not a failure of the table
	case errors.Is(ctx.Err(), context.Canceled):
	case ctx.Err() != nil && took < g.latency.Timeout(0, maxConclusiveTime):
	case g.closePart(part):
		g.failures++
		g.close(err)
	}
}

// close closes the whole gate once tripThreshold failures are reached. The caller holds the
// mutex.
func (g *Gate) close(err error) {
	if g.failures < tripThreshold || g.opened != nil {
		return
	}
	g.opened = make(chan struct{})
	g.closedAt = time.Now()
	g.probes.next, g.probes.sent = g.closedAt.Add(probeInterval), 0
	g.logger.WithError(err).WithField("failures", g.failures).
		WithField("patience_ms", g.HedgeDelay().Milliseconds()).
		Warn("table does not respond; holding calls back and probing it")
}

// open resets the count of failures. If the whole gate is closed, it opens it and ends the
// pauses of all parts. by is the kind of result that caused it, for the log. The caller
// holds the mutex.
func (g *Gate) open(by string) {
	g.failures = 0
	if g.opened == nil {
		return
	}
	clear(g.parts)
	close(g.opened)
	g.opened = nil
	g.logger.WithField("after_ms", time.Since(g.closedAt).Milliseconds()).
		WithField("by", by).WithField("probes", g.probes.sent).
		WithField("patience_ms", g.HedgeDelay().Milliseconds()).Info("table responds again; letting calls through")
}

// closePart pauses calls to a part. It reports whether this is the part's first failure since it
// last responded. The caller holds the mutex.
func (g *Gate) closePart(part string) bool {
	failed, known := g.parts[part]
	if !known {
		failed = &partPause{pause: minPartPause}
		g.parts[part] = failed
	} else if !time.Now().Before(failed.until) {
		failed.pause = min(2*failed.pause, maxPartPause)
	}
	failed.until = time.Now().Add(failed.pause)
	return !known
}
