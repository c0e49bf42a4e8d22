package gather

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/cloverwheel/cloverwheel/internal/store"
	"github.com/cloverwheel/cloverwheel/internal/wait"
)

const (
	// waitingRows bounds the rows of a queue that wait, to what a few calls take.
	waitingRows = 5 * callRows
	// throttledFor is for how long a refusal for the number of calls means that these are short.
	throttledFor = 3 * time.Second
	// longestPause is the longest mean pause after calls that were refused for their number. It is
	// shorter than that of other calls, which carry less.
	longestPause = 160 * time.Millisecond
	// firstExpect is what a call is expected to take at least.
	firstExpect = 20 * time.Millisecond
)

// GathererOptions of a Gatherer.
type GathererOptions struct {
	// Process is this one, and Owns tells whether it owns the slot of a group.
	Process string
	Owns    func(group int) bool
	// Store is the table, by whatever way, and Lost tells that it has just failed by all of them.
	Store store.Store
	Lost  func() bool
	// Region is where this node stands: rows that it was sent may pass through nodes there.
	Region string
	Pace   Pace
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

// group is what is known of a group of parts.
type group struct {
	rate      rate
	short     bool
	apart     time.Time // until when parts are written apart
	throttled time.Time // when a call was last refused for the number of calls
	allowance allowance
	queues    map[string]*queue
}

// NewGatherer returns a gatherer in which nothing waits.
func NewGatherer(options GathererOptions) *Gatherer {
	gatherer := &Gatherer{options: options}
	for number := range gatherer.groups {
		gatherer.groups[number] = group{rate: rate{window: groupWindow}, queues: map[string]*queue{}}
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
		return g.answer(request.Group, nil, OutcomeFailed)
	}
	if g.options.Lost() {
		return g.answer(request.Group, nil, OutcomeFailed)
	}
	queue, waiting := g.enter(request)
	if waiting == nil {
		return g.answer(request.Group, queue, OutcomeFull)
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
		g.leave(queue, waiting)
	}
	answer := g.answer(request.Group, queue, outcome)
	answer.Took = time.Since(waiting.arrived)
	g.options.Meter.GatherWait(answer.Took)
	return answer
}

// enter lets rows wait and sees to it that somebody writes them. waiting is nil if there is no
// room.
func (g *Gatherer) enter(request Request) (queue *queue, waiting *item) {
	size, now := request.size(), time.Now()
	g.mutex.Lock()
	defer g.mutex.Unlock()
	group := &g.groups[request.Group]
	if !request.Again {
		group.rate.add(len(request.Rows), now)
	}
	queue = g.queueOf(group, request.Rows[0].Part)
	if queue == nil || queue.rows+len(request.Rows) > waitingRows || g.bytes+size > g.options.Bytes {
		return queue, nil
	}
	waiting = &item{rows: request.Rows, bytes: size, arrived: now, deadline: now.Add(request.Within), outcome: make(chan Outcome, 1)}
	g.add(queue, waiting)
	if !queue.running {
		queue.running = true
		go g.run(queue)
	}
	return queue, waiting
}

// queueOf is the queue of a part, which may be that of all of its group. It is nil for more parts
// than a group has. The caller holds the mutex.
func (g *Gatherer) queueOf(group *group, part string) *queue {
	if g.options.Pace.Across {
		part = ""
	}
	known, ok := group.queues[part]
	if !ok && len(group.queues) < partsOfGroup {
		known = &queue{group: group, backoff: store.Backoff{Longest: longestPause}}
		group.queues[part] = known
	}
	return known
}

// answer tells the state of a group besides an outcome, and logs when it changes. queue may be
// nil.
func (g *Gatherer) answer(number int, queue *queue, outcome Outcome) Answer {
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
			WithField("bytes", g.bytes).Info("calls to the table, as the owner of a group of turns sees them")
	}
	answer := Answer{Owner: true, Outcome: outcome, Short: short}
	if queue != nil {
		answer.Throttled = queue.pause > 0
		answer.Expect = g.expect(queue, rate, now)
	}
	return answer
}

// expect is how long rows that arrive now are expected to take: the call under way, the time of
// gathering or pause, and their own call, and further ones if more waits than goes in one. The
// caller holds the mutex.
func (g *Gatherer) expect(queue *queue, rate float64, now time.Time) time.Duration {
	call := g.way.Longest(firstExpect, longestCall)
	if queue.calling {
		call = max(call, min(now.Sub(queue.begun), longestCall))
	}
	calls := time.Duration(2 + queue.rows/callRows)
	return calls*call + max(g.gathering(queue.group, now), queue.pause)
}

// gathering is how long the first row of a call of a group waits for others now. The caller holds
// the mutex.
func (g *Gatherer) gathering(group *group, now time.Time) time.Duration {
	return g.options.Pace.Gathering(group.rate.at(now), group.allowance.at(now))
}
