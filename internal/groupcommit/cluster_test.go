package groupcommit

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/stretchr/testify/require"

	"github.com/cloverwheel/cloverwheel/internal/budget"
	"github.com/cloverwheel/cloverwheel/internal/directory"
	"github.com/cloverwheel/cloverwheel/internal/fault"
	"github.com/cloverwheel/cloverwheel/internal/history"
	"github.com/cloverwheel/cloverwheel/internal/locality"
	"github.com/cloverwheel/cloverwheel/internal/store"
	"github.com/cloverwheel/cloverwheel/internal/store/storetest"
	"github.com/cloverwheel/cloverwheel/internal/timing"
)

const (
	clusterNodes      = 77
	clusterPartitions = 64
	// slotOwners is the number of nodes that own slots; not every node does.
	slotOwners = 45
	// roundTrip is the network round-trip time between two nodes.
	roundTrip = 2 * time.Millisecond
	// turnTimeout bounds the time to store a turn.
	turnTimeout = 5 * time.Second
	// noAnswerPeriod is how long an owner that did not answer is skipped.
	noAnswerPeriod = 500 * time.Millisecond
)

// testCluster is a set of nodes that share a table with a limited commit rate.
type testCluster struct {
	t              *testing.T
	crossPartition bool // the table accepts transactions across partitions
	table          *storetest.LimitedTable
	nodes          []*testNode

	mutex       sync.Mutex
	owners      [Groups]int // by group: index of the node that other nodes take for its owner
	claims      map[int][]int
	unreachable map[int]bool // nodes that receive no requests
	replyLost   map[int]bool // nodes whose replies are lost
	oldBuild    map[int]bool // nodes that do not support the request
	tableCut    map[int]bool // nodes that get no reply from the table
	paused      map[int]chan struct{}
	requests    atomic.Int64
	calls       atomic.Int64 // group commits
	turns       atomic.Int64
	running     sync.WaitGroup

	results []turnResult
}

// turnResult is the result of storing one turn.
type turnResult struct {
	start   time.Time
	elapsed time.Duration
	err     error
	turn    string
}

// testNode is a node of a testCluster.
type testNode struct {
	cluster   *testCluster
	index     int
	gate      *store.Gate
	turnStore *history.TurnStore
	committer *Committer

	mutex      sync.Mutex
	noAnswerAt map[int]time.Time // by slot: when the owner last failed to answer
}

// RecordCommit implements Metrics.
func (c *testCluster) RecordCommit(int, bool) { c.calls.Add(1) }

// RecordWait implements Metrics.
func (c *testCluster) RecordWait(time.Duration) {}

// RecordForward implements Metrics.
func (c *testCluster) RecordForward(Outcome) {}

func processOf(index int) string { return locality.ProcessName("zone", fmt.Sprint("node", index), "1") }

// newTestCluster returns a cluster with a table limited to 1,500 commits per second. Each group is
// owned by one node.
func newTestCluster(t *testing.T, crossPartition bool) *testCluster {
	c := &testCluster{
		t: t, table: storetest.NewLimitedTable(storetest.LimitedOptions{CommitsPerSecond: 1500, RoundTrip: 8 * time.Millisecond, CommitTime: 5 * time.Millisecond, CrossPart: crossPartition}), crossPartition: crossPartition,
		claims: map[int][]int{}, unreachable: map[int]bool{}, replyLost: map[int]bool{}, oldBuild: map[int]bool{}, tableCut: map[int]bool{}, paused: map[int]chan struct{}{},
	}
	for group := range Groups {
		c.assignOwner(group, group)
	}
	for index := range clusterNodes {
		c.nodes = append(c.nodes, c.newNode(index))
	}
	return c
}

// nodeTable is the table as one node accesses it.
type nodeTable struct {
	*storetest.LimitedTable
	cluster *testCluster
	index   int
}

