package member

import (
	"math/rand/v2"
	"time"

	"github.com/cloverwheel/cloverwheel/internal/id"
	"github.com/cloverwheel/cloverwheel/internal/peer"
)

// State is what the cluster believes of one node.
type State uint8

// The states of a node, in the order in which a later one overrides an earlier
// one at the same incarnation and refutation.
const (
	Alive State = iota
	Leaving
	Suspect
	Dead
)

// String returns the state's name for logs and metrics.
func (s State) String() string {
	switch s {
	case Alive:
		return "alive"
	case Leaving:
		return "leaving"
	case Suspect:
		return "suspect"
	default:
		return "dead"
	}
}

// Member is one node as the cluster knows it.
type Member struct {
	Node        id.Node
	Incarnation id.Incarnation // of the process; a restart is a new member
	Address     peer.Address   // of the internal listener
	Public      string         // host:port of the callers' listener
	Zone        string
	Region      string
	State       State
	// Leaves is set once the node has announced its stop; it stays set while the
	// node is Suspect.
	Leaves bool
	// Refutation rises when the node itself denies a suspicion or announces that
	// it leaves.
	Refutation uint64
}

// Usable reports whether new work may be sent to the member.
func (m Member) Usable() bool {
	return !m.Leaves && (m.State == Alive || m.State == Suspect)
}

// View is an immutable picture of the cluster, sorted by node name. Dead
// members are left out.
type View struct {
	Self    Member
	Members []Member // self included
}

// Lookup finds a member by node name.
func (v *View) Lookup(node id.Node) (Member, bool) {
	for _, m := range v.Members {
		if m.Node == node {
			return m, true
		}
	}
	return Member{}, false
}

// Rider lets another part of the node piggyback small, versioned updates on
// membership messages, so that no second gossip is needed.
type Rider interface {
	// Collect returns updates worth spreading, at most limit bytes in all.
	Collect(limit int) []byte
	// Deliver takes in what another node's rider collected.
	Deliver(payload []byte)
}

// incarnationRandomBits tell apart two starts within one microsecond.
const incarnationRandomBits = 10

// NewIncarnation returns the incarnation of a process that starts at now. A
// later start of a node has a higher one, so it supersedes the earlier.
func NewIncarnation(now time.Time) id.Incarnation {
	started := uint64(now.UnixMicro()) << incarnationRandomBits
	return id.Incarnation(started | rand.Uint64N(1<<incarnationRandomBits))
}
