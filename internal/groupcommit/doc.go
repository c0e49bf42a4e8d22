// Package groupcommit implements group commit: it combines rows from many nodes so that the table
// receives fewer commits than there are rows. The partitions of a region are divided into groups,
// and the owner of the group's directory slot commits the group's rows. One commit takes rows of
// one partition, or of the whole group if the table accepts transactions across partitions. Rows
// that arrive while a commit is in flight go into the next one. Above the allowed commit rate, the
// owner also delays a commit to collect more rows.
//
// Group commit is best effort. A sender that gets no confirmation in time writes the rows itself,
// so writing the same row twice must be harmless. A node sends its rows to an owner only while the
// table is near its commit limit; otherwise it writes them itself at once.
//
// The methods of CommitLimit and selectBatch are pure: they read no clock and make no calls.
package groupcommit

import (
	"time"

	"github.com/cloverwheel/cloverwheel/internal/store"
)

const (
	// Groups is the number of groups that the partitions of a region are divided into; each has
	// one owner. Fewer groups give better rate estimates, but losing an owner then affects more
	// rows.
	Groups = 8
	// partitionsPerGroup is how many consecutive partitions, of 64 in total, form a group.
	partitionsPerGroup = 8
)

// groupOf returns the group of a partition.
func groupOf(partition int) int { return partition / partitionsPerGroup % Groups }

// slotHash returns the hash that selects a group's directory slot: the number of the group's first
// partition.
func slotHash(group int) uint64 { return uint64(group * partitionsPerGroup) }

// Request asks the owner of a group's slot to write rows.
type Request struct {
	Process string // the receiver's process name
	Group   int
	Rows    []store.Row
	Within  time.Duration // how long the sender waits for the outcome
	Again   bool          // a retry: the same rows were sent before
}

// size returns the size of the rows in the table, in bytes.
func (r Request) size() (bytes int) {
	for _, row := range r.Rows {
		bytes += rowSize(row)
	}
	return bytes
}

func rowSize(row store.Row) int {
	return len(row.Table) + len(row.Part) + len(row.Name) + len(row.Value)
}

// Outcome is the result of asking an owner to write rows.
type Outcome string

// The outcomes; an owner's outcome is sent to the requesting node. After any of them but
// OutcomeStored the rows may or may not be in the table.
const (
	OutcomeStored Outcome = "kept"
	OutcomeFull   Outcome = "full"   // the queue or the memory limit is full
	OutcomeLate   Outcome = "late"   // the sender's timeout passed
	OutcomeFailed Outcome = "failed" // the table rejected the rows or does not respond to the owner
	// OutcomeNoAnswer, OutcomeUnsupported and OutcomeNotOwner are set by the sender: the node did
	// not answer in time, does not support the request, or does not own the slot.
	OutcomeNoAnswer    Outcome = "silent"
	OutcomeUnsupported Outcome = "old"
	OutcomeNotOwner    Outcome = "stranger"
)

// Answer is the owner's reply to a Request.
type Answer struct {
	Owner   bool // the receiver owns the group's slot
	Outcome Outcome
	// Short reports that the table is near its commit limit, so rows should keep coming to the
	// owner.
	Short bool
	// Throttled reports that the table has just throttled commits of this group, so the sender's
	// own commit would probably be throttled too.
	Throttled bool
	// Expect is the estimated time to write rows that arrive now.
	Expect time.Duration
	// Took is the time that the owner held the rows.
	Took time.Duration
}
