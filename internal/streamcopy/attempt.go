package streamcopy

import (
	"bytes"
	"slices"
)

// Mark is the end of an event in the output of a turn. It is sent between nodes with gob, so its fields keep their names.
type Mark struct {
	EventID string
	End     int // length of the output up to the end of the event, in bytes
}

// Attempt is what a client got of a turn by one request and by the requests that this one resumed. It is sent between nodes with gob, so
// its fields keep their names.
type Attempt struct {
	Turn      string // the turn; the same for all requests of its client
	Stream    string // ID of the request that brought the first event
	Request   string // ID of the request that brought the last one
	ResumedAt int    // number of events that the client had when it sent the request; 0: it began the stream
	Marks     []Mark // of all events, oldest first
	Output    []byte // data of all events, each followed by a line feed
}

// add appends an event.
func (a *Attempt) add(eventID string, data []byte) {
	a.Output = append(append(a.Output, data...), '\n')
	a.Marks = append(a.Marks, Mark{EventID: eventID, End: len(a.Output)})
}

// through returns the attempt up to and including an event; ok is false if it does not have the event. The result shares the memory of
// the attempt, and appending to it copies.
func (a Attempt) through(eventID string) (cut Attempt, ok bool) {
	index := slices.IndexFunc(a.Marks, func(mark Mark) bool { return mark.EventID == eventID })
	if index < 0 {
		return Attempt{}, false
	}
	end := a.Marks[index].End
	a.Marks, a.Output = a.Marks[:index+1:index+1], a.Output[:end:end]
	return a, true
}

// clone returns a copy that shares no memory with the attempt.
func (a Attempt) clone() Attempt {
	a.Marks, a.Output = slices.Clone(a.Marks), bytes.Clone(a.Output)
	return a
}

// size returns the memory that the attempt takes, in bytes.
func (a Attempt) size() int {
	const perAttempt, perMark = 256, 48
	return perAttempt + len(a.Turn) + len(a.Stream) + len(a.Request) + cap(a.Marks)*perMark + cap(a.Output)
}

// choose returns what a client that names its last event has got, given the attempts that nodes hold copies of. The client has resumed the
// turn one request after the other, so the attempt that was resumed latest has what it kept of the ones before. Attempts that were resumed at
// the same event may have run side by side; if their events differ, nobody knows which of them the client got.
func choose(attempts []Attempt, lastEventID string) (Attempt, Outcome) {
	var latest []Attempt
	for _, attempt := range attempts {
		cut, ok := attempt.through(lastEventID)
		switch {
		case !ok:
		case len(latest) == 0 || cut.ResumedAt > latest[0].ResumedAt:
			latest = []Attempt{cut}
		case cut.ResumedAt == latest[0].ResumedAt:
			latest = append(latest, cut)
		}
	}
	if len(latest) == 0 {
		return Attempt{}, NotFound
	}
	for _, other := range latest[1:] {
		if !bytes.Equal(other.Output, latest[0].Output) {
			return Attempt{}, Ambiguous
		}
	}
	return latest[0], Found
}
