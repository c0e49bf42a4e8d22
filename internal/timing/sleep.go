// Package timing provides sleeping with a context, backoff with jitter, and timeouts that
// adapt to observed durations.
package timing

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
)

// Sleep sleeps for d and returns nil. If ctx ends first it returns the context's error
// at once.
func Sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// NewBackoff returns an exponential backoff with jitter whose intervals, before jitter,
// grow from first to longest.
func NewBackoff(first, longest time.Duration) *backoff.ExponentialBackOff {
	intervals := backoff.NewExponentialBackOff()
	intervals.InitialInterval = first
	intervals.MaxInterval = longest
	return intervals
}
