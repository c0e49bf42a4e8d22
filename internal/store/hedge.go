package store

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// LatencyTracker is a Store that tracks its usual latency.
type LatencyTracker interface {
	// HedgeDelay returns how long to wait for a response before sending another attempt.
	HedgeDelay() time.Duration
}

// defaultHedgeDelay applies to stores that do not implement LatencyTracker.
const defaultHedgeDelay = 60 * time.Millisecond

// hedgeDelays are the delays before the additional attempts of a hedged commit, each counted
// from the attempt before, as multiples of the store's hedge delay (LatencyTracker.HedgeDelay).
var hedgeDelays = []time.Duration{1, 4, 8}

// HedgeDelayAtLeast returns how long to wait for a response from table before another attempt. The
// result is never less than least.
func HedgeDelayAtLeast(table Store, least time.Duration) time.Duration {
	return max(least, hedgeDelayOf(table))
}

func hedgeDelayOf(table Store) time.Duration {
	if paced, ok := table.(LatencyTracker); ok {
		return paced.HedgeDelay()
	}
	return defaultHedgeDelay
}

// Bounds of the pause after a failed attempt when no other attempt is in flight.
const (
	minRetryPause = 30 * time.Millisecond
	maxRetryPause = 200 * time.Millisecond
)

// CommitHedged commits a transaction with hedged requests: while no attempt has responded, it
// sends the same transaction again on another connection, and returns the first conclusive
// result. ErrPartUnavailable is conclusive. After ErrThrottled it backs off, and gives up if the
// deadline of ctx comes before the next attempt and no attempt is in flight. It also gives up
// when ctx ends. The error is ErrNotApplied only if no attempt can have had an effect.
//
// Since several attempts may reach the table, the caller must be able to recognize its own
// write in the rows of a Conflict.
func CommitHedged(ctx context.Context, table Store, transaction Transaction) (Version, error) {
	return newHedge(table, transaction).run(ctx, true)
}

// CommitUnlessThrottled is CommitHedged for callers that back off by themselves, with Backoff:
// it fails with ErrThrottled when an attempt is throttled and no other is in flight.
func CommitUnlessThrottled(ctx context.Context, table Store, transaction Transaction) (Version, error) {
	return newHedge(table, transaction).run(ctx, false)
}

// hedge is the state of a hedged commit.
type hedge struct {
	table       Store
	transaction Transaction
	results     chan commitResult
	inFlight    int
	uncertain   bool  // some attempt may have had an effect
	cause       error // of the first such attempt
	retryPause  time.Duration
	throttled   Backoff
}

func newHedge(table Store, transaction Transaction) *hedge {
	return &hedge{table: table, transaction: transaction, results: make(chan commitResult), retryPause: minRetryPause}
}

// launch starts an attempt.
func (h *hedge) launch(ctx context.Context) {
	h.inFlight++
	go func() {
		version, err := h.table.Commit(ctx, h.transaction)
		select {
		case h.results <- commitResult{version: version, err: err}:
		case <-ctx.Done():
		}
	}()
}

// run makes attempts until one is conclusive. retryThrottled says whether to retry after
// ErrThrottled.
func (h *hedge) run(ctx context.Context, retryThrottled bool) (Version, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	h.launch(ctx)
	hedgeDelay := hedgeDelayOf(h.table)
	timer := time.NewTimer(hedgeDelay * hedgeDelays[0])
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return 0, h.failure(ctx.Err())
		case <-timer.C:
			h.launch(ctx)
			if h.inFlight <= len(hedgeDelays) {
				timer.Reset(hedgeDelay * hedgeDelays[h.inFlight-1])
			}
		case result := <-h.results:
			h.inFlight--
			h.note(result)
			if IsDefinite(result.err) {
				return result.version, result.err
			}
			if result.conclusive() {
				return 0, h.failure(result.err)
			}
			if errors.Is(result.err, ErrThrottled) {
				if h.inFlight == 0 && !retryThrottled || !h.backOff(ctx, timer) {
					return 0, h.failure(result.err)
				}
			} else if h.inFlight == 0 {
				timer.Reset(h.retryPause)
				h.retryPause = min(2*h.retryPause, maxRetryPause)
			}
		}
	}
}

// backOff schedules the next attempt after a pause, unless the deadline of ctx comes first. It
// reports whether an attempt is scheduled or in flight.
func (h *hedge) backOff(ctx context.Context, timer *time.Timer) bool {
	pause := h.throttled.Next()
	if deadlineAllows(ctx, pause) {
		timer.Reset(pause)
		return true
	}
	timer.Stop()
	return h.inFlight > 0
}

// note records the first attempt that may have had an effect.
func (h *hedge) note(result commitResult) {
	if result.uncertain() && !h.uncertain {
		h.uncertain, h.cause = true, result.err
	}
}

// failure returns err marked with whether some attempt may have had an effect, and why.
func (h *hedge) failure(err error) error {
	if h.cause != nil {
		err = fmt.Errorf("%w (first uncertain attempt: %w)", err, h.cause)
	}
	return notDone(err, !h.uncertain && h.inFlight == 0)
}

// notDone returns err as an ErrNotApplied if certain, and otherwise as an error that is not an
// ErrNotApplied.
func notDone(err error, certain bool) error {
	switch {
	case certain:
		return errors.Join(ErrNotApplied, err)
	case !errors.Is(err, ErrNotApplied):
		return err
	}
	return fmt.Errorf("the transaction may have had an effect: %s", err)
}

// commitResult is the result of an attempt.
type commitResult struct {
	version Version
	err     error
}

// uncertain reports whether it is unknown if the attempt had an effect.
func (r commitResult) uncertain() bool { return !IsDefinite(r.err) && !errors.Is(r.err, ErrNotApplied) }

// conclusive reports whether the commit should fail without another attempt.
func (r commitResult) conclusive() bool {
	return errors.Is(r.err, ErrPartUnavailable)
}
