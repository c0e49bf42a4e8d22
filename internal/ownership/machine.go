package ownership

import (
	"github.com/cloverwheel/cloverwheel/internal/fault"
	"github.com/cloverwheel/cloverwheel/internal/id"
	"github.com/cloverwheel/cloverwheel/internal/peer"
)

// Claim is the one command of the machine.
type Claim struct {
	Worker id.Worker
	Node   id.Node
	// Nonce names one claim, so that a repeated command does not use up an epoch.
	Nonce uint64
	// Above is an epoch that the engine has seen; the new one is higher. It
	// matters only after the shard has lost its state.
	Above uint64
}

// Record is what is kept of a worker's last claim.
type Record struct {
	Epoch uint64
	Node  id.Node
	Nonce uint64
}

// Machine is the deterministic state machine of one shard's ownership records.
// It is not safe for concurrent use.
type Machine struct {
	records map[id.Worker]Record
}

// NewMachine returns an empty Machine.
func NewMachine() *Machine { return &Machine{records: map[id.Worker]Record{}} }

// Encode returns a claim as a command.
func Encode(claim Claim) ([]byte, error) { return peer.Encode(claim) }

// Decode reads a command.
func Decode(command []byte) (Claim, error) {
	var claim Claim
	err := peer.Decode(command, &claim)
	return claim, err
}

// Apply runs an encoded claim and returns the worker's Record, or a
// *fault.Error for a command that cannot be read.
func (m *Machine) Apply(_ uint64, command []byte) any {
	claim, err := Decode(command)
	if err != nil {
		return fault.From(err)
	}
	return m.Claim(claim)
}

// Claim hands out the next epoch. A repeat of the last claim gets the same one.
func (m *Machine) Claim(claim Claim) Record {
	last := m.records[claim.Worker]
	if last.Epoch > claim.Above && last.Nonce == claim.Nonce && last.Node == claim.Node {
		return last
	}
	record := Record{Epoch: max(last.Epoch, claim.Above) + 1, Node: claim.Node, Nonce: claim.Nonce}
	m.records[claim.Worker] = record
	return record
}

// Record returns a worker's last claim; the zero Record if there was none.
func (m *Machine) Record(worker id.Worker) Record { return m.records[worker] }

// Snapshot encodes the whole state.
func (m *Machine) Snapshot() ([]byte, error) { return peer.Encode(m.records) }

// Restore replaces the whole state.
func (m *Machine) Restore(snapshot []byte) error {
	records := map[id.Worker]Record{}
	if err := peer.Decode(snapshot, &records); err != nil {
		return err
	}
	m.records = records
	return nil
}
