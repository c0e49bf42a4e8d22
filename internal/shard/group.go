package shard

import (
	"sync"
	"time"

	"github.com/cloverwheel/cloverwheel/internal/fault"
	"github.com/cloverwheel/cloverwheel/internal/id"
	"github.com/cloverwheel/cloverwheel/internal/member"
)

// group is one shard's replica on this node, with its machine and its waiters.
type group struct {
	host    *Host
	shard   id.Shard
	epoch   uint64
	joined  uint64
	mutex   sync.Mutex
	replica *Replica
	machine Machine
	closed  bool
	sealed  uint64 // epoch that is to replace this one; zero: none

	waiters map[uint64]waiter // by index
	reads   map[uint64]*readWaiter

	leads    bool // as announced
	leading  Position
	ledSince time.Time
	routed   Position  // of the leader that was last learnt
	growing  time.Time // zero once a new group has grown; until then it waits for others to join
	fetching bool      // a snapshot
	silence  time.Time // since when no leader is known; zero: one is

	row    rowState
	stored storedState
	wished wishes
}

// waiter is a proposal whose entry is not yet committed.
type waiter struct {
	position Position
	done     chan outcome
}

type outcome struct {
	value any
	err   error
}

// readWaiter is a query whose leadership is not yet confirmed.
type readWaiter struct {
	token uint64
	read  func(Machine)
	done  chan error
}

// reply collects the messages that go back in the answer of a batch.
type reply struct {
	to       ReplicaID
	messages []Message
}

func (g *group) tick(now time.Time) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.closed || g.sealed > 0 {
		return
	}
	g.replica.Tick(now)
	g.drain(nil)
	g.noteSilence(now)
}

// noteSilence remembers since when the replica knows no leader.
func (g *group) noteSilence(now time.Time) {
	switch {
	case g.replica.Leader() != ReplicaID{}:
		g.silence = time.Time{}
	case g.silence.IsZero():
		g.silence = now
	}
}

func (g *group) step(m Message, back *reply) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.closed || g.sealed > 0 {
		return
	}
	if m.Kind == MessageOffer && m.Joined == g.joined && m.Position.Epoch == g.epoch {
		g.fetch(m)
	}
	g.replica.Step(m, time.Now())
	g.drain(back)
}

func (g *group) propose(command []byte) (chan outcome, error) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.closed || g.sealed > 0 || g.replica.Role() != Leader {
		return nil, g.host.notLeader(g.shard)
	}
	if !g.grown() {
		return nil, fault.New(fault.Unavailable, "the shard is waiting for its other replicas", "try again shortly").WithRetryAfter(g.host.options.TickInterval)
	}
	index, position, ok := g.replica.Propose(command, time.Now())
	if !ok {
		return nil, g.host.notLeader(g.shard)
	}
	done := make(chan outcome, 1)
	g.waiters[index] = waiter{position, done}
	g.drain(nil)
	return done, nil
}

// grown reports whether a new group has as many replicas as the cluster can
// give. Until then it serves nothing, because what one replica alone has
// acknowledged is lost with it. A node that sees no other waits a while for
// others to join before it serves by itself.
func (g *group) grown() bool {
	if g.growing.IsZero() {
		return true
	}
	configuration, _ := g.replica.Configuration()
	wanted := g.host.wanted()
	alone := wanted == 1 && g.host.options.Replicas > 1
	if configuration.Voters() < wanted || (alone && time.Now().Before(g.growing)) {
		return false
	}
	g.growing = time.Time{}
	return true
}

func (g *group) query(read func(Machine)) (*readWaiter, error) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.closed || g.sealed > 0 {
		return nil, g.host.notLeader(g.shard)
	}
	token, ok := g.replica.Read(time.Now())
	if !ok {
		return nil, g.host.notLeader(g.shard)
	}
	wait := &readWaiter{token: token, read: read, done: make(chan error, 1)}
	g.reads[token] = wait
	g.drain(nil)
	return wait, nil
}

// cancelRead makes sure that the read function does not run any more.
func (g *group) cancelRead(wait *readWaiter) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	delete(g.reads, wait.token)
}

// drain does what the replica wants done. The caller holds the mutex.
func (g *group) drain(back *reply) {
	output := g.replica.Take()
	for _, applied := range output.Committed {
		g.apply(applied)
	}
	g.finishReads(output)
	for _, m := range output.Messages {
		g.post(m, back)
	}
	g.announce()
	if g.replica.Role() != Leader {
		g.failWaiters()
	}
	g.compact()
	if output.Removed {
		g.closed = true
		go g.host.drop(g)
	}
}

