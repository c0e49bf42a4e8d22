package store

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/apex/log"
)

// Relays are other nodes that make calls to the table in place of this one. Their
// errors are those of a Store; ErrNotDone also means that none was there to ask.
type Relays interface {
	Commit(ctx context.Context, transaction Transaction) (Version, error)
	Range(ctx context.Context, table, part, from, to string, limit int) (Page, error)
}

// ErrNoRelay is a call that no other node may make, for what it carries. It says nothing of
// other calls.
var ErrNoRelay = fmt.Errorf("no other node may carry the call: %w", ErrNotDone)

const (
	// suspectFailures of different parts in a row make a node doubt its own way to
	// the table.
	suspectFailures = 2
	// silencePatiences is after how many times the usual patience an unanswered
	// call is made through another node, too.
	silencePatiences = 3
	// Relaying that did not help is left alone for a time that doubles: the table
	// itself is down then, or the part.
	firstRelayPause   = 50 * time.Millisecond
	longestRelayPause = 800 * time.Millisecond
	// throttledInRow calls of a node's own that the table refused for the number of calls, with
	// none taken between them, make it try another node: the platform may throttle some nodes
	// alone. Fewer are met by chance while all nodes together call too often.
	throttledInRow = 8
)

// Relayed is a table that is also reached through other nodes: the platform may
// refuse, throttle or cut off some nodes while it serves the others.
//
// A call goes the node's own way. It goes through another node besides when the own
// way refuses it, is silent or has just failed; the first answer that says anything
// counts. That the table takes no more calls is the same for all nodes, unless it is said
// many times in a row. Both may have their effect, so callers must recognise their own, as for
// CommitHedged.
type Relayed struct {
	*Gate
	relays Relays
	logger log.Interface

	mutex  sync.Mutex
	pause  time.Duration
	until  time.Time // before which no call is relayed
	active bool      // the last call that was relayed was answered
	// throttled counts the own calls in a row that the table refused for the number of calls.
	throttled int
}

// NewRelayed returns a table that is reached through gate and through relays.
func NewRelayed(gate *Gate, relays Relays, logger log.Interface) *Relayed {
	return &Relayed{Gate: gate, relays: relays, logger: logger}
}

// Lost reports whether the last calls failed by all ways: the own one, and through other nodes.
func (r *Relayed) Lost() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return !r.active && r.Suspect()
}

// Commit implements Store.
func (r *Relayed) Commit(ctx context.Context, transaction Transaction) (Version, error) {
	return bothWays(ctx, r, func(ctx context.Context) (Version, error) {
		return r.Gate.Commit(ctx, transaction)
	}, func(ctx context.Context) (Version, error) {
		return r.relays.Commit(ctx, transaction)
	})
}

// Range implements Store.
func (r *Relayed) Range(ctx context.Context, table, part, from, to string, limit int) (Page, error) {
	return bothWays(ctx, r, func(ctx context.Context) (Page, error) {
		return r.Gate.Range(ctx, table, part, from, to, limit)
	}, func(ctx context.Context) (Page, error) {
		return r.relays.Range(ctx, table, part, from, to, limit)
	})
}

// wayResult is what came of one of the two ways.
type wayResult[T any] struct {
	value   T
	err     error
	relayed bool
}

// bothWays makes a call the node's own way and, where that does not answer, through
// another node.
func bothWays[T any](ctx context.Context, r *Relayed, own, relay func(context.Context) (T, error)) (T, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan wayResult[T], 2)
	running, relayed := 1, false
	go func() {
		value, err := own(ctx)
		results <- wayResult[T]{value: value, err: err}
	}()
	startRelay := func() {
		if relayed || !r.mayRelay() {
			return
		}
		relayed = true
		running++
		go func() {
			value, err := relay(ctx)
			results <- wayResult[T]{value: value, err: err, relayed: true}
		}()
	}
	if r.Suspect() {
		startRelay()
	}
	silent := time.NewTimer(silencePatiences * r.Patience())
	defer silent.Stop()
	var failure error
	for {
		select {
		case <-silent.C:
			startRelay()
			continue
		case result := <-results:
			running--
			if result.relayed {
				r.noteRelay(ctx, result.err)
			}
			helps := result.relayed || r.noteOwn(result.err)
			if Answered(result.err) {
				return result.value, result.err
			}
			failure = moreDoubtful(failure, result.err)
			if helps {
				startRelay()
			}
		}
		if running == 0 {
			var none T
			return none, failure
		}
	}
}

// moreDoubtful is the error of a call that failed both ways: that of the way by
// which it may have had an effect, if there is one, else the first.
func moreDoubtful(first, second error) error {
	if first == nil || errors.Is(first, ErrNotDone) && !errors.Is(second, ErrNotDone) {
		return second
	}
	return first
}

// noteOwn notes what came of a call by the own way, and reports whether another node may
// succeed where it failed.
func (r *Relayed) noteOwn(err error) (helps bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	switch {
	case Answered(err):
		r.throttled = 0
	case errors.Is(err, ErrThrottled):
		r.throttled++
		return r.throttled >= throttledInRow
	}
	return true
}

func (r *Relayed) mayRelay() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return !time.Now().Before(r.until)
}

// noteRelay notes what came of a relayed call. One that its caller broke off, or that
// nobody was asked to make, says nothing.
func (r *Relayed) noteRelay(ctx context.Context, err error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if !Answered(err) && ctx.Err() != nil || errors.Is(err, ErrNoRelay) {
		return
	}
	if was := r.active; was != Answered(err) {
		r.active = !was
		r.logger.WithField("relayed", r.active).Info("table is called through other nodes, where the own way fails")
	}
	if r.active {
		r.pause, r.until = 0, time.Time{}
		return
	}
	r.pause = min(max(2*r.pause, firstRelayPause), longestRelayPause)
	r.until = time.Now().Add(r.pause)
}
