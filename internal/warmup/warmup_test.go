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

var testCapacity = ColdCapacity{PerSecond: 24, Overage: 1.5, Slack: 5}

func bound(b ColdCapacity) float64 { return b.PerSecond*b.Overage + b.Slack }

// Guards against exceeding a worker's bound while owners crash, pause, are partitioned from
// nodes or from the store, and overlap. All nodes ignore at first that the worker is cold, and
// some always do.
func TestBoundHoldsDuringFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		coldCapacity := ColdCapacity{PerSecond: rapid.Float64Range(5, 40).Draw(rt, "per second"), Overage: 1.5, Slack: 5}
		synctest.Test(t, func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 1))
			c := newTestCluster(3+random.IntN(8), coldCapacity)
			time.Sleep(6 * time.Second)
			const length = 20 * time.Second
			var running sync.WaitGroup
			running.Go(func() { c.load(rand.New(rand.NewPCG(seed, 2)), coldCapacity.PerSecond*8, length) })
			running.Go(func() { c.sendUnpermitted(coldCapacity.PerSecond*1.3, propagationDelay) })
			running.Go(func() { c.sendUnpermitted(coldCapacity.PerSecond*0.14, length) })
			running.Go(func() { c.injectFaults(random, length) })
			running.Wait()
			require.LessOrEqual(t, float64(maxInSecond(c.arrived)), bound(coldCapacity), "seed %d, %v", seed, coldCapacity)
			c.stop()
		})
	})
}

// Guards against unused capacity in a cluster without faults.
func TestColdWorkerCapacityIsUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCluster(8, testCapacity)
		time.Sleep(2 * time.Second)
		c.load(rand.New(rand.NewPCG(1, 1)), 200, 10*time.Second)
		// Each node caches a refusal for up to 100 ms, and new programs get only a part.
		require.Greater(t, float64(len(c.arrived)), 0.9*newProgramPart*testCapacity.PerSecond*10)
		c.stop()
	})
}

// Guards against new programs using up the permits that are reserved for running ones.
func TestRunningProgramsTakePrecedence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCluster(1, testCapacity)
		time.Sleep(2 * time.Second)
		issued := func(begins bool) (count int) {
			for c.nodes[0].allocator.Answer(Request{Worker: "w", Service: "s", Begins: begins}).Lent {
				count++
			}
			return count
		}
		require.Positive(t, issued(true))
		require.Positive(t, issued(false), "running programs must get the permits kept for them")
		c.stop()
	})
}

// Guards against overloading a worker that has just turned cold and still receives requests
// without permits.
func TestNewAccountCountsRequestsInFlight(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCluster(1, testCapacity)
		time.Sleep(2 * time.Second)
		answer := c.nodes[0].allocator.Answer(Request{Worker: "w", Service: "s"})
		require.True(t, answer.Lent)
		require.Equal(t, testCapacity.unpermitted(), answer.Used)
		c.stop()
	})
}

// Guards against issuing permits while those of the previous owner may still count.
func TestSuccessorWaitsForPredecessorsPermits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCluster(1, testCapacity)
		answer := c.nodes[0].allocator.Answer(Request{Worker: "w", Service: "s"})
		require.True(t, answer.Able)
		require.False(t, answer.Lent)
		time.Sleep(answer.Wait)
		require.True(t, c.nodes[0].allocator.Answer(Request{Worker: "w", Service: "s"}).Lent)
		c.stop()
	})
}

// Guards against issuing permits after the lease could not be renewed.
func TestNoPermitsWithoutLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCluster(1, testCapacity)
		time.Sleep(2 * time.Second)
		c.set(func() { c.nodes[0].storeDown = true })
		time.Sleep(directory.MaxLeaseDuration)
		require.False(t, c.nodes[0].allocator.Answer(Request{Worker: "w", Service: "s"}).Able)
		require.Equal(t, unavailableWait, c.send(0, 0).RetryAfter, "no process may issue permits")
		c.stop()
	})
}

// Guards against using a permit that arrives late because its owner was paused.
func TestPermitExpiresAfterRequestTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCluster(2, testCapacity)
		time.Sleep(2 * time.Second)
		c.set(func() { c.nodes[0].paused = time.Now().Add(time.Second) })
		permit := c.nodes[1].client.Acquire(context.Background(), forward.WarmupRequest{Worker: "w", Service: "s"})
		require.False(t, time.Now().Before(permit.ExpiresAt))
		c.stop()
	})
}

// Guards against a retry delay after which there is still no permit.
func TestDenialHasUsableWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCluster(2, testCapacity)
		time.Sleep(2 * time.Second)
		permit := c.send(1, 0)
		for !permit.ExpiresAt.IsZero() {
			permit = c.send(1, 0)
		}
		require.Positive(t, permit.RetryAfter)
		time.Sleep(permit.RetryAfter)
		require.False(t, c.send(1, 0).ExpiresAt.IsZero())
		c.stop()
	})
}

// Guards against enforcing a limit for a service that has none.
func TestNoPermitsForUnlimitedService(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCluster(1, ColdCapacity{})
		time.Sleep(2 * time.Second)
		require.False(t, c.nodes[0].allocator.Answer(Request{Worker: "w", Service: "s"}).Able)
		c.stop()
	})
}

// Guards against exceeding the bound when requests that were sent slowly arrive together with
// ones sent quickly a second later.
func TestBoundHoldsWithVaryingSendDelays(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCluster(1, testCapacity)
		time.Sleep(2 * time.Second)
		c.send(0, 0)
		time.Sleep(2 * Window) // the assumed requests in flight no longer count
		var sends sync.WaitGroup
		burst := func(delay time.Duration) {
			for range int(bound(testCapacity)) {
				sends.Go(func() { c.send(0, delay) })
			}
		}
		burst(maxSendDelay)
		time.Sleep(countingPeriod + 2*Window/50) // the sliding window has 50 steps
		burst(0)
		sends.Wait()
		require.LessOrEqual(t, float64(maxInSecond(c.arrived)), bound(testCapacity))
		c.stop()
	})
}
