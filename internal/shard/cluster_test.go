package shard

import (
	"bytes"
	"context"
	"encoding/gob"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cloverwheel/cloverwheel/internal/fault"
	"github.com/cloverwheel/cloverwheel/internal/id"
	"github.com/cloverwheel/cloverwheel/internal/member"
	"github.com/cloverwheel/cloverwheel/internal/outside"
	"github.com/cloverwheel/cloverwheel/internal/peer"
)

// listMachine keeps the commands in order.
type listMachine struct{ commands []string }

func (m *listMachine) Apply(_ uint64, command []byte) any {
	m.commands = append(m.commands, string(command))
	return len(m.commands)
}

func (m *listMachine) Snapshot() ([]byte, error) {
	var buffer bytes.Buffer
	err := gob.NewEncoder(&buffer).Encode(m.commands)
	return buffer.Bytes(), err
}

func (m *listMachine) Restore(snapshot []byte) error {
	m.commands = nil
	return gob.NewDecoder(bytes.NewReader(snapshot)).Decode(&m.commands)
}

// fakePlatform is table, object store and machine list in memory.
type fakePlatform struct {
	mutex      sync.Mutex
	rows       map[string]outside.Row
	objects    map[string][]byte
	machines   map[string]outside.Machine
	down       bool
	loseAnswer int // of that many next writes
}

func newFakePlatform() *fakePlatform {
	return &fakePlatform{rows: map[string]outside.Row{}, objects: map[string][]byte{}, machines: map[string]outside.Machine{}}
}

func (p *fakePlatform) do(work func() error) error {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.down {
		return fault.New(fault.Unavailable, "platform down", "wait")
	}
	return work()
}

func (p *fakePlatform) setDown(down bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.down = down
}

func (p *fakePlatform) setGone(node id.Node) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	machine := p.machines[string(node)]
	machine.Gone = true
	p.machines[string(node)] = machine
}

func (p *fakePlatform) Get(_ context.Context, key string) (row outside.Row, err error) {
	err = p.do(func() error { row = p.rows[key]; return nil })
	return row, err
}

func (p *fakePlatform) CompareAndSet(_ context.Context, key string, version uint64, value []byte, change string) (row outside.Row, err error) {
	err = p.do(func() error {
		if p.rows[key].Version != version {
			return fault.New(fault.Conflict, "moved on", "read again")
		}
		row = outside.Row{Key: key, Version: version + 1, Value: value, Change: change}
		p.rows[key] = row
		if p.loseAnswer > 0 {
			p.loseAnswer--
			p.down = p.loseAnswer == 0
			return fault.New(fault.Unavailable, "answer lost", "read back").WithRan(fault.RanUnknown)
		}
		return nil
	})
	return row, err
}

// rowStore and objectStore split the two List methods of the platform.
type rowStore struct{ *fakePlatform }

func (p rowStore) List(_ context.Context, prefix string) (rows []outside.Row, err error) {
	err = p.do(func() error {
		for key, row := range p.rows {
			if strings.HasPrefix(key, prefix) {
				rows = append(rows, row)
			}
		}
		return nil
	})
	return rows, err
}

type objectStore struct{ p *fakePlatform }

func (o objectStore) Put(_ context.Context, key string, value []byte) error {
	return o.p.do(func() error { o.p.objects[key] = value; return nil })
}

func (o objectStore) Get(_ context.Context, key string) (value []byte, err error) {
	err = o.p.do(func() error { value = o.p.objects[key]; return nil })
	return value, err
}

func (o objectStore) List(_ context.Context, prefix string) (keys []string, err error) {
	err = o.p.do(func() error {
		for key := range o.p.objects {
			if strings.HasPrefix(key, prefix) {
				keys = append(keys, key)
			}
		}
		return nil
	})
	return keys, err
}

func (o objectStore) Delete(_ context.Context, key string) error {
	return o.p.do(func() error { delete(o.p.objects, key); return nil })
}

type machineList struct{ p *fakePlatform }

func (m machineList) List(context.Context, outside.MachineKind) (list []outside.Machine, err error) {
	err = m.p.do(func() error {
		for _, machine := range m.p.machines {
			list = append(list, machine)
		}
		return nil
	})
	return list, err
}

func (m machineList) Register(context.Context, outside.Machine) error { return nil }

// cluster is a set of hosts on a memory network.
type cluster struct {
	t        testing.TB
	network  *peer.MemoryNetwork
	platform *fakePlatform
	shards   uint32
	tune     func(*Options)
	// serve, if set, makes a node reachable by other means than the network.
	serve func(node id.Node, mux *peer.Mux) (peer.Address, peer.Transport)

	mutex       sync.Mutex
	view        *member.View
	nodes       map[id.Node]*testNode
	incarnation id.Incarnation
	cut         map[peer.Address]bool // unreachable from all others
	led         map[Position]map[id.Shard]id.Node
}

type testNode struct {
	host   *Host
	member member.Member
	cancel context.CancelFunc
	done   chan struct{}
}

func newCluster(t testing.TB, shards uint32) *cluster {
	c := &cluster{
		t: t, network: peer.NewMemoryNetwork(), platform: newFakePlatform(), shards: shards, view: &member.View{},
		nodes: map[id.Node]*testNode{}, cut: map[peer.Address]bool{}, led: map[Position]map[id.Shard]id.Node{},
	}
	c.network.SetFaultInjector(func(from, to peer.Address, _ string) peer.InjectedFault {
		c.mutex.Lock()
		defer c.mutex.Unlock()
		return peer.InjectedFault{Drop: c.cut[from] != c.cut[to]}
	})
	return c
}

