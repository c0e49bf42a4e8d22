package forward

import (
	"context"
	"time"

	"github.com/apex/log"

	"github.com/cloverwheel/cloverwheel/internal/admission"
	"github.com/cloverwheel/cloverwheel/internal/fault"
	"github.com/cloverwheel/cloverwheel/internal/route"
	"github.com/cloverwheel/cloverwheel/internal/standing"
)

// program is the standing of the program that a turn belongs to, and what is noted for it.
type program struct {
	turn    standing.Turn
	now     standing.Program
	band    standing.Band
	known   bool               // turn, now and band are set
	sending *admission.Sending // to the worker that was asked last; nil: its first event came, or nothing is noted
	sent    time.Time          // to that worker
	first   time.Duration      // from then to the first event; 0: none came
	verdict admission.Verdict
	ask     admission.Ask
	load    admission.Load
}

// enter finds out how the turn's program stands, and refuses it if it begins and may not now.
func (x *exchange) enter(ctx context.Context, configuration *route.Configuration, place int) *fault.Error {
	if x.options.Standing == nil || !x.request.Timed || x.request.Program == "" {
		return nil
	}
	x.stand(configuration, place)
	if x.options.Admission == nil {
		return nil
	}
	s := &x.standing
	s.verdict, s.ask, s.load = x.options.Admission.Decide(x.service, s.now, timeLeft(ctx), time.Now())
	s.now.Returns = s.ask.Program.Returns
	x.options.Metrics.Admissions.WithLabelValues(string(s.verdict.Reason)).Inc()
	if s.verdict.In {
		return nil
	}
	return fault.Newf(fault.Overloaded, "come back after the time given",
		"programs that begin now would end late: all workers known of service %q have queues (%s)", x.service, s.verdict.Reason).
		WithRetryAfter(s.verdict.After)
}

// timeLeft is how long ctx leaves; an hour if it does not end.
func timeLeft(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return time.Hour
	}
	return time.Until(deadline)
}

// stand finds out how the turn's program stands.
func (x *exchange) stand(configuration *route.Configuration, place int) {
	turn := standing.Turn{
		Route:   x.route.Name,
		Program: x.tenant.Scope(x.request.Program),
		Urgency: x.route.Priority,
		Line:    x.request.Line,
		Begins:  x.home == "" && x.request.Continue == "",
		Place:   place,
		Timed:   true,
		Finish:  x.request.Finish - time.Since(x.begun),
		Hint:    x.request.Hint,
	}
	if x.tenant != nil {
		turn.Tenant = x.tenant.Name
	}
	x.standing.turn, x.standing.known = turn, true
	x.standing.now = x.options.Standing.Begin(turn, time.Now())
	x.standing.band = band(configuration, x.service, x.route.Priority)
}

// leave takes in how the turn went.
func (x *exchange) leave(configuration *route.Configuration, failed bool) {
	if x.standing.known {
		x.options.Standing.End(x.standing.turn, x.took(configuration, failed), time.Now())
	}
}

// noteSent takes in that the turn goes to a worker.
func (x *exchange) noteSent() {
	x.standing.sent = time.Now()
	if !x.standing.known || x.options.Admission == nil || x.started {
		return
	}
	whole, first, known := x.options.Standing.Idle(x.route.Name)
	if known {
		idle := admission.Idle{First: first, Whole: whole}
		x.standing.sending = x.options.Admission.Sent(x.service, x.standing.now, idle, x.standing.sent)
	}
}

// noteFirst takes in that the turn's first event comes.
func (x *exchange) noteFirst() {
	now := time.Now()
	x.standing.first = now.Sub(x.standing.sent)
	if x.standing.sending != nil {
		x.options.Admission.First(x.standing.sending, now)
		x.standing.sending = nil
	}
}

// noteNoFirst takes in that no first event comes from the worker that was asked.
func (x *exchange) noteNoFirst() {
	if x.standing.sending != nil {
		x.options.Admission.Ended(x.standing.sending, time.Now())
		x.standing.sending = nil
	}
}

// noteDecline takes in that a worker is full.
func (x *exchange) noteDecline() {
	if x.standing.known && x.options.Admission != nil {
		x.options.Admission.Declined(x.service, x.route.Priority, time.Now())
	}
}

// took is how the turn went.
func (x *exchange) took(configuration *route.Configuration, failed bool) standing.Took {
	return standing.Took{
		Failed: failed,
		Whole:  time.Since(x.begun),
		First:  x.standing.first,
		Tokens: x.events * configuration.Services[x.service].TokensPerEvent,
	}
}

// placeOf is which turn of its line a request is, by what was said before; 0: not known.
func (x *exchange) placeOf(chain int) int {
	if !x.route.Retain {
		return 0
	}
	return chain + 1
}

// Steps of a worker's priority.
const (
	lowestPriority  = 9
	priorityStep    = 2
	firstTurnBehind = 1 // programs under way come before new ones
)

// band is the range of workers' priorities that the requests of one urgency share before a service:
// it ends where that of the next less urgent route begins.
func band(configuration *route.Configuration, service string, urgency int) standing.Band {
	shared := standing.Band{First: min(urgency*priorityStep, lowestPriority), Last: lowestPriority}
	if next, ok := configuration.LessUrgent(service, urgency); ok {
		shared.Last = min(next*priorityStep, lowestPriority+1) - 1
	}
	shared.Last = max(shared.First, shared.Last)
	return shared
}

// priority is what the worker is told: it admits the more urgent first.
func (x *exchange) priority() int {
	if x.standing.known {
		return x.standing.band.Priority(x.standing.now)
	}
	priority := x.route.Priority * priorityStep
	if x.home == "" {
		priority += firstTurnBehind
	}
	return min(priority, lowestPriority)
}

// noteStanding adds to a request's line how its program stood.
func (x *exchange) noteStanding(fields log.Fields) {
	if !x.standing.known {
		return
	}
	program := x.standing.now
	slack, _ := program.Slack()
	fields["class"] = standing.Classify(program).String()
	fields["slack_ms"] = slack.Milliseconds()
	fields["needs_ms"] = program.Needs.Milliseconds()
	fields["turns_left"] = program.Turns
	fields["priority"] = x.priority()
	x.noteAdmission(fields)
	if x.standing.first > 0 {
		fields["first_ms"] = x.standing.first.Milliseconds()
	}
}

// noteAdmission adds by what the program was let in or refused.
func (x *exchange) noteAdmission(fields log.Fields) {
	s := &x.standing
	if s.verdict.Reason == "" || s.verdict.Reason == admission.UnderWay {
		return
	}
	load := s.load
	fields["admission"] = string(s.verdict.Reason)
	fields["load"] = load.String()
	fields["ahead"] = s.ask.Ahead
	fields["pace"] = s.ask.Pace
}
