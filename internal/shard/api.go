package shard

import (
	"context"

	"github.com/cloverwheel/cloverwheel/internal/id"
	"github.com/cloverwheel/cloverwheel/internal/member"
	"github.com/cloverwheel/cloverwheel/internal/peer"
)

// Machine is the deterministic state machine of one shard. The host calls it
// from one goroutine at a time.
type Machine interface {
	// Apply runs a committed command and returns its result to the proposer. It
	// must depend on nothing but the machine's state and the command.
	Apply(index uint64, command []byte) any
	// Snapshot encodes the whole state.
	Snapshot() ([]byte, error)
	// Restore replaces the whole state.
	Restore(snapshot []byte) error
}

// ReplicaID names one member of a group. A restarted node has a new
// incarnation and so is a new replica.
type ReplicaID struct {
	Node        id.Node
	Incarnation id.Incarnation
}

// Position orders the leaderships of a shard: by group epoch, then by term.
type Position struct {
	Epoch uint64
	Term  uint64
}

// Route says who leads a shard, as far as a node knows.
type Route struct {
	Shard    id.Shard
	Position Position
	Leader   member.Member
	Members  []ReplicaID
}

// Proposer is what roles need of a shard host.
type Proposer interface {
	// Propose commits command and returns what Apply returned. It fails with
	// fault.NotLeader and RanNo when this node does not lead the shard, and with
	// RanUnknown when leadership was lost before the outcome was known.
	Propose(ctx context.Context, shard id.Shard, command []byte) (any, error)
	// Query runs read on the machine after confirming leadership with a majority.
	Query(ctx context.Context, shard id.Shard, read func(Machine)) error
	// Peek runs read on this node's possibly stale copy, and reports whether
	// there is one.
	Peek(shard id.Shard, read func(Machine)) bool
	// Leads reports whether this node believes that it leads the shard, and
	// since which position.
	Leads(shard id.Shard) (Position, bool)
	// Route returns what this node knows of the shard's leader.
	Route(shard id.Shard) (Route, bool)
}

// LeadershipObserver hears when this node begins or ceases to lead a shard. It
// must not block.
type LeadershipObserver func(shard id.Shard, position Position, leads bool)

// Locator finds the address to try for a shard and learns from failures.
type Locator interface {
	// Do calls attempt with the address of the shard's leader, follows
	// fault.NotLeader hints, and retries with jittered backoff what did not run,
	// until it succeeds, fails for another reason or ctx ends.
	Do(ctx context.Context, shard id.Shard, attempt func(context.Context, peer.Address) error) error
}
