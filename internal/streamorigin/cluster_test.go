package streamorigin

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/stretchr/testify/require"

	"github.com/cloverwheel/cloverwheel/internal/budget"
	"github.com/cloverwheel/cloverwheel/internal/locality"
	"github.com/cloverwheel/cloverwheel/internal/store"
	"github.com/cloverwheel/cloverwheel/internal/store/storetest"
)

var errUnreachable = errors.New("the node does not answer")

// testCluster is a set of nodes that record and find streams, with a table in memory.
type testCluster struct {
	table *storetest.Table
	nodes []*testNode

	mutex    sync.Mutex
	messages int
	commits  int
	suspect  bool
	// afterCommit is called once, after the next write and before its caller hears of it; nil: nothing is.
	afterCommit func()
}

// testNode is a node of a testCluster, and the Peers of its client.
type testNode struct {
	cluster  *testCluster
	holder   budget.Holder
	client   *Client
	versions *Versions
	stop     context.CancelFunc

	listed []string // guarded by the cluster's mutex
	dead   bool
}

// Commit counts the writes of the cluster.
func (c *testCluster) Commit(ctx context.Context, transaction store.Transaction) (store.Version, error) {
	c.mutex.Lock()
	c.commits++
	then := c.afterCommit
	c.afterCommit = nil
	c.mutex.Unlock()
	version, err := c.table.Commit(ctx, transaction)
	if then != nil {
		then()
	}
	return version, err
}

func (c *testCluster) Range(ctx context.Context, table, part, from, to string, limit int) (store.Page, error) {
	return c.table.Range(ctx, table, part, from, to, limit)
}

func (c *testCluster) Watch(ctx context.Context, table string, after store.Version, wait time.Duration) (store.Page, error) {
	return c.table.Watch(ctx, table, after, wait)
}

func (c *testCluster) Suspect() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.suspect
}

func (c *testCluster) counts() (messages, commits int) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.messages, c.commits
}

// startCluster starts nodes that list workers of the given versions.
func startCluster(nodes int, listed ...string) *testCluster {
	c := &testCluster{table: storetest.New()}
	for number := range nodes {
		c.startNode(number, listed)
	}
	time.Sleep(time.Second)
	return c
}

func (c *testCluster) startNode(number int, listed []string) {
	holder := budget.Holder{Process: locality.ProcessName(fmt.Sprint("zone-", number%3), fmt.Sprint("n", number), "1"), Address: fmt.Sprint("node-", number)}
	n := &testNode{cluster: c, holder: holder, listed: listed}
	n.versions = NewVersions(VersionsOptions{
		Feed: c.table, Store: c, Listed: n.list, Logger: &log.Logger{Handler: discard.New(), Level: log.InfoLevel},
		OnChange: func(service string) { n.client.SendUnsent(service) },
		OnLoad:   func() { n.observe() },
	})
	n.client = New(Options{Nodes: n.others, Peers: n, Versions: n.versions, Services: settledServices(time.Now())})
	ctx, cancel := context.WithCancel(context.Background())
	n.stop = cancel
	c.nodes = append(c.nodes, n)
	go n.versions.Run(ctx)
}

// stop ends all nodes. Their goroutines end within the time that follows.
func (c *testCluster) stop() {
	for _, n := range c.nodes {
		n.stop()
	}
	time.Sleep(time.Minute)
}

func (n *testNode) list(string) []string {
	n.cluster.mutex.Lock()
	defer n.cluster.mutex.Unlock()
	return n.listed
}

func (n *testNode) setListed(listed ...string) {
	n.cluster.mutex.Lock()
	n.listed = listed
	n.cluster.mutex.Unlock()
	n.observe()
}

func (n *testNode) observe() {
	n.versions.RegisterListed("s")
	n.client.SendUnsent("s")
}

func (n *testNode) others() (others []budget.Holder) {
	for _, node := range n.cluster.nodes {
		if node != n {
			others = append(others, node.holder)
		}
	}
	return others
}

// reach returns the node at an address and counts a message to it.
func (n *testNode) reach(holder budget.Holder) (*testNode, error) {
	n.cluster.mutex.Lock()
	defer n.cluster.mutex.Unlock()
	n.cluster.messages++
	for _, node := range n.cluster.nodes {
		if node.holder == holder && !node.dead {
			return node, nil
		}
	}
	return nil, errUnreachable
}

func (n *testNode) RecordStreams(_ context.Context, holder budget.Holder, request RecordRequest) (RecordAnswer, error) {
	node, err := n.reach(holder)
	if err != nil {
		return RecordAnswer{}, err
	}
	return node.client.HandleRecord(request), nil
}

func (n *testNode) FindStream(_ context.Context, holder budget.Holder, request FindRequest) (FindAnswer, error) {
	node, err := n.reach(holder)
	if err != nil {
		return FindAnswer{}, err
	}
	return node.client.HandleFind(request), nil
}

// findable returns how many of the streams that node 0 began other nodes find at their version.
func (c *testCluster) findable(streams int, version string) (found int) {
	for number := range streams {
		asker := c.nodes[1+number%(len(c.nodes)-1)]
		if asker.dead {
			asker = c.nodes[len(c.nodes)-1]
		}
		if origin, _ := asker.client.Find(context.Background(), fmt.Sprint("stream-", number)); origin.Version == version {
			found++
		}
	}
	return found
}

