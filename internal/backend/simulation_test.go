package backend

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cloverwheel/cloverwheel/internal/outlier"
)

const (
	tick            = 10 * time.Millisecond
	reportInterval  = 100 * time.Millisecond
	requestTime     = 150 * time.Millisecond // from sending a request to its end
	tokenSamples    = 3                      // token times measured per request
	normalTokenTime = 3 * time.Millisecond
	faultStart      = 3 * time.Second // requests sent earlier are not counted
	faultEnd        = faultStart + 6500*time.Millisecond
)

// load describes the requests that nodes send to a service's workers, and the workers' faults.
type load struct {
	nodes, workers int
	perSecond      int                                        // requests of all nodes
	fails          func(worker int, at time.Duration) float64 // probability that a request fails
	refuses        func(worker int, at time.Duration) bool    // whether the worker refuses connections
	slow           func(worker int, at time.Duration) float64 // multiple of the normal time
}

// baseLoad is the load of 77 nodes on 45 workers.
func baseLoad() load {
	return load{
		nodes: 77, workers: 45, perSecond: 1200,
		fails:   func(int, time.Duration) float64 { return 0.01 },
		refuses: func(int, time.Duration) bool { return false },
		slow:    func(int, time.Duration) float64 { return 1 },
	}
}

// result counts requests sent during the faults.
type result struct {
	sent, failed, slowed int // slowed: sent to slow workers
	ejected              map[string]bool
}

func (c result) failureRate() float64 { return float64(c.failed) / float64(c.sent) }

// simulate runs the load with a registry per node. If together is set, the nodes report their samples
// to a common detector and apply its verdicts.
func (l load) simulate(t *testing.T, seed uint64, together bool) result {
	random := rand.New(rand.NewPCG(seed, 1))
	at, start := time.Duration(0), time.Unix(1000, 0)
	clock := func() time.Time { return start.Add(at) }
	got := result{ejected: map[string]bool{}}
	detector := outlier.New(func(change outlier.Change) {
		if change.Ejected {
			got.ejected[change.Worker] = true
		}
	})
	detector.SetUtilization(0.6)
	registries := make([]*Registry, l.nodes)
	for node := range registries {
		registries[node] = newTestRegistry(Options{Now: clock, Node: fmt.Sprint(node)}, l.workers)
	}
	keys := registries[0].IDs()
	slices.Sort(keys)
	type event struct {
		due time.Duration
		run func()
	}
	var events []event
	for ; at < faultEnd; at += tick {
		events = slices.DeleteFunc(events, func(e event) bool {
			if e.due <= at {
				e.run()
			}
			return e.due <= at
		})
		for range l.perSecond * int(tick) / int(time.Second) {
			registry := registries[random.IntN(l.nodes)]
			chosen, err := registry.Choose(modelCall(func(q *Query) { q.Service, q.Key, q.Retryable = "s", fmt.Sprint(random.Uint64()), true }))
			require.NoError(t, err)
			took := l.duration(chosen, at)
			for piece := range time.Duration(tokenSamples) {
				events = append(events, event{due: at + (piece+1)*took/(tokenSamples+1), run: l.recordTokenTime(chosen, at)})
			}
			events = append(events, event{due: at + took, run: l.outcome(chosen, at, random, &got)})
		}
		for node, registry := range registries {
			if !together || (at/tick+time.Duration(node))%(reportInterval/tick) != 0 {
				continue
			}
			detector.Add(fmt.Sprint(node), registry.TakeSamples("s"), clock())
			registry.ApplyVerdicts(detector.Verdicts(keys, clock()))
		}
	}
	return got
}

// workerIndex returns the number in a worker's key.
func workerIndex(worker *Worker) (index int) {
	_, _ = fmt.Sscanf(worker.Key(), "w%d", &index)
	return index
}

// recordTokenTime returns a function that records a token time of a request sent at the given time.
func (l load) recordTokenTime(worker *Worker, sent time.Duration) func() {
	if l.refuses(workerIndex(worker), sent) {
		return func() {}
	}
	return func() {
		worker.RecordTokenTime(time.Duration(l.slow(workerIndex(worker), sent) * float64(normalTokenTime)))
	}
}

// duration returns how long a request takes that is sent to a worker at the given time.
func (l load) duration(worker *Worker, at time.Duration) time.Duration {
	if l.refuses(workerIndex(worker), at) {
		return tick
	}
	return time.Duration(l.slow(workerIndex(worker), at) * float64(requestTime))
}

// outcome returns a function that ends a request and records its outcome.
func (l load) outcome(worker *Worker, at time.Duration, random *rand.Rand, got *result) func() {
	end := worker.Begin()
	index := workerIndex(worker)
	refused, failed := l.refuses(index, at), random.Float64() < l.fails(index, at)
	slow := l.slow(index, at)
	if at >= faultStart {
		got.sent++
		if refused || failed {
			got.failed++
		}
		if slow > 1 {
			got.slowed++
		}
	}
	return func() {
		end()
		now := worker.registry.options.Now()
		switch {
		case refused:
			worker.RecordUnreachable(now)
		case failed:
			worker.RecordFailure(now)
		default:
			worker.RecordSuccess()
		}
	}
}

// With shared observations, faults must affect at most half as many requests as when each node detects
// them on its own. Ejections must match the faulty workers.
func TestSharedObservationsReduceFailures(t *testing.T) {
	faulty := func(bad int) func(worker int, at time.Duration) bool {
		return func(worker int, at time.Duration) bool { return worker < bad && at >= faultStart && at < faultEnd }
	}
	for name, test := range map[string]struct {
		bad      int
		change   func(*load)
		affected func(result) float64
		slow     bool
	}{
		"14% fail 45%": {bad: 6, change: func(l *load) {
			l.fails = func(worker int, at time.Duration) float64 {
				if faulty(6)(worker, at) {
					return 0.45
				}
				return 0.01
			}
		}, affected: func(c result) float64 { return c.failureRate() - 0.01 }},
		"10% go up and down every 1.4 s": {bad: 5, change: func(l *load) {
			l.refuses = func(worker int, at time.Duration) bool {
				return faulty(5)(worker, at) && (at-faultStart)/(1400*time.Millisecond)%2 == 0
			}
		}, affected: func(c result) float64 { return c.failureRate() - 0.01 }},
		"16% are five times slower": {bad: 7, slow: true, change: func(l *load) {
			l.slow = func(worker int, at time.Duration) float64 {
				if faulty(7)(worker, at) {
					return 5
				}
				return 1
			}
		}, affected: func(c result) float64 { return float64(c.slowed) }},
	} {
		t.Run(name, func(t *testing.T) {
			l := baseLoad()
			test.change(&l)
			alone, together := l.simulate(t, 1, false), l.simulate(t, 1, true)
			t.Logf("independent nodes: sent %d, failure rate %.4f, to slow workers %d; shared observations: sent %d, failure rate %.4f, to slow workers %d, ejected %v",
				alone.sent, alone.failureRate(), alone.slowed, together.sent, together.failureRate(), together.slowed, together.ejected)
			require.Less(t, test.affected(together), test.affected(alone)/2)
			if test.slow {
				require.Empty(t, together.ejected)
				return
			}
			require.Len(t, together.ejected, test.bad)
			for worker := range test.bad {
				require.True(t, together.ejected[fmt.Sprint("w", worker)])
			}
		})
	}
}
