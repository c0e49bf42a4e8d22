package streamcopy

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cloverwheel/cloverwheel/internal/budget"
	"github.com/cloverwheel/cloverwheel/internal/locality"
)

var errUnreachable = errors.New("the node does not answer")

// testNode is a node of a test cluster, and the Peers of its client.
type testNode struct {
	cluster *testCluster
	holder  budget.Holder
	client  *Client
	silent  bool // it answers nothing
}

// testCluster is a set of nodes in three zones, the last of which is a region of its own.
type testCluster struct {
	mutex    sync.Mutex
	nodes    []*testNode
	messages int
}

var testZones = locality.NewMap(map[string]string{"zone-0": "near", "zone-1": "near", "zone-2": "far"})

func newTestCluster(nodes int) *testCluster {
	c := &testCluster{}
	for number := range nodes {
		zone := fmt.Sprint("zone-", number%3)
		n := &testNode{cluster: c, holder: budget.Holder{Process: locality.ProcessName(zone, fmt.Sprint("n", number), "1"), Address: fmt.Sprint("node-", number)}}
		n.client = New(Options{Location: locality.Location{Zones: testZones, Zone: zone}, Nodes: n.others, Peers: n, MaxBytes: 1 << 20})
		c.nodes = append(c.nodes, n)
	}
	return c
}

func (n *testNode) others() (others []budget.Holder) {
	for _, node := range n.cluster.nodes {
		if node != n {
			others = append(others, node.holder)
		}
	}
	return others
}

// reach returns the node at an address; a silent one lets the caller wait.
func (n *testNode) reach(ctx context.Context, holder budget.Holder) (*testNode, error) {
	n.cluster.mutex.Lock()
	n.cluster.messages++
	var found *testNode
	for _, node := range n.cluster.nodes {
		if node.holder == holder && !node.silent {
			found = node
		}
	}
	n.cluster.mutex.Unlock()
	if found == nil {
		<-ctx.Done()
		return nil, errUnreachable
	}
	return found, nil
}

func (n *testNode) AppendStream(ctx context.Context, holder budget.Holder, request AppendRequest) (AppendAnswer, error) {
	node, err := n.reach(ctx, holder)
	if err != nil {
		return AppendAnswer{}, err
	}
	return node.client.HandleAppend(request), nil
}

func (n *testNode) ReadStream(ctx context.Context, holder budget.Holder, request ReadRequest) (ReadAnswer, error) {
	node, err := n.reach(ctx, holder)
	if err != nil {
		return ReadAnswer{}, err
	}
	return node.client.HandleRead(request), nil
}

// silence lets nodes answer nothing from now on.
func (c *testCluster) silence(nodes ...int) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, number := range nodes {
		c.nodes[number].silent = true
	}
}

// record records events of a turn at a node, and returns how many had a copy when they left.
func (c *testCluster) record(ctx context.Context, node int, attempt Attempt, events int) (copied int) {
	recording := c.nodes[node].client.Begin(ctx, attempt)
	for range events {
		event := len(recording.attempt.Marks) + 1
		if recording.Append(ctx, fmt.Sprint(event), []byte(fmt.Sprint(attempt.Request, "/", event))) {
			copied++
		}
	}
	return copied
}

// Guards against a turn that cannot be resumed, or not as a whole, after the node that relayed it and one that held a copy were lost.
func TestCopiesOutlastNodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for lost := 1; lost < 5; lost++ { // besides the node that relayed the turn
			c := newTestCluster(9)
			require.Equal(t, 6, c.record(t.Context(), 0, Attempt{Turn: "turn", Stream: "a", Request: "a"}, 6))
			c.silence(0, lost)
			found, outcome := c.nodes[6].client.Find(t.Context(), "turn", "a", "5")
			require.Equal(t, Found, outcome)
			require.Equal(t, "a/1\na/2\na/3\na/4\na/5\n", string(found.Output))

			require.Equal(t, 2, c.record(t.Context(), 6, Attempt{Turn: "turn", Stream: "a", Request: "b", ResumedAt: 5, Marks: found.Marks, Output: found.Output}, 2))
			found, outcome = c.nodes[7].client.Find(t.Context(), "turn", "a", "7")
			require.Equal(t, Found, outcome)
			require.Equal(t, "a/1\na/2\na/3\na/4\na/5\nb/6\nb/7\n", string(found.Output))
		}
		time.Sleep(time.Minute)
	})
}

// Guards against events that wait for nodes that do not answer, one after the other, and against reporting such an event as copied.
func TestSilentNodesDelayAStreamOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCluster(9)
		c.silence(1, 2, 3, 4, 5, 6, 7, 8)
		start := time.Now()
		require.Zero(t, c.record(t.Context(), 0, Attempt{Turn: "turn", Stream: "a", Request: "a"}, 20))
		require.LessOrEqual(t, time.Since(start), maxCopyWait)
		_, outcome := c.nodes[0].client.Find(t.Context(), "turn", "a", "20")
		require.Equal(t, Found, outcome, "the node itself has it")
		time.Sleep(time.Minute)
	})
}

// Guards against content that is held outside the regions it may be in, or sought there.
func TestContentStaysInItsRegions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for relay := range 3 {
			c := newTestCluster(9)
			ctx := locality.WithContentRegions(t.Context(), locality.Regions{"near"})
			require.Equal(t, 3, c.record(ctx, relay, Attempt{Turn: "turn", Stream: "a", Request: "a"}, 3))
			time.Sleep(time.Second)
			for number := range c.nodes {
				held := c.nodes[number].client.copies.read(ReadRequest{Turn: "turn", LastEventID: "3"}, time.Now())
				if number%3 == 2 {
					require.Empty(t, held, "node %d of the far region, relayed by %d", number, relay)
				}
			}
			_, outcome := c.nodes[4].client.Find(ctx, "turn", "a", "3")
			require.Equal(t, Found, outcome)
		}
		time.Sleep(time.Minute)
	})
}

// Guards against messages for turns on nodes that know no other.
func TestNodeWithoutOthersKeepsItsOwnCopy(t *testing.T) {
	c := newTestCluster(1)
	require.Zero(t, c.record(t.Context(), 0, Attempt{Turn: "turn", Stream: "a", Request: "a"}, 3))
	require.Zero(t, c.messages)
	found, outcome := c.nodes[0].client.Find(t.Context(), "turn", "", "2")
	require.Equal(t, Found, outcome)
	require.Equal(t, "a/1\na/2\n", string(found.Output))
}
