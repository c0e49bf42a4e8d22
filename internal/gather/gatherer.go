package gather

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/cloverwheel/cloverwheel/internal/store"
	"github.com/cloverwheel/cloverwheel/internal/wait"
)

const (
	// waitingRows bounds the rows of a group that wait, to what a few calls take.
	waitingRows = 10 * callRows
	// callPatiences is for how many times the usual patience a call is waited for, within two
	// bounds, before its rows are given back to those who sent them.
	callPatiences = 4
	shortestCall  = 100 * time.Millisecond
	longestCall   = time.Second
	// apartFor is for how long each part has calls of its own after one that failed: one part
	// that is down must not hold up the others.
	apartFor = time.Second
	// throttledFor is for how long a refusal for the number of calls means that these are short.
	throttledFor = 3 * time.Second
	// longestPause is the longest mean pause after calls that were refused for their number. It is
	// shorter than that of other calls, which carry less.
	longestPause = 160 * time.Millisecond
	// firstExpect is what a call is expected to take before one was seen.
	firstExpect = 40 * time.Millisecond
)

// GathererOptions of a Gatherer.
type GathererOptions struct {
	// Process is this one, and Owns tells whether it owns the slot of a group.
	Process string
	Owns    func(group int) bool
	// Store is this node's own way to the table, and Suspect tells that it has just failed.
	Store   store.Store
	Suspect func() bool
	Pace    Pace
	// Bytes bounds what waits in all groups together.
	Bytes  int
	Meter  Meter
	Logger log.Interface
}

// Meter is told what a gatherer and a writer do. It must be safe for concurrent use.
type Meter interface {
	// GatherCall is told of a call: the rows in it, and whether the table took them.
	GatherCall(rows int, taken bool)
	// GatherWait is told how long rows were at the gatherer.
	GatherWait(waited time.Duration)
	// GatherAsk is told what came of rows that this node sent to a gatherer.
	GatherAsk(outcome Outcome)
}

// Gatherer writes the rows of the groups whose slots this process owns.
type Gatherer struct {
	options GathererOptions
	way     wait.Estimate // how long calls take

	mutex  sync.Mutex
	bytes  int // that wait
	groups [Groups]group
}

// group is what waits to be written.
type group struct {
	waiting   []*item
	rows      int
	running   bool // somebody writes
	calling   bool // a call is under way
	rate      rate
	short     bool
	begun     time.Time // when the last call began
	apart     time.Time // until when parts are written apart
	throttled time.Time // when a call was last refused for the number of calls
	backoff   store.Backoff
	pause     time.Duration // before the next call, after a refused one
}

// NewGatherer returns a gatherer in which nothing waits.
func NewGatherer(options GathererOptions) *Gatherer {
	gatherer := &Gatherer{options: options}
	for group := range gatherer.groups {
		gatherer.groups[group].backoff.Longest = longestPause
		gatherer.groups[group].rate.window = groupWindow
	}
	return gatherer
}

// Answer writes the rows of a request together with those of others. It answers once they are
// in the table, or the asker's time is over.
func (g *Gatherer) Answer(ctx context.Context, request Request) Answer {
	if request.Process != g.options.Process || request.Group < 0 || request.Group >= Groups || !g.options.Owns(request.Group) {
		return Answer{}
	}
	if len(request.Rows) == 0 || len(request.Rows) > callRows {
		return g.answer(request.Group, OutcomeFull)
	}
	if g.options.Suspect() {
		return g.answer(request.Group, OutcomeFailed)
	}
	waiting, taken := g.enter(request)
	if !taken {
		return g.answer(request.Group, OutcomeFull)
	}
	timer := time.NewTimer(request.Within)
	defer timer.Stop()
	outcome := OutcomeLate
	select {
	case outcome = <-waiting.outcome:
	case <-timer.C:
	case <-ctx.Done():
	}
	if outcome == OutcomeLate {
		g.leave(request.Group, waiting)
	}
	answer := g.answer(request.Group, outcome)
	answer.Took = time.Since(waiting.arrived)
	g.options.Meter.GatherWait(answer.Took)
	return answer
}

// enter lets rows wait, if there is room, and sees to it that somebody writes them.
func (g *Gatherer) enter(request Request) (waiting *item, taken bool) {
	size, now := request.size(), time.Now()
	g.mutex.Lock()
	defer g.mutex.Unlock()
	group := &g.groups[request.Group]
	group.rate.add(len(request.Rows), now)
	if group.rows+len(request.Rows) > waitingRows || g.bytes+size > g.options.Bytes {
		return nil, false
	}
	waiting = &item{rows: request.Rows, bytes: size, arrived: now, deadline: now.Add(request.Within), outcome: make(chan Outcome, 1)}
	group.waiting = append(group.waiting, waiting)
	group.rows += len(waiting.rows)
	g.bytes += size
	if !group.running {
		group.running = true
		go g.run(request.Group)
	}
	return waiting, true
}

// leave takes back rows that wait; those of a call under way are written.
func (g *Gatherer) leave(number int, gone *item) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	group := &g.groups[number]
	if index := slices.Index(group.waiting, gone); index >= 0 {
		group.waiting = slices.Delete(group.waiting, index, index+1)
		g.forget(group, gone)
	}
}

// forget takes an item out of the account of what waits. The caller holds the mutex.
func (g *Gatherer) forget(group *group, gone *item) {
	group.rows -= len(gone.rows)
	g.bytes -= gone.bytes
}

