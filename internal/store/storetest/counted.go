package storetest

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/cloverwheel/cloverwheel/internal/store"
	"github.com/cloverwheel/cloverwheel/internal/timing"
)

// LimitedTable is a Table whose commits have a latency and a rate limit. Each part handles one
// commit at a time, and commits across parts take twice as long.
type LimitedTable struct {
	*Table
	options LimitedOptions

	mutex     sync.Mutex
	tokens    float64              // of the rate limit
	filled    time.Time            // when tokens was last refilled
	free      map[string]time.Time // when each part has handled its queue
	slower    int                  // factor on the times of admitted commits
	admitted  int                  // commits admitted
	throttled int                  // commits throttled
}

// LimitedOptions are the options of a LimitedTable.
type LimitedOptions struct {
	CommitsPerSecond float64       // rate limit, in commits per second
	RoundTrip        time.Duration // round-trip time to the table
	CommitTime       time.Duration // time to handle a commit in its part
	CrossPart        bool          // whether commits across parts are allowed
}

// Limits of a LimitedTable: the burst of the rate limit, as the time in which it accrues, and the
// longest queue of a part, as the time to handle it.
const (
	countedBurst = 100 * time.Millisecond
	countedQueue = time.Second
)

var _ store.Store = (*LimitedTable)(nil)

// ErrCrossPart is the error of a commit across parts if LimitedOptions.CrossPart is not set.
var ErrCrossPart = errors.New("status 400: rows of several parts")

// NewLimitedTable returns an empty table with the given options.
func NewLimitedTable(options LimitedOptions) *LimitedTable {
	return &LimitedTable{Table: New(), options: options, filled: time.Now(), free: map[string]time.Time{}, slower: 1}
}

// SetSlowdown multiplies the times of admitted commits by a factor from now on. Throttled commits
// keep their time.
func (c *LimitedTable) SetSlowdown(times int) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.slower = times
}

// SetRate sets the rate limit from now on, in commits per second.
func (c *LimitedTable) SetRate(writes float64) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.options.CommitsPerSecond = writes
}

// Counts returns the numbers of commits that were admitted and throttled.
func (c *LimitedTable) Counts() (admitted, throttled int) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.admitted, c.throttled
}

// admit counts a commit. It returns how long the response takes, and whether the commit is
// admitted rather than throttled.
func (c *LimitedTable) admit(transaction store.Transaction) (takes time.Duration, admitted bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	now := time.Now()
	c.tokens = min(c.tokens+now.Sub(c.filled).Seconds()*c.options.CommitsPerSecond, c.options.CommitsPerSecond*countedBurst.Seconds())
	c.filled = now
	done, takes := now, c.options.CommitTime*time.Duration(c.slower)
	if transaction.CrossPart() {
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
		return c.options.RoundTrip, false
	}
	c.tokens--
	c.admitted++
	done = done.Add(takes)
	for part := range parts {
		c.free[part] = done
	}
	return done.Sub(now) + c.options.RoundTrip*time.Duration(c.slower), true
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
func (c *LimitedTable) Commit(ctx context.Context, transaction store.Transaction) (store.Version, error) {
	if transaction.CrossPart() && !c.options.CrossPart {
		return 0, ErrCrossPart
	}
	takes, admitted := c.admit(transaction)
	if !admitted {
		if err := timing.Sleep(ctx, takes); err != nil {
			return 0, err
		}
		return 0, store.ErrThrottled
	}
	version, err := c.Table.Commit(ctx, transaction)
	if late := timing.Sleep(ctx, takes); late != nil {
		return 0, late
	}
	return version, err
}
