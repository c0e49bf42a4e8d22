package capacity

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

	"github.com/cloverwheel/cloverwheel/internal/budget"
	"github.com/cloverwheel/cloverwheel/internal/directory"
	"github.com/cloverwheel/cloverwheel/internal/fault"
	"github.com/cloverwheel/cloverwheel/internal/locality"
	"github.com/cloverwheel/cloverwheel/internal/outlier"
	"github.com/cloverwheel/cloverwheel/internal/timing"
)

// testCluster is a set of nodes in one zone with workers in the configuration of all of them. Nodes
// 0 and 1 own the slots.
type testCluster struct {
	t       *testing.T
	owners  []budget.Holder // by slot
	workers []string
	nodes   []*testNode
	hop     time.Duration  // one-way latency between nodes
	merged  sampleRecorder // samples of all nodes, merged by coordinators

	mutex        sync.Mutex
	unresponsive map[string]bool    // processes that do not answer
	cut          map[[2]string]bool // by sender and receiver: links that lose all messages
	outdated     map[string]bool    // processes of an older version, which reject the method
	refreshes    int                // calls of RequestRefresh
}

type testNode struct {
	cluster     *testCluster
	self        budget.Holder
	coordinator *Coordinator
	client      *Client
	placements  []Placement
	samples     sampleRecorder
}

const testConcurrency = 4

func newTestCluster(t *testing.T, nodes, workers int) *testCluster {
	c := &testCluster{t: t, hop: time.Millisecond, unresponsive: map[string]bool{}, cut: map[[2]string]bool{}, outdated: map[string]bool{}}
	for index := range workers {
		c.workers = append(c.workers, fmt.Sprint("w", index))
	}
	for index := range nodes {
		process := locality.ProcessName("z", fmt.Sprint("n", index), "1")
		c.nodes = append(c.nodes, &testNode{cluster: c, self: budget.Holder{Process: process, Address: process}})
	}
	c.owners = make([]budget.Holder, directory.Layout{}.SlotCount())
	for slot := range c.owners {
		c.owners[slot] = c.nodes[slot%2].self
	}
	logger := &log.Logger{Handler: discard.New(), Level: log.InfoLevel}
	for _, node := range c.nodes {
		slots := &CoordinatorResolver{Owners: node}
		node.coordinator = NewCoordinator(CoordinatorOptions{Process: node.self.Process, Resolver: slots, Members: node.members, OutlierDetector: &c.merged, OnAnswer: func(Outcome, Reason) {}, Logger: logger})
		node.client = NewClient(ClientOptions{
			Self: node.self, Zone: "z", Resolver: slots, Peers: node, Workers: node, Coordinator: node.coordinator, SampleExchange: &node.samples,
			OnFind: func(placement Placement) { node.placements = append(node.placements, placement) }, OnReport: func(bool) {}, Logger: logger,
		})
		go node.client.Run(t.Context())
	}
	return c
}

// coordinatorIndex returns the index of the node that coordinates the group.
func (c *testCluster) coordinatorIndex() int {
	coordinator, _, _ := c.nodes[0].client.options.Resolver.coordinator(testGroup, func(string) bool { return false })
	return slices.IndexFunc(c.nodes, func(node *testNode) bool { return node.self == coordinator })
}

var testGroup = Group{Service: "s", Zone: "z"}

func (n *testNode) Owner(slot int) (budget.Holder, bool) { return n.cluster.owners[slot], true }

func (n *testNode) RequestRefresh() {
	n.cluster.mutex.Lock()
	defer n.cluster.mutex.Unlock()
	n.cluster.refreshes++
}

func (n *testNode) members(Group) (members []Member, ok bool) {
	n.cluster.mutex.Lock()
	defer n.cluster.mutex.Unlock()
	for _, worker := range n.cluster.workers {
		members = append(members, Member{Worker: worker, Concurrency: testConcurrency})
	}
	return members, true
}

