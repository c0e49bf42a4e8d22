package config

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/stretchr/testify/require"

	"github.com/cloverwheel/cloverwheel/internal/fault"
	"github.com/cloverwheel/cloverwheel/internal/id"
	"github.com/cloverwheel/cloverwheel/internal/member"
	"github.com/cloverwheel/cloverwheel/internal/outside"
	"github.com/cloverwheel/cloverwheel/internal/peer"
	"github.com/cloverwheel/cloverwheel/internal/shard"
	"github.com/cloverwheel/cloverwheel/internal/template"
	"github.com/cloverwheel/cloverwheel/internal/timing"
)

// fakeTable is the platform's table in memory, with faults.
type fakeTable struct {
	mutex    sync.Mutex
	rows     map[string]outside.Row
	down     bool
	latency  time.Duration
	loseSets int           // answers of the next writes that are lost after the effect
	hold     chan struct{} // the next write waits here, like one of a paused process
	sets     int
	gets     int
}

func (t *fakeTable) fail(ctx context.Context) error {
	t.mutex.Lock()
	latency, down := t.latency, t.down
	t.mutex.Unlock()
	if timing.Sleep(ctx, latency) != nil || down {
		return fault.New(fault.Unavailable, "table down", "wait")
	}
	return nil
}

func (t *fakeTable) Get(ctx context.Context, key string) (outside.Row, error) {
	if err := t.fail(ctx); err != nil {
		return outside.Row{}, err
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.gets++
	return t.rows[key], nil
}

func (t *fakeTable) CompareAndSet(ctx context.Context, key string, version uint64, value []byte, change string) (outside.Row, error) {
	if err := t.fail(ctx); err != nil {
		return outside.Row{}, err
	}
	t.mutex.Lock()
	hold := t.hold
	t.hold = nil
	t.mutex.Unlock()
	if hold != nil {
		<-hold
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.rows[key].Version != version {
		return outside.Row{}, fault.New(fault.Conflict, "moved on", "read again")
	}
	t.rows[key] = outside.Row{Key: key, Version: version + 1, Value: value, Change: change}
	t.sets++
	if t.loseSets > 0 {
		t.loseSets--
		return outside.Row{}, fault.New(fault.Unavailable, "answer lost", "read back").WithRan(fault.RanUnknown)
	}
	return t.rows[key], nil
}

func (t *fakeTable) List(context.Context, string) ([]outside.Row, error) { return nil, nil }

func (t *fakeTable) set(change func(*fakeTable)) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	change(t)
}

// fakeShard is shard 0 with one machine; cut nodes reach no majority.
type fakeShard struct {
	mutex    sync.Mutex
	machine  *Machine
	leader   id.Node
	position shard.Position
	cut      map[id.Node]bool
	// beforeApply runs before a committed command takes effect.
	beforeApply func(Command)
}

type fakeProposer struct {
	shard *fakeShard
	node  member.Member
}

func (p fakeProposer) reach(ctx context.Context) error {
	p.shard.mutex.Lock()
	cut, leads := p.shard.cut[p.node.Node], p.shard.leader == p.node.Node
	p.shard.mutex.Unlock()
	if cut {
		<-ctx.Done()
		return fault.New(fault.Unavailable, "no majority", "try again").WithRan(fault.RanUnknown)
	}
	if !leads {
		return fault.New(fault.NotLeader, "not the leader", "ask the leader")
	}
	return nil
}

func (p fakeProposer) Propose(ctx context.Context, _ id.Shard, command []byte) (any, error) {
	if err := p.reach(ctx); err != nil {
		return nil, err
	}
	decoded, err := DecodeCommand(command)
	if err != nil {
		return nil, err
	}
	p.shard.mutex.Lock()
	before := p.shard.beforeApply
	p.shard.mutex.Unlock()
	if before != nil {
		before(decoded)
		if err := p.reach(ctx); err != nil {
			return nil, err
		}
	}
	p.shard.mutex.Lock()
	defer p.shard.mutex.Unlock()
	return p.shard.machine.Apply(0, command), nil
}

func (p fakeProposer) Query(ctx context.Context, _ id.Shard, read func(shard.Machine)) error {
	if err := p.reach(ctx); err != nil {
		return err
	}
	p.shard.mutex.Lock()
	defer p.shard.mutex.Unlock()
	read(p.shard.machine)
	return nil
}

func (p fakeProposer) Peek(id.Shard, func(shard.Machine)) bool { return false }

func (p fakeProposer) Leads(id.Shard) (shard.Position, bool) {
	p.shard.mutex.Lock()
	defer p.shard.mutex.Unlock()
	return p.shard.position, p.shard.leader == p.node.Node
}

func (p fakeProposer) Route(id.Shard) (shard.Route, bool) {
	p.shard.mutex.Lock()
	defer p.shard.mutex.Unlock()
	leader := member.Member{Node: p.shard.leader, Address: peer.Address(p.shard.leader)}
	return shard.Route{Leader: leader}, p.shard.leader != ""
}

// Do implements shard.Locator.
func (p fakeProposer) Do(ctx context.Context, _ id.Shard, attempt func(context.Context, peer.Address) error) error {
	for {
		route, _ := p.Route(HeadShard)
		err := attempt(ctx, route.Leader.Address)
		if err == nil || fault.From(err).Ran != fault.RanNo || !(fault.Is(err, fault.NotLeader) || fault.Is(err, fault.Unavailable)) {
			return err
		}
		if timing.Sleep(ctx, 50*time.Millisecond) != nil {
			return fault.New(fault.Unavailable, "no leader found", "try again")
		}
	}
}

type node struct {
	*Service
	member member.Member
	stop   context.CancelFunc
	lowest uint64 // no version below may be in force any more
}

type cluster struct {
	t       *testing.T
	fault   mutant
	network *peer.MemoryNetwork
	table   *fakeTable
	shard   *fakeShard
	mutex   sync.Mutex
	view    []member.Member
	nodes   []*node
	// tableCut names nodes whose table is out of reach.
	tableCut map[id.Node]bool
}

type cutTable struct {
	*fakeTable
	cluster *cluster
	node    id.Node
}

func (t cutTable) Get(ctx context.Context, key string) (outside.Row, error) {
	t.cluster.mutex.Lock()
	cut := t.cluster.tableCut[t.node]
	t.cluster.mutex.Unlock()
	if cut {
		<-ctx.Done()
		return outside.Row{}, ctx.Err()
	}
	return t.fakeTable.Get(ctx, key)
}

func newCluster(t *testing.T, count int, fault mutant) *cluster {
	c := &cluster{
		t: t, fault: fault, network: peer.NewMemoryNetwork(), tableCut: map[id.Node]bool{},
		table: &fakeTable{rows: map[string]outside.Row{}, latency: 5 * time.Millisecond},
		shard: &fakeShard{machine: NewMachine(), leader: "n0", position: shard.Position{Epoch: 1, Term: 1}, cut: map[id.Node]bool{}},
	}
	c.shard.machine.mutant = fault
	for range count {
		c.add()
	}
	return c
}

func (c *cluster) add() *node {
	n := c.join()
	c.start(n)
	return n
}

// join adds a node that does not run yet.
func (c *cluster) join() *node {
	index := len(c.nodes)
	name := fmt.Sprintf("n%d", index)
	n := &node{member: member.Member{Node: id.Node(name), Address: peer.Address(name), Zone: fmt.Sprintf("z%d", index%3)}}
	c.mutex.Lock()
	c.view = append(c.view[:len(c.view):len(c.view)], n.member)
	c.mutex.Unlock()
	c.nodes = append(c.nodes, n)
	c.wire(n)
	return n
}

// boot starts a node's process, which knows nothing.
func (c *cluster) boot(n *node) {
	c.wire(n)
	c.start(n)
}

// wire makes a node's service without running it.
func (c *cluster) wire(n *node) {
	mux := peer.NewMux()
	proposer := fakeProposer{c.shard, n.member}
	n.lowest = 0
	n.Service = New(Options{
		Proposer: proposer, Locator: proposer, Transport: c.network.Transport(n.member.Address), Mux: mux,
		Members: func() *member.View {
			c.mutex.Lock()
			defer c.mutex.Unlock()
			return &member.View{Self: n.member, Members: c.view}
		},
		Table: cutTable{c.table, c, n.member.Node}, Log: &log.Logger{Handler: discard.New()},
		mutant: c.fault,
	})
	c.network.Attach(n.member.Address, mux)
}

// start runs a node until its stop function is called.
func (c *cluster) start(n *node) {
	ctx, cancel := context.WithCancel(c.t.Context())
	n.stop = cancel
	service := n.Service
	go func() { _ = service.Run(ctx) }()
}

// cutOff isolates nodes from the others, shard 0's majority and the table.
func (c *cluster) cutOff(names ...id.Node) {
	isolated := map[id.Node]bool{}
	for _, name := range names {
		isolated[name] = true
	}
	c.shard.mutex.Lock()
	c.shard.cut = isolated
	c.shard.mutex.Unlock()
	c.mutex.Lock()
	c.tableCut = isolated
	c.mutex.Unlock()
	c.network.SetFaultInjector(func(from, to peer.Address, _ string) peer.InjectedFault {
		return peer.InjectedFault{Delay: time.Millisecond, Drop: isolated[id.Node(from)] != isolated[id.Node(to)]}
	})
}

// onCommand sets what runs before a committed command takes effect.
func (c *cluster) onCommand(before func(Command)) {
	c.shard.mutex.Lock()
	defer c.shard.mutex.Unlock()
	c.shard.beforeApply = before
}

func (c *cluster) lead(name id.Node) {
	c.shard.mutex.Lock()
	defer c.shard.mutex.Unlock()
	c.shard.leader = name
	c.shard.position.Term++
}

// check asserts that no node ever went back.
func (c *cluster) check() {
	for _, n := range c.nodes {
		version := n.Current().Version
		require.GreaterOrEqual(c.t, version, n.lowest, "node %s went back", n.member.Node)
		n.lowest = version
	}
}

func (c *cluster) requireEverywhere(version uint64, except ...id.Node) {
	c.t.Helper()
	for _, n := range c.nodes {
		if len(except) > 0 && n.member.Node == except[0] {
			continue
		}
		require.Equal(c.t, version, n.Current().Version, "node %s", n.member.Node)
		require.NoError(c.t, n.Fresh(), "node %s", n.member.Node)
	}
	c.check()
}

func marketTemplate(turns int) template.Change {
	return template.Change{PutTemplates: []*template.Template{{Name: "market", Models: []id.Model{"small"}, Limits: template.Limits{Turns: turns}}}}
}

func tenantChange(name string, priority int) template.Change {
	return template.Change{PutTenants: []*template.Tenant{{Name: id.Tenant(name), Priority: priority}}}
}

// run executes a test in a bubble with a virtual clock and stops the nodes.
func run(t *testing.T, count int, body func(*cluster)) {
	t.Helper()
	runWith(t, 0, count, body)
}

// runWith is run with a mutant.
func runWith(t *testing.T, fault mutant, count int, body func(*cluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, count, fault)
		time.Sleep(time.Second)
		body(c)
		c.check()
		for _, n := range c.nodes {
			n.stop()
		}
		synctest.Wait()
	})
}

func (c *cluster) apply(n *node, request ApplyRequest) (ApplyResult, error) {
	ctx, cancel := context.WithTimeout(c.t.Context(), 20*time.Second)
	defer cancel()
	return n.Apply(ctx, request)
}