// checkReachable blocks until ctx ends if the node is cut off from the table.
func (n nodeTable) checkReachable(ctx context.Context) error {
	n.cluster.mutex.Lock()
	tableCut := n.cluster.tableCut[n.index]
	n.cluster.mutex.Unlock()
	if tableCut {
		<-ctx.Done()
	}
	return ctx.Err()
}

// Commit implements store.Store.
func (n nodeTable) Commit(ctx context.Context, transaction store.Transaction) (store.Version, error) {
	if err := n.checkReachable(ctx); err != nil {
		return 0, err
	}
	return n.LimitedTable.Commit(ctx, transaction)
}

// Range implements store.Store.
func (n nodeTable) Range(ctx context.Context, table, part, from, to string, limit int) (store.Page, error) {
	if err := n.checkReachable(ctx); err != nil {
		return store.Page{}, err
	}
	return n.LimitedTable.Range(ctx, table, part, from, to, limit)
}

// assignOwner makes a node the owner of a group. A previous owner keeps its claim and still
// accepts requests for the group.
func (c *testCluster) assignOwner(group, index int) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.owners[group] = index
	c.claims[group] = append(c.claims[group], index)
}

func (c *testCluster) newNode(index int) *testNode {
	logger := &log.Logger{Handler: discard.New()}
	node := &testNode{cluster: c, index: index, gate: store.NewGate(nodeTable{LimitedTable: c.table, cluster: c, index: index}, logger), noAnswerAt: map[int]time.Time{}}
	slots := Slots{Layout: directory.NewLayout(nil)}
	node.committer = NewCommitter(CommitterOptions{
		Process: processOf(index),
		Owns: func(group int) bool {
			c.mutex.Lock()
			defer c.mutex.Unlock()
			return slices.Contains(c.claims[group], index)
		},
		Store: node.gate, TableUnreachable: node.gate.Suspect, Limit: CommitLimit{PerSecond: 1500, Groups: slots.Groups(), CrossPartition: c.crossPartition},
		MaxPendingBytes: 8 << 20, Metrics: c, Logger: logger,
	})
	writer := NewWriter(WriterOptions{
		Process: processOf(index), Slots: slots, Owners: node, Peers: c, Committer: node.committer,
		ThrottledSince: node.gate.ThrottledSince,
		Limit:          CommitLimit{PerSecond: 1500, Groups: slots.Groups(), CrossPartition: c.crossPartition}, Nodes: func() int { return slotOwners },
		Metrics: c, Logger: logger,
	})
	node.turnStore = history.New(history.Options{Store: node.gate, CacheBytes: 1, BatchWriter: writer})
	return node
}

// Owner implements Owners.
func (n *testNode) Owner(slot int) (budget.Holder, bool) {
	n.cluster.mutex.Lock()
	index := n.cluster.owners[groupOf(slot)]
	n.cluster.mutex.Unlock()
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return budget.Holder{Process: processOf(index), Address: fmt.Sprint(index)}, time.Since(n.noAnswerAt[slot]) >= noAnswerPeriod
}

// RecordAnswer implements Owners.
func (n *testNode) RecordAnswer(slot int) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	delete(n.noAnswerAt, slot)
}

// RecordNoAnswer implements Owners.
func (n *testNode) RecordNoAnswer(slot int, _ budget.Holder) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.noAnswerAt[slot] = time.Now()
}

// ForwardRows implements Peers.
func (c *testCluster) ForwardRows(ctx context.Context, owner budget.Holder, request Request) (Answer, error) {
	c.requests.Add(1)
	var index int
	_, err := fmt.Sscan(owner.Address, &index)
	require.NoError(c.t, err)
	if err := timing.Sleep(ctx, roundTrip/2); err != nil {
		return Answer{}, err
	}
	c.mutex.Lock()
	unreachable, replyLost, oldBuild, paused := c.unreachable[index], c.replyLost[index], c.oldBuild[index], c.paused[index]
	c.mutex.Unlock()
	switch {
	case oldBuild:
		return Answer{}, fault.New(fault.Invalid, "unknown peer method", "run the same version on all nodes")
	case unreachable:
		<-ctx.Done()
		return Answer{}, ctx.Err()
	case paused != nil:
		select {
		case <-paused:
		case <-ctx.Done():
			return Answer{}, ctx.Err()
		}
	}
	answers := make(chan Answer, 1)
	go func() { answers <- c.nodes[index].committer.Answer(context.WithoutCancel(ctx), request) }()
	select {
	case answer := <-answers:
		if replyLost {
			<-ctx.Done()
		}
		return answer, timing.Sleep(ctx, roundTrip/2)
	case <-ctx.Done():
		return Answer{}, ctx.Err()
	}
}

