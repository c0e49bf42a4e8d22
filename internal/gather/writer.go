package gather

import (
	"context"
	"errors"
	"maps"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/cloverwheel/cloverwheel/internal/budget"
	"github.com/cloverwheel/cloverwheel/internal/directory"
	"github.com/cloverwheel/cloverwheel/internal/fault"
	"github.com/cloverwheel/cloverwheel/internal/store"
	"github.com/cloverwheel/cloverwheel/internal/wait"
)

const (
	// An owner is waited for twice as long as it said that rows take, within two bounds, besides
	// the way there and back; what it says is of a moment ago.
	expectTimes    = 2
	shortestWithin = 60 * time.Millisecond
	longestWithin  = time.Second
	// Bounds of the way there and back.
	shortestWay = 30 * time.Millisecond
	longestWay  = 150 * time.Millisecond
	// leftShare of the caller's time is the most that an owner is waited for: the rest is for the
	// node's own call.
	leftShare = 0.5
	// longestPut bounds how long owners are asked, again and again while the table refuses calls.
	longestPut = 5 * time.Second
	// lateTries is how often an owner is asked whose answers are that it was too slow: it lives,
	// and by its last word tells what it takes now. The table may have become slow for all.
	lateTries = 3
	// againPause is the pause before an owner is asked once more.
	againPause = 40 * time.Millisecond
	// leastWithin is the time below which an owner is not worth asking.
	leastWithin = 30 * time.Millisecond
	// shortFor is for how long the table counts as short of calls after the last sign of it.
	shortFor = 3 * time.Second
	// oldFor is how long a node that does not know the question is not asked again.
	oldFor = 10 * time.Second
	// maxBytes is the most that is sent to an owner: more fills a call by itself.
	maxBytes = 200 << 10
)

// Owners tell which process owns a slot.
type Owners interface {
	// Owner is the owner of a slot, unless it is unknown or has just not answered.
	Owner(slot int) (budget.Holder, bool)
	// Heard and Missed are told whether an owner answered.
	Heard(slot int)
	Missed(slot int, asked budget.Holder)
}

// Peers asks other nodes.
type Peers interface {
	// Gather returns ErrNotCarried if the owner may not see what the call carries.
	Gather(ctx context.Context, owner budget.Holder, request Request) (Answer, error)
}

// ErrNotCarried is a call whose content is bound to regions other than the owner's.
var ErrNotCarried = errors.New("the owner of the slot stands outside the regions of the rows; write them by an own call")

// WriterOptions of a Writer.
type WriterOptions struct {
	Process string // this one
	Slots   Slots
	Owners  Owners
	Peers   Peers
	// Patience is how long other nodes' answers are seen to take; nil: not known.
	Patience wait.Patience
	Gatherer *Gatherer // of this process
	// ThrottledSince tells whether the table refused a call of this node for the number of calls.
	ThrottledSince func(moment time.Time) bool
	// Pace is that of all groups, and Nodes a number of nodes, known to write about as much as
	// this one each, by which the rate of all is estimated.
	Pace   Pace
	Nodes  func() int
	Meter  Meter
	Logger log.Interface
}

// Slots tell which slot a group belongs to: one of the region of those who write.
type Slots struct {
	Layout directory.Layout
	Region string
}

// of is the slot of a group.
func (s Slots) of(group int) int { return s.Layout.SlotIn(s.Region, slotHash(group)) }

// Groups is the number of groups of all regions.
func (s Slots) Groups() int { return s.Layout.Regions() * Groups }

// Owned tells which groups a process owns by the slots that it owns.
func (s Slots) Owned(owns func(slot int) bool) func(group int) bool {
	return func(group int) bool { return owns(s.of(group)) }
}

// Writer sends rows to the owners of their groups while calls to the table are short.
type Writer struct {
	options WriterOptions

	mutex   sync.Mutex
	engaged bool
	told    time.Time // when an owner last said that calls are short
	rate    rate      // of this node's rows
	near    bool      // by that rate, calls are nearly short
	nodes   int       // when last looked
	looked  time.Time
	expect  [Groups]time.Duration
	old     map[string]time.Time // until when processes are not asked
}

// NewWriter returns a writer that knows of no shortage.
func NewWriter(options WriterOptions) *Writer {
	return &Writer{options: options, old: map[string]time.Time{}, rate: rate{window: nodeWindow}}
}

