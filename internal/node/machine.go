package node

import (
	"bytes"
	"encoding/gob"

	"github.com/rotisserie/eris"

	"github.com/cloverwheel/cloverwheel/internal/config"
	"github.com/cloverwheel/cloverwheel/internal/fault"
	"github.com/cloverwheel/cloverwheel/internal/id"
	"github.com/cloverwheel/cloverwheel/internal/ledger"
	"github.com/cloverwheel/cloverwheel/internal/ownership"
	"github.com/cloverwheel/cloverwheel/internal/program"
	"github.com/cloverwheel/cloverwheel/internal/shard"
)

// partTag is the first byte of a shard's log entry: the machine it is for.
type partTag byte

const (
	programTag partTag = iota + 1
	ledgerTag
	ownershipTag
	configTag
)

// machine is the state machine of one shard: its programs, its tenants' ledgers,
// its workers' ownership records and, on the head shard, the configuration.
type machine struct {
	programs  *program.Machine
	ledgers   *ledger.Machine
	ownership *ownership.Machine
	head      *config.Machine // nil but on config.HeadShard
}

func newMachine(number id.Shard) shard.Machine {
	m := &machine{
		programs:  program.New(),
		ledgers:   ledger.NewMachine(),
		ownership: ownership.NewMachine(),
	}
	if number == config.HeadShard {
		m.head = config.NewMachine()
	}
	return m
}

// tagged puts the part's tag before an encoded command.
func tagged(tag partTag, command []byte) []byte {
	return append([]byte{byte(tag)}, command...)
}

// Apply implements shard.Machine. An entry that no part understands changes
// nothing and answers the proposer with an error.
func (m *machine) Apply(index uint64, entry []byte) any {
	if len(entry) == 0 {
		return unknownEntry()
	}
	command := entry[1:]
	switch partTag(entry[0]) {
	case programTag:
		return m.applyProgram(command)
	case ledgerTag:
		return m.ledgers.Apply(index, command)
	case ownershipTag:
		return m.ownership.Apply(index, command)
	case configTag:
		if m.head != nil {
			return m.head.Apply(index, command)
		}
	}
	return unknownEntry()
}

func (m *machine) applyProgram(encoded []byte) any {
	command, err := program.Decode(encoded)
	if err != nil {
		return err
	}
	return m.programs.Apply(command)
}

func unknownEntry() error {
	return fault.New(fault.Internal, "log entry of an unknown kind", "run the same version on all nodes")
}

// snapshot is the encoded form of a machine.
type snapshot struct {
	Programs, Ledgers, Ownership, Head []byte
}

// Snapshot implements shard.Machine.
func (m *machine) Snapshot() ([]byte, error) {
	var s snapshot
	for _, p := range m.parts(&s) {
		encoded, err := p.machine.Snapshot()
		if err != nil {
			return nil, err
		}
		*p.encoded = encoded
	}
	var buffer bytes.Buffer
	if err := gob.NewEncoder(&buffer).Encode(s); err != nil {
		return nil, eris.Wrap(err, "encode shard snapshot")
	}
	return buffer.Bytes(), nil
}

// Restore implements shard.Machine.
func (m *machine) Restore(encoded []byte) error {
	var s snapshot
	if err := gob.NewDecoder(bytes.NewReader(encoded)).Decode(&s); err != nil {
		return eris.Wrap(err, "decode shard snapshot")
	}
	for _, p := range m.parts(&s) {
		if err := p.machine.Restore(*p.encoded); err != nil {
			return err
		}
	}
	return nil
}

// snapshotter is what all parts have in common.
type snapshotter interface {
	Snapshot() ([]byte, error)
	Restore([]byte) error
}

// part pairs a part with its place in the snapshot.
type part struct {
	machine snapshotter
	encoded *[]byte
}

func (m *machine) parts(s *snapshot) []part {
	parts := []part{
		{m.programs, &s.Programs},
		{m.ledgers, &s.Ledgers},
		{m.ownership, &s.Ownership},
	}
	if m.head != nil {
		parts = append(parts, part{m.head, &s.Head})
	}
	return parts
}

// programsOf, ledgersOf and headOf find the parts for the roles.
func programsOf(m shard.Machine) *program.Machine { return m.(*machine).programs }
func ledgersOf(m shard.Machine) *ledger.Machine   { return m.(*machine).ledgers }
func headOf(m shard.Machine) *config.Machine      { return m.(*machine).head }
