package quarantine

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// startTwoRegions starts nodes in both regions, the later half in the other one.
func startTwoRegions(t *testing.T) *testCluster {
	cluster := &testCluster{}
	for _, zone := range []string{"z", "z", "y", "x", "x"} {
		cluster.startIn(t, zone, true)
	}
	return cluster
}

func (c *testCluster) countBetweenRegions() int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.betweenRegions
}

// Guards against messages to other regions without a reason: comparisons stay within the region.
func TestComparisonsStayInRegion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := startTwoRegions(t)
		time.Sleep(time.Minute)
		before := cluster.countBetweenRegions()
		time.Sleep(time.Hour)
		require.Equal(t, before, cluster.countBetweenRegions())
		stopAll(cluster)
	})
}

// Guards against a change that never reaches another region because the regions were apart when it was sent.
func TestMissedChangeReachesOtherRegion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := startTwoRegions(t)
		cluster.setCut(true, cluster.nodes[3:]...)
		fatal := workOf("fatal")
		cluster.nodes[0].tracker.end(fatal)
		time.Sleep(10 * time.Second)
		require.Zero(t, cluster.nodes[3].tracker.Evidence(fatal).Ends())
		cluster.setCut(false, cluster.nodes[3:]...)
		time.Sleep(6 * syncPeriod)
		for _, node := range cluster.nodes {
			require.Equal(t, 1, node.tracker.Evidence(fatal).Ends())
		}
		before := cluster.countBetweenRegions()
		time.Sleep(time.Minute)
		require.Equal(t, before, cluster.countBetweenRegions(), "no reason is left")
		stopAll(cluster)
	})
}

// Guards against a region that forgets which work ends workers when all of its nodes end together.
func TestRestartedRegionLearnsFromOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := startTwoRegions(t)
		fatal := workOf("fatal")
		cluster.nodes[0].tracker.end(fatal)
		time.Sleep(time.Second)
		for _, node := range cluster.nodes[3:] {
			node.stop()
		}
		cluster.setCut(true, cluster.nodes[3:]...)
		started := []*testNode{cluster.startIn(t, "x", true), cluster.startIn(t, "x", true)}
		time.Sleep(2 * syncPeriod)
		for _, node := range started {
			require.Equal(t, 1, node.tracker.Evidence(fatal).Ends())
		}
		stopAll(cluster)
	})
}
