package store

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"github.com/cloverwheel/cloverwheel/internal/wait"
)

const (
	// gateFailures of different parts in a row, with no answer between them, close
	// the gate: so many rarely meet by chance while only some parts are down.
	gateFailures = 8
	// A part that failed is closed for a time that doubles with each failure.
	firstPartPause   = 100 * time.Millisecond
	longestPartPause = 800 * time.Millisecond
	// Most of the time that a call must have had before its end by its caller's time
	// says something of the table: a caller that allows this much is not in a hurry.
	enoughTime = 120 * time.Millisecond
)

// ErrPartClosed is ErrNotDone at once, without a call: the part has just failed.
var ErrPartClosed = fmt.Errorf("the part of the table has just failed: %w", ErrNotDone)

// Gate keeps a node from pressing on a table that does not answer. A part that
// failed is left alone for a moment, so that callers turn to another. After
// failures of many parts in a row the gate closes: callers wait until it opens or
// their own time is over, and meanwhile the gate probes the table by calls that no
// caller can cut short (see probe). Watch passes freely: its callers come one at a
// time and pause by themselves.
type Gate struct {
	Store
	logger   log.Interface
	way      wait.Estimate // how long the table takes to answer
	mutex    sync.Mutex
	closed   time.Time // when the gate closed
	failures int
	probes   probes
	opened   chan struct{} // closed when the gate opens; nil while it is open
	parts    map[string]*partGate
	// throttled is when a writing call was last refused for the number of calls, in ns.
	throttled atomic.Int64
}

// ThrottledSince reports whether the table refused a writing call of this node for the number
// of calls at or after a moment.
func (g *Gate) ThrottledSince(moment time.Time) bool {
	last := g.throttled.Load()
	return last != 0 && !time.Unix(0, last).Before(moment)
}

// Bounds of the patience with a call, and how many times what is usual it is: a call
// that takes a little longer than that is not made again.
const (
	shortestPatience = 25 * time.Millisecond
	longestPatience  = 450 * time.Millisecond
	patienceTimes    = 2
)

// Patience implements Paced.
func (g *Gate) Patience() time.Duration {
	return min(max(patienceTimes*g.way.Longest(0, longestPatience), shortestPatience), longestPatience)
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

// Lost reports whether the last calls have failed; there is no other way.
func (g *Gate) Lost() bool { return g.Suspect() }

// NewGate returns an open gate before table, which logs when it closes and opens.
func NewGate(table Store, logger log.Interface) *Gate {
	return &Gate{Store: table, logger: logger, parts: map[string]*partGate{}}
}

// Commit implements Store.
func (g *Gate) Commit(ctx context.Context, transaction Transaction) (Version, error) {
	first := transaction.First()
	if err := g.enter(ctx, first); err != nil {
		return 0, err
	}
	begun := time.Now()
	version, err := g.Store.Commit(ctx, transaction)
	if errors.Is(err, ErrThrottled) {
		g.throttled.Store(time.Now().UnixNano())
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

// enter waits until the call may be made. Its error is ErrNotDone. While it waits, or
// the table is in doubt, the table is probed where key is.
func (g *Gate) enter(ctx context.Context, key Key) error {
	opened, err := g.state(key.Part)
	if opened == nil {
		if err == nil && g.Suspect() {
			g.probe(key) // the call itself may be broken off when another way answers
		}
		return err
	}
	tick := time.NewTicker(probeTick)
	defer tick.Stop()
	for opened != nil {
		g.probe(key)
		select {
		case <-ctx.Done():
			return errors.Join(ErrNotDone, ctx.Err())
		case <-opened:
		case <-tick.C:
		}
		opened, err = g.state(key.Part)
	}
	return err
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

// leave notes what came of a call that began at a moment. A call that its caller broke
// off, or left less time than an answer is seen to take, says nothing. One that the table
// refused for the number of calls says that the table and the part live.
func (g *Gate) leave(ctx context.Context, part string, begun time.Time, err error) {
	took := time.Since(begun)
	if Answered(err) {
		g.way.Observe(took)
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	switch {
	case Answered(err):
		delete(g.parts, part)
		g.open("call")
	case errors.Is(err, ErrThrottled):
		delete(g.parts, part)
		g.open("refusal")
	case errors.Is(err, ErrOldConnection): // says nothing of the table
	case errors.Is(ctx.Err(), context.Canceled):
	case ctx.Err() != nil && took < g.way.Longest(0, enoughTime):
	case g.closePart(part):
		g.failures++
		g.close(err)
	}
}

// close closes the whole gate after enough failures.
func (g *Gate) close(err error) {
	if g.failures < gateFailures || g.opened != nil {
		return
	}
	g.opened = make(chan struct{})
	g.closed = time.Now()
	g.probes.next, g.probes.sent = g.closed.Add(probePause), 0
	g.logger.WithError(err).WithField("failures", g.failures).
		WithField("patience_ms", g.Patience().Milliseconds()).
		Warn("table does not answer, calling it seldom")
}

// open opens the whole gate, by the answer to a call or to a probe. All parts may be
// tried again at once.
func (g *Gate) open(by string) {
	g.failures = 0
	if g.opened == nil {
		return
	}
	clear(g.parts)
	close(g.opened)
	g.opened = nil
	g.logger.WithField("after_ms", time.Since(g.closed).Milliseconds()).
		WithField("by", by).WithField("probes", g.probes.sent).
		WithField("patience_ms", g.Patience().Milliseconds()).Info("table answers again")
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
