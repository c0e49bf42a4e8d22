package ledger

import (
	"slices"
	"time"

	"github.com/cloverwheel/cloverwheel/internal/id"
	"github.com/cloverwheel/cloverwheel/internal/peer"
)

// Machine is the deterministic state of one shard's ledgers. It implements
// shard.Machine and is called from one goroutine at a time.
type Machine struct {
	clock    time.Time // the highest that any command named
	epoch    uint64    // of the group, the highest that any command named
	accounts map[id.Tenant]*account
	mutant   mutant
}

// NewMachine returns a machine without accounts.
func NewMachine() *Machine { return &Machine{accounts: map[id.Tenant]*account{}} }

// Apply implements shard.Machine; it returns a Result.
func (m *Machine) Apply(_ uint64, encoded []byte) any {
	command, err := DecodeCommand(encoded)
	if err != nil {
		return Result{}
	}
	return m.ApplyCommand(command)
}

// ApplyCommand runs a decoded command.
func (m *Machine) ApplyCommand(command Command) Result {
	if command.Now.After(m.clock) {
		m.clock = command.Now
	}
	m.epoch = max(m.epoch, command.Epoch)
	switch {
	case command.Reserve != nil:
		return m.reserve(command)
	case command.Settle != nil:
		return m.settle(command)
	case command.Draws != nil:
		m.draw(command)
	case command.Sweep != nil:
		m.sweep(*command.Sweep)
	}
	return Result{}
}

// open returns the tenant's account in the present epoch and period. A shard
// that lost its majority may have lost spending with it, so in a new epoch the
// account starts again with nothing drawn.
func (m *Machine) open(tenant id.Tenant) *account {
	a, ok := m.accounts[tenant]
	if !ok {
		a = &account{Epoch: m.epoch}
		m.accounts[tenant] = a
	}
	if a.Epoch < m.epoch && m.mutant != keepAccountInNewEpoch {
		*a = account{Epoch: m.epoch, Budget: a.Budget, Version: a.Version}
	}
	a.renew(m.clock)
	return a
}

func (m *Machine) reserve(command Command) Result {
	request := *command.Reserve
	a := m.open(request.Tenant)
	if request.Version >= a.Version {
		a.Budget, a.Version = request.Budget, request.Version
		a.renew(m.clock)
	}
	verdict := a.reserve(request, m.clock, command.Limit)
	result := a.result(request.Tenant)
	result.Verdict = verdict
	result.Tokens = a.Reservations[request.Request].Tokens
	return result
}

func (m *Machine) settle(command Command) Result {
	request := *command.Settle
	if _, ok := m.accounts[request.Tenant]; !ok {
		return Result{Balance: Balance{Tenant: request.Tenant}}
	}
	a := m.open(request.Tenant)
	if m.mutant == settleTwice && slices.Contains(a.Settled, hashOf(request.Request)) {
		a.Spent -= request.Spent
	}
	recorded := a.settle(request.Request, request.Spent)
	result := a.result(request.Tenant)
	result.Recorded = recorded
	return result
}

// draw ignores what an earlier epoch drew, because its base is another.
func (m *Machine) draw(command Command) {
	if command.Epoch != m.epoch {
		return
	}
	for _, draw := range command.Draws {
		a := m.open(draw.Tenant)
		if m.mutant == addDraws && draw.Period.Equal(a.Period) {
			draw.Drawn += a.Drawn
		}
		a.draw(draw)
	}
}

// sweep never opens accounts, so that an old epoch's claims do nothing.
func (m *Machine) sweep(sweep Sweep) {
	for _, claim := range sweep.Renew {
		if a, ok := m.accounts[claim.Tenant]; ok {
			a.extend(claim.Request, m.clock.Add(renewal))
		}
	}
	for _, claim := range sweep.Forfeit {
		a, ok := m.accounts[claim.Tenant]
		if !ok {
			continue
		}
		spent := a.Reservations[claim.Request].Tokens
		if m.mutant == returnOnTimeout {
			spent = 0
		}
		a.settle(claim.Request, spent)
	}
	for tenant, a := range m.accounts {
		if a.forgettable(m.clock) {
			delete(m.accounts, tenant)
		}
	}
}

// Balance reads a tenant's account in the period that contains now.
func (m *Machine) Balance(tenant id.Tenant, now time.Time) Balance {
	a, ok := m.accounts[tenant]
	if !ok {
		return Balance{Tenant: tenant}
	}
	present := *a
	present.renew(now)
	return present.result(tenant).Balance
}

// overdue lists the reservations whose limit has passed.
func (m *Machine) overdue(now time.Time) []Overdue {
	var late []Overdue
	for tenant, a := range m.accounts {
		for request, held := range a.Reservations {
			if now.After(held.Limit) {
				late = append(late, Overdue{Claim{tenant, request}, held.Made})
			}
		}
	}
	return late
}

// renewals lists what to draw for periods that begin within a span: as much as
// the present period used, for that time.
func (m *Machine) renewals(now time.Time, span, ahead time.Duration) []want {
	var wants []want
	for tenant, a := range m.accounts {
		if a.Epoch != m.epoch || !a.renewsWithin(now, span) {
			continue
		}
		used := float64(a.Spent+a.Reserved) * min(1, ahead.Seconds()/a.Budget.Period.Seconds())
		wants = append(wants, want{
			Tenant: tenant, Period: a.Period.Add(a.Budget.Period), Length: a.Budget.Period,
			Budget: a.Budget.Tokens, Ahead: int64(used),
		})
	}
	return wants
}

// forgettable reports whether a sweep would forget an account.
func (m *Machine) forgettable(now time.Time) bool {
	for _, a := range m.accounts {
		if a.forgettable(now) {
			return true
		}
	}
	return false
}

// Overdue is a reservation to be asked about.
type Overdue struct {
	Claim Claim
	Made  time.Time
}

// machineState is a snapshot's content.
type machineState struct {
	Clock    time.Time
	Epoch    uint64
	Accounts map[id.Tenant]*account
}

// Snapshot implements shard.Machine.
func (m *Machine) Snapshot() ([]byte, error) {
	return peer.Encode(machineState{m.clock, m.epoch, m.accounts})
}

// Restore implements shard.Machine.
func (m *Machine) Restore(snapshot []byte) error {
	var state machineState
	if err := peer.Decode(snapshot, &state); err != nil {
		return err
	}
	if state.Accounts == nil {
		state.Accounts = map[id.Tenant]*account{}
	}
	m.clock, m.epoch, m.accounts = state.Clock, state.Epoch, state.Accounts
	return nil
}
