package program

import (
	"iter"
	"slices"
	"time"

	"github.com/cloverwheel/cloverwheel/internal/chat"
	"github.com/cloverwheel/cloverwheel/internal/fault"
	"github.com/cloverwheel/cloverwheel/internal/id"
)

// View returns a program of tenant, or fault.NotFound. An empty tenant is an
// operator, who sees all.
func (m *Machine) View(name id.Program, tenant id.Tenant) (View, *fault.Error) {
	r, problem := m.find(name, tenant)
	if problem != nil {
		return View{}, problem
	}
	return r.view(), nil
}

// List returns views of at most limit programs of tenant, by identifier.
func (m *Machine) List(tenant id.Tenant, limit int) []View {
	var names []id.Program
	for name, r := range m.Programs {
		if tenant == "" || r.Tenant == tenant {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	if limit > 0 && len(names) > limit {
		names = names[:limit]
	}
	views := make([]View, 0, len(names))
	for _, name := range names {
		views = append(views, m.Programs[name].view())
	}
	return views
}

// CallByKey returns the call that holds key in a program.
func (m *Machine) CallByKey(name id.Program, key string) (Call, bool) {
	r := m.Programs[name]
	if r == nil {
		return Call{}, false
	}
	call := r.byKey(key)
	if call == nil {
		return Call{}, false
	}
	return *call, true
}

// Call returns a call by its number.
func (m *Machine) Call(name id.Program, number uint64) (Call, bool) {
	r := m.Programs[name]
	if r == nil || r.Calls[number] == nil {
		return Call{}, false
	}
	return *r.Calls[number], true
}

// Outcome returns how the call that holds key ended, if it has.
func (m *Machine) Outcome(name id.Program, key string) (Outcome, bool) {
	r := m.Programs[name]
	if r == nil {
		return Outcome{}, false
	}
	call := r.byKey(key)
	if call == nil || !call.Done() {
		return Outcome{}, false
	}
	return r.outcome(call), true
}

func (r *record) outcome(call *Call) Outcome {
	o := Outcome{Program: r.Program, Call: *call, Fault: call.Fault}
	if call.State == Finished {
		o.Message = r.History[call.AnswerIndex]
	}
	return o
}

// Next returns the call whose turn it is, if it has been accepted and is not
// yet over.
func (m *Machine) Next(name id.Program) (Call, bool) {
	r := m.Programs[name]
	if r == nil || r.Ended || r.Calls[r.Turn] == nil {
		return Call{}, false
	}
	return *r.Calls[r.Turn], true
}

// Free reports whether a new call with this number (zero: any) would have its
// turn at once.
func (m *Machine) Free(name id.Program, number uint64) bool {
	r := m.Programs[name]
	if r == nil || r.Ended || r.Calls[r.Turn] != nil {
		return false
	}
	if number == 0 {
		number = r.last() + 1
	}
	return number == r.Turn
}

// Context returns the whole context of a call without an outcome.
func (m *Machine) Context(name id.Program, number uint64) (Work, bool) {
	r := m.Programs[name]
	if r == nil || r.Calls[number] == nil || r.Calls[number].Done() {
		return Work{}, false
	}
	return m.work(r, r.Calls[number]), true
}

// History returns a program's messages and their prefix. Both are shared with
// the machine and must not be changed.
func (m *Machine) History(name id.Program) ([]chat.Message, chat.Prefix) {
	r := m.Programs[name]
	if r == nil {
		return nil, nil
	}
	count := len(r.History)
	return r.History[:count:count], r.Prefix[:len(r.Prefix):len(r.Prefix)]
}

// CallKey names one call of a program.
type CallKey struct {
	Program id.Program
	Number  uint64
}

// PendingCalls yields the calls without an outcome and their tenants.
func (m *Machine) PendingCalls() iter.Seq2[CallKey, id.Tenant] {
	return func(yield func(CallKey, id.Tenant) bool) {
		for name, r := range m.Programs {
			for _, number := range r.pending() {
				if !yield(CallKey{name, number}, r.Tenant) {
					return
				}
			}
		}
	}
}

// PendingSettlements returns at most limit settlements that the ledger has not
// acknowledged.
func (m *Machine) PendingSettlements(limit int) map[id.Request]Settlement {
	found := make(map[id.Request]Settlement, min(limit, len(m.Settlements)))
	for request, settlement := range m.Settlements {
		if len(found) == limit {
			break
		}
		found[request] = settlement
	}
	return found
}

// Due reports whether Expire would change anything at now.
func (m *Machine) Due(now time.Time) bool {
	for _, r := range m.Programs {
		if r.forgettable(now) || m.expiry(r, now) != nil || r.hasOldRefusals(now) {
			return true
		}
	}
	return false
}

// Count returns how many programs are running and how many have ended but are
// not yet forgotten.
func (m *Machine) Count() (running, ended int) {
	for _, r := range m.Programs {
		if r.Ended {
			ended++
		} else {
			running++
		}
	}
	return running, ended
}

// Attained returns the service that the tree of a program has had, in tokens.
func (m *Machine) AttainedBy(name id.Program) int { return m.Attained[name.Root()] }

// Bytes returns the memory that the programs hold, by estimate.
func (m *Machine) Bytes() int { return m.bytes }

// Refused returns the answer to a call that was refused as not run, or that is
// otherwise no longer there.
func (m *Machine) Refused(name id.Program, key string) *fault.Error {
	r := m.Programs[name]
	if r == nil {
		return fault.Newf(fault.NotFound, "create a new program", "there is no program %q", name)
	}
	if earlier, refused := r.Refusals[key]; refused {
		return earlier.Fault
	}
	if r.Ended {
		return endedFault(r)
	}
	return fault.New(fault.Conflict, "the call is no longer there", "send it again with the same key").WithRan(fault.RanUnknown)
}
