package store

import (
	"cmp"
	"context"
	"math/rand/v2"
	"time"

	"github.com/cloverwheel/cloverwheel/internal/timing"
)

// Bounds of the mean pause after a throttled call. The mean doubles with each further one,
// and a jitter of 50 to 150 % keeps nodes from retrying in step.
const (
	minThrottlePause = 40 * time.Millisecond
	maxThrottlePause = 400 * time.Millisecond
)

// Backoff computes the pauses between attempts of a call that the table throttles:
// exponential with jitter. The zero value is ready to use. It is not safe for concurrent use.
type Backoff struct {
	// MaxPause bounds the mean pause; 0 means 400 ms, which suits a call for a single caller.
	MaxPause time.Duration

	pause time.Duration
}

// Reset starts over with the shortest pause, after a call that was not throttled.
func (b *Backoff) Reset() { b.pause = 0 }

// Next returns the pause before the next attempt, and lengthens the one after it.
func (b *Backoff) Next() time.Duration {
	b.pause = min(max(2*b.pause, minThrottlePause), cmp.Or(b.MaxPause, maxThrottlePause))
	return b.pause/2 + rand.N(b.pause)
}

// Wait sleeps for the pause before the next attempt. It fails at once with ErrThrottled if the
// deadline of ctx comes before the end of the pause, and with the error of ctx if ctx ends.
func (b *Backoff) Wait(ctx context.Context) error {
	pause := b.Next()
	if !deadlineAllows(ctx, pause) {
		return ErrThrottled
	}
	return timing.Sleep(ctx, pause)
}

// deadlineAllows reports whether the deadline of ctx, if any, is later than the end of a pause
// that starts now.
func deadlineAllows(ctx context.Context, pause time.Duration) bool {
	deadline, bound := ctx.Deadline()
	return !bound || time.Until(deadline) > pause
}
