package member

import (
	"cmp"

	"github.com/cespare/xxhash/v2"

	"github.com/cloverwheel/cloverwheel/internal/id"
	"github.com/cloverwheel/cloverwheel/internal/peer"
)

// Peer methods that every node serves.
const (
	MethodPing  = "member.ping"  // Message → Message
	MethodRelay = "member.relay" // RelayRequest → RelayAnswer
	MethodSync  = "member.sync"  // SyncRequest → SyncAnswer
)

// Details are the parts of a Member that never change during an incarnation.
type Details struct {
	Address peer.Address
	Public  string
	Zone    string
	Region  string
}

// Update is news of one node. Updates of a node are ordered by incarnation,
// then by refutation, then by state.
type Update struct {
	Node        id.Node
	Incarnation id.Incarnation
	Refutation  uint64
	State       State
	Leaves      bool
	// By names who suspects the node, or the node itself when it says farewell.
	By []id.Node
	// Refused says that the suspect's machine answers but nothing listens there,
	// which several nodes have found; the process is surely gone.
	Refused bool
	// Details are left out where the receiver is likely to know them.
	Details *Details
}

// Message is a probe or a piece of gossip, and the answer to it.
type Message struct {
	From            id.Node
	FromIncarnation id.Incarnation
	To              id.Node
	ToIncarnation   id.Incarnation
	Updates         []Update
	Riders          []RiderPayload
	// Digest is that of the sender's table, or 0 while it has news to spread.
	Digest uint64
	// SenderUnknown tells a prober that the answering node does not know it.
	SenderUnknown bool
}

// RiderPayload is what the rider of a name collected.
type RiderPayload struct {
	Name    string
	Payload []byte
}

// RelayRequest asks a node to probe another one.
type RelayRequest struct {
	From   id.Node
	Target id.Node
}

// RelayAnswer says whether the relaying node reached the target, or whether the
// target's machine refused the connection.
type RelayAnswer struct {
	Reached bool
	Refused bool
}

// SyncRequest opens an exchange of whole tables, or pushes what the other side
// lacked in its answer.
type SyncRequest struct {
	Self   Update // with details
	Digest uint64 // of the sender's table
	Push   []Update
}

// SyncAnswer answers an exchange.
type SyncAnswer struct {
	Self    Update   // with details
	Same    bool     // the tables are equal, so no records follow
	Records []Update // all but the dead, or what corrects a push
}

// rank orders the states that one incarnation can have at one refutation.
func rank(state State) int {
	switch state {
	case Alive, Leaving:
		return 0
	case Suspect:
		return 1
	default:
		return 2
	}
}

// compare says whether u is older (-1) or newer (+1) than what m holds.
func (u Update) compare(m Member) int {
	return cmp.Or(
		cmp.Compare(u.Incarnation, m.Incarnation),
		cmp.Compare(u.Refutation, m.Refutation),
		cmp.Compare(rank(u.State), rank(m.State)),
	)
}

// farewell reports whether the node itself has announced its end.
func (u Update) farewell() bool {
	return u.State == Dead && len(u.By) == 1 && u.By[0] == u.Node
}

// updateOf returns news of m without its details.
func updateOf(m Member) Update {
	return Update{Node: m.Node, Incarnation: m.Incarnation, Refutation: m.Refutation, State: m.State, Leaves: m.Leaves}
}

// detailedUpdateOf returns news of m with its details, if they are known.
func detailedUpdateOf(m Member) Update {
	update := updateOf(m)
	if m.Address != "" {
		update.Details = &Details{Address: m.Address, Public: m.Public, Zone: m.Zone, Region: m.Region}
	}
	return update
}

// digest hashes what a table says of a live member. Suspicions are left out, for
// they come and go.
func digest(m Member) uint64 {
	hash := xxhash.NewWithSeed(uint64(m.Incarnation))
	_, _ = hash.WriteString(string(m.Node)) // it never fails
	_, _ = hash.Write([]byte{byte(m.Refutation), byte(m.Refutation >> 8), byte(m.Refutation >> 16)})
	return hash.Sum64()
}