// load starts turns at random nodes at a mean rate of perSecond, together with 270 account updates
// per second, for the given duration. It returns when all of them have finished.
func (c *testCluster) load(perSecond int, duration time.Duration) {
	const accounts = 270
	random := rand.New(rand.NewPCG(1, 2))
	next, nextAccount := time.Now(), time.Now()
	for end := next.Add(duration); next.Before(end); {
		next = next.Add(time.Duration(random.ExpFloat64() * float64(time.Second) / float64(perSecond)))
		time.Sleep(time.Until(next))
		c.storeTurn(c.pickNode(random))
		for nextAccount.Before(next) {
			nextAccount = nextAccount.Add(time.Duration(random.ExpFloat64() * float64(time.Second) / accounts))
			c.updateAccount(c.nodes[random.IntN(clusterNodes)], random.IntN(clusterPartitions))
		}
	}
	c.running.Wait()
}

// pickNode returns a random node that can reach the table. The test has no relays for the others.
func (c *testCluster) pickNode(random *rand.Rand) *testNode {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for {
		if index := random.IntN(clusterNodes); !c.tableCut[index] {
			return c.nodes[index]
		}
	}
}

// storeTurn stores a new turn through a node in the background.
func (c *testCluster) storeTurn(node *testNode) {
	turn := &history.Turn{ID: fmt.Sprint(c.turns.Add(1)), Output: make([]byte, 2000)}
	c.running.Go(func() {
		ctx, cancel := context.WithTimeout(c.t.Context(), turnTimeout)
		defer cancel()
		start := time.Now()
		err := node.turnStore.Write(ctx, turn, nil, time.Hour)
		result := turnResult{start: start, elapsed: time.Since(start), err: err, turn: turn.ID}
		c.mutex.Lock()
		defer c.mutex.Unlock()
		c.results = append(c.results, result)
	})
}

// updateAccount writes an account row through a node in the background.
func (c *testCluster) updateAccount(node *testNode, partition int) {
	c.running.Go(func() {
		ctx, cancel := context.WithTimeout(c.t.Context(), time.Second)
		defer cancel()
		row := store.Row{Key: store.Key{Table: "budgets", Part: fmt.Sprint("b", partition), Name: fmt.Sprint(rand.Int())}}
		_, _ = store.CommitHedged(ctx, node.gate, store.Transaction{Put: []store.Row{row}})
	})
}

// checkResults checks that every acknowledged turn is in the table and that none exceeded its
// timeout. It returns the number of turns that failed.
func (c *testCluster) checkResults() (failed int) {
	for _, result := range c.results {
		require.LessOrEqual(c.t, result.elapsed, turnTimeout)
		if result.err != nil {
			failed++
			continue
		}
		require.True(c.t, c.table.Has("turns", result.turn), "acknowledged turn is not in the table")
	}
	return failed
}

// p90 returns the 90th percentile of the time to store the successful turns that started in [from,
// to).
func (c *testCluster) p90(from, to time.Time) time.Duration {
	var elapsed []time.Duration
	for _, result := range c.results {
		if result.err == nil && !result.start.Before(from) && result.start.Before(to) {
			elapsed = append(elapsed, result.elapsed)
		}
	}
	require.NotEmpty(c.t, elapsed)
	slices.Sort(elapsed)
	return elapsed[len(elapsed)*9/10]
}
