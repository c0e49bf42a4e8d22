package ledger

import (
	"context"
	"sync"
	"time"

	"github.com/cloverwheel/cloverwheel/internal/fault"
	"github.com/cloverwheel/cloverwheel/internal/id"
	"github.com/cloverwheel/cloverwheel/internal/member"
	"github.com/cloverwheel/cloverwheel/internal/outside"
	"github.com/cloverwheel/cloverwheel/internal/shard"
	"github.com/cloverwheel/cloverwheel/internal/timing"
)

// fakeTable is the platform's table in memory, with faults.
type fakeTable struct {
	mutex   sync.Mutex
	rows    map[string]outside.Row
	down    bool
	latency time.Duration
	lose    int // answers of the next writes that are lost after the effect
}

func (t *fakeTable) reach(ctx context.Context) error {
	t.mutex.Lock()
	latency, down := t.latency, t.down
	t.mutex.Unlock()
	if timing.Sleep(ctx, latency) != nil || down {
		return fault.New(fault.Unavailable, "table down", "wait")
	}
	return nil
}

func (t *fakeTable) Get(ctx context.Context, key string) (outside.Row, error) {
	if err := t.reach(ctx); err != nil {
		return outside.Row{}, err
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.rows[key], nil
}

func (t *fakeTable) CompareAndSet(ctx context.Context, key string, version uint64, value []byte, change string) (outside.Row, error) {
	if err := t.reach(ctx); err != nil {
		return outside.Row{}, err
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.rows[key].Version != version {
		return outside.Row{}, fault.New(fault.Conflict, "moved on", "read again")
	}
	t.rows[key] = outside.Row{Key: key, Version: version + 1, Value: value, Change: change}
	if t.lose > 0 {
		t.lose--
		return outside.Row{}, fault.New(fault.Unavailable, "answer lost", "read back").WithRan(fault.RanUnknown)
	}
	return t.rows[key], nil
}

func (t *fakeTable) List(context.Context, string) ([]outside.Row, error) { return nil, nil }

// drawn reads what the table has for a tenant's period.
func (t *fakeTable) drawn(key entryKey) int64 {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	state, _ := decodeRow(t.rows[rowKey(0)])
	return state.Entries[key].Drawn
}

// fakeShard is one shard with one machine. Nodes that were leaders go on
// believing it until they are told.
type fakeShard struct {
	mutex    sync.Mutex
	machine  *Machine
	leader   id.Node
	position shard.Position
	believed map[id.Node]shard.Position
	latency  time.Duration
}

func (s *fakeShard) lead(node id.Node, position shard.Position) {
	s.leader, s.position = node, position
	s.believed[node] = position
}

type fakeProposer struct {
	shard *fakeShard
	node  id.Node
}

func (p fakeProposer) Propose(ctx context.Context, _ id.Shard, command []byte) (any, error) {
	p.shard.mutex.Lock()
	latency := p.shard.latency
	p.shard.mutex.Unlock()
	if timing.Sleep(ctx, latency) != nil {
		return nil, fault.New(fault.Unavailable, "too late", "try again").WithRan(fault.RanUnknown)
	}
	p.shard.mutex.Lock()
	defer p.shard.mutex.Unlock()
	if p.shard.leader != p.node {
		delete(p.shard.believed, p.node)
		return nil, fault.New(fault.NotLeader, "not the leader", "ask the leader")
	}
	return p.shard.machine.Apply(0, command), nil
}

func (p fakeProposer) Query(_ context.Context, _ id.Shard, read func(shard.Machine)) error {
	p.shard.mutex.Lock()
	defer p.shard.mutex.Unlock()
	if p.shard.leader != p.node {
		return fault.New(fault.NotLeader, "not the leader", "ask the leader")
	}
	read(p.shard.machine)
	return nil
}

func (p fakeProposer) Peek(id.Shard, func(shard.Machine)) bool { return false }

func (p fakeProposer) Leads(id.Shard) (shard.Position, bool) {
	p.shard.mutex.Lock()
	defer p.shard.mutex.Unlock()
	position, ok := p.shard.believed[p.node]
	return position, ok
}

func (p fakeProposer) Route(id.Shard) (shard.Route, bool) {
	return shard.Route{Leader: member.Member{Node: p.node}}, true
}
