package capacity

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cloverwheel/cloverwheel/internal/outlier"
)

// TestNoQueryAtLowLoad guards against queries to the coordinator while most workers have capacity.
func TestNoQueryAtLowLoad(t *testing.T) {
	runCluster(t, 4, 4, func(t *testing.T, c *testCluster) {
		c.nodes[2].beginRequests(4)
		settle()
		placement, reservation := c.nodes[2].find(PlacementRequest{})
		require.Equal(t, SourceLocal, placement.Source)
		require.Zero(t, placement.Took)
		require.InDelta(t, 0.25, placement.Utilization, 0)
		reservation.Release()
	})
}

// TestCoordinatorAssignsFreeWorker guards against a request sent to a full worker while another one
// has capacity.
func TestCoordinatorAssignsFreeWorker(t *testing.T) {
	runCluster(t, 4, 4, func(t *testing.T, c *testCluster) {
		c.nodes[2].beginRequests(15) // of 16; the last worker has 3 requests
		settle()
		c.nodes[3].beginRequests(0)
		placement, reservation := c.nodes[3].find(PlacementRequest{})
		require.Equal(t, SourceLocal, placement.Source, "no status received yet")
		reservation.Release()
		settle()
		placement, reservation = c.nodes[3].find(PlacementRequest{})
		require.Equal(t, SourceCoordinator, placement.Source)
		require.Equal(t, "w3", reservation.WorkerKey())
		require.LessOrEqual(t, placement.Took, 2*c.hop)
	})
}

// TestFreedCapacityGoesToQueuedRequest guards against freed capacity that stays idle while a query
// waits. Canceled and failed requests release capacity in the same way.
func TestFreedCapacityGoesToQueuedRequest(t *testing.T) {
	runCluster(t, 4, 1, func(t *testing.T, c *testCluster) {
		reservations := c.nodes[2].beginRequests(testConcurrency + overcommit)
		c.nodes[3].beginRequests(1)
		settle()
		begun := time.Now()
		time.AfterFunc(50*time.Millisecond, func() { reservations[0].Release(); reservations[1].Release() })
		placement, _ := c.nodes[3].find(PlacementRequest{MaxWait: 400 * time.Millisecond})
		require.Equal(t, SourceCoordinator, placement.Source)
		require.Equal(t, "w0", placement.Reservation.WorkerKey())
		require.LessOrEqual(t, time.Since(begun), 50*time.Millisecond+reportDelayBusy+2*reportTick+4*c.hop)
	})
}

// TestMaximumWaitIsKept guards against waiting longer for capacity than the request allows.
func TestMaximumWaitIsKept(t *testing.T) {
	runCluster(t, 4, 1, func(t *testing.T, c *testCluster) {
		c.nodes[2].beginRequests(20)
		c.nodes[3].beginRequests(1)
		settle()
		for _, longest := range []time.Duration{0, 30 * time.Millisecond, 400 * time.Millisecond} {
			placement, reservation := c.nodes[3].find(PlacementRequest{MaxWait: longest})
			require.Equal(t, SourceFull, placement.Source)
			require.LessOrEqual(t, placement.Took, longest+10*c.hop)
			reservation.Release()
		}
	})
}

// TestCanceledRequestTakesNoCapacity guards against capacity lost to a request canceled while it
// waited.
func TestCanceledRequestTakesNoCapacity(t *testing.T) {
	runCluster(t, 4, 1, func(t *testing.T, c *testCluster) {
		reservations := c.nodes[2].beginRequests(testConcurrency + overcommit)
		others := c.nodes[3].beginRequests(1)
		settle()
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(20*time.Millisecond, cancel)
		placement := c.nodes[3].client.Reserve(ctx, PlacementRequest{Service: "s", MaxWait: 400 * time.Millisecond, Allows: func(string) bool { return true }})
		require.Nil(t, placement.Reservation)
		require.LessOrEqual(t, placement.Took, 21*time.Millisecond)
		for _, reservation := range append(reservations, others...) {
			reservation.Release()
		}
		time.Sleep(grantTTL + 100*time.Millisecond)
		require.Zero(t, c.nodes[c.coordinatorIndex()].coordinator.Utilization(testGroup))
	})
}

// tracks reports whether the client has state of a group.
func (c *Client) tracks(group Group) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	_, ok := c.groups[group]
	return ok
}

