package storetest

import (
	"context"
	"sync"
	"time"

	"github.com/cloverwheel/cloverwheel/internal/store"
	"github.com/cloverwheel/cloverwheel/internal/wait"
)

// Counted is a table at a distance that takes so many writing calls a second and no more. Each
// part takes one at a time, and calls across parts take twice as long.
type Counted struct {
	*Table
	options CountedOptions

	mutex   sync.Mutex
	left    float64 // calls that are taken now
	filled  time.Time
	free    map[string]time.Time // when a part has done what waits for it
	slower  int
	calls   int
	refused int
}

// CountedOptions of a Counted.
type CountedOptions struct {
	Writes float64       // calls a second
	Way    time.Duration // there and back
	Takes  time.Duration // a call, in its part
}

// Bounds of a Counted: the time of calls that may come at once, and of those that wait for a part.
const (
	countedBurst = 100 * time.Millisecond
	countedQueue = time.Second
)

var _ store.Store = (*Counted)(nil)

// NewCounted returns an empty table.
func NewCounted(options CountedOptions) *Counted {
	return &Counted{Table: New(), options: options, filled: time.Now(), free: map[string]time.Time{}, slower: 1}
}

// SetSlower lets everything take so many times as long.
func (c *Counted) SetSlower(times int) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.slower = times
}

// SetWrites sets how many calls a second are taken from now on.
func (c *Counted) SetWrites(writes float64) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.options.Writes = writes
}

// Counts returns how many writing calls were taken and refused for their number.
func (c *Counted) Counts() (taken, refused int) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.calls, c.refused
}

// admit counts a call. It tells how long it takes, or that it is refused.
func (c *Counted) admit(transaction store.Transaction) (takes time.Duration, taken bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	now := time.Now()
	c.left = min(c.left+now.Sub(c.filled).Seconds()*c.options.Writes, c.options.Writes*countedBurst.Seconds())
	c.filled = now
	done, takes := now, c.options.Takes*time.Duration(c.slower)
	if transaction.Across() {
		takes *= 2
	}
	parts := partsOf(transaction)
	for part := range parts {
		if c.free[part].After(done) {
			done = c.free[part]
		}
	}
	if c.left < 1 || done.Sub(now) > countedQueue {
		c.refused++
		return c.options.Way, false
	}
	c.left--
	c.calls++
	done = done.Add(takes)
	for part := range parts {
		c.free[part] = done
	}
	return done.Sub(now) + c.options.Way*time.Duration(c.slower), true
}

func partsOf(transaction store.Transaction) map[string]bool {
	parts := map[string]bool{}
	for _, row := range transaction.Put {
		parts[row.Part] = true
	}
	for _, condition := range transaction.Conditions {
		parts[condition.Part] = true
	}
	return parts
}

// Commit implements store.Store. It is done though its caller has gone.
func (c *Counted) Commit(ctx context.Context, transaction store.Transaction) (store.Version, error) {
	takes, taken := c.admit(transaction)
	if !taken {
		if err := wait.For(ctx, takes); err != nil {
			return 0, err
		}
		return 0, store.ErrThrottled
	}
	version, err := c.Table.Commit(ctx, transaction)
	if late := wait.For(ctx, takes); late != nil {
		return 0, late
	}
	return version, err
}
