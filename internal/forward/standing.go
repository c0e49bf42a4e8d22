package forward

import (
	"time"

	"github.com/apex/log"

	"github.com/cloverwheel/cloverwheel/internal/route"
	"github.com/cloverwheel/cloverwheel/internal/standing"
)

// program is the standing of the program that a turn belongs to, and what is noted for it.
type program struct {
	turn  standing.Turn
	now   standing.Program
	band  standing.Band
	known bool          // turn, now and band are set
	sent  time.Time     // to the worker that was asked last
	first time.Duration // from then to the first event; 0: none came
}

// stand finds out how the turn's program stands, once it is known what was said before and which
// service serves it. The function returned takes in how the turn went.
func (x *exchange) stand(configuration *route.Configuration, place int) (end func(failed bool)) {
	if x.options.Standing == nil || !x.request.Timed || x.request.Program == "" {
		return func(bool) {}
	}
	turn := standing.Turn{
		Route:   x.route.Name,
		Program: x.tenant.Scope(x.request.Program),
		Urgency: x.route.Priority,
		Line:    x.request.Line,
		Begins:  x.home == "",
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
	return func(failed bool) {
		x.options.Standing.End(turn, x.took(configuration, failed), time.Now())
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
	if x.standing.first > 0 {
		fields["first_ms"] = x.standing.first.Milliseconds()
	}
}
