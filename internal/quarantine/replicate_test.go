package quarantine

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/stretchr/testify/require"

	"github.com/cloverwheel/cloverwheel/internal/budget"
	"github.com/cloverwheel/cloverwheel/internal/locality"
)

var errUnreachable = errors.New("the node does not answer")

// testCluster is a set of nodes that exchange what they know. Messages take testDelay each way.
type testCluster struct {
	mutex          sync.Mutex
	nodes          []*testNode
	betweenRegions int // messages from one region to the other
}

const testDelay = time.Millisecond

// testNode is a node of a testCluster, and the Peers of its replicator.
type testNode struct {
	cluster    *testCluster
	holder     budget.Holder
	tracker    *Tracker
	replicator *Replicator
	stop       context.CancelFunc
	listed     bool // the other nodes know it
	cut        bool // no messages pass
}

// start adds a node. Others know it if it is listed; it knows all that are.
func (c *testCluster) start(t *testing.T, listed bool) *testNode {
	return c.startIn(t, "z", listed)
}

// testZones are two zones in one region, and one in another.
var testZones = locality.NewMap(map[string]string{"z": "one", "y": "one", "x": "other"})

// startIn is start in a zone.
func (c *testCluster) startIn(t *testing.T, zone string, listed bool) *testNode {
	c.mutex.Lock()
	name := fmt.Sprint("n", len(c.nodes))
	node := &testNode{cluster: c, holder: budget.Holder{Process: zone + "/" + name, Address: name}, tracker: NewTracker(), listed: listed}
	c.nodes = append(c.nodes, node)
	c.mutex.Unlock()
	node.replicator = NewReplicator(ReplicatorOptions{
		Tracker: node.tracker, Self: node.holder, Nodes: node.known, Peers: node, Location: locality.Location{Zones: testZones, Zone: zone}, Logger: &log.Logger{Handler: discard.New()},
	})
	ctx, cancel := context.WithCancel(t.Context())
	node.stop = cancel
	go node.replicator.Run(ctx)
	time.Sleep(startTimeout + time.Second)
	return node
}

func (n *testNode) known() (nodes []budget.Holder) {
	n.cluster.mutex.Lock()
	defer n.cluster.mutex.Unlock()
	for _, node := range n.cluster.nodes {
		if node != n && node.listed {
			nodes = append(nodes, node.holder)
		}
	}
	return nodes
}

// ShareQuarantine implements Peers.
func (n *testNode) ShareQuarantine(ctx context.Context, holder budget.Holder, request ShareRequest) (ShareAnswer, error) {
	n.cluster.mutex.Lock()
	index := slices.IndexFunc(n.cluster.nodes, func(node *testNode) bool { return node.holder == holder })
	node := n.cluster.nodes[index]
	passes := !n.cut && !node.cut
	if locality.ZoneOf(n.holder.Process) == "x" != (locality.ZoneOf(holder.Process) == "x") {
		n.cluster.betweenRegions++
	}
	n.cluster.mutex.Unlock()
	if !passes {
		<-ctx.Done()
		return ShareAnswer{}, errUnreachable
	}
	time.Sleep(testDelay)
	answer := node.replicator.Handle(request)
	time.Sleep(testDelay)
	return answer, nil
}

func (c *testCluster) setCut(cut bool, nodes ...*testNode) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, node := range nodes {
		node.cut = cut
	}
}

// Guards against a client's next try that reaches another node before that one knows of the end.
func TestFlushedEndsAreKnownToAllNodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := &testCluster{}
		for range 4 {
			cluster.start(t, true)
		}
		fatal := workOf("fatal")
		for ends := 1; ends <= MaxEnds; ends++ {
			cluster.nodes[ends].tracker.end(fatal)
			cluster.nodes[ends].tracker.Flush(t.Context())
			for _, node := range cluster.nodes {
				require.Equal(t, ends, node.tracker.Evidence(fatal).Ends())
			}
		}
		stopAll(cluster)
	})
}

// Guards against nodes that hear of ends late because they have just started or are not among the nodes that others know.
func TestUnlistedNodesHearOfEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := &testCluster{}
		cluster.start(t, true)
		cluster.start(t, true)
		fatal := workOf("fatal")
		cluster.nodes[0].tracker.end(fatal)
		late := cluster.start(t, false)
		require.Equal(t, 1, late.tracker.Evidence(fatal).Ends())
		cluster.nodes[0].tracker.end(fatal)
		cluster.nodes[0].tracker.Flush(t.Context())
		time.Sleep(4 * testDelay) // it is told by the node that it has asked
		require.Equal(t, 2, late.tracker.Evidence(fatal).Ends())
		late.tracker.end(fatal)
		late.tracker.Flush(t.Context())
		require.True(t, cluster.nodes[1].tracker.Evidence(fatal).Quarantined())
		stopAll(cluster)
	})
}

