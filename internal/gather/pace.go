package gather

import "time"

const (
	// turnsShare of the table's writing calls is for gathered rows; accounts, slots and whatever
	// nodes write by themselves have the rest.
	turnsShare = 0.7
	// aimedAt is the part of the share that is aimed at: rates are estimates, and a low one costs
	// more calls than a high one saves.
	aimedAt = 0.97
	// longestGathering bounds how long rows wait for others.
	longestGathering = 250 * time.Millisecond
	// shortFrom and calmBelow are the rates of rows of all groups, as parts of the calls that
	// all of them may make, at which the table begins and ceases to be short. They lie apart so
	// that nodes do not go to and fro.
	shortFrom = 0.8
	calmBelow = 0.5
)

// Pace tells how long rows wait for others.
type Pace struct {
	// Writes is how many writing calls a second the table takes from all nodes; 0: not said.
	Writes float64
	// Groups is the number of groups of all regions, which share the calls.
	Groups int
	// Across tells that the table takes rows of several parts in one call.
	Across bool
}

// queues is how many queues a group has: rows that may go in one call wait in one.
func (p Pace) queues() int {
	if p.Across {
		return 1
	}
	return partsOfGroup
}

// calls is how many calls a second one group may make; 0: not said.
func (p Pace) calls() float64 { return turnsShare * p.Writes / float64(max(1, p.Groups)) }

// Gathering is how long the first row of a call waits for others, by the rate of the group's
// rows, per second: so long that the group's calls stay within its part of the share, of which
// the table has lately taken the part given. While there are no more rows than calls it does not
// wait.
func (p Pace) Gathering(rate, taken float64) time.Duration {
	calls := taken * p.calls()
	if calls <= 0 || rate <= calls {
		return 0
	}
	queues := float64(p.queues())
	between := queues/(aimedAt*calls) - queues/rate // a call comes once its first row has come and waited
	return min(time.Duration(between*float64(time.Second)), longestGathering)
}

// Short reports whether a group's rate of rows, as that of each other group, is near what the
// table takes; was tells whether it has been so until now.
func (p Pace) Short(rate float64, was bool) bool {
	calls := p.calls()
	switch {
	case calls <= 0:
		return false
	case was:
		return rate >= calmBelow*calls
	default:
		return rate >= shortFrom*calls
	}
}

// Near reports whether a rate of rows of all nodes is near what the table takes; was is as in
// Short.
func (p Pace) Near(rate float64, was bool) bool {
	return p.Short(rate/float64(max(1, p.Groups)), was)
}

// The times over which rates are taken: long enough for some rows, and no longer than a burst
// takes to begin. A node has fewer rows than a group.
const (
	groupWindow = time.Second
	nodeWindow  = 2 * time.Second
)

// rate follows how many rows arrive in a second, by two windows of which the older fades out.
type rate struct {
	window       time.Duration
	begun        time.Time // of the newer window
	older, newer int
}

// add counts rows that arrive at a moment.
func (r *rate) add(rows int, now time.Time) {
	r.roll(now)
	r.newer += rows
}

// at is the rate at a moment, per second.
func (r *rate) at(now time.Time) float64 {
	r.roll(now)
	faded := 1 - float64(now.Sub(r.begun))/float64(r.window)
	return (float64(r.newer) + faded*float64(r.older)) / r.window.Seconds()
}

func (r *rate) roll(now time.Time) {
	switch past := now.Sub(r.begun); {
	case past < r.window:
	case past < 2*r.window:
		r.begun, r.older, r.newer = r.begun.Add(r.window), r.newer, 0
	default:
		r.begun, r.older, r.newer = now, 0, 0
	}
}
