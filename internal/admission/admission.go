// Package admission decides at a program's first turn whether it is let in. A program that is in
// stays in, at every node and every try: while room is short, programs are refused as wholes, before
// any of their work is done, and not in the middle.
//
// The load that it answers: more programs begin than the workers can end in time, so that each turn
// waits, all programs end late, and the late ones go on pressing. It knows no clock and no network.
package admission

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cloverwheel/cloverwheel/internal/standing"
)

// Reason is why a program is in or refused.
type Reason string

// The reasons.
const (
	UnderWay Reason = "under_way" // it has had a turn
	Untimed  Reason = "untimed"   // its caller does not say by when it must be over
	Room     Reason = "room"      // nothing known here says that all workers have queues
	Promised Reason = "promised"  // it was told to come back now
	InTime   Reason = "in_time"   // it can bear the waits of the present load
	Leaves   Reason = "leaves"    // its client leaves before its first turn could end
	TooLate  Reason = "too_late"  // it cannot be in time whatever is done
	Crowded  Reason = "crowded"   // at the present load it would not be in time
)

// Verdict is a decision.
type Verdict struct {
	In     bool
	Reason Reason
	After  time.Duration // when to come back, if it is refused
}

// Ask is a program's first turn that asks to be let in.
type Ask struct {
	Program standing.Program
	// Left is how long its caller still waits for this turn.
	Left time.Duration
	// Ahead is how many programs were told to come back and have not yet.
	Ahead int
	// Pace is how many first turns a second were let in of late; 0: none.
	Pace float64
}

const (
	// enoughEvents is how many first events must be known before load is judged by them.
	enoughEvents = 3
	// crowdedShare of them must have waited for all workers to be taken to have queues.
	crowdedShare = 0.75
	// fullyBusy is the share of places taken above which a keeper's word tells of queues.
	fullyBusy = 1.0
	// freshFor is how old the newest sign of queues may be: about what a turn takes.
	freshFor = 500 * time.Millisecond
	// A program whose slack is the sum of the waits that it must expect would end in time if these
	// grew no further. Refusing begins above that and is complete below, so that nodes do not let
	// in all programs in one moment and none in the next.
	certainly = 3.0
	never     = 1.0
	// shortestRetry is the earliest return, and retryShare the part of the time that a client has
	// left for which it waits at most before it returns.
	shortestRetry = 120 * time.Millisecond
	retryShare    = 1.0 / 3
	// retrySpread is the part of a return's time that is spread, so that not all come back at once.
	retrySpread = 0.3
)

// KeeperAge is how old a keeper's word may be.
const KeeperAge = 500 * time.Millisecond

// Decide decides whether a program is let in, or when it may come back.
func Decide(ask Ask, load Load) Verdict {
	program := ask.Program
	switch {
	case !program.Begins:
		return Verdict{In: true, Reason: UnderWay}
	case !program.Timed || program.Key == "":
		return Verdict{In: true, Reason: Untimed}
	case !load.Crowded():
		return Verdict{In: true, Reason: Room}
	case ask.Left < load.Behind.mean()+load.Idle:
		return Verdict{Reason: Leaves, After: ask.latest()}
	case program.Returns:
		return Verdict{In: true, Reason: Promised}
	case program.Lost():
		return Verdict{Reason: TooLate, After: ask.latest()}
	case rank(program.Key) < bearable(program, load):
		return Verdict{In: true, Reason: InTime}
	default:
		return Verdict{Reason: Crowded, After: ask.after()}
	}
}

// bearable is which share of the programs with such a standing is let in.
func bearable(program standing.Program, load Load) float64 {
	expected := float64(load.Wait(program.Turns))
	if expected <= 0 {
		return 1
	}
	slack, _ := program.Slack()
	return (float64(slack)/expected - never) / (certainly - never)
}

// rank places programs evenly from 0 to 1, alike on all nodes: where nodes let in the same share,
// they let in the same programs.
func rank(key string) float64 { return float64(xxhash.Sum64String(key)) / math.MaxUint64 }

// after is when the program may come back: once those before it have been let in, at the pace of late.
func (a Ask) after() time.Duration {
	if a.Pace <= 0 {
		return a.latest()
	}
	wait := time.Duration(float64(a.Ahead+1) / a.Pace * float64(time.Second))
	return min(max(a.spread(wait), shortestRetry), a.latest())
}

// latest is when its client returns at the latest.
func (a Ask) latest() time.Duration {
	return max(a.spread(time.Duration(retryShare*float64(a.Left))), 0)
}

// spread shortens a wait by the program's rank.
func (a Ask) spread(wait time.Duration) time.Duration {
	return wait - time.Duration(retrySpread*rank(a.Program.Key)*float64(wait))
}
