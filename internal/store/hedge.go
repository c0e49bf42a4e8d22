package store

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// Paced is a Store that knows how soon it usually answers.
type Paced interface {
	// Patience is how long an answer is worth waiting for before another try.
	Patience() time.Duration
}

// defaultPatience is that of a Store that does not know.
const defaultPatience = 60 * time.Millisecond

// hedgeSteps are the pauses between the tries of a hedged commit, in patiences.
var hedgeSteps = []time.Duration{1, 4, 8}

// PatienceWith is how long an answer of a table is worth waiting for, but least at least.
func PatienceWith(table Store, least time.Duration) time.Duration {
	return max(least, patienceOf(table))
}

func patienceOf(table Store) time.Duration {
	if paced, ok := table.(Paced); ok {
		return paced.Patience()
	}
	return defaultPatience
}

// Pauses after a refused try.
const (
	firstRetryPause   = 30 * time.Millisecond
	longestRetryPause = 200 * time.Millisecond
)

// CommitHedged commits a transaction whose effect its caller can recognise in
// the rows of a Conflict. While no try has answered, it sends the same
// transaction again on another connection, and takes the first answer that says
// anything; that a part is closed is such an answer. After a try that the table refused for
// the number of calls it pauses, and gives up if its caller's time ends before the pause. It
// gives up when ctx ends. Its error is ErrNotDone only if no try can have had an effect.
func CommitHedged(ctx context.Context, table Store, transaction Transaction) (Version, error) {
	return newHedge(table, transaction).run(ctx, true)
}

// CommitUnlessThrottled is CommitHedged for callers that pause by themselves, with Backoff: it
// fails with ErrThrottled once no try is under way and one was refused for the number of calls.
func CommitUnlessThrottled(ctx context.Context, table Store, transaction Transaction) (Version, error) {
	return newHedge(table, transaction).run(ctx, false)
}

// hedge are the tries of a hedged commit.
type hedge struct {
	table       Store
	transaction Transaction
	results     chan commitResult
	running     int
	unsure      bool // some try may have had an effect
	retryPause  time.Duration
	throttled   Backoff
}

func newHedge(table Store, transaction Transaction) *hedge {
	return &hedge{table: table, transaction: transaction, results: make(chan commitResult), retryPause: firstRetryPause}
}

// launch begins a try.
func (h *hedge) launch(ctx context.Context) {
	h.running++
	go func() {
		version, err := h.table.Commit(ctx, h.transaction)
		select {
		case h.results <- commitResult{version: version, err: err}:
		case <-ctx.Done():
		}
	}()
}

// run makes tries until one says something. pauses tells whether it goes on after a try that
// was refused for the number of calls.
func (h *hedge) run(ctx context.Context, pauses bool) (Version, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	h.launch(ctx)
	patience := patienceOf(h.table)
	timer := time.NewTimer(patience * hedgeSteps[0])
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return 0, h.failure(ctx.Err())
		case <-timer.C:
			h.launch(ctx)
			if h.running <= len(hedgeSteps) {
				timer.Reset(patience * hedgeSteps[h.running-1])
			}
		case result := <-h.results:
			h.running--
			h.unsure = h.unsure || result.unsure()
			if Answered(result.err) {
				return result.version, result.err
			}
			if result.says() {
				return 0, h.failure(result.err)
			}
			if errors.Is(result.err, ErrThrottled) {
				if h.running == 0 && !pauses || !h.backOff(ctx, timer) {
					return 0, h.failure(result.err)
				}
			} else if h.running == 0 {
				timer.Reset(h.retryPause)
				h.retryPause = min(2*h.retryPause, longestRetryPause)
			}
		}
	}
}

// backOff lets the next try begin after a pause. If the caller's time ends before that, none
// begins; it reports whether there still is something to wait for.
func (h *hedge) backOff(ctx context.Context, timer *time.Timer) bool {
	pause := h.throttled.Next()
	if allows(ctx, pause) {
		timer.Reset(pause)
		return true
	}
	timer.Stop()
	return h.running > 0
}

// failure makes an error say whether some try may have had an effect.
func (h *hedge) failure(err error) error { return notDone(err, !h.unsure && h.running == 0) }

// notDone makes an error say that nothing was done, if that is certain, and else
// makes sure that it does not say so.
func notDone(err error, certain bool) error {
	switch {
	case certain:
		return errors.Join(ErrNotDone, err)
	case !errors.Is(err, ErrNotDone):
		return err
	}
	return fmt.Errorf("the transaction may have had an effect: %s", err)
}

type commitResult struct {
	version Version
	err     error
}

// unsure reports whether the try may have had an effect that nobody knows of.
func (r commitResult) unsure() bool { return !Answered(r.err) && !errors.Is(r.err, ErrNotDone) }

// says reports whether another try at once would be of no use.
func (r commitResult) says() bool {
	return errors.Is(r.err, ErrPartClosed)
}
