package storetest

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/cloverwheel/cloverwheel/internal/store"
	"github.com/cloverwheel/cloverwheel/internal/wait"
)

// Counted is a Table whose commits have a latency and a rate limit. Each part handles one
// commit at a time, and commits across parts take twice as long.
type Counted struct {
	*Table
	options CountedOptions

	mutex     sync.Mutex
	tokens    float64              // of the rate limit
	filled    time.Time            // when tokens was last refilled
	free      map[string]time.Time // when each part has handled its queue
	slower    int                  // factor on the times of admitted commits
	admitted  int                  // commits admitted
	throttled int                  // commits throttled
}

// CountedOptions are the options of a Counted.
type CountedOptions struct {
	Writes float64       // rate limit, in commits per second
	Way    time.Duration // round-trip time to the table
	Takes  time.Duration // time to handle a commit in its part
	Across bool          // whether commits across parts are allowed
}

// Limits of a Counted: the burst of the rate limit, as the time in which it accrues, and the
// longest queue of a part, as the time to handle it.
const (
	countedBurst = 100 * time.Millisecond
	countedQueue = time.Second
)

var _ store.Store = (*Counted)(nil)

// ErrAcross is the error of a commit across parts if CountedOptions.Across is not set.
var ErrAcross = errors.New("status 400: rows of several parts")

// NewCounted returns an empty table with the given options.
func NewCounted(options CountedOptions) *Counted {
	return &Counted{Table: New(), options: options, filled: time.Now(), free: map[string]time.Time{}, slower: 1}
}

// SetSlower multiplies the times of admitted commits by a factor from now on. Throttled commits
// keep their time.
func (c *Counted) SetSlower(times int) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.slower = times
}

// SetWrites sets the rate limit from now on, in commits per second.
func (c *Counted) SetWrites(writes float64) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.options.Writes = writes
}

// Counts returns the numbers of commits that were admitted and throttled.
func (c *Counted) Counts() (admitted, throttled int) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.admitted, c.throttled
}

// admit counts a commit. It returns how long the response takes, and whether the commit is
// admitted rather than throttled.
func (c *Counted) admit(transaction store.Transaction) (takes time.Duration, admitted bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	now := time.Now()
	c.tokens = min(c.tokens+now.Sub(c.filled).Seconds()*c.options.Writes, c.options.Writes*countedBurst.Seconds())
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
	if c.tokens < 1 || done.Sub(now) > countedQueue {
		c.throttled++
		return c.options.Way, false
	}
	c.tokens--
	c.admitted++
	done = done.Add(takes)
	for part := range parts {
		c.free[part] = done
	}
	return done.Sub(now) + c.options.Way*time.Duration(c.slower), true
}

// partsOf returns the parts of the rows that a transaction puts or has conditions on.
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

// Commit implements store.Store. An admitted commit is applied even if ctx ends before the
// response.
func (c *Counted) Commit(ctx context.Context, transaction store.Transaction) (store.Version, error) {
	if transaction.Across() && !c.options.Across {
		return 0, ErrAcross
	}
	takes, admitted := c.admit(transaction)
	if !admitted {
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