func (n *testNode) begin(streams int, version string) {
	for number := range streams {
		n.client.Record(fmt.Sprint("stream-", number), Origin{Service: "s", Version: version, Worker: "w"})
	}
	time.Sleep(time.Second)
}

// Guards against messages for each stream while a service has one version, and against a write of each node.
func TestOneVersionCostsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := startCluster(20, "v1")
		c.nodes[0].begin(100, "v1")
		messages, commits := c.counts()
		version, ok := c.nodes[5].client.SoleVersion(context.Background(), "s")
		c.stop()
		require.Zero(t, messages)
		require.LessOrEqual(t, commits, 20)
		require.True(t, ok)
		require.Equal(t, "v1", version)
	})
}

// Guards against losing streams that began before their node knew of a second version.
func TestStreamsInProgressAreRecordedWhenASecondVersionAppears(t *testing.T) {
	const streams = 100
	synctest.Test(t, func(t *testing.T) {
		c := startCluster(10, "v1")
		c.nodes[0].begin(streams, "v1")
		c.nodes[7].setListed("v1", "v2") // node 0 lists no worker of it
		time.Sleep(time.Second)
		c.mutex.Lock()
		c.nodes[0].dead = true
		c.mutex.Unlock()
		found := c.findable(streams, "v1")
		_, sole := c.nodes[3].client.SoleVersion(context.Background(), "s")
		c.stop()
		require.Equal(t, streams, found)
		require.False(t, sole)
	})
}

// Guards against losing a record with the loss of any one holder, or of a holder that does not answer when the record is sent.
func TestRecordsOutlastAHolder(t *testing.T) {
	const streams = 60
	for lost := 1; lost < 8; lost++ {
		for _, before := range []bool{true, false} {
			synctest.Test(t, func(t *testing.T) {
				c := startCluster(8, "v1", "v2")
				lose := func() {
					c.mutex.Lock()
					defer c.mutex.Unlock()
					c.nodes[lost].dead = true
				}
				if before {
					lose()
				}
				c.nodes[0].begin(streams, "v2")
				lose()
				found := c.findable(streams, "v2")
				c.stop()
				require.Equal(t, streams, found)
			})
		}
	}
}

// Guards against streams that cannot go on during an outage because nobody was told where they began before it.
func TestStreamsAreRecordedWhileTheStoreMayBeUnreachable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := startCluster(5, "v1")
		c.mutex.Lock()
		c.suspect = true
		c.mutex.Unlock()
		c.nodes[0].begin(20, "v1")
		found := c.findable(20, "v1")
		c.stop()
		require.Equal(t, 20, found)
	})
}

// Guards against a sole version by a stale view: an answer must come from a read of the store that succeeds.
func TestSoleVersionIsReadFromTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := startCluster(3, "v1")
		c.table.SetFault(func(string, bool) storetest.Fault { return storetest.RequestLost })
		_, ok := c.nodes[1].client.SoleVersion(context.Background(), "s")
		c.table.SetFault(nil)
		c.stop()
		require.False(t, ok)
	})
}

// Guards against a version that stays registered for good after a release, and against one that is forgotten while workers run it.
func TestVersionsAreForgottenAfterARelease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := startCluster(6, "v1")
		for _, n := range c.nodes {
			n.setListed("v1", "v2")
		}
		time.Sleep(2 * forgetAfter)
		during, _ := c.nodes[0].versions.Registered("s")
		for _, n := range c.nodes {
			n.setListed("v2")
		}
		time.Sleep(forgetAfter / 2)
		soon, _ := c.nodes[0].versions.Registered("s")
		_, before := c.counts()
		time.Sleep(2 * forgetAfter)
		later, _ := c.nodes[0].versions.Registered("s")
		_, after := c.counts()
		c.stop()
		require.ElementsMatch(t, []string{"v1", "v2"}, during)
		require.ElementsMatch(t, []string{"v1", "v2"}, soon)
		require.Equal(t, []string{"v2"}, later)
		require.Less(t, after-before, 40, "writes of 6 nodes in half an hour")
	})
}

// Guards against a row that no node can decode: streams must still begin, and none counts as of a sole version.
func TestInvalidRowStopsNoStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := startCluster(2)
		err := c.table.CommitWithoutFaults(store.Transaction{Put: []store.Row{{Key: keyOf("s"), Value: []byte("?")}}})
		time.Sleep(time.Second)
		_, restricted := c.nodes[0].versions.Registered("s")
		several := c.nodes[0].versions.Several("s")
		c.stop()
		require.NoError(t, err)
		require.False(t, restricted)
		require.True(t, several)
	})
}

// Guards against a version that is listed while another one is being registered, and is then never registered.
func TestVersionListedDuringARegistrationIsRegistered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := startCluster(1, "v1")
		node := c.nodes[0]
		c.mutex.Lock()
		c.afterCommit = func() { node.setListed("v1", "v2", "v3") }
		c.mutex.Unlock()
		node.setListed("v1", "v2")
		time.Sleep(time.Second)
		versions, _ := node.versions.Registered("s")
		c.stop()
		require.Equal(t, []string{"v1", "v2", "v3"}, versions)
	})
}