func (n *testNode) GroupOf(_, worker string) (Group, bool) { return testGroup, worker != "" }
func (n *testNode) GroupIn(_, _, _ string) (Group, bool)   { return testGroup, true }
func (n *testNode) OtherZones(_, _ string) []RemoteZone    { return nil }
func (n *testNode) InRegion(string) bool                   { return true }
func (n *testNode) Excluded(Group) []string                { return nil }
func (c *testCluster) setState(states map[string]bool, of int, to bool) {
	c.withLock(func() { states[c.process(of)] = to })
}
func (c *testCluster) process(index int) string { return c.nodes[index].self.Process }
func (c *testCluster) withLock(do func())       { c.mutex.Lock(); defer c.mutex.Unlock(); do() }
func (c *testCluster) cutLink(from, to int) {
	c.withLock(func() { c.cut[[2]string{c.process(from), c.process(to)}] = true })
}

// linkState reports whether messages to a process are lost, and whether it rejects the method as
// unknown.
func (n *testNode) linkState(to string) (lost, unknown bool) {
	c := n.cluster
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.unresponsive[to] || c.unresponsive[n.self.Process] || c.cut[[2]string{n.self.Process, to}], c.outdated[to]
}

// Report implements Peers.
func (n *testNode) Report(ctx context.Context, coordinator budget.Holder, request Request) (Answer, error) {
	lost, unknown := n.linkState(coordinator.Process)
	if lost {
		<-ctx.Done()
		return Answer{}, ctx.Err()
	}
	if unknown {
		return Answer{}, fault.New(fault.Invalid, "unknown peer method", "run the same version on all nodes")
	}
	if err := timing.Sleep(ctx, n.cluster.hop); err != nil {
		return Answer{}, err
	}
	index := slices.IndexFunc(n.cluster.nodes, func(other *testNode) bool { return other.self == coordinator })
	if index < 0 {
		return Answer{}, errors.New("no such node")
	}
	answer := n.cluster.nodes[index].coordinator.Answer(ctx, request)
	if err := timing.Sleep(ctx, n.cluster.hop); err != nil {
		return Answer{}, err
	}
	return answer, nil
}

// find reserves a worker and falls back to the first one if none is assigned.
func (n *testNode) find(wanted PlacementRequest) (Placement, *Reservation) {
	wanted.Service = "s"
	wanted.Allows = func(string) bool { return true }
	placement := n.client.Reserve(n.cluster.t.Context(), wanted)
	if placement.Reservation != nil {
		return placement, placement.Reservation
	}
	return placement, n.client.Begin("s", n.cluster.workers[0], 0)
}

// beginRequests starts requests on a node, spread over the workers.
func (n *testNode) beginRequests(requests int) (reservations []*Reservation) {
	for index := range requests {
		reservations = append(reservations, n.client.Begin("s", n.cluster.workers[index%len(n.cluster.workers)], 0))
	}
	return reservations
}

// settle waits until the coordinator has received reports of all nodes.
func settle() { time.Sleep(2*settleTime + 100*time.Millisecond) }

// runCluster runs a test in virtual time.
func runCluster(t *testing.T, nodes, workers int, test func(t *testing.T, c *testCluster)) {
	synctest.Test(t, func(t *testing.T) { test(t, newTestCluster(t, nodes, workers)) })
}

// sampleRecorder implements OutlierDetector and SampleExchange. It returns verdicts once it has received a sample.
type sampleRecorder struct {
	mutex    sync.Mutex
	pending  []outlier.Sample  // returned by TakeSamples
	received []outlier.Sample  // received by Add
	verdicts []outlier.Verdict // received by NoteVerdicts
	avoid    []outlier.Verdict // returned by Verdicts
}

func (s *sampleRecorder) withLock(what func()) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	what()
}

func (s *sampleRecorder) Add(_ Group, _ string, samples []outlier.Sample, _ time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.received = append(s.received, samples...)
}

func (s *sampleRecorder) Verdicts(Group, time.Time) []outlier.Verdict {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if len(s.received) == 0 {
		return nil
	}
	return s.avoid
}

func (s *sampleRecorder) TakeSamples(string) []outlier.Sample {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	taken := s.pending
	s.pending = nil
	return taken
}

func (s *sampleRecorder) NoteVerdicts(verdicts []outlier.Verdict) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.verdicts = verdicts
}