// Guards against reports that the coordinator discards as outdated, because the node counts them anew after
// its state of an idle group was removed.
func TestReportsCountAfterGroupWasIdle(t *testing.T) {
	runCluster(t, 3, 4, func(t *testing.T, c *testCluster) {
		reporting := c.nodes[2]
		brief := reporting.client.Begin("s", c.workers[0], 0)
		synctest.Wait() // the begin is reported before the end
		brief.Release()
		time.Sleep(reportDelayNormal + reportTick + 10*time.Millisecond) // less than settleTime, so no utilization is known
		require.False(t, reporting.client.tracks(testGroup), "the state of the idle group is removed")
		reporting.client.Begin("s", c.workers[0], 0)
		time.Sleep(10 * time.Millisecond)
		coordinator := c.nodes[c.coordinatorIndex()].coordinator
		coordinator.mutex.Lock()
		defer coordinator.mutex.Unlock()
		require.Equal(t, 1, coordinator.schedulers[testGroup].load.loads[c.workers[0]].requests)
	})
}

// coordinatorFailure is a failure of the coordinator.
type coordinatorFailure struct {
	start      func(c *testCluster, coordinator int)
	stop       func(c *testCluster, coordinator int)
	senderOnly bool // only the sender cannot reach the coordinator; the replacement has no other node's reports
}

// TestCoordinatorFailover guards against long waits when a coordinator is killed, paused for 4 s,
// unreachable one way or replaced by an older version. Within a second another coordinator assigns
// workers. A node that alone cannot reach the coordinator chooses from local state.
func TestCoordinatorFailover(t *testing.T) {
	for name, failure := range map[string]coordinatorFailure{
		"killed":      {start: func(c *testCluster, coordinator int) { c.setState(c.unresponsive, coordinator, true) }},
		"cut one way": {start: func(c *testCluster, coordinator int) { c.cutLink(3, coordinator) }, senderOnly: true},
		"old build":   {start: func(c *testCluster, coordinator int) { c.setState(c.outdated, coordinator, true) }},
		"paused": {
			start: func(c *testCluster, coordinator int) { c.setState(c.unresponsive, coordinator, true) },
			stop:  func(c *testCluster, coordinator int) { c.setState(c.unresponsive, coordinator, false) },
		},
	} {
		t.Run(name, func(t *testing.T) {
			runCluster(t, 4, 4, func(t *testing.T, c *testCluster) {
				c.nodes[2].beginRequests(15) // only w3 has capacity
				c.nodes[3].beginRequests(1)
				settle()
				settle()
				coordinator := c.coordinatorIndex()
				failure.start(c, coordinator)
				reserve := func() Placement {
					placement, reservation := c.nodes[3].find(PlacementRequest{MaxWait: 400 * time.Millisecond})
					reservation.Release()
					time.Sleep(30 * time.Millisecond)
					return placement
				}
				var waited time.Duration
				for begun := time.Now(); time.Since(begun) < time.Second; {
					placement := reserve()
					waited += placement.Took
					require.Contains(t, []Source{SourceCoordinator, SourceNoAnswer, SourceUnsettled, SourceLocal}, placement.Source)
				}
				require.LessOrEqual(t, waited, missesToSuspect*queryTimeout+time.Second/10)
				for begun := time.Now(); time.Since(begun) < 3*time.Second; {
					placement := reserve()
					require.LessOrEqual(t, placement.Took, 10*c.hop)
					if failure.senderOnly {
						continue
					}
					require.Equal(t, SourceCoordinator, placement.Source, "after %v", time.Since(begun))
					require.NotEqual(t, c.process(coordinator), placement.Coordinator)
					require.Equal(t, "w3", placement.Reservation.WorkerKey())
				}
				if failure.stop == nil {
					return
				}
				failure.stop(c, coordinator)
				for begun := time.Now(); time.Since(begun) < 2*maxBackoff; {
					reserve()
				}
				placement := reserve()
				require.Equal(t, SourceCoordinator, placement.Source)
				require.Equal(t, c.process(coordinator), placement.Coordinator, "the recovered process must be coordinator again")
				require.Equal(t, "w3", placement.Reservation.WorkerKey())
			})
		})
	}
}

