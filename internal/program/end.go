package program

import (
	"maps"
	"slices"
	"time"

	"github.com/cloverwheel/cloverwheel/internal/fault"
	"github.com/cloverwheel/cloverwheel/internal/id"
)

func (m *Machine) endByRequest(e *End) Result {
	r, problem := m.find(e.Program, e.Tenant)
	if problem != nil {
		return Result{Fault: problem}
	}
	var result Result
	m.endTree(r, e.Reason, nil, &result)
	result.Program = r.view()
	return result
}

// endWith ends a program for a reason of its own and returns that as the fault.
func (m *Machine) endWith(r *record, problem *fault.Error) Result {
	result := Result{Fault: problem}
	m.endTree(r, problem.Message, problem, &result)
	result.Program = r.view()
	return result
}

// close ends a program at a limit, once its accepted calls have their outcomes.
func (m *Machine) close(r *record, problem *fault.Error) Result {
	r.Closing = problem
	result := Result{Fault: problem}
	m.endIfClosing(r, &result)
	result.Program = r.view()
	return result
}

func (m *Machine) endIfClosing(r *record, result *Result) {
	if r.Closing != nil && !r.Ended && len(r.pending()) == 0 {
		m.endTree(r, r.Closing.Message, r.Closing, result)
	}
}

// endTree ends r and all programs below it.
func (m *Machine) endTree(r *record, reason string, problem *fault.Error, result *Result) {
	for _, name := range slices.Sorted(maps.Keys(m.trees[r.Program.Root()])) {
		member := m.Programs[name]
		if within(name, r.Program) && !member.Ended {
			m.endOne(member, reason, problem, result)
		}
	}
}

func (m *Machine) endOne(r *record, reason string, problem *fault.Error, result *Result) {
	r.Ended = true
	r.EndedAt = m.Now
	r.Reason = reason
	r.Fault = problem
	if problem == nil {
		problem = endedFault(r)
	}
	// A reservation may have been made for an attempt that never started.
	m.settle(r, r.Attempt, 0)
	for _, number := range r.pending() {
		result.Closed = append(result.Closed, m.cut(r, r.Calls[number], problem))
	}
	m.grow(r, -refusalOverhead*len(r.Refusals))
	r.Refusals = map[string]refusal{}
	result.Ended = append(result.Ended, r.view())
}

// cut gives a call of an ended program its outcome.
func (m *Machine) cut(r *record, call *Call, problem *fault.Error) Outcome {
	if call.State != Started {
		m.remove(r, call)
		return Outcome{Program: r.Program, Call: *call, Fault: problem.WithRan(fault.RanNo)}
	}
	// The attempt may go on for a moment, so all of its reservation is charged.
	m.settle(r, call.Attempt, call.Reservation)
	m.grow(r, -messagesSize(call.Messages))
	call.Messages = nil
	call.State = Failed
	call.Fault = problem.WithRan(fault.RanUnknown)
	delete(r.open, call.Number)
	r.Turn++
	r.Attempt = 1
	return Outcome{Program: r.Program, Call: *call, Fault: call.Fault, Cut: true}
}

// expire ends programs past their limits of time and forgets old ones.
func (m *Machine) expire() Result {
	var result Result
	for _, name := range slices.Sorted(maps.Keys(m.Programs)) {
		r := m.Programs[name]
		if problem := m.expiry(r, m.Now); problem != nil {
			m.endTree(r, problem.Message, problem, &result)
		}
		m.dropRefusals(r)
	}
	for name, r := range m.Programs {
		if r.forgettable(m.Now) {
			m.forget(name, r)
		}
	}
	return result
}

// expiry returns why a program's time is over, or nil.
func (m *Machine) expiry(r *record, now time.Time) *fault.Error {
	if r.Ended {
		return nil
	}
	if problem := r.pastDeadline(now); problem != nil {
		return problem
	}
	limit := r.idleLimit()
	if limit <= 0 || now.Sub(r.Active) < limit || m.busy(r) {
		return nil
	}
	return fault.Newf(fault.LimitReached, "create a new program or raise the template's idle time", "the program was idle for %s", limit)
}

func (r *record) pastDeadline(now time.Time) *fault.Error {
	if r.Deadline.IsZero() || now.Before(r.Deadline) {
		return nil
	}
	return fault.New(fault.DeadlinePassed, "the program's deadline has passed", "create a new program with a later one")
}

// busy reports whether r or a program below it has a call under way.
func (m *Machine) busy(r *record) bool {
	for name := range m.trees[r.Program.Root()] {
		if within(name, r.Program) && m.Programs[name].running() != nil {
			return true
		}
	}
	return false
}

func (r *record) forgettable(now time.Time) bool {
	return r.Ended && now.Sub(r.EndedAt) >= r.Limits.Retention
}

func (r *record) hasOldRefusals(now time.Time) bool {
	for _, old := range r.Refusals {
		if now.Sub(old.Time) >= refusalMemory {
			return true
		}
	}
	return false
}

func (m *Machine) dropRefusals(r *record) {
	for key, old := range r.Refusals {
		if m.Now.Sub(old.Time) >= refusalMemory {
			delete(r.Refusals, key)
			m.grow(r, -refusalOverhead)
		}
	}
}

func (m *Machine) forget(name id.Program, r *record) {
	delete(m.Programs, name)
	m.grow(r, -r.Bytes)
	tree := m.trees[name.Root()]
	delete(tree, name)
	if len(tree) == 0 {
		delete(m.trees, name.Root())
		delete(m.Attained, name.Root())
	}
}
