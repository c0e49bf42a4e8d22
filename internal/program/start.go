package program

import (
	"slices"

	"github.com/cloverwheel/cloverwheel/internal/fault"
	"github.com/cloverwheel/cloverwheel/internal/id"
)

// workersRemembered bounds the workers that are told of a program's end. Holds
// on older ones expire by themselves.
const workersRemembered = 8

// begin accepts a call and starts it at once if it got the expected number and
// nothing is before it.
func (m *Machine) begin(b *Begin) Result {
	accepted := m.accept(&b.Accept)
	if accepted.Fault != nil || accepted.Existing || accepted.Call.Number != b.Start.Call {
		return accepted
	}
	start := b.Start
	start.Time = b.Accept.Time
	start.Program = b.Accept.Program
	started := m.start(&start)
	if started.Fault != nil && len(started.Ended) == 0 {
		return accepted
	}
	return started
}

func (m *Machine) start(s *Start) Result {
	r := m.Programs[s.Program]
	if r == nil {
		return Result{Fault: fault.Newf(fault.NotFound, "create a new program", "there is no program %q", s.Program)}
	}
	call := r.Calls[s.Call]
	if problem := m.checkStart(s, r, call); problem != nil {
		return Result{Fault: problem, Program: r.view()}
	}
	if call.Attempt == 0 {
		if problem := r.checkFirstStart(call, m); problem != nil {
			return m.endWith(r, problem)
		}
	}
	m.settlePrevious(s, r, call)
	call.State = Started
	call.Attempt = s.Attempt
	call.Worker = s.Worker
	call.Reservation = s.Reservation
	call.Position = s.Position
	call.Fence = s.Fence
	r.Attempt = s.Attempt + 1
	r.rememberWorker(s.Worker)
	m.touch(r)
	work := m.work(r, call)
	return Result{Program: r.view(), Call: *call, Work: &work}
}

// checkStart enforces the order of calls and that a call which must not be
// repeated has one attempt.
func (m *Machine) checkStart(s *Start, r *record, call *Call) *fault.Error {
	switch {
	case r.Ended:
		return endedFault(r)
	case call == nil || call.Done():
		return staleStart(s)
	case s.Call != r.Turn && !m.mutant.ignoreOrder:
		return staleStart(s)
	case s.Attempt < r.Attempt && !m.mutant.ignoreOrder:
		return staleStart(s)
	case call.mustNotRepeat(s) && !m.mutant.resend:
		return fault.Newf(fault.OutcomeUnknown, "look the outcome up by the request's identifier",
			"call %d must not be repeated and may have run", s.Call).WithRan(fault.RanUnknown)
	}
	return nil
}

func staleStart(s *Start) *fault.Error {
	return fault.Newf(fault.Conflict, "read the program's state again", "attempt %d of call %d cannot start now", s.Attempt, s.Call)
}

func (c *Call) mustNotRepeat(s *Start) bool {
	return !c.Repeatable && c.Attempt > 0 && (c.MayHaveRun || !s.PreviousRefused)
}

// checkFirstStart returns why the program must end in place of the start.
func (r *record) checkFirstStart(call *Call, m *Machine) *fault.Error {
	if problem := r.pastDeadline(m.Now); problem != nil {
		return problem
	}
	if limit := r.Limits.Tokens; limit > 0 && r.Tokens+call.Tokens >= limit {
		return tokenLimit(limit)
	}
	return nil
}

// settlePrevious charges the attempt before and frees attempts that were
// reserved for but never started.
func (m *Machine) settlePrevious(s *Start, r *record, call *Call) {
	if call.Attempt > 0 {
		spent := s.PreviousSpent
		if s.PreviousRefused {
			spent = 0
		}
		m.settle(r, call.Attempt, spent)
		call.MayHaveRun = call.MayHaveRun || !s.PreviousRefused
	}
	for skipped := r.Attempt; skipped < s.Attempt; skipped++ {
		m.settle(r, skipped, 0)
	}
}

func (r *record) rememberWorker(worker id.Worker) {
	if worker == "" {
		return
	}
	others := slices.DeleteFunc(slices.Clone(r.Workers), func(w id.Worker) bool { return w == worker })
	r.Workers = append(others, worker)
	if len(r.Workers) > workersRemembered {
		r.Workers = r.Workers[1:]
	}
}

// work returns the whole context of a call.
func (m *Machine) work(r *record, call *Call) Work {
	count := len(r.History)
	return Work{
		Request:  id.NewRequest(r.Program, call.Number, call.Attempt),
		Messages: append(r.History[:count:count], call.Messages...),
		Prefix:   r.Prefix.Extend(call.Messages...),
		Attained: m.Attained[r.Program.Root()],
	}
}