// start starts a node, or restarts it under a new incarnation.
func (c *cluster) start(node id.Node, zone string) *testNode {
	c.mutex.Lock()
	c.incarnation++
	self := member.Member{Node: node, Incarnation: c.incarnation, Address: peer.Address(fmt.Sprintf("%s#%d", node, c.incarnation)), Zone: zone}
	c.mutex.Unlock()
	mux := peer.NewMux()
	transport := c.network.Transport(self.Address)
	if c.serve != nil {
		self.Address, transport = c.serve(node, mux)
	}
	options := Options{
		Self: self, Transport: transport, Mux: mux, Members: c.members,
		Table: rowStore{c.platform}, Objects: objectStore{c.platform}, Machines: machineList{c.platform},
		Shards: c.shards, NewMachine: func(id.Shard) Machine { return &listMachine{} }, StoreRate: 1e4,
		Observer: func(shard id.Shard, position Position, leads bool) { c.observe(node, shard, position, leads) },
	}
	if c.tune != nil {
		c.tune(&options)
	}
	host, err := New(options)
	require.NoError(c.t, err)
	c.network.Attach(self.Address, mux)
	ctx, cancel := context.WithCancel(context.Background())
	started := &testNode{host: host, member: self, cancel: cancel, done: make(chan struct{})}
	c.nodes[node] = started
	c.platform.mutex.Lock()
	c.platform.machines[string(node)] = outside.Machine{ID: string(node), Address: string(self.Address), Zone: zone}
	c.platform.mutex.Unlock()
	c.change(func(members []member.Member) []member.Member { return append(without(members, node), self) })
	go func() {
		defer close(started.done)
		_ = host.Run(ctx)
	}()
	return started
}

// observe checks that no position has two leaders.
func (c *cluster) observe(node id.Node, shard id.Shard, position Position, leads bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !leads {
		return
	}
	if c.led[position] == nil {
		c.led[position] = map[id.Shard]id.Node{}
	}
	if other, ok := c.led[position][shard]; ok && other != node {
		c.t.Errorf("shard %d has two leaders at %v: %s and %s", shard, position, other, node)
	}
	c.led[position][shard] = node
}

func without(members []member.Member, node id.Node) []member.Member {
	return slices.DeleteFunc(slices.Clone(members), func(m member.Member) bool { return m.Node == node })
}

func (c *cluster) members() *member.View {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.view
}

func (c *cluster) change(edit func([]member.Member) []member.Member) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.view = &member.View{Members: edit(c.view.Members)}
}

func (c *cluster) setCut(address peer.Address, cut bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.cut[address] = cut
}

func (c *cluster) setState(node id.Node, state member.State) {
	c.change(func(members []member.Member) []member.Member {
		changed := slices.Clone(members)
		for i := range changed {
			if changed[i].Node == node {
				changed[i].State = state
			}
		}
		return changed
	})
}

// kill stops a node at once. The view loses it when seen is true.
func (c *cluster) kill(node id.Node, seen bool) {
	victim := c.nodes[node]
	c.network.Attach(victim.member.Address, nil)
	victim.cancel()
	<-victim.done
	delete(c.nodes, node)
	if seen {
		c.change(func(members []member.Member) []member.Member { return without(members, node) })
	}
}

func (c *cluster) stop() {
	for node := range c.nodes {
		c.kill(node, false)
	}
}

// propose sends a command from any node through its Locator.
func (c *cluster) propose(shard id.Shard, command string, within time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	for _, node := range c.nodes {
		if c.cut[node.member.Address] {
			continue
		}
		return NewLocator(node.host).Do(ctx, shard, func(ctx context.Context, address peer.Address) error {
			for _, candidate := range c.nodes {
				if candidate.member.Address == address {
					_, err := candidate.host.Propose(ctx, shard, []byte(command))
					return err
				}
			}
			return fault.New(fault.Unavailable, "node is down", "try another")
		})
	}
	return fault.New(fault.Unavailable, "no node", "start one")
}

// read returns the commands that the shard's leader has applied.
func (c *cluster) read(shard id.Shard) []string {
	deadline := time.Now().Add(20 * time.Second)
	for time.Now().Before(deadline) {
		for _, node := range c.nodes {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			var commands []string
			err := node.host.Query(ctx, shard, func(m Machine) { commands = slices.Clone(m.(*listMachine).commands) })
			cancel()
			if err == nil {
				return commands
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	c.t.Errorf("no leader of shard %d answers a query", shard)
	return nil
}

// leader returns the node that leads a shard.
func (c *cluster) leader(shard id.Shard) id.Node {
	for name, node := range c.nodes {
		if _, leads := node.host.Leads(shard); leads {
			return name
		}
	}
	return ""
}

// voters returns the voting nodes of a shard as its leader has them.
func (c *cluster) voters(shard id.Shard) []id.Node {
	node, ok := c.nodes[c.leader(shard)]
	if !ok {
		return nil
	}
	g := node.host.group(shard)
	g.mutex.Lock()
	defer g.mutex.Unlock()
	configuration, _ := g.replica.Configuration()
	var voters []id.Node
	for _, seat := range configuration.Seats {
		if seat.Voter {
			voters = append(voters, seat.Replica.Node)
		}
	}
	slices.Sort(voters)
	return voters
}

func inBubble(t *testing.T, shards uint32, test func(t *testing.T, c *cluster)) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, shards)
		defer c.stop()
		test(t, c)
	})
}

func (c *cluster) startThree() {
	for i, zone := range []string{"a", "b", "c"} {
		c.start(id.Node(fmt.Sprintf("n%d", i+1)), zone)
	}
}