func (g *group) apply(applied Applied) {
	var value any
	if applied.Entry.Kind == EntryCommand {
		value = g.machine.Apply(applied.Index, applied.Entry.Data)
	}
	g.note(applied)
	wait, ok := g.waiters[applied.Index]
	if !ok {
		return
	}
	delete(g.waiters, applied.Index)
	if wait.position == applied.Entry.Position {
		wait.done <- outcome{value: value}
		return
	}
	wait.done <- outcome{err: fault.New(fault.NotLeader, "another leader took the command's place in the log", "try again")}
}

func (g *group) finishReads(output Output) {
	for _, token := range output.Reads {
		if wait, ok := g.reads[token]; ok {
			wait.read(g.machine)
			wait.done <- nil
			delete(g.reads, token)
		}
	}
	for _, token := range output.Dropped {
		if wait, ok := g.reads[token]; ok {
			wait.done <- g.host.notLeader(g.shard)
			delete(g.reads, token)
		}
	}
}

// post hands a message to the sender's answer or to the receiver's outbox.
func (g *group) post(m Message, back *reply) {
	m.Shard = g.shard
	if back != nil && m.To == back.to {
		back.messages = append(back.messages, m)
		return
	}
	configuration, _ := g.replica.Configuration()
	seat, _ := configuration.Seat(m.To)
	g.host.outboxes.post(m, seat.Address)
}

// announce tells observer and routes when leadership begins or ends.
func (g *group) announce() {
	leads := g.replica.Ready() && !g.closed && g.sealed == 0 && g.grown()
	position := g.replica.Position()
	g.learnLeader(position)
	if leads == g.leads && (!leads || position == g.leading) {
		return
	}
	if g.leads {
		g.host.notices.add(notice{g.shard, g.leading, false})
	}
	g.leads, g.leading, g.ledSince = leads, position, time.Now()
	if leads {
		g.stored.known = false
		g.host.notices.add(notice{g.shard, position, true})
		configuration, _ := g.replica.Configuration()
		g.host.routes.learn(Route{Shard: g.shard, Position: position, Leader: g.host.options.Self, Members: configuration.replicas()})
		g.host.options.Log.WithField("shard", g.shard).WithField("epoch", position.Epoch).WithField("term", position.Term).Info("leadership taken")
	}
}

// learnLeader notes the leader that the replica follows in the routes.
func (g *group) learnLeader(position Position) {
	leader := g.replica.Leader()
	if g.routed == position || leader == (ReplicaID{}) || leader == g.host.self {
		return
	}
	g.routed = position
	configuration, _ := g.replica.Configuration()
	known := member.Member{Node: leader.Node, Incarnation: leader.Incarnation, Address: g.host.outboxes.addressOf(leader)}
	if view := g.host.view(); view != nil {
		if m, ok := view.Lookup(leader.Node); ok && m.Incarnation == leader.Incarnation {
			known = m
		}
	}
	g.host.routes.learn(Route{Shard: g.shard, Position: position, Leader: known, Members: configuration.replicas()})
}

// failWaiters ends proposals whose outcome the lost leadership leaves open.
func (g *group) failWaiters() {
	for index, wait := range g.waiters {
		wait.done <- outcome{err: fault.New(fault.Unavailable, "leadership of the shard was lost before the command was known to be committed", "ask for its outcome by its own key").WithRan(fault.RanUnknown)}
		delete(g.waiters, index)
	}
}

// unstoredFactor is how much longer a leader's log may grow while its entries
// wait to be stored as a tail, which is cheaper than a snapshot.
const unstoredFactor = 8

// compact drops the older half of a long log.
func (g *group) compact() {
	bytes, limit := g.replica.LogBytes(), g.host.options.CompactBytes
	if bytes <= limit {
		return
	}
	first := g.replica.log.base
	index := first + (g.replica.log.last()-first)/2 + 1
	if g.leads && g.stored.known && bytes <= unstoredFactor*limit {
		index = min(index, g.stored.index)
	}
	g.replica.Compact(index)
}

// close ends the group and returns the promises that must be remembered.
func (g *group) close() (Position, ReplicaID) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.closed = true
	g.announce()
	g.failWaiters()
	for token, wait := range g.reads {
		wait.done <- g.host.notLeader(g.shard)
		delete(g.reads, token)
	}
	return g.replica.Position(), g.replica.Promised()
}

// seatOf makes the seat of a member of the cluster.
func seatOf(m member.Member) Seat {
	return Seat{Replica: ReplicaID{m.Node, m.Incarnation}, Address: m.Address, Zone: m.Zone}
}
