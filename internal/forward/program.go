package forward

import (
	"context"
	"time"

	"github.com/apex/log"

	"github.com/cloverwheel/cloverwheel/internal/admission"
	"github.com/cloverwheel/cloverwheel/internal/fault"
	"github.com/cloverwheel/cloverwheel/internal/route"
	"github.com/cloverwheel/cloverwheel/internal/scheduling"
)

// programState is the state of a turn's program, as used for admission and priority.
type programState struct {
	turn       scheduling.Turn
	current    scheduling.Program
	priorities scheduling.PriorityRange
	known      bool                   // turn, current and priorities are set
	sending    *admission.PendingTurn // the last send, until its first event; nil: none is tracked
	sentAt     time.Time              // time of the last send
	firstEvent time.Duration          // time from the last send to its first event; 0: no event yet
	verdict    admission.Verdict      // admission decision; request and load are its inputs
	request    admission.Request
	load       admission.Load
}

// admitProgram determines the state of the turn's program, and refuses a new program under
// overload.
func (x *exchange) admitProgram(ctx context.Context, configuration *route.Configuration, turnNumber int) *fault.Error {
	if x.options.Estimator == nil || !x.request.HasFinish || x.request.Program == "" {
		return nil
	}
	x.assessProgram(configuration, turnNumber)
	if x.options.Admission == nil {
		return nil
	}
	s := &x.program
	s.verdict, s.request, s.load = x.options.Admission.Decide(x.service, s.current, timeLeft(ctx), time.Now())
	s.current.Returns = s.request.Program.Returns
	x.options.Metrics.Admissions.WithLabelValues(string(s.verdict.Reason)).Inc()
	if s.verdict.Admitted {
		return nil
	}
	return fault.Newf(fault.Overloaded, "retry after the delay in Retry-After",
		"service %q is overloaded and a new program would miss its deadline (%s)", x.service, s.verdict.Reason).
		WithRetryAfter(s.verdict.RetryAfter)
}

// timeLeft returns the time until the deadline of ctx; an hour if it has none.
func timeLeft(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return time.Hour
	}
	return time.Until(deadline)
}

// assessProgram determines the state of the turn's program and its range of worker priorities.
func (x *exchange) assessProgram(configuration *route.Configuration, turnNumber int) {
	turn := scheduling.Turn{
		Route:        x.route.Name,
		Program:      x.tenant.Scope(x.request.Program),
		Urgency:      x.route.Priority,
		Branch:       x.request.Branch,
		Begins:       x.home == "" && x.request.PreviousTurn == "",
		Number:       turnNumber,
		HasFinish:    true,
		TimeToFinish: x.request.TimeToFinish - time.Since(x.startTime),
		Hint:         x.request.ExpectedTokens,
	}
	if x.tenant != nil {
		turn.Tenant = x.tenant.Name
	}
	x.program.turn, x.program.known = turn, true
	x.program.current = x.options.Estimator.Begin(turn, time.Now())
	x.program.priorities = priorityRange(configuration, x.service, x.route.Priority)
}

// reportTurn passes the turn's outcome to the estimator.
func (x *exchange) reportTurn(configuration *route.Configuration, failed bool) {
	if x.program.known {
		x.options.Estimator.End(x.program.turn, x.turnResult(configuration, failed), time.Now())
	}
}

// reportSent reports to admission control that the turn was sent to a worker.
func (x *exchange) reportSent() {
	x.program.sentAt = time.Now()
	if !x.program.known || x.options.Admission == nil || x.headSent {
		return
	}
	whole, first, known := x.options.Estimator.UnloadedTime(x.route.Name)
	if known {
		idle := admission.UnloadedTime{FirstEvent: first, Total: whole}
		x.program.sending = x.options.Admission.Sent(x.service, x.program.current, idle, x.program.sentAt)
	}
}

// reportFirstEvent reports to admission control that the turn's first event arrived.
func (x *exchange) reportFirstEvent() {
	now := time.Now()
	x.program.firstEvent = now.Sub(x.program.sentAt)
	if x.program.sending != nil {
		x.options.Admission.FirstEvent(x.program.sending, now)
		x.program.sending = nil
	}
}

// reportNoFirstEvent reports to admission control that the last send brought no event.
func (x *exchange) reportNoFirstEvent() {
	if x.program.sending != nil {
		x.options.Admission.EndedWithoutEvent(x.program.sending, time.Now())
		x.program.sending = nil
	}
}

// reportDecline reports to admission control that a worker declined the turn.
func (x *exchange) reportDecline() {
	if x.program.known && x.options.Admission != nil {
		x.options.Admission.Declined(x.service, x.route.Priority, time.Now())
	}
}

// turnResult describes the turn's outcome.
func (x *exchange) turnResult(configuration *route.Configuration, failed bool) scheduling.Outcome {
	return scheduling.Outcome{
		Failed:     failed,
		Total:      time.Since(x.startTime),
		FirstEvent: x.program.firstEvent,
		Tokens:     x.events * configuration.Services[x.service].TokensPerEvent,
	}
}

// turnNumber returns the position of the turn in its branch, starting at 1, given the length of
// its history; 0: unknown.
func (x *exchange) turnNumber(historyLength int) int {
	if !x.route.StoreTurns {
		return 0
	}
	return historyLength + 1
}

// Worker priorities: 0 is the most urgent.
const (
	lowestPriority   = 9
	priorityStep     = 2
	firstTurnPenalty = 1 // programs that are running come before new ones
)

// priorityRange returns the range of worker priorities for requests of one urgency to a service.
// It ends before the range of the next less urgent route.
func priorityRange(configuration *route.Configuration, service string, urgency int) scheduling.PriorityRange {
	shared := scheduling.PriorityRange{First: min(urgency*priorityStep, lowestPriority), Last: lowestPriority}
	if next, ok := configuration.NextLowerPriority(service, urgency); ok {
		shared.Last = min(next*priorityStep, lowestPriority+1) - 1
	}
	shared.Last = max(shared.First, shared.Last)
	return shared
}

// priority returns the worker priority of the request; workers admit lower values first.
func (x *exchange) priority() int {
	if x.program.known {
		return x.program.priorities.Priority(x.program.current)
	}
	priority := x.route.Priority * priorityStep
	if x.home == "" {
		priority += firstTurnPenalty
	}
	return min(priority, lowestPriority)
}

// addProgramFields adds the state of the program to the request's log line.
func (x *exchange) addProgramFields(fields log.Fields) {
	if !x.program.known {
		return
	}
	program := x.program.current
	slack, _ := program.Slack()
	fields["class"] = scheduling.Classify(program).String()
	fields["slack_ms"] = slack.Milliseconds()
	fields["needs_ms"] = program.Needs.Milliseconds()
	fields["turns_left"] = program.Turns
	fields["priority"] = x.priority()
	x.addAdmissionFields(fields)
	if x.program.firstEvent > 0 {
		fields["first_ms"] = x.program.firstEvent.Milliseconds()
	}
}

// addAdmissionFields adds the inputs of the admission decision to the request's log line.
func (x *exchange) addAdmissionFields(fields log.Fields) {
	s := &x.program
	if s.verdict.Reason == "" || s.verdict.Reason == admission.ReasonInProgress {
		return
	}
	load := s.load
	fields["admission"] = string(s.verdict.Reason)
	fields["load"] = load.String()
	fields["ahead"] = s.request.PendingRetries
	fields["pace"] = s.request.AdmitRate
}
