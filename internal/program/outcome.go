package program

import (
	"slices"
	"time"

	"github.com/cloverwheel/cloverwheel/internal/chat"
	"github.com/cloverwheel/cloverwheel/internal/fault"
	"github.com/cloverwheel/cloverwheel/internal/shard"
)

func (m *Machine) finish(f *Finish) Result {
	r := m.Programs[f.Program]
	if r == nil {
		return Result{Dropped: true}
	}
	call := r.Calls[f.Call]
	if call != nil && call.State == Finished && m.mutant.overwriteOutcome {
		r.History = slices.Clone(r.History)
		r.History[call.AnswerIndex] = f.Message
	}
	if !call.awaits(f.Attempt) {
		return dropped(r, call)
	}
	m.append(r, append(slices.Clip(call.Messages), f.Message))
	m.grow(r, -messagesSize(call.Messages))
	call.AnswerIndex = len(r.History) - 1
	call.FinishReason = f.FinishReason
	call.Usage = f.Usage
	call.State = Finished
	m.Attained[r.Program.Root()] += f.Usage.PromptTokens - f.Usage.CachedTokens + f.Usage.OutputTokens
	return m.conclude(r, call, f.Spent, f.Position)
}

// awaits reports whether attempt is the one whose outcome the call waits for.
func (c *Call) awaits(attempt int) bool {
	return c != nil && c.State == Started && c.Attempt == attempt
}

func dropped(r *record, call *Call) Result {
	result := Result{Dropped: true, Program: r.view()}
	if call != nil {
		result.Call = *call
	}
	return result
}

// append adds messages to the history.
func (m *Machine) append(r *record, messages []chat.Message) {
	r.History = append(r.History, messages...)
	before := r.Prefix[max(0, len(r.Prefix)-1):]
	added := before.Extend(messages...)[len(before):]
	r.Prefix = append(r.Prefix, added...)
	r.Tokens += added.Tokens()
	m.grow(r, messagesSize(messages))
}

// conclude passes the turn on after call Turn got its outcome.
func (m *Machine) conclude(r *record, call *Call, spent int64, by shard.Position) Result {
	m.settleAttempts(r, call, spent, by)
	call.Messages = nil
	delete(r.open, call.Number)
	r.Turn++
	r.Attempt = 1
	m.touch(r)
	return m.closed(r, call)
}

// settleAttempts charges the last attempt of call Turn.
func (m *Machine) settleAttempts(r *record, call *Call, spent int64, by shard.Position) {
	m.settle(r, call.Attempt, spent)
	if by != call.Position {
		// The leadership that started the attempt may have reserved for another.
		m.settle(r, r.Attempt, 0)
	}
}

// closed reports the outcome that call has just got.
func (m *Machine) closed(r *record, call *Call) Result {
	result := Result{Call: *call, Closed: []Outcome{r.outcome(call)}}
	m.endIfClosing(r, &result)
	result.Program = r.view()
	return result
}

func (m *Machine) fail(f *Fail) Result {
	r := m.Programs[f.Program]
	if r == nil || f.Fault == nil {
		return Result{Dropped: true}
	}
	call := r.Calls[f.Call]
	waiting := call != nil && call.State == Accepted && f.Attempt == 0
	if !waiting && !call.awaits(f.Attempt) {
		return dropped(r, call)
	}
	if waiting || m.provablyNotRun(f, call) {
		return m.refuse(r, call, f)
	}
	problem := f.Fault
	if problem.Ran == fault.RanNo {
		problem = problem.WithRan(fault.RanUnknown)
	}
	m.grow(r, -messagesSize(call.Messages))
	call.Messages = nil
	call.State = Failed
	call.Fault = problem
	if f.Arrived.After(call.Arrived) {
		call.Arrived = f.Arrived
	}
	if len(r.open) == 1 {
		return m.vacate(r, call, f)
	}
	return m.conclude(r, call, f.Spent, f.Position)
}

// vacate records a failure that nothing waits behind. Since it left no trace in
// the history, its number goes to the next call: the same one, sent again, or
// another in its place.
func (m *Machine) vacate(r *record, call *Call, f *Fail) Result {
	m.settleAttempts(r, call, f.Spent, f.Position)
	if f.Position != call.Position {
		r.Attempt++
	}
	call.Vacated = true
	delete(r.Calls, call.Number)
	delete(r.open, call.Number)
	delete(r.Keys, call.Key)
	r.Failures[call.Key] = call
	m.touch(r)
	return m.closed(r, call)
}

// provablyNotRun reports whether a started call may be answered as not run.
func (m *Machine) provablyNotRun(f *Fail, call *Call) bool {
	if f.Fault.Ran != fault.RanNo {
		return false
	}
	return (f.Refused && !call.MayHaveRun) || m.mutant.notRunAfterStart
}

// refuse answers a call as not run, and with it all later ones, none of which
// can have started. Their numbers are free again.
func (m *Machine) refuse(r *record, call *Call, f *Fail) Result {
	if call.Number == r.Turn {
		if call.Attempt > 0 {
			m.settle(r, call.Attempt, 0)
		}
		m.settle(r, r.Attempt, 0)
		r.Attempt++
	}
	result := Result{Call: *call}
	problem := f.Fault.WithRan(fault.RanNo)
	for _, number := range r.pending() {
		if number < call.Number {
			continue
		}
		refused := r.Calls[number]
		if number > call.Number {
			problem = followsRefused(call.Number, f.Fault)
		}
		m.remove(r, refused)
		m.rememberRefusal(r, refused, problem, f.Arrived)
		result.Closed = append(result.Closed, Outcome{Program: r.Program, Call: *refused, Fault: problem})
	}
	m.endIfClosing(r, &result)
	result.Program = r.view()
	return result
}

func followsRefused(number uint64, cause *fault.Error) *fault.Error {
	problem := fault.Newf(cause.Code, "send it again after that one", "call %d before it was refused", number)
	return problem.WithRetryAfter(cause.RetryAfter)
}

// remove takes a call that did not run out of the order.
func (m *Machine) remove(r *record, call *Call) {
	delete(r.Calls, call.Number)
	delete(r.open, call.Number)
	delete(r.Keys, call.Key)
	m.grow(r, -call.size())
}

func (m *Machine) rememberRefusal(r *record, call *Call, problem *fault.Error, arrived time.Time) {
	if call.Arrived.After(arrived) {
		arrived = call.Arrived
	}
	r.Refusals[call.Key] = refusal{Fault: problem, Arrived: arrived, Time: m.Now}
	m.grow(r, refusalOverhead)
}
