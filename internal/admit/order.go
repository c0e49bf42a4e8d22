package admit

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cloverwheel/cloverwheel/internal/id"
)

const (
	// serviceRate turns a program's remaining tokens into the time that it would
	// need alone, in tokens per second.
	serviceRate = 400
	// urgentSlack is how close a deadline must be to count.
	urgentSlack = 5 * time.Second
	// shareTolerance is how far over the mean a tenant's service may be before
	// its calls go behind the others'.
	shareTolerance = 2
)

// rank is a call's place in the order; compare puts lower ranks first.
type rank struct {
	call     *Waiting
	aged     bool
	urgent   bool
	first    bool    // opens its program
	overuse  int     // of the tenant's share: 0 within tolerance, then by powers of two
	response float64 // ratio of the program's age to what it still needs
}

// ranker ranks calls against one snapshot.
type ranker struct {
	now     time.Time
	options Options
	served  map[id.Tenant]float64
	mean    float64 // service per tenant that has calls waiting
}

func newRanker(now time.Time, snapshot Snapshot, options Options) ranker {
	r := ranker{now: now, options: options, served: snapshot.Served}
	if options.NoFairShares {
		return r
	}
	total := 0 // whole tokens, so that the order of the map does not matter
	for _, served := range snapshot.Served {
		total += int(served)
	}
	if tenants := len(snapshot.Served); tenants > 1 {
		r.mean = float64(total) / float64(tenants)
	}
	return r
}

func (r ranker) rank(call *Waiting) rank {
	ranked := rank{call: call, aged: r.aged(call)}
	if r.options.Policy == FirstCome {
		return ranked
	}
	ranked.urgent = r.urgent(call)
	ranked.first = call.first() && !r.options.NoLaterFirst
	ranked.overuse = r.overuse(call.Tenant)
	ranked.response = r.response(call)
	return ranked
}

// aged reports whether the call has waited for the starvation bound.
func (r ranker) aged(call *Waiting) bool {
	return r.now.Sub(call.Enqueued) >= r.options.StarvationBound
}

// urgent reports whether the program can only just meet its deadline.
func (r ranker) urgent(call *Waiting) bool {
	if r.options.NoDeadline || call.Deadline.IsZero() {
		return false
	}
	slack := call.Deadline.Sub(r.now) - r.alone(call)
	return slack <= urgentSlack
}

func (r ranker) overuse(tenant id.Tenant) int {
	served := r.served[tenant]
	if r.mean == 0 || served <= shareTolerance*r.mean {
		return 0
	}
	return 1 + int(math.Log2(served/(shareTolerance*r.mean)))
}

// alone is the time that the program would still need without any waiting.
func (r ranker) alone(call *Waiting) time.Duration {
	tokens := call.Work()
	switch {
	case call.Remaining > 0 && !r.options.NoRemaining:
		tokens = max(tokens, call.Remaining)
	case !r.options.NoAttained:
		// Without an estimate a program is expected to need as much again as it
		// has had, as sizes with a long tail do.
		tokens = max(tokens, call.Attained)
	}
	return time.Duration(float64(tokens) / serviceRate * float64(time.Second))
}

// response is the ratio of the latency that the program would have, if served
// now, to the service that it still needs. Short programs start high and long
// ones rise with age, so neither starves.
func (r ranker) response(call *Waiting) float64 {
	alone := max(r.alone(call), time.Millisecond)
	if r.options.NoAge {
		return 1 / alone.Seconds()
	}
	started := call.Started
	if started.IsZero() || started.After(call.Enqueued) {
		started = call.Enqueued
	}
	age := max(r.now.Sub(started), 0)
	return (age + alone).Seconds() / alone.Seconds()
}

// compare orders ranks: aged calls by arrival; the others by priority, urgency,
// later turns before first calls, share, response ratio and arrival. A later
// turn's program has memory already, which it gives back the sooner it ends.
func compare(a, b rank) int {
	if a.aged != b.aged {
		return firstIf(a.aged)
	}
	if a.aged {
		return compareArrival(a, b)
	}
	if order := cmp.Compare(b.call.Priority, a.call.Priority); order != 0 {
		return order
	}
	if a.urgent != b.urgent {
		return firstIf(a.urgent)
	}
	if a.first != b.first {
		return firstIf(b.first)
	}
	if order := cmp.Compare(a.overuse, b.overuse); order != 0 {
		return order
	}
	if order := cmp.Compare(b.response, a.response); order != 0 {
		return order
	}
	return compareArrival(a, b)
}

func compareFirstCome(a, b rank) int { return compareArrival(a, b) }

func compareArrival(a, b rank) int {
	if order := a.call.Enqueued.Compare(b.call.Enqueued); order != 0 {
		return order
	}
	return cmp.Compare(a.call.Request, b.call.Request)
}

func firstIf(condition bool) int {
	if condition {
		return -1
	}
	return 1
}

func comparison(options Options) func(a, b rank) int {
	if options.Policy == FirstCome {
		return compareFirstCome
	}
	return compare
}

// order ranks the waiting calls, the one to start next first.
func order(now time.Time, snapshot Snapshot, waiting []*Waiting, options Options) []rank {
	ranker := newRanker(now, snapshot, options)
	ranked := make([]rank, 0, len(waiting))
	for _, call := range waiting {
		ranked = append(ranked, ranker.rank(call))
	}
	slices.SortFunc(ranked, comparison(options))
	return ranked
}

// Queue sums up waiting calls.
type Queue struct {
	Calls     int
	Need      int // tokens of memory
	FirstNeed int // the part of Need that is of first calls
	Prefill   int // tokens that are not cached
}

// Ahead sums up the waiting calls that would start before call.
func Ahead(now time.Time, snapshot Snapshot, options Options, call Waiting) Queue {
	options = options.withDefaults()
	ranker := newRanker(now, snapshot, options)
	compare := comparison(options)
	own := ranker.rank(&call)
	var ahead Queue
	for index := range snapshot.Waiting {
		other := &snapshot.Waiting[index]
		if compare(ranker.rank(other), own) <= 0 {
			ahead.Calls++
			ahead.Need += other.Need()
			if other.first() {
				ahead.FirstNeed += other.Need()
			}
			ahead.Prefill += other.Prompt - other.Cached
		}
	}
	return ahead
}
