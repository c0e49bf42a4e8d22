// Package standing is where a program stands when one of its requests has to wait for room: by
// when its caller needs it, what it still has to do, and whose it is. Order, admission and shares
// are decided by it alone. It knows no clock and no network.
package standing

import "time"

// Program is a program's standing at one of its requests.
type Program struct {
	// Key names the program, alike on all nodes; empty: the request belongs to none.
	Key string
	// Tenant is whose it is; empty: nobody's.
	Tenant string
	// Urgency is the priority of the request's route; 0 is the most urgent.
	Urgency int
	// Begins says that the program has had no turn yet.
	Begins bool
	// Returns says that its caller was told before to come back now.
	Returns bool
	// Timed says that Finish is known: how long its caller still gives it, 0 or less if that has passed.
	Timed  bool
	Finish time.Duration
	// Needs is what it is expected to take still where nothing makes it wait; 0: not known.
	Needs time.Duration
	// Turns is how many turns it is expected to take still, this one included; 0: not known.
	Turns int
	// Waited is for how long it has got no further, as far as is known.
	Waited time.Duration
}

// Slack is how long the program can still wait and be in time. Below zero it will be late, whatever
// is done. known is false if nothing is known of its time.
func (p Program) Slack() (slack time.Duration, known bool) {
	if !p.Timed {
		return 0, false
	}
	return p.Finish - p.Needs, true
}

// Lost reports whether the program will be late, whatever is done.
func (p Program) Lost() bool {
	slack, known := p.Slack()
	return known && (slack < 0 || p.Finish <= 0)
}
