package shard

import (
	"context"
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cloverwheel/cloverwheel/internal/fault"
	"github.com/cloverwheel/cloverwheel/internal/id"
	"github.com/cloverwheel/cloverwheel/internal/peer"
)

// methodBeat carries a beat that has no messages to ride with.
const methodBeat = "shard.beat"

// beatRequest is a lone beat.
type beatRequest struct {
	From   ReplicaID
	To     id.Incarnation
	Digest uint64
	Count  int
}

type beatMatch struct{ Matched bool }

func (h *Host) serveBeat(_ context.Context, request beatRequest) (beatMatch, error) {
	if request.To != h.self.Incarnation || h.running.Err() != nil {
		return beatMatch{}, notHeldHere()
	}
	taken := h.takeBeat(batch{From: request.From, Beat: &beat{Digest: request.Digest, Count: request.Count}}, nil)
	return beatMatch{Matched: taken.Matched}, nil
}

// notHeldHere refuses what is meant for an earlier process of this node.
func notHeldHere() *fault.Error {
	return fault.New(fault.Fenced, "the replica addressed is not held by this process", "look its node up again")
}

// beat is the heartbeat of one node's leaderships towards another node. It
// names them by one digest, so that its size does not grow with their number.
type beat struct {
	Digest uint64
	Count  int
	Items  []beatItem // only after the receiver's digest differed
}

// beatItem is one leadership.
type beatItem struct {
	Shard    id.Shard
	Joined   uint64 // the receiver's seat
	Position Position
	Commit   uint64
}

// beatAnswer says whether the receiver follows just these leaderships.
type beatAnswer struct {
	Matched bool
	Items   []beatItem // those of a differing beat that the receiver does follow
}

func (i beatItem) hash() uint64 {
	var buffer [28]byte
	binary.LittleEndian.PutUint32(buffer[0:], uint32(i.Shard))
	binary.LittleEndian.PutUint64(buffer[4:], i.Joined)
	binary.LittleEndian.PutUint64(buffer[12:], i.Position.Epoch)
	binary.LittleEndian.PutUint64(buffer[20:], i.Position.Term)
	return xxhash.Sum64(buffer[:])
}

func newBeat(items []beatItem) *beat {
	b := &beat{Count: len(items)}
	for _, item := range items {
		b.Digest ^= item.hash()
	}
	return b
}

// beatTarget collects the leaderships that one member is told of.
type beatTarget struct {
	address peer.Address
	items   []beatItem
}

// sendBeats sends one beat to each node with a replica that this node leads.
func (h *Host) sendBeats(now time.Time) {
	targets := map[ReplicaID]*beatTarget{}
	for _, g := range h.list() {
		g.addBeats(targets)
	}
	for to, target := range targets {
		h.sendBeat(now, to, target, newBeat(target.items))
	}
}

func (g *group) addBeats(targets map[ReplicaID]*beatTarget) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.closed || g.sealed > 0 || g.replica.Role() != Leader {
		return
	}
	configuration, _ := g.replica.Configuration()
	for _, seat := range configuration.Seats {
		if seat.Replica == g.host.self {
			continue
		}
		target, ok := targets[seat.Replica]
		if !ok {
			target = &beatTarget{address: seat.Address}
			targets[seat.Replica] = target
		}
		target.items = append(target.items, beatItem{g.shard, seat.Joined, g.replica.Position(), g.replica.Commit()})
	}
}

func (h *Host) sendBeat(now time.Time, to ReplicaID, target *beatTarget, b *beat) {
	h.outboxes.postBeat(to, target.address, &pendingBeat{beat: b, answered: func(answer beatAnswer) {
		if answer.Matched {
			h.heard(now, to, target.items)
			return
		}
		if b.Items != nil {
			h.heard(now, to, answer.Items)
			return
		}
		h.sendBeat(time.Now(), to, target, &beat{Digest: b.Digest, Count: b.Count, Items: target.items})
	}})
}

// heard notes that a member follows these leaderships.
func (h *Host) heard(at time.Time, member ReplicaID, items []beatItem) {
	for _, item := range items {
		g := h.group(item.Shard)
		if g == nil {
			continue
		}
		g.mutex.Lock()
		if g.replica.Role() == Leader && g.replica.Position() == item.Position {
			g.replica.HeardMember(member, at)
		}
		g.mutex.Unlock()
	}
}

// takeBeat refreshes the replicas that follow the sender.
func (h *Host) takeBeat(request batch, back *reply) beatAnswer {
	now := time.Now()
	if len(request.Beat.Items) > 0 {
		return h.takeBeatItems(request, now, back)
	}
	var followed []*group
	var items []beatItem
	for _, g := range h.list() {
		g.mutex.Lock()
		if !g.closed && g.sealed == 0 && g.replica.Role() == Follower && g.replica.Leader() == request.From {
			followed = append(followed, g)
			items = append(items, beatItem{Shard: g.shard, Joined: g.joined, Position: g.replica.Position()})
		}
		g.mutex.Unlock()
	}
	own := newBeat(items)
	if own.Digest != request.Beat.Digest || own.Count != request.Beat.Count {
		return beatAnswer{}
	}
	for i, g := range followed {
		g.heardLeader(request.From, items[i].Position, now)
	}
	return beatAnswer{Matched: true}
}

func (g *group) heardLeader(leader ReplicaID, position Position, now time.Time) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.closed || g.sealed > 0 || g.replica.Role() != Follower || g.replica.Leader() != leader || g.replica.Position() != position {
		return false
	}
	g.replica.HeardLeader(now)
	return true
}

// takeBeatItems refreshes the replicas named one by one. One that does not
// follow yet takes the item for an empty append, and so learns its leader.
func (h *Host) takeBeatItems(request batch, now time.Time, back *reply) beatAnswer {
	answer := beatAnswer{Items: []beatItem{}}
	for _, item := range request.Beat.Items {
		g := h.group(item.Shard)
		if g != nil && g.epoch == item.Position.Epoch && g.joined == item.Joined && g.heardLeader(request.From, item.Position, now) {
			answer.Items = append(answer.Items, item)
			continue
		}
		h.deliver(Message{
			Shard: item.Shard, Kind: MessageAppend, From: request.From, To: h.self, Joined: item.Joined, Position: item.Position,
		}, request.Address, back)
	}
	return answer
}
