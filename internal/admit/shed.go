package admit

import (
	"cmp"
	"slices"
	"time"

	"github.com/cloverwheel/cloverwheel/internal/fault"
	"github.com/cloverwheel/cloverwheel/internal/id"
)

const (
	minRetryAfter = time.Second
	maxRetryAfter = 30 * time.Second
)

// refuseHopeless refuses calls whose program's deadline has passed and calls
// that can never fit, and returns the rest.
func refuseHopeless(now time.Time, snapshot Snapshot, plan *Plan) []*Waiting {
	left := make([]*Waiting, 0, len(snapshot.Waiting))
	for index := range snapshot.Waiting {
		call := &snapshot.Waiting[index]
		switch {
		case !call.Deadline.IsZero() && now.After(call.Deadline):
			plan.refuse(call, fault.New(fault.DeadlinePassed, "the program's deadline passed while the call waited",
				"start a program with a later deadline"))
		case call.Prompt+call.Output > snapshot.Capacity:
			plan.refuse(call, fault.Newf(fault.TooLarge, "shorten the history or max_tokens",
				"the call needs %d tokens of memory and the worker has %d", call.Prompt+call.Output, snapshot.Capacity))
		default:
			left = append(left, call)
		}
	}
	return left
}

func (p *Plan) refuse(call *Waiting, cause *fault.Error) {
	p.Refuse = append(p.Refuse, Refusal{Request: call.Request, Fault: cause})
}

// shed refuses calls until the expected wait is within the limits: first calls
// down to QueueLimit, then later turns down to LaterQueueLimit; among them the
// lowest priority first and the newest of these first.
func shed(snapshot Snapshot, waiting []*Waiting, options Options, plan *Plan) []*Waiting {
	if options.NoShedding || options.Policy == FirstCome || snapshot.DrainRate <= 0 {
		return waiting
	}
	waiting = shedExcess(snapshot, waiting, excessOfFirst(snapshot, waiting, options.QueueLimit), options.QueueLimit, plan, (*Waiting).first)
	excess := totalNeed(waiting, (*Waiting).later) - snapshot.room(options.LaterQueueLimit)
	return shedExcess(snapshot, waiting, excess, options.LaterQueueLimit, plan, (*Waiting).later)
}

func shedExcess(snapshot Snapshot, waiting []*Waiting, excess int, limit time.Duration, plan *Plan, eligible func(*Waiting) bool) []*Waiting {
	if excess <= 0 {
		return waiting
	}
	retryAfter := clampRetry(limit/2 + snapshot.timeFor(excess))
	sorted := slices.Clone(waiting)
	slices.SortStableFunc(sorted, shedBefore)
	left := sorted[:0]
	for _, call := range sorted {
		if excess <= 0 || !eligible(call) {
			left = append(left, call)
			continue
		}
		excess -= call.Need()
		plan.refuse(call, fault.New(fault.Overloaded, "the worker's queue is full", "retry after the given time").
			WithRetryAfter(spread(call.Request, retryAfter)))
	}
	return left
}

// shedBefore puts the lowest priority first, and the newest of these first.
func shedBefore(a, b *Waiting) int {
	if order := cmp.Compare(a.Priority, b.Priority); order != 0 {
		return order
	}
	return b.Enqueued.Compare(a.Enqueued)
}

func totalNeed(waiting []*Waiting, counts func(*Waiting) bool) int {
	total := 0
	for _, call := range waiting {
		if counts(call) {
			total += call.Need()
		}
	}
	return total
}

// room is how much waiting need is served within limit.
func (s Snapshot) room(limit time.Duration) int {
	free := max(s.Capacity-s.Used(), 0)
	return free + int(s.DrainRate*limit.Seconds())
}

// firstShare is the part of the memory for which first calls may always wait,
// so that a worker whose memory was long taken by later turns still fills.
const firstShare = 0.05

// excessOfFirst is how much need of first calls is beyond the limit. While it
// is not known what part of the memory goes to them, all that waits counts. Free
// memory that nobody else waits for is theirs, however little they got of late.
func excessOfFirst(snapshot Snapshot, waiting []*Waiting, limit time.Duration) int {
	if snapshot.FirstRate <= 0 {
		return totalNeed(waiting, func(*Waiting) bool { return true }) - snapshot.room(limit)
	}
	room := max(int(snapshot.FirstRate*limit.Seconds()), int(firstShare*float64(snapshot.Capacity)))
	unclaimed := snapshot.Capacity - snapshot.Used() - snapshot.Idle - totalNeed(waiting, (*Waiting).later)
	return totalNeed(waiting, (*Waiting).first) - room - max(unclaimed, 0)
}

func (s Snapshot) timeFor(need int) time.Duration {
	return time.Duration(float64(need) / s.DrainRate * float64(time.Second))
}

// ExpectedWait is how long a call waits behind others. A first call waits for
// its part of the memory that is given back; the rest goes to later turns.
func ExpectedWait(snapshot Snapshot, ahead Queue, call Waiting) time.Duration {
	short := ahead.Need + call.Need() - max(snapshot.Capacity-snapshot.Used(), 0)
	if short <= 0 || snapshot.DrainRate <= 0 {
		return 0
	}
	wait := snapshot.timeFor(short)
	if call.first() && snapshot.FirstRate > 0 {
		own := float64(ahead.FirstNeed+call.Need()) / snapshot.FirstRate
		wait = max(wait, time.Duration(own*float64(time.Second)))
	}
	return wait
}

// retrySpread is the part of a wait over which clients are spread, so that those
// who were refused together do not come back together.
const retrySpread = 0.5

// spread lengthens or shortens a wait by what the request's identifier decides,
// so that the plan stays a pure function.
func spread(request id.Request, wait time.Duration) time.Duration {
	const steps = 1000
	place := float64(id.Score(string(request), "retry")%steps) / steps
	return clampRetry(time.Duration(float64(wait) * (1 + retrySpread*(place-0.5))))
}

func clampRetry(wait time.Duration) time.Duration {
	return min(max(wait, minRetryAfter), maxRetryAfter)
}

// Sheds returns when to come back with a call that would be refused for load at
// an expected wait, and zero for a call that would be taken in.
func Sheds(snapshot Snapshot, options Options, call Waiting, wait time.Duration) time.Duration {
	options = options.withDefaults()
	if options.NoShedding || options.Policy == FirstCome || snapshot.DrainRate <= 0 {
		return 0
	}
	limit := options.LaterQueueLimit
	if call.first() {
		limit = options.QueueLimit
	}
	if wait <= limit {
		return 0
	}
	return clampRetry(wait - limit/2)
}
