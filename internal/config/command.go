package config

import (
	"time"

	"github.com/cloverwheel/cloverwheel/internal/peer"
	"github.com/cloverwheel/cloverwheel/internal/template"
)

// Entry is one version: the change that made it out of the version before.
type Entry struct {
	Version  uint64
	ChangeID string
	Author   string
	Message  string
	Made     time.Time
	Change   template.Change
}

// Record is an accepted entry with what undoes it.
type Record struct {
	Entry Entry
	Undo  template.Change
}

// Command is one entry of shard 0's log; exactly one field is set.
type Command struct {
	// Prepare makes an entry the pending one, if it follows the head and no
	// other is pending. From then on it may be in the table.
	Prepare *Entry
	// Accept puts the pending entry in force, once the table has it.
	Accept *Acceptance
	// Adopt puts an entry in force that was found in the table and that this
	// shard's log has lost together with its majority.
	Adopt *Entry
	// Reconcile records that everything in the table has been adopted.
	Reconcile *Reconciliation
}

// Reconciliation names the group epoch in which the table was compared. Only a
// new epoch can have lost entries.
type Reconciliation struct{ Epoch uint64 }

// Acceptance names the pending entry.
type Acceptance struct {
	Version  uint64
	ChangeID string
}

// Encode returns the command in gob.
func (c Command) Encode() ([]byte, error) { return peer.Encode(c) }

// DecodeCommand reads what Encode wrote.
func DecodeCommand(data []byte) (Command, error) {
	var command Command
	return command, peer.Decode(data, &command)
}

// Verdict is what became of a command.
type Verdict uint8

// The verdicts.
const (
	// Refused commands changed nothing, because the head or the pending entry
	// is not what the proposer took it for.
	Refused Verdict = iota
	// Done commands took effect, now or at an earlier repetition.
	Done
)

// Result is what Machine.Apply returns.
type Result struct {
	Verdict Verdict
	Head    *template.Configuration // after the command
}
