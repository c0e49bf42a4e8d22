package store

import (
	"cmp"
	"context"
	"math/rand/v2"
	"time"

	"github.com/cloverwheel/cloverwheel/internal/wait"
)

// Pauses after a call that the table refused for the number of calls. They double with each
// further one, and each is drawn from half of its length to one and a half, so that nodes
// refused together do not come back together.
const (
	firstThrottlePause   = 40 * time.Millisecond
	longestThrottlePause = 400 * time.Millisecond
)

// Backoff spaces the tries of one call that the table refuses for the number of calls. Its
// zero value stands for a call that was not refused yet. It is not safe for concurrent use.
type Backoff struct {
	// Longest bounds the mean pause; 0 is what suits a call for one caller.
	Longest time.Duration

	pause time.Duration
}

// Reset takes the table to have taken a call.
func (b *Backoff) Reset() { b.pause = 0 }

// Next is the pause before the next try.
func (b *Backoff) Next() time.Duration {
	b.pause = min(max(2*b.pause, firstThrottlePause), cmp.Or(b.Longest, longestThrottlePause))
	return b.pause/2 + rand.N(b.pause)
}

// Wait waits for the pause before the next try. It fails at once if the caller's time ends
// before the pause would.
func (b *Backoff) Wait(ctx context.Context) error {
	pause := b.Next()
	if !allows(ctx, pause) {
		return ErrThrottled
	}
	return wait.For(ctx, pause)
}

// allows reports whether the caller's time lasts longer than a pause.
func allows(ctx context.Context, pause time.Duration) bool {
	deadline, bound := ctx.Deadline()
	return !bound || time.Until(deadline) > pause
}
