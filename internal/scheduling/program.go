// Package scheduling estimates how close a program is to its deadline, and orders programs that compete
// for capacity.
//
// A program is a sequence of requests, called turns. Its scheduling state consists of the time to
// its deadline, the remaining work, its urgency and its tenant. Scheduling order, admission control
// and capacity shares are all derived from it. The package uses neither the clock nor the network;
// callers pass the current time.
package scheduling

import "time"

// Program is the scheduling state of a program at one of its requests. It is sent between nodes.
type Program struct {
	// Key identifies the program on all nodes; empty if the request belongs to no program.
	Key string
	// Tenant is the owner of the program; empty if it has none.
	Tenant string
	// Urgency is the priority of the request's route; 0 is the most urgent.
	Urgency int
	// Begins means that no turn of the program has run yet.
	Begins bool
	// Returns means that the program was refused before and retries at the time that it was given.
	Returns bool
	// Timed means that the program has a deadline. Finish is the time left until then, 0 or less if it
	// has passed.
	Timed  bool
	Finish time.Duration
	// Needs is the expected remaining time without queueing; 0 if unknown.
	Needs time.Duration
	// Turns is the expected number of remaining turns, including this one; 0 if unknown.
	Turns int
	// Waited is how long the program has made no progress; 0 if unknown.
	Waited time.Duration
}

// Slack returns how long the program can still queue and meet its deadline. A negative slack means that
// it will be late in any case. known is false if the program has no deadline.
func (p Program) Slack() (slack time.Duration, known bool) {
	if !p.Timed {
		return 0, false
	}
	return p.Finish - p.Needs, true
}

// Late reports whether the program will miss its deadline even without queueing.
func (p Program) Late() bool {
	slack, known := p.Slack()
	return known && (slack < 0 || p.Finish <= 0)
}
