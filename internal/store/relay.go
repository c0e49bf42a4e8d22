package store

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/apex/log"
)

// Relayer makes calls to the table through other nodes. Its errors are those of a Store;
// ErrNotApplied also means that no other node was available.
type Relayer interface {
	// Commit is Store.Commit through another node.
	Commit(ctx context.Context, transaction Transaction) (Version, error)
	// Range is Store.Range through another node.
	Range(ctx context.Context, table, part, from, to string, limit int) (Page, error)
}

// ErrNotRelayable means that a call may not be relayed because of its content. Other calls may
// still be relayed.
var ErrNotRelayable = fmt.Errorf("the call may not be relayed through another node because of its content: %w", ErrNotApplied)

const (
	// suspectThreshold is the number of consecutive failures of different parts after which
	// the table is suspect: calls are relayed at once, and the gate sends probes.
	suspectThreshold = 2
	// relayDelayFactor is the time after which a call without a response is also relayed, as
	// a multiple of the hedge delay.
	relayDelayFactor = 3
	// Bounds of the pause in relaying after a relayed call failed, which shows that the table
	// or the part itself is down. It doubles with each failure.
	minRelayPause = 50 * time.Millisecond
	maxRelayPause = 800 * time.Millisecond
	// relayThrottledAfter is the number of consecutive throttled direct calls after which
	// throttled calls are relayed. The platform may throttle single nodes; fewer throttled
	// calls in a row are common while the shared rate limit is exceeded.
	relayThrottledAfter = 8
)

// RelayedStore is a Store that falls back to relaying calls through other nodes: the platform may
// reject, throttle or cut off some nodes while it serves the others.
//
// A call is made directly. It is also relayed if the direct path fails, does not respond or
// failed recently; the first definite result is returned. Throttled calls are relayed only
// after many in a row, since the rate limit normally applies to all nodes alike. Both
// attempts may take effect, so callers must recognize their own writes, as for CommitHedged.
type RelayedStore struct {
	*Gate
	relays Relayer
	logger log.Interface

	mutex  sync.Mutex
	pause  time.Duration
	until  time.Time // end of the pause in relaying
	active bool      // the last relayed call got a definite result
	// throttled counts consecutive throttled direct calls.
	throttled int
}

// NewRelayed returns a Store that calls the table through gate, and through relays where that
// fails. It logs when relaying starts and stops working.
func NewRelayed(gate *Gate, relays Relayer, logger log.Interface) *RelayedStore {
	return &RelayedStore{Gate: gate, relays: relays, logger: logger}
}

// Unreachable reports whether the last calls failed both directly and through other nodes.
func (r *RelayedStore) Unreachable() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return !r.active && r.Suspect()
}

// Commit implements Store.
func (r *RelayedStore) Commit(ctx context.Context, transaction Transaction) (Version, error) {
	return callBothPaths(ctx, r, func(ctx context.Context) (Version, error) {
		return r.Gate.Commit(ctx, transaction)
	}, func(ctx context.Context) (Version, error) {
		return r.relays.Commit(ctx, transaction)
	})
}

// Range implements Store.
func (r *RelayedStore) Range(ctx context.Context, table, part, from, to string, limit int) (Page, error) {
	return callBothPaths(ctx, r, func(ctx context.Context) (Page, error) {
		return r.Gate.Range(ctx, table, part, from, to, limit)
	}, func(ctx context.Context) (Page, error) {
		return r.relays.Range(ctx, table, part, from, to, limit)
	})
}

// pathResult is the result of a call by one of the two paths.
type pathResult[T any] struct {
	value   T
	err     error
	relayed bool
}

// callBothPaths makes a call directly and, if needed, also through another node. It returns
// the first definite result.
func callBothPaths[T any](ctx context.Context, r *RelayedStore, direct, relay func(context.Context) (T, error)) (T, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan pathResult[T], 2)
	running, relayed := 1, false
	go func() {
		value, err := direct(ctx)
		results <- pathResult[T]{value: value, err: err}
	}()
	startRelay := func() {
		if relayed || !r.mayRelay() {
			return
		}
		relayed = true
		running++
		go func() {
			value, err := relay(ctx)
			results <- pathResult[T]{value: value, err: err, relayed: true}
		}()
	}
	if r.Suspect() {
		startRelay()
	}
	timer := time.NewTimer(relayDelayFactor * r.HedgeDelay())
	defer timer.Stop()
	var failure error
	for {
		select {
		case <-timer.C:
			startRelay()
			continue
		case result := <-results:
			running--
			if result.relayed {
				r.recordRelay(ctx, result.err)
			}
			helps := result.relayed || r.recordDirect(result.err)
			if IsDefinite(result.err) {
				return result.value, result.err
			}
			failure = leastCertain(failure, result.err)
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

// leastCertain returns the error of a call that failed by both paths: the error of the path by
// which it may have had an effect, if any, otherwise the first.
func leastCertain(first, second error) error {
	if first == nil || errors.Is(first, ErrNotApplied) && !errors.Is(second, ErrNotApplied) {
		return second
	}
	return first
}

// recordDirect records the result of a direct call, and reports whether relaying the call may
// help.
func (r *RelayedStore) recordDirect(err error) (helps bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	switch {
	case IsDefinite(err):
		r.throttled = 0
	case errors.Is(err, ErrThrottled):
		r.throttled++
		return r.throttled >= relayThrottledAfter
	}
	return true
}

// mayRelay reports whether relaying is not paused.
func (r *RelayedStore) mayRelay() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return !time.Now().Before(r.until)
}

// recordRelay records the result of a relayed call. Calls that were canceled, timed out or may
// not be relayed are ignored.
func (r *RelayedStore) recordRelay(ctx context.Context, err error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if !IsDefinite(err) && ctx.Err() != nil || errors.Is(err, ErrNotRelayable) {
		return
	}
	if was := r.active; was != IsDefinite(err) {
		r.active = !was
		r.logger.WithField("relayed", r.active).Info("relaying of table calls through other nodes started (relayed=true) or stopped (relayed=false) working; it stays the fallback for failed direct calls")
	}
	if r.active {
		r.pause, r.until = 0, time.Time{}
		return
	}
	r.pause = min(max(2*r.pause, minRelayPause), maxRelayPause)
	r.until = time.Now().Add(r.pause)
}