// Guards against knowledge that dies with the node that saw the ends, and against nodes that never catch up after a partition.
func TestKnowledgeOutlastsNodesAndPartitions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := &testCluster{}
		for range 4 {
			cluster.start(t, true)
		}
		fatal := workOf("fatal")
		cluster.setCut(true, cluster.nodes[3])
		for range MaxEnds {
			cluster.nodes[0].tracker.end(fatal)
		}
		cluster.nodes[0].tracker.Flush(t.Context())
		cluster.nodes[0].stop()
		cluster.setCut(true, cluster.nodes[0])
		require.False(t, cluster.nodes[3].tracker.Evidence(fatal).Suspect())
		cluster.setCut(false, cluster.nodes[3])
		time.Sleep(4 * syncPeriod)
		require.True(t, cluster.nodes[3].tracker.Evidence(fatal).Quarantined())
		cluster.nodes[3].tracker.RecordAnswer(fatal) // an operator releases it
		time.Sleep(4 * syncPeriod)
		require.False(t, cluster.nodes[1].tracker.Evidence(fatal).Suspect())
		stopAll(cluster)
	})
}

// Guards against a caller that waits without end for a node that does not answer.
func TestFlushEndsWhileNodesAreUnreachable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := &testCluster{}
		cluster.start(t, true)
		cluster.start(t, true)
		cluster.setCut(true, cluster.nodes[1])
		for range 3 * maxPushes {
			cluster.nodes[0].tracker.end(workOf("fatal"))
		}
		begun := time.Now()
		cluster.nodes[0].tracker.Flush(t.Context())
		require.LessOrEqual(t, time.Since(begun), 2*shareTimeout)
		stopAll(cluster)
	})
}

// stopAll stops the nodes and waits until the messages under way have arrived.
func stopAll(cluster *testCluster) {
	for _, node := range cluster.nodes {
		node.stop()
	}
	time.Sleep(2 * shareTimeout)
}

// Guards against a node that serves with what it knew before it was paused.
func TestStalledNodesCatchUpBeforeTheyServe(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := &testCluster{}
		cluster.start(t, true)
		paused := cluster.start(t, true)
		cluster.setCut(true, paused)
		for range MaxEnds {
			cluster.nodes[0].tracker.end(workOf("fatal"))
		}
		cluster.nodes[0].tracker.Flush(t.Context())
		cluster.setCut(false, paused)
		paused.tracker.lastRun.Add(-int64(time.Second)) // as if it had not run since
		paused.tracker.AwaitCurrent(t.Context())
		require.True(t, paused.tracker.Evidence(workOf("fatal")).Quarantined())
		begun := time.Now()
		paused.tracker.AwaitCurrent(t.Context())
		require.Zero(t, time.Since(begun))
		stopAll(cluster)
	})
}

// Guards against two suspected works that run at the same worker because their nodes claimed it at the same time, and against claims
// that outlast the work or its node.
func TestClaimsAreExclusive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := &testCluster{}
		for range 3 {
			cluster.start(t, true)
		}
		var claiming sync.WaitGroup
		won := make([]bool, 2)
		for index := range won {
			claiming.Go(func() { won[index] = cluster.nodes[index].tracker.Claim(t.Context(), Key(index+1), "w") })
		}
		claiming.Wait()
		require.False(t, won[0] && won[1])
		for index := range won {
			cluster.nodes[index].tracker.EndClaim(Key(index+1), "w")
			cluster.nodes[index].tracker.Flush(t.Context())
		}
		first, second := cluster.nodes[0].tracker, cluster.nodes[1].tracker
		require.True(t, first.Claim(t.Context(), 1, "w"))
		require.False(t, second.Claim(t.Context(), 2, "w"))
		second.EndClaim(2, "w")
		require.True(t, cluster.nodes[2].tracker.Claim(t.Context(), 1, "w"), "the same work may run there again")
		for _, tracker := range []*Tracker{first, cluster.nodes[2].tracker} {
			require.False(t, second.Claim(t.Context(), 2, "w"), "another node has it still")
			second.EndClaim(2, "w")
			tracker.EndClaim(1, "w")
			tracker.Flush(t.Context())
		}
		require.True(t, second.Claim(t.Context(), 2, "w"))
		time.Sleep(claimTTL + time.Second)
		require.True(t, first.Claim(t.Context(), 1, "w"), "its node may have been killed")
		stopAll(cluster)
	})
}

// Guards against messages that nodes pass on to each other without end, because claims and their ends overtake each other.
func TestClaimsThatArriveLateChangeNothing(t *testing.T) {
	tracker := NewTracker()
	held := Claim{Key: 1, Worker: "w", Node: 5, Number: 1, Held: true}
	ended := Claim{Key: 1, Worker: "w", Node: 5, Number: 2}
	require.True(t, tracker.claims.apply(ended, time.Now()))
	require.False(t, tracker.claims.apply(held, time.Now()))
	require.False(t, tracker.claims.apply(ended, time.Now()))
	require.False(t, tracker.Claimed(2, "w"))
}

// Guards against ends that only a node knows which others do not ask.
func TestEndsOfAnUnlistedNodeReachOthersAfterAPartition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := &testCluster{}
		cluster.start(t, true)
		unlisted := cluster.start(t, false)
		cluster.setCut(true, unlisted)
		unlisted.tracker.end(workOf("fatal"))
		unlisted.tracker.Flush(t.Context())
		cluster.setCut(false, unlisted)
		time.Sleep(4 * syncPeriod)
		require.True(t, cluster.nodes[0].tracker.Evidence(workOf("fatal")).Suspect())
		stopAll(cluster)
	})
}
