package store

import (
	"context"
	"errors"
	"time"
)

// Pauses between the tries of a hedged commit. The table usually answers within
// 10 ms; a second try on another connection costs one call, a lost answer would
// cost the caller its patience.
var hedgePauses = []time.Duration{90 * time.Millisecond, 300 * time.Millisecond, 700 * time.Millisecond}

// Pauses after a refused try.
const (
	firstRetryPause   = 30 * time.Millisecond
	longestRetryPause = 200 * time.Millisecond
)

// CommitHedged commits a transaction whose effect its caller can recognise in
// the rows of a Conflict. While no try has answered, it sends the same
// transaction again on another connection, and takes the first answer that says
// anything; that a part is closed is such an answer. It gives up when ctx ends; then the transaction may have had an effect.
func CommitHedged(ctx context.Context, table Store, transaction Transaction) (Version, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan commitResult)
	launch := func() {
		go func() {
			version, err := table.Commit(ctx, transaction)
			select {
			case results <- commitResult{version: version, err: err}:
			case <-ctx.Done():
			}
		}()
	}
	launch()
	running, retryPause := 1, firstRetryPause
	timer := time.NewTimer(hedgePauses[0])
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return 0, ctx.Err()
		case <-timer.C:
			launch()
			running++
			if running <= len(hedgePauses) {
				timer.Reset(hedgePauses[running-1])
			}
		case result := <-results:
			running--
			if result.says() {
				return result.version, result.err
			}
			if running == 0 {
				timer.Reset(retryPause)
				retryPause = min(2*retryPause, longestRetryPause)
			}
		}
	}
}

type commitResult struct {
	version Version
	err     error
}

// says reports whether the result settles the matter.
func (r commitResult) says() bool {
	var conflict *Conflict
	return r.err == nil || errors.As(r.err, &conflict) || errors.Is(r.err, ErrPartClosed)
}
