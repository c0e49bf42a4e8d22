// Package gather keeps rows of many nodes together, so that the table is called less often
// than rows are written (group commit). The owner of a directory slot gathers the rows of a
// group of parts: while its last call is under way, or while calls are short, rows wait, and
// then go in one call.
//
// It is a way, not a promise: whoever gets no word in time that its rows are in the table
// writes them itself. Writing the same row twice must do no harm. A node sends its rows to an
// owner only while the table is short of calls; else it writes them itself at once.
//
// Pace and pick are pure: they have no clock, and call nobody.
package gather

import (
	"time"

	"github.com/cloverwheel/cloverwheel/internal/store"
)

const (
	// Groups is into how many groups the parts of a region are divided. Each has one owner,
	// which writes several parts in one call. Fewer gather more, and more is lost with one.
	Groups = 8
	// partsOfGroup of the 64 parts follow one another in a group.
	partsOfGroup = 8
)

// groupOf is the group of a part.
func groupOf(part int) int { return part / partsOfGroup % Groups }

// slotHash stands for a group where directory slots are drawn: its first part.
func slotHash(group int) uint64 { return uint64(group * partsOfGroup) }

// Request asks the owner of a group's slot to write rows.
type Request struct {
	Process string // that is asked
	Group   int
	Rows    []store.Row
	Within  time.Duration // the asker listens for so long
}

// size is what the rows take in the table, in bytes.
func (r Request) size() (bytes int) {
	for _, row := range r.Rows {
		bytes += rowSize(row)
	}
	return bytes
}

func rowSize(row store.Row) int {
	return len(row.Table) + len(row.Part) + len(row.Name) + len(row.Value)
}

// Outcome is what came of rows that an owner was asked to write.
type Outcome string

// The outcomes. All but OutcomeKept leave it open whether the rows are in the table.
const (
	OutcomeKept   Outcome = "kept"
	OutcomeFull   Outcome = "full"   // too much waits already
	OutcomeLate   Outcome = "late"   // the asker's time was over
	OutcomeFailed Outcome = "failed" // the table did not take them, or does not answer the owner
	// OutcomeSilent, OutcomeOld and OutcomeStranger are an asker's own: no answer in time; a node that does not know
	// the question; one that does not own the slot.
	OutcomeSilent   Outcome = "silent"
	OutcomeOld      Outcome = "old"
	OutcomeStranger Outcome = "stranger"
)

// Answer is the owner's word.
type Answer struct {
	Owner   bool // the process asked owns the group's slot
	Outcome Outcome
	// Short tells that calls to the table are short: rows should go on coming.
	Short bool
	// Throttled tells that the table has just refused calls of this group for their number: an
	// own call is not likely to fare better.
	Throttled bool
	// Expect is how long rows that arrive now are expected to take.
	Expect time.Duration
	// Took is how long the rows were at the owner.
	Took time.Duration
}
