package shard

import (
	"cmp"
	"time"

	"github.com/cloverwheel/cloverwheel/internal/id"
	"github.com/cloverwheel/cloverwheel/internal/peer"
)

// Compare orders positions by epoch, then by term.
func (p Position) Compare(other Position) int {
	if order := cmp.Compare(p.Epoch, other.Epoch); order != 0 {
		return order
	}
	return cmp.Compare(p.Term, other.Term)
}

// EntryKind tells the entries of a log apart.
type EntryKind uint8

// The kinds of entries.
const (
	EntryCommand       EntryKind = iota // a command for the Machine
	EntryEmpty                          // a new leader's first entry
	EntryConfiguration                  // a change of members
)

// Entry is one element of a replicated log. Its index is its place there.
type Entry struct {
	Position      Position // of the leader that made it
	Kind          EntryKind
	Data          []byte         // of EntryCommand
	Configuration *Configuration // of EntryConfiguration: the whole new one
}

// Seat is one replica's membership of a group.
type Seat struct {
	Replica ReplicaID
	Address peer.Address
	Zone    string
	// Joined is the index of the entry that gave the seat. A replica that is
	// removed and added again has another one, so that what it acknowledged
	// before it dropped its log does not count for the new seat.
	Joined uint64
	Voter  bool // false: a learner, which counts for no majority
}

// Configuration is the member list of a group.
type Configuration struct{ Seats []Seat }

// Seat finds a replica's seat.
func (c Configuration) Seat(replica ReplicaID) (Seat, bool) {
	for _, seat := range c.Seats {
		if seat.Replica == replica {
			return seat, true
		}
	}
	return Seat{}, false
}

// Voters counts the voting members.
func (c Configuration) Voters() int {
	count := 0
	for _, seat := range c.Seats {
		if seat.Voter {
			count++
		}
	}
	return count
}

// majority is the number of voters that decides.
func (c Configuration) majority() int { return c.Voters()/2 + 1 }

// replicas lists all members.
func (c Configuration) replicas() []ReplicaID {
	var list []ReplicaID
	for _, seat := range c.Seats {
		list = append(list, seat.Replica)
	}
	return list
}

// MessageKind tells the messages between replicas apart.
type MessageKind uint8

// The kinds of messages.
const (
	MessageAppend    MessageKind = iota + 1 // leader → member: entries, commit index, read round
	MessageAppended                         // its answer
	MessagePreVote                          // would you promise?
	MessagePreVoted                         // its answer
	MessageVote                             // promise me this term
	MessageVoted                            // its answer
	MessageOffer                            // leader → member: fetch a snapshot, the log has gone
	MessageTakeOver                         // leader → member: campaign now
	MessageRemoved                          // your seat has been taken away
	MessageInstalled                        // member → leader: a snapshot is installed
)

// Message is what replicas of one group send each other. Fields that a kind
// does not use are zero.
type Message struct {
	Shard    id.Shard
	Kind     MessageKind
	From, To ReplicaID
	Joined   uint64   // the receiver's Seat.Joined, as a request's sender knows it
	Own      uint64   // the sender's Seat.Joined
	Position Position // of the sender; of the campaign in vote messages
	// Previous and PreviousPosition name the entry before Entries, or the last
	// entry of a candidate's log.
	Previous         uint64
	PreviousPosition Position
	Entries          []Entry
	Commit           uint64
	Read             uint64 // round of read confirmations
	Reject           bool
	Match            uint64 // highest index known to agree, or a hint where to look
	Force            bool   // a vote that the old leader asked for
}

// Role is what a replica does in its group.
type Role uint8

// The roles of a replica.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// Applied is a committed entry with its index.
type Applied struct {
	Index uint64
	Entry Entry
}

// Output is what a replica wants done since it was last asked.
type Output struct {
	Messages  []Message
	Committed []Applied
	Reads     []uint64 // tokens of reads that may now run on the applied state
	Dropped   []uint64 // tokens of reads that cannot be confirmed any more
	Removed   bool     // the replica's own seat is gone for good
}

// SnapshotMeta describes the state that a snapshot holds.
type SnapshotMeta struct {
	Index         uint64
	Position      Position // of the entry at Index
	Configuration Configuration
	// ConfigurationIndex is the index of the entry that made Configuration.
	ConfigurationIndex uint64
}

// Timing holds the time-outs of a replica. They serve liveness only.
type Timing struct {
	Election time.Duration // a follower campaigns after one to two of them without a leader
	Resend   time.Duration // an unanswered message is sent again after it
}
