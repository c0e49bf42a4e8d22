package warmup

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cloverwheel/cloverwheel/internal/directory"
	"github.com/cloverwheel/cloverwheel/internal/forward"
)

var testBearing = ColdCapacity{PerSecond: 24, Overage: 1.5, Slack: 5}

func bound(b ColdCapacity) float64 { return b.PerSecond*b.Overage + b.Slack }

// Guards against exceeding a worker's bound while owners crash, pause, are partitioned from
// nodes or from the store, and overlap. All nodes ignore at first that the worker is cold, and
// some always do.
func TestBoundHoldsDuringFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		bearing := ColdCapacity{PerSecond: rapid.Float64Range(5, 40).Draw(rt, "per second"), Overage: 1.5, Slack: 5}
		synctest.Test(t, func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 1))
			c := newTestCluster(3+random.IntN(8), bearing)
			time.Sleep(6 * time.Second)
			const length = 20 * time.Second
			var running sync.WaitGroup
			running.Go(func() { c.load(rand.New(rand.NewPCG(seed, 2)), bearing.PerSecond*8, length) })
			running.Go(func() { c.sendUnpermitted(bearing.PerSecond*1.3, propagationDelay) })
			running.Go(func() { c.sendUnpermitted(bearing.PerSecond*0.14, length) })
			running.Go(func() { c.injectFaults(random, length) })
			running.Wait()
			require.LessOrEqual(t, float64(maxInSecond(c.arrived)), bound(bearing), "seed %d, %v", seed, bearing)
			c.stop()
		})
	})
}

// Guards against unused capacity in a cluster without faults.
func TestColdWorkerCapacityIsUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCluster(8, testBearing)
		time.Sleep(2 * time.Second)
		c.load(rand.New(rand.NewPCG(1, 1)), 200, 10*time.Second)
		// Each node caches a refusal for up to 100 ms, and new programs get only a part.
		require.Greater(t, float64(len(c.arrived)), 0.9*newProgramPart*testBearing.PerSecond*10)
		c.stop()
	})
}

func TestRunningProgramsTakePrecedence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCluster(1, testBearing)
		time.Sleep(2 * time.Second)
		lent := func(begins bool) (count int) {
			for c.nodes[0].lender.Answer(Request{Worker: "w", Service: "s", Begins: begins}).Lent {
				count++
			}
			return count
		}
		require.Positive(t, lent(true))
		require.Positive(t, lent(false), "running programs must get the permits kept for them")
		c.stop()
	})
}

// Guards against overloading a worker that has just turned cold and still receives requests
// without permits.
func TestNewAccountCountsRequestsInFlight(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCluster(1, testBearing)
		time.Sleep(2 * time.Second)
		answer := c.nodes[0].lender.Answer(Request{Worker: "w", Service: "s"})
		require.True(t, answer.Lent)
		require.Equal(t, testBearing.unpermitted(), answer.Used)
		c.stop()
	})
}

func TestSuccessorWaitsForPredecessorsPermits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCluster(1, testBearing)
		answer := c.nodes[0].lender.Answer(Request{Worker: "w", Service: "s"})
		require.True(t, answer.Able)
		require.False(t, answer.Lent)
		time.Sleep(answer.Wait)
		require.True(t, c.nodes[0].lender.Answer(Request{Worker: "w", Service: "s"}).Lent)
		c.stop()
	})
}

// Guards against issuing permits after the lease could not be renewed.
func TestNoPermitsWithoutLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCluster(1, testBearing)
		time.Sleep(2 * time.Second)
		c.set(func() { c.nodes[0].storeDown = true })
		time.Sleep(directory.MaxLeaseDuration)
		require.False(t, c.nodes[0].lender.Answer(Request{Worker: "w", Service: "s"}).Able)
		require.Equal(t, unavailableWait, c.send(0, 0).RetryAfter, "no process may issue permits")
		c.stop()
	})
}

// Guards against using a permit that arrives late because its owner was paused.
func TestPermitExpiresAfterRequestTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCluster(2, testBearing)
		time.Sleep(2 * time.Second)
		c.set(func() { c.nodes[0].paused = time.Now().Add(time.Second) })
		loan := c.nodes[1].borrower.Acquire(context.Background(), forward.WarmupRequest{Worker: "w", Service: "s"})
		require.False(t, time.Now().Before(loan.ExpiresAt))
		c.stop()
	})
}

// Guards against a retry delay after which there is still no permit.
func TestDenialHasUsableWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCluster(2, testBearing)
		time.Sleep(2 * time.Second)
		loan := c.send(1, 0)
		for !loan.ExpiresAt.IsZero() {
			loan = c.send(1, 0)
		}
		require.Positive(t, loan.RetryAfter)
		time.Sleep(loan.RetryAfter)
		require.False(t, c.send(1, 0).ExpiresAt.IsZero())
		c.stop()
	})
}

func TestNoPermitsForUnlimitedService(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCluster(1, ColdCapacity{})
		time.Sleep(2 * time.Second)
		require.False(t, c.nodes[0].lender.Answer(Request{Worker: "w", Service: "s"}).Able)
		c.stop()
	})
}

// Guards against exceeding the bound when requests that were sent slowly arrive together with
// ones sent quickly a second later.
func TestBoundHoldsWithVaryingSendDelays(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCluster(1, testBearing)
		time.Sleep(2 * time.Second)
		c.send(0, 0)
		time.Sleep(2 * Window) // the assumed requests in flight no longer count
		var sends sync.WaitGroup
		burst := func(delay time.Duration) {
			for range int(bound(testBearing)) {
				sends.Go(func() { c.send(0, delay) })
			}
		}
		burst(maxSendDelay)
		time.Sleep(countingPeriod + 2*Window/50) // the sliding window has 50 steps
		burst(0)
		sends.Wait()
		require.LessOrEqual(t, float64(maxInSecond(c.arrived)), bound(testBearing))
		c.stop()
	})
}