// TestTwoCoordinatorsAtOnce guards against excessive waits while some nodes cannot reach the
// coordinator and use another one, and against a process that acts as coordinator when it is not.
func TestTwoCoordinatorsAtOnce(t *testing.T) {
	runCluster(t, 6, 4, func(t *testing.T, c *testCluster) {
		first := c.coordinatorIndex()
		second := 1 - first
		for _, index := range []int{3, 5} {
			c.cutLink(index, first)
		}
		for index := 2; index < 6; index++ {
			c.nodes[index].beginRequests(4) // all 16 in use
		}
		settle()
		settle()
		for range 20 {
			for index := 2; index < 6; index++ {
				placement, reservation := c.nodes[index].find(PlacementRequest{MaxWait: 100 * time.Millisecond})
				require.LessOrEqual(t, placement.Took, 100*time.Millisecond+10*c.hop)
				reservation.Release()
			}
			time.Sleep(30 * time.Millisecond)
		}
		last := func(index int) Placement { return c.nodes[index].placements[len(c.nodes[index].placements)-1] }
		require.Equal(t, c.process(first), last(2).Coordinator)
		require.Equal(t, c.process(second), last(3).Coordinator)

		answer := c.nodes[second].coordinator.Answer(t.Context(), Request{Process: c.process(second), Report: Report{From: "x", Group: testGroup}})
		require.False(t, answer.Keeper, "not the coordinator, and no other process was passed over")
		answer = c.nodes[first].coordinator.Answer(t.Context(), Request{Process: "of an earlier process", Report: Report{From: "x", Group: testGroup}})
		require.False(t, answer.Keeper)
	})
}

// TestFailedNodeFreesItsCapacity guards against capacity that stays occupied for more than a second
// after a node fails.
func TestFailedNodeFreesItsCapacity(t *testing.T) {
	runCluster(t, 4, 13, func(t *testing.T, c *testCluster) {
		c.nodes[2].beginRequests(50) // of 52
		c.nodes[3].beginRequests(1)
		settle()
		settle()
		utilization := func() float64 {
			placement, reservation := c.nodes[3].find(PlacementRequest{})
			reservation.Release()
			return placement.Utilization
		}
		require.Greater(t, utilization(), 0.9)
		c.setState(c.unresponsive, 2, true)
		time.Sleep(time.Second)
		require.Less(t, utilization(), 0.1)
	})
}

// TestRestartedWorkerIsNewWorker guards against counting the requests of a worker's previous
// incarnation. The worker key names the incarnation.
func TestRestartedWorkerIsNewWorker(t *testing.T) {
	runCluster(t, 4, 3, func(t *testing.T, c *testCluster) {
		c.nodes[2].beginRequests(11) // w2 has 3, the others 4
		c.nodes[3].beginRequests(1)  // w0 has one more
		settle()
		settle()
		placement, reservation := c.nodes[3].find(PlacementRequest{})
		require.Equal(t, "w2", placement.Reservation.WorkerKey())
		reservation.Release()
		c.withLock(func() { c.workers[0] = "w0@2" })
		time.Sleep(100 * time.Millisecond)
		placement, reservation = c.nodes[3].find(PlacementRequest{Home: "w0"})
		require.Equal(t, "w0@2", placement.Reservation.WorkerKey())
		reservation.Release()
	})
}

// TestSamplesAndVerdictsTravelWithReports guards against samples that do not reach the coordinator,
// verdicts that do not reach the nodes, and assigning requests to a worker to be avoided.
func TestSamplesAndVerdictsTravelWithReports(t *testing.T) {
	runCluster(t, 4, 4, func(t *testing.T, c *testCluster) {
		c.merged.withLock(func() { c.merged.avoid = []outlier.Verdict{{Worker: "w3", Until: time.Minute}} })
		node := &c.nodes[2].samples
		node.withLock(func() { node.pending = []outlier.Sample{{Worker: "w3", Requests: 9, Failures: 9}} })
		c.nodes[2].beginRequests(14) // w2 and w3 have capacity
		c.nodes[3].beginRequests(1)
		settle()
		settle()
		c.merged.withLock(func() { require.Len(t, c.merged.received, 1) })
		node.withLock(func() { require.Equal(t, c.merged.avoid, node.verdicts) })
		for range 4 {
			placement, _ := c.nodes[3].find(PlacementRequest{Exclude: []string{"w0"}})
			require.NotEqual(t, "w3", placement.Reservation.WorkerKey())
		}
	})
}
