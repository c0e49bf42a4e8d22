package groupcommit

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cloverwheel/cloverwheel/internal/store/storetest"
)

// Turns per second, with a table limited to 1,500 commits per second.
const (
	targetRate = 1400
	highRate   = 4000
	lowRate    = 200
)

// maxStoreTime bounds the 90th percentile of the time to store a turn at targetRate.
const maxStoreTime = 40 * time.Millisecond

// TestWriteRateAboveTableLimit guards against throttling and slow writes when the turn rate nears
// or exceeds the table's commit limit.
func TestWriteRateAboveTableLimit(t *testing.T) {
	for _, test := range []struct {
		perSecond      int
		crossPartition bool
	}{{targetRate, false}, {highRate, false}, {targetRate, true}, {highRate, true}} {
		synctest.Test(t, func(t *testing.T) {
			perSecond := test.perSecond
			const duration = 4 * time.Second
			c := newTestCluster(t, test.crossPartition)
			start := time.Now()
			go func() {
				time.Sleep(2 * time.Second)
				before, throttledBefore := c.table.Counts()
				batchedBefore := c.calls.Load()
				time.Sleep(duration - 2*time.Second)
				taken, throttled := c.table.Counts()
				perSecondOf := func(calls int) float64 { return float64(calls) / (duration - 2*time.Second).Seconds() }
				batched := perSecondOf(int(c.calls.Load() - batchedBefore))
				t.Logf("%d turns a second: %.0f commits a second, %.0f by committers, %.1f throttled", perSecond,
					perSecondOf(taken-before), batched, perSecondOf(throttled-throttledBefore))
				require.LessOrEqual(t, batched, groupCommitShare*1500, "group commit exceeds its share of the commit rate")
				require.LessOrEqual(t, perSecondOf(throttled-throttledBefore), 15.0, "more than one commit in a hundred is throttled")
			}()
			c.load(perSecond, duration)
			require.Zero(t, c.checkResults())
			p90 := c.p90(start.Add(2*time.Second), start.Add(duration))
			t.Logf("%d turns a second: p90 of storing a turn %v", perSecond, p90)
			if perSecond == targetRate {
				require.Less(t, p90, maxStoreTime)
			}
		})
	}
}

// TestLowRateWritesDirectly guards against sending rows to owners, or delaying them, while the
// table has spare capacity.
func TestLowRateWritesDirectly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCluster(t, false)
		start := time.Now()
		c.load(lowRate, 3*time.Second)
		require.Zero(t, c.checkResults())
		require.Zero(t, c.requests.Load())
		require.LessOrEqual(t, c.p90(start, time.Now()), 15*time.Millisecond)
	})
}

// TestFailuresLoseNoTurn guards against lost or late turns while owners, connections or the table
// fail, and against slow writes later than a second after recovery.
func TestFailuresLoseNoTurn(t *testing.T) {
	const (
		owner        = 3
		failureStart = 1500 * time.Millisecond
		failureEnd   = 3500 * time.Millisecond
	)
	set := func(c *testCluster, what map[int]bool, value bool) {
		c.mutex.Lock()
		defer c.mutex.Unlock()
		what[owner] = value
	}
	failures := map[string]struct {
		begin, end     func(c *testCluster)
		crossPartition bool // also run with transactions across partitions
	}{
		"owner killed": {
			begin: func(c *testCluster) { set(c, c.unreachable, true) },
			end:   func(c *testCluster) { c.assignOwner(owner, 40) },
		},
		"owner paused": {
			begin: func(c *testCluster) {
				c.mutex.Lock()
				defer c.mutex.Unlock()
				c.paused[owner] = make(chan struct{})
			},
			end: func(c *testCluster) {
				c.mutex.Lock()
				defer c.mutex.Unlock()
				close(c.paused[owner])
				delete(c.paused, owner)
			},
		},
		"owner's replies are lost": {
			begin: func(c *testCluster) { set(c, c.replyLost, true) },
			end:   func(c *testCluster) { set(c, c.replyLost, false) },
		},
		"owner runs an old build": {
			begin: func(c *testCluster) { set(c, c.oldBuild, true) },
			end:   func(c *testCluster) { set(c, c.oldBuild, false) },
		},
		"owner cannot reach the table": {
			begin: func(c *testCluster) { set(c, c.tableCut, true) },
			end:   func(c *testCluster) { set(c, c.tableCut, false) },
		},
		"two owners": {
			begin: func(c *testCluster) { c.assignOwner(owner, 41) },
			end:   func(*testCluster) {},
		},
		"throttled table": {
			begin: func(c *testCluster) { c.table.SetRate(150) },
			end:   func(c *testCluster) { c.table.SetRate(1500) }, crossPartition: true,
		},
		"slow table": {
			begin: func(c *testCluster) { c.table.SetSlowdown(10) },
			end:   func(c *testCluster) { c.table.SetSlowdown(1) },
		},
		"partition is unavailable": {
			begin: func(c *testCluster) {
				c.table.SetFault(func(part string, _ bool) storetest.Fault {
					if part == "t25" {
						return storetest.Refused
					}
					return storetest.None
				})
			},
			end:            func(c *testCluster) { c.table.SetFault(nil) },
			crossPartition: true,
		},
	}
	for name, failure := range failures {
		for _, crossPartition := range []bool{false, true} {
			if crossPartition && !failure.crossPartition {
				continue
			}
			t.Run(fmt.Sprintf("%s, across %v", name, crossPartition), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					c := newTestCluster(t, crossPartition)
					start := time.Now()
					time.AfterFunc(failureStart, func() { failure.begin(c) })
					time.AfterFunc(failureEnd, func() { failure.end(c) })
					c.load(targetRate, failureEnd+2*time.Second)
					failed := c.checkResults()
					during := c.p90(start.Add(failureStart), start.Add(failureEnd))
					after := c.p90(start.Add(failureEnd+time.Second), start.Add(failureEnd+2*time.Second))
					t.Logf("%d of %d turns failed, p90 of storing a turn %v during, %v after", failed, len(c.results), during, after)
					require.Zero(t, failed)
					require.Less(t, after, maxStoreTime)
				})
			})
		}
	}
}