// answer tells the state of a group besides an outcome, and logs when it changes.
func (g *Gatherer) answer(number int, outcome Outcome) Answer {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	group, now := &g.groups[number], time.Now()
	rate := group.rate.at(now)
	throttled := !group.throttled.IsZero() && now.Sub(group.throttled) < throttledFor
	short := throttled || g.options.Pace.Short(rate, group.short)
	if short != group.short {
		group.short = short
		g.options.Logger.WithField("short", short).WithField("group", number).WithField("rows_per_s", int(rate)).
			WithField("writes_per_s", int(g.options.Pace.Writes)).WithField("throttled", throttled).
			WithField("waiting", group.rows).Info("calls to the table are counted for gathering")
	}
	return Answer{Owner: true, Outcome: outcome, Short: short, Throttled: group.pause > 0, Expect: g.expect(group, rate, now)}
}

// expect is how long rows that arrive now are expected to take: the call under way, the pause
// and their own call, and further ones if more waits than goes in one. The caller holds the
// mutex.
func (g *Gatherer) expect(group *group, rate float64, now time.Time) time.Duration {
	calls := time.Duration(2 + group.rows/callRows)
	each := max(g.way.Longest(firstExpect/2, longestCall), g.options.Pace.Spacing(rate), group.pause)
	if group.calling {
		each = max(each, min(now.Sub(group.begun), longestCall))
	}
	return calls * each
}

// run writes what waits in a group, one call at a time, until nothing does.
func (g *Gatherer) run(number int) {
	for {
		pause, more := g.untilNext(number)
		if !more {
			return
		}
		if pause > 0 {
			time.Sleep(pause)
		}
		if picked, apart := g.take(number); len(picked) > 0 {
			g.write(number, picked, apart)
			g.called(number)
		}
	}
}

// called notes that no call of a group is under way.
func (g *Gatherer) called(number int) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.groups[number].calling = false
}

// untilNext is how long after now the next call of a group may begin. more is false if nothing
// waits; nobody writes then.
func (g *Gatherer) untilNext(number int) (pause time.Duration, more bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	group, now := &g.groups[number], time.Now()
	if len(group.waiting) == 0 {
		group.running = false
		return 0, false
	}
	spacing := max(g.options.Pace.Spacing(group.rate.at(now)), group.pause)
	return group.begun.Add(spacing).Sub(now), true
}

// take takes what goes in the next call out of what waits. apart tells whether each part is to
// have a call of its own.
func (g *Gatherer) take(number int) (picked []*item, apart bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	group, now := &g.groups[number], time.Now()
	picked, group.waiting = pick(group.waiting)
	for _, taken := range picked {
		g.forget(group, taken)
	}
	group.begun, group.calling = now, len(picked) > 0
	return picked, now.Before(group.apart)
}

// write writes items in one call, or apart if that fails: one part may be down. What the table
// refuses for the number of calls waits again.
func (g *Gatherer) write(number int, items []*item, apart bool) {
	divided := byPart(items)
	if !apart || len(divided) == 1 {
		err := g.commit(items)
		if err == nil || errors.Is(err, store.ErrThrottled) || len(divided) == 1 || g.options.Suspect() {
			g.note(number, items, err)
			return
		}
		g.separate(number, err)
	}
	var group sync.WaitGroup
	for _, some := range divided {
		group.Go(func() { g.note(number, some, g.commit(some)) })
	}
	group.Wait()
}

// commit makes one call, and bounds its time.
func (g *Gatherer) commit(items []*item) error {
	transaction := transactionOf(items)
	limit := min(max(callPatiences*store.PatienceWith(g.options.Store, 0), shortestCall), longestCall)
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	begun := time.Now()
	_, err := store.CommitUnlessThrottled(ctx, g.options.Store, transaction)
	if err == nil {
		g.way.Observe(time.Since(begun))
	}
	g.options.Meter.GatherCall(len(transaction.Put), err == nil)
	return err
}

// separate lets the parts of a group have calls of their own for a while.
func (g *Gatherer) separate(number int, err error) {
	g.mutex.Lock()
	g.groups[number].apart = time.Now().Add(apartFor)
	g.mutex.Unlock()
	g.options.Logger.WithError(err).WithField("group", number).WithField("for_ms", apartFor.Milliseconds()).
		Warn("rows of several parts not written together, writing each part apart")
}

// note tells those who sent items what came of them, or lets these wait again.
func (g *Gatherer) note(number int, items []*item, err error) {
	g.mutex.Lock()
	group := &g.groups[number]
	if errors.Is(err, store.ErrThrottled) {
		group.throttled, group.pause = time.Now(), group.backoff.Next()
		g.again(group, items)
		g.mutex.Unlock()
		return
	}
	if err == nil {
		group.backoff.Reset()
		group.pause = 0
	}
	g.mutex.Unlock()
	outcome := OutcomeKept
	if err != nil {
		outcome = OutcomeFailed
	}
	for _, done := range items {
		done.outcome <- outcome
	}
}

// again lets items wait again whose askers still listen. The caller holds the mutex.
func (g *Gatherer) again(group *group, items []*item) {
	now := time.Now()
	for _, refused := range items {
		if now.Before(refused.deadline) {
			group.waiting = append(group.waiting, refused)
			group.rows += len(refused.rows)
			g.bytes += refused.bytes
		}
	}
}
