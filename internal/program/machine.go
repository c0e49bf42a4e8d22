package program

import (
	"bytes"
	"encoding/gob"
	"time"

	"github.com/rotisserie/eris"

	"github.com/cloverwheel/cloverwheel/internal/chat"
	"github.com/cloverwheel/cloverwheel/internal/fault"
	"github.com/cloverwheel/cloverwheel/internal/id"
)

// state is everything that a snapshot holds.
type state struct {
	Now         time.Time // the latest time of any command; it never goes back
	Programs    map[id.Program]*record
	Attained    map[id.Program]int // tokens of service per root, sub-agents included
	Settlements map[id.Request]Settlement
}

// Machine holds the programs of one shard. It is not safe for concurrent use.
type Machine struct {
	state
	trees  map[id.Program]map[id.Program]struct{} // root → programs of its tree
	bytes  int
	mutant mutant
}

// mutant switches single rules off, so that tests can show that they are checked.
type mutant struct {
	ignoreOrder       bool // a call starts before its turn
	resend            bool // a call that must not be repeated starts again
	notRunAfterStart  bool // RanNo is recorded for a started call
	overwriteOutcome  bool // a late answer replaces the outcome
	mixTenants        bool // another tenant's program is shown
	forgetSettlements bool // reservations are not given back
	rerunFailed       bool // a failed call that must not be repeated runs again by its key
	forgetRefusals    bool // a late copy of a refused request is accepted
}

// New returns a machine without programs.
func New() *Machine {
	m := &Machine{}
	m.reset(state{})
	return m
}

// Result is what Apply returns; fields that a command does not touch are zero.
type Result struct {
	// Fault says that the command was refused and changed nothing but what
	// Closed and Ended list.
	Fault   *fault.Error
	Program View
	Call    Call
	// Existing says that Accept found the key's earlier call.
	Existing bool
	// Work is set when Start or Begin started an attempt.
	Work *Work
	// Dropped says that an outcome came for a call that has one, or for an
	// attempt that is not the present one.
	Dropped bool
	// Closed lists the calls that got their outcome, in order.
	Closed []Outcome
	// Ended lists the programs that ended.
	Ended []View
}

// Work is what a started attempt must do.
type Work struct {
	Request  id.Request
	Messages []chat.Message // the whole context
	Prefix   chat.Prefix    // of Messages
	Attained int            // service of the whole tree so far, in tokens
}

// Outcome is the end of one call.
type Outcome struct {
	Program id.Program
	Call    Call
	Message chat.Message // of a finished call
	Fault   *fault.Error // of a failed or refused call
	// Cut says that an attempt may still be under way at Call.Worker.
	Cut bool
}

// Apply runs a command.
func (m *Machine) Apply(command Command) Result {
	switch {
	case command.Create != nil:
		m.advance(command.Create.Time)
		return m.create(command.Create)
	case command.Accept != nil:
		m.advance(command.Accept.Time)
		return m.accept(command.Accept)
	case command.Begin != nil:
		m.advance(command.Begin.Accept.Time)
		return m.begin(command.Begin)
	case command.Start != nil:
		m.advance(command.Start.Time)
		return m.start(command.Start)
	case command.Finish != nil:
		m.advance(command.Finish.Time)
		return m.finish(command.Finish)
	case command.Fail != nil:
		m.advance(command.Fail.Time)
		return m.fail(command.Fail)
	case command.End != nil:
		m.advance(command.End.Time)
		return m.endByRequest(command.End)
	case command.Expire != nil:
		m.advance(command.Expire.Time)
		return m.expire()
	case command.Settled != nil:
		return m.settled(command.Settled)
	}
	return Result{Fault: fault.New(fault.Invalid, "program command without content", "run the same version on all nodes")}
}

// advance moves the machine's time on; a proposer's clock that lags is ignored.
func (m *Machine) advance(now time.Time) {
	if now.After(m.Now) {
		m.Now = now
	}
}

// Snapshot encodes the whole state.
func (m *Machine) Snapshot() ([]byte, error) {
	var buffer bytes.Buffer
	if err := gob.NewEncoder(&buffer).Encode(m.state); err != nil {
		return nil, eris.Wrap(err, "encode programs")
	}
	return buffer.Bytes(), nil
}

// Restore replaces the whole state.
func (m *Machine) Restore(snapshot []byte) error {
	var restored state
	if err := gob.NewDecoder(bytes.NewReader(snapshot)).Decode(&restored); err != nil {
		return eris.Wrap(err, "decode programs")
	}
	m.reset(restored)
	return nil
}

// reset takes s as the state and rebuilds what is derived from it.
func (m *Machine) reset(s state) {
	if s.Programs == nil {
		s.Programs = map[id.Program]*record{}
	}
	if s.Attained == nil {
		s.Attained = map[id.Program]int{}
	}
	if s.Settlements == nil {
		s.Settlements = map[id.Request]Settlement{}
	}
	m.state = s
	m.trees = map[id.Program]map[id.Program]struct{}{}
	m.bytes = 0
	for name, r := range s.Programs {
		m.addToTree(name)
		r.restoreMaps()
		r.Bytes = r.measure()
		m.bytes += r.Bytes
	}
}

// restoreMaps puts back the maps that gob leaves out.
func (r *record) restoreMaps() {
	if r.Calls == nil {
		r.Calls = map[uint64]*Call{}
	}
	r.open = map[uint64]*Call{}
	for number, call := range r.Calls {
		if !call.Done() {
			r.open[number] = call
		}
	}
	if r.Failures == nil {
		r.Failures = map[string]*Call{}
	}
	if r.Keys == nil {
		r.Keys = map[string]uint64{}
	}
	if r.Refusals == nil {
		r.Refusals = map[string]refusal{}
	}
}

func (m *Machine) addToTree(name id.Program) {
	tree := m.trees[name.Root()]
	if tree == nil {
		tree = map[id.Program]struct{}{}
		m.trees[name.Root()] = tree
	}
	tree[name] = struct{}{}
}

// grow changes the counted size of r.
func (m *Machine) grow(r *record, by int) {
	r.Bytes += by
	m.bytes += by
}

// settle notes what the ledger must be told about a request.
func (m *Machine) settle(r *record, attempt int, spent int64) {
	if m.mutant.forgetSettlements {
		return
	}
	request := id.NewRequest(r.Program, r.Turn, attempt)
	m.Settlements[request] = Settlement{Tenant: r.Tenant, Spent: spent}
}

func (m *Machine) settled(c *Settled) Result {
	for _, request := range c.Requests {
		delete(m.Settlements, request)
	}
	return Result{}
}

// find returns a program of a tenant. An empty tenant is an operator.
func (m *Machine) find(name id.Program, tenant id.Tenant) (*record, *fault.Error) {
	r := m.Programs[name]
	if r == nil || (tenant != "" && r.Tenant != tenant && !m.mutant.mixTenants) {
		return nil, fault.Newf(fault.NotFound, "check the identifier or create a program", "there is no program %q", name)
	}
	return r, nil
}
