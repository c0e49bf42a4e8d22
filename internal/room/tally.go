package room

import (
	"slices"
	"time"
)

const (
	// tellBusy and tellCalm are the least time between two reports of a node that come alone, while
	// the group is busy and while it is not. tellGranted is that for a place that the keeper has
	// given out itself: well before it would take it for lost.
	tellBusy    = 10 * time.Millisecond
	tellGranted = 150 * time.Millisecond
	tellCalm    = 400 * time.Millisecond
	// renewAfter is when a report is told anew of which nothing has changed, and reportLasts how
	// long it counts: two in a row may be lost.
	renewAfter  = 300 * time.Millisecond
	reportLasts = 900 * time.Millisecond
	// calmBelow is the share of taken places up to which a node goes by its own knowledge: most
	// workers that it may pick have room then.
	calmBelow = 0.5
	// A keeper's word counts for wordLasts, and for longer if it was that the group was idle.
	wordLasts     = time.Second
	idleBelow     = 0.25
	idleWordLasts = 10 * time.Second
	// maxDeclined bounds the workers of which a report says that they have declined.
	maxDeclined = 16
)

// Tally is what one node has running at the workers of a group, and what its keeper said last. It
// knows no clock.
type Tally struct {
	group    Group
	sequence uint64
	running  map[string]load // by worker
	pending  []uint64
	ended    int
	held     time.Duration
	declined []string
	changed  bool // since the last report, in what the keeper does not know
	granted  bool // likewise, in what it has given out
	told     time.Time
	busy     float64
	word     time.Time // when the keeper last said how busy the group is; zero: never
}

// NewTally returns the tally of a node that has nothing running.
func NewTally(group Group) *Tally { return &Tally{group: group, running: map[string]load{}} }

// Begin counts a request at a worker that this node has chosen.
func (t *Tally) Begin(worker string, tokens int) {
	t.add(worker, 1, tokens)
	t.changed = true
}

// BeginGranted counts one at a worker that the keeper has named.
func (t *Tally) BeginGranted(worker string, tokens int) {
	t.add(worker, 1, tokens)
	t.granted = true
}

// End takes a request off that has held its place for a while.
func (t *Tally) End(worker string, tokens int, held time.Duration) {
	t.add(worker, -1, -tokens)
	t.changed = true
	t.ended++
	t.held += held
}

func (t *Tally) add(worker string, requests, tokens int) {
	present := t.running[worker]
	present.requests += requests
	present.tokens += tokens
	if present.requests <= 0 {
		delete(t.running, worker)
		return
	}
	t.running[worker] = present
}

// Declined notes that a worker said that it is full.
func (t *Tally) Declined(worker string) {
	if len(t.declined) < maxDeclined && !slices.Contains(t.declined, worker) {
		t.declined = append(t.declined, worker)
	}
	t.changed = true
}

// Report is what the keeper is told now.
func (t *Tally) Report(from string, now time.Time) Report {
	t.sequence++
	report := Report{
		From: from, Sequence: t.sequence, Group: t.group, Lasts: reportLasts,
		Pending: slices.Clone(t.pending), Ended: t.ended, Held: t.held, Declined: t.declined,
	}
	for worker, present := range t.running {
		report.Running = append(report.Running, Running{Worker: worker, Requests: present.requests, Tokens: present.tokens})
	}
	t.ended, t.held, t.declined, t.changed, t.granted, t.told = 0, 0, nil, false, false, now
	return report
}

// Asked notes that a question is waited for that went with a report.
func (t *Tally) Asked(sequence uint64) { t.pending = append(t.pending, sequence) }

// Answered notes that a question is not waited for any more. What it was given counts as running
// before.
func (t *Tally) Answered(sequence uint64) {
	t.pending = slices.DeleteFunc(t.pending, func(other uint64) bool { return other == sequence })
	t.granted = true
}

// Unsaid notes that what was told last was not heard.
func (t *Tally) Unsaid(now time.Time) { t.changed, t.told = true, now }

// Hear takes in a keeper's word.
func (t *Tally) Hear(busy float64, now time.Time) { t.busy, t.word = busy, now }

// Busy is the keeper's last word, and how old it is.
func (t *Tally) Busy(now time.Time) (busy float64, age time.Duration, known bool) {
	return t.busy, now.Sub(t.word), !t.word.IsZero()
}

// Calm reports whether a node need not ask: it has heard lately that there is room, or it has heard
// nothing ever.
func (t *Tally) Calm(now time.Time) bool {
	age := now.Sub(t.word)
	switch {
	case t.word.IsZero():
		return true
	case t.busy < idleBelow:
		return age <= idleWordLasts
	default:
		return t.busy < calmBelow && age <= wordLasts
	}
}

// Due is when the keeper is to be told next; ok is false while there is nothing to tell.
func (t *Tally) Due() (at time.Time, ok bool) {
	switch {
	case t.changed && t.busy >= calmBelow:
		return t.told.Add(tellBusy), true
	case t.granted:
		return t.told.Add(tellGranted), true
	case t.changed:
		return t.told.Add(tellCalm), true
	case len(t.running) > 0:
		return t.told.Add(renewAfter), true
	default:
		return time.Time{}, false
	}
}

// Idle reports whether the tally holds nothing that is worth keeping.
func (t *Tally) Idle(now time.Time) bool {
	return len(t.running) == 0 && len(t.pending) == 0 && !t.changed && !t.granted && now.Sub(t.word) > idleWordLasts
}
