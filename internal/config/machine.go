package config

import (
	"slices"

	"github.com/cloverwheel/cloverwheel/internal/peer"
	"github.com/cloverwheel/cloverwheel/internal/template"
)

// historyWeight bounds what is kept for history, diff and rollback: the latest
// 2,000 changes of one object, or fewer that change more.
const historyWeight = 4000

// Machine is the deterministic state of the configuration head. It implements
// shard.Machine and is called from one goroutine at a time; the configurations
// that it hands out are immutable.
type Machine struct {
	past
	weight  int // of the history
	pending *Entry
	// reconciled is one more than the group epoch that was last compared with
	// the table; zero before the first.
	reconciled uint64
	mutant     mutant
}

// NewMachine returns a machine at version 0.
func NewMachine() *Machine { return &Machine{past: past{head: &template.Configuration{}}} }

// Apply implements shard.Machine; it returns a Result.
func (m *Machine) Apply(_ uint64, encoded []byte) any {
	command, err := DecodeCommand(encoded)
	if err != nil {
		return Result{Verdict: Refused, Head: m.head}
	}
	return m.ApplyCommand(command)
}

// ApplyCommand runs a decoded command.
func (m *Machine) ApplyCommand(command Command) Result {
	verdict := Refused
	switch {
	case command.Prepare != nil:
		verdict = m.prepare(command.Prepare)
	case command.Accept != nil:
		verdict = m.accept(*command.Accept)
	case command.Adopt != nil:
		verdict = m.adopt(command.Adopt)
	case command.Reconcile != nil:
		m.reconciled = max(m.reconciled, command.Reconcile.Epoch+1)
		verdict = Done
	}
	return Result{Verdict: verdict, Head: m.head}
}

func (m *Machine) prepare(entry *Entry) Verdict {
	if m.pending != nil && m.pending.ChangeID == entry.ChangeID && m.pending.Version == entry.Version {
		return Done
	}
	if m.pending != nil || entry.Version != m.head.Version+1 {
		return Refused
	}
	m.pending = entry
	return Done
}

func (m *Machine) accept(acceptance Acceptance) Verdict {
	if record, ok := m.record(acceptance.Version); ok {
		if record.Entry.ChangeID == acceptance.ChangeID {
			return Done
		}
		return Refused
	}
	if m.pending == nil || m.pending.Version != acceptance.Version || m.pending.ChangeID != acceptance.ChangeID {
		return Refused
	}
	m.advance(m.pending)
	return Done
}

func (m *Machine) adopt(entry *Entry) Verdict {
	if record, ok := m.record(entry.Version); ok && record.Entry.ChangeID == entry.ChangeID {
		return Done
	}
	if entry.Version != m.head.Version+1 {
		return Refused
	}
	m.advance(entry)
	return Done
}

// advance puts an entry in force; the head never goes back.
func (m *Machine) advance(entry *Entry) {
	undo := undoing(m.head, entry.Change)
	m.head = m.head.With(entry.Version, entry.Change)
	m.pending = nil
	m.history = append(m.history, Record{Entry: *entry, Undo: undo})
	m.weight += weight(entry.Change)
	if m.weight > 2*historyWeight {
		m.trim()
	}
}

// trim drops the oldest records. It makes a new slice, because readers may still
// hold the old one.
func (m *Machine) trim() {
	first := len(m.history) - 1
	m.weight = weight(m.history[first].Entry.Change)
	for first > 0 && m.weight+weight(m.history[first-1].Entry.Change) <= historyWeight {
		first--
		m.weight += weight(m.history[first].Entry.Change)
	}
	m.history = slices.Clone(m.history[first:])
}

// weight measures the memory that a change takes, in objects.
func weight(change template.Change) int {
	return 1 + len(change.PutTemplates) + len(change.PutTenants) + len(change.RemoveTemplates) + len(change.RemoveTenants)
}

// Head returns the configuration in force.
func (m *Machine) Head() *template.Configuration { return m.head }

// Pending returns the entry that awaits the table, or nil.
func (m *Machine) Pending() *Entry { return m.pending }

func (m *Machine) reconciledAt(epoch uint64) bool {
	return m.reconciled > epoch || m.mutant == skipReconcile
}

// machineState is a snapshot's content.
type machineState struct {
	Version uint64
	Objects template.Change
	Pending *Entry
	History []Record
	// Reconciled is one more than the epoch last compared with the table.
	Reconciled uint64
}

// Snapshot implements shard.Machine.
func (m *Machine) Snapshot() ([]byte, error) {
	return peer.Encode(machineState{m.head.Version, m.head.All(), m.pending, m.history, m.reconciled})
}

// Restore implements shard.Machine.
func (m *Machine) Restore(snapshot []byte) error {
	var state machineState
	if err := peer.Decode(snapshot, &state); err != nil {
		return err
	}
	m.head = template.Build(state.Version, state.Objects)
	m.pending = state.Pending
	m.history = state.History
	m.weight = 0
	for _, record := range m.history {
		m.weight += weight(record.Entry.Change)
	}
	m.reconciled = state.Reconciled
	return nil
}

// undoing returns the change that leads back from a configuration's next
// version, made by change, to it.
func undoing(before *template.Configuration, change template.Change) template.Change {
	var undo template.Change
	for _, name := range touchedTemplates(change) {
		if old, ok := before.Template(name); ok {
			undo.PutTemplates = append(undo.PutTemplates, old)
		} else {
			undo.RemoveTemplates = append(undo.RemoveTemplates, name)
		}
	}
	for _, name := range touchedTenants(change) {
		if old, ok := before.Tenant(name); ok {
			undo.PutTenants = append(undo.PutTenants, old)
		} else {
			undo.RemoveTenants = append(undo.RemoveTenants, name)
		}
	}
	return undo
}
