package quarantine

import "time"

// MaxEnds is the number of workers that may end under the same work before it is quarantined.
const MaxEnds = 3

const (
	// suspectTTL is how long work is suspected after a worker last ended under it. It must exceed the time in which
	// clients try again.
	suspectTTL = time.Minute
	// quarantineTTL is how long work is quarantined. It must exceed the time of a program with all its retries.
	quarantineTTL = 10 * time.Minute
)

// State is what is known of one key. States are ordered: nodes that exchange theirs end up with the latest. It is sent between
// nodes with gob, so its fields keep their names.
type State struct {
	Generation uint32 // number of times that complete answers have cleared the key
	Ends       uint8  // workers that have ended one after the other since
}

// later reports whether the state supersedes another one.
func (s State) later(other State) bool {
	if s.Generation != other.Generation {
		return s.Generation > other.Generation
	}
	return s.Ends > other.Ends
}

// afterEnd returns the state after a worker ended to which the work was sent when its state was seen. Workers that run the same
// work at once, and end at once, count once: a rack that loses power proves nothing against the work that it ran.
func (s State) afterEnd(seen State) State {
	if s.Generation != seen.Generation {
		s.Ends = max(s.Ends, 1)
		return s
	}
	s.Ends = max(s.Ends, seen.Ends+1)
	return s
}

// afterAnswer returns the state after a complete answer.
func (s State) afterAnswer() State { return State{Generation: s.Generation + 1} }

// ttl returns how long the state is kept.
func (s State) ttl() time.Duration {
	if s.Ends >= MaxEnds {
		return quarantineTTL
	}
	return suspectTTL
}

// Evidence is the state of each key of a request at one time. The zero value is that of work under which no worker ended.
type Evidence struct {
	keys   Keys
	states [keyKinds]State // in the order of Keys.list
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
	// Identifies: the key is the most specific one of its work. Different works differ in it.
	Identifies bool
}