// Put has rows of one part written together with others, and reports whether they are in the
// table for certain. If not, the caller has to write them itself. It returns at once while calls
// are not short.
func (w *Writer) Put(ctx context.Context, part int, rows []store.Row) (kept bool) {
	if !w.engage(len(rows), time.Now()) {
		return false
	}
	request := Request{Group: groupOf(part), Rows: rows}
	if len(rows) > callRows || request.size() > maxBytes {
		return false
	}
	until := w.until(ctx, time.Now())
	for tries := 1; ; tries++ {
		request.Within = min(w.within(request.Group), time.Until(until))
		if request.Within < leastWithin {
			return false
		}
		outcome, again := w.ask(ctx, request)
		if outcome != "" {
			w.options.Meter.GatherAsk(outcome)
		}
		if outcome == OutcomeKept {
			return true
		}
		if outcome == OutcomeLate && tries < lateTries {
			continue
		}
		if !again || wait.For(ctx, againPause) != nil {
			return false
		}
	}
}

// until is when the node turns to its own call.
func (w *Writer) until(ctx context.Context, now time.Time) time.Time {
	if deadline, bound := ctx.Deadline(); bound {
		return now.Add(min(longestPut, time.Duration(leftShare*float64(deadline.Sub(now)))))
	}
	return now.Add(longestPut)
}

// engage counts rows, reports whether they go to owners now, and logs when that changes.
func (w *Writer) engage(rows int, now time.Time) bool {
	throttled := w.options.ThrottledSince(now.Add(-shortFor))
	w.mutex.Lock()
	defer w.mutex.Unlock()
	told := !w.told.IsZero() && now.Sub(w.told) < shortFor
	all := w.estimate(rows, now)
	w.near = w.options.Pace.Near(all, w.near)
	if engaged := throttled || told || w.near; engaged != w.engaged {
		w.engaged = engaged
		w.options.Logger.WithField("engaged", engaged).WithField("throttled", throttled).
			WithField("told", told).WithField("told_ms", now.Sub(w.told).Milliseconds()).
			WithField("near", w.near).WithField("rows_per_s", int(all)).WithField("nodes", w.nodes).
			WithField("writes_per_s", int(w.options.Pace.Writes)).
			Info("turns are kept through the owners of their groups while calls to the table are short")
	}
	return w.engaged
}

// estimate counts rows, and estimates the rate of all nodes by this one's. The caller holds the
// mutex.
func (w *Writer) estimate(rows int, now time.Time) float64 {
	w.rate.add(rows, now)
	if now.Sub(w.looked) >= nodeWindow {
		w.nodes, w.looked = w.options.Nodes(), now
	}
	return w.rate.at(now) * float64(max(1, w.nodes))
}

// within is how long an owner may take, by its last word.
func (w *Writer) within(group int) time.Duration {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return min(max(expectTimes*w.expect[group], shortestWithin), longestWithin)
}

// ask asks the owner of the group's slot; no outcome means that there is none to ask. again
// tells that the owner is sound and the table refuses calls for their number.
func (w *Writer) ask(ctx context.Context, request Request) (outcome Outcome, again bool) {
	slot := w.options.Slots.of(request.Group)
	owner, known := w.options.Owners.Owner(slot)
	if !known || w.isOld(owner.Process) {
		return "", false
	}
	request.Process = owner.Process
	if owner.Process == w.options.Process {
		return w.learn(request.Group, w.options.Gatherer.Answer(ctx, request))
	}
	limited, cancel := context.WithTimeout(ctx, request.Within+w.options.Patience.Of(owner.Process, shortestWay, longestWay))
	defer cancel()
	answer, err := w.options.Peers.Gather(limited, owner, request)
	switch {
	case err == nil && answer.Owner:
		w.options.Owners.Heard(slot)
		return w.learn(request.Group, answer)
	case err == nil:
		w.options.Owners.Missed(slot, owner)
		return OutcomeStranger, false
	case errors.Is(err, ErrNotCarried):
		return "", false
	case fault.Is(err, fault.Invalid):
		w.noteOld(owner.Process)
		return OutcomeOld, false
	case ctx.Err() == nil:
		w.options.Owners.Missed(slot, owner)
	}
	return OutcomeSilent, false
}

// learn takes over an owner's word. again is as in ask.
func (w *Writer) learn(group int, answer Answer) (outcome Outcome, again bool) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if !answer.Owner {
		return OutcomeStranger, false
	}
	w.expect[group] = answer.Expect
	if answer.Short {
		w.told = time.Now()
	}
	return answer.Outcome, answer.Throttled && (answer.Outcome == OutcomeLate || answer.Outcome == OutcomeFull)
}

// isOld reports whether a process did not know the question lately.
func (w *Writer) isOld(process string) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return time.Now().Before(w.old[process])
}

// noteOld remembers a process that does not know the question, and forgets those of long ago.
func (w *Writer) noteOld(process string) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	now := time.Now()
	maps.DeleteFunc(w.old, func(_ string, until time.Time) bool { return !now.Before(until) })
	w.old[process] = now.Add(oldFor)
}
