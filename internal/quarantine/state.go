package quarantine

import (
	"cmp"
	"math"
	"time"
)

// MaxEnds is the number of workers that may end under the same work before it is quarantined.
const MaxEnds = 3

const (
	// suspectTTL is how long work is suspected after a worker last ended under it. It must exceed the time in which
	// clients try again.
	suspectTTL = time.Minute
	// quarantinePeriod is how long work is quarantined at first. Then one worker may try it: the cause may have been another one, such as
	// a faulty release. Each failed trial doubles the period, up to maxQuarantinePeriod.
	quarantinePeriod    = time.Minute
	maxQuarantinePeriod = time.Hour
)

// State is what is known of one key. States are ordered: nodes that exchange theirs end up with the latest. It is sent between
// nodes with gob, so its fields keep their names.
type State struct {
	Generation uint32 // number of times that complete answers have cleared the key
	Ends       uint8  // workers that have ended one after the other since
	Trials     uint8  // of these, workers that ended in trials after a quarantine
}

// later reports whether the state supersedes another one.
func (s State) later(other State) bool {
	return cmp.Or(cmp.Compare(s.Generation, other.Generation), cmp.Compare(s.Ends, other.Ends), cmp.Compare(s.Trials, other.Trials)) > 0
}

// afterEnd returns the state after a worker ended to which the work was sent when its state was seen. Workers that run the same
// work at once, and end at once, count once: a rack that loses power proves nothing against the work that it ran.
func (s State) afterEnd(seen State) State {
	if s.Generation != seen.Generation {
		s.Ends = max(s.Ends, 1)
		return s
	}
	s.Ends, s.Trials = max(s.Ends, seen.Ends+1), max(s.Trials, seen.Trials)
	return s
}

// afterAnswer returns the state after a complete answer.
func (s State) afterAnswer() State { return State{Generation: s.Generation + 1} }

// Period returns how long work is quarantined in the state.
func (s State) Period() time.Duration {
	period := quarantinePeriod
	for range s.Trials {
		period = min(2*period, maxQuarantinePeriod)
	}
	return period
}

// atAge returns the state as it is seen some time after it last changed: when a quarantine is over, one worker may try the work.
func (s State) atAge(age time.Duration) State {
	if s.Ends >= MaxEnds && age >= s.Period() {
		s.Ends = MaxEnds - 1
		s.Trials = min(s.Trials, math.MaxUint8-1) + 1
	}
	return s
}

// ttl returns how long the state is kept.
func (s State) ttl() time.Duration {
	if s.Ends >= MaxEnds {
		return 2 * s.Period()
	}
	return suspectTTL
}

// Evidence is the state of each key of a request at one time. The zero value is that of work under which no worker ended.
type Evidence struct {
	keys   Keys
	states [keyKinds]State         // in the order of Keys.list
	ages   [keyKinds]time.Duration // since each state last changed
}

// Ends returns the number of workers that ended one after the other under the most suspected key.
func (e Evidence) Ends() int { return int(e.states[e.worst()].Ends) }

// Suspect reports whether a worker has ended under the work since it was last answered completely.
func (e Evidence) Suspect() bool { return e.Ends() > 0 }

// Quarantined reports whether the work must not be sent to a worker.
func (e Evidence) Quarantined() bool { return e.Ends() >= MaxEnds }

// LastTrial reports whether the work is quarantined if one more worker ends under it.
func (e Evidence) LastTrial() bool { return e.Ends() == MaxEnds-1 }

// Key returns the most suspected key.
func (e Evidence) Key() Key { return e.keys.list()[e.worst()] }

// SinceLastEnd returns how long ago a worker last ended under the most suspected key.
func (e Evidence) SinceLastEnd() time.Duration { return e.ages[e.worst()] }

// worst returns the index of the key with the most ends.
func (e Evidence) worst() (worst int) {
	for index, state := range e.states {
		if state.Ends > e.states[worst].Ends {
			worst = index
		}
	}
	return worst
}

// Entry is the state of one key as nodes exchange it. It is sent with gob, so its fields keep their names.
type Entry struct {
	Key   Key
	State State
	Age   time.Duration // since the state was last changed
}

// changes are what a node tells others.
type changes struct {
	Entries []Entry
	Claims  []Claim
}

func (c changes) empty() bool { return len(c.Entries) == 0 && len(c.Claims) == 0 }
