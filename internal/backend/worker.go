// Package backend tracks the workers of each service and chooses one for each request. It holds the
// worker list, this node's recent outcomes and latencies with each worker, and the connection pools.
// Load is inferred from the node's own requests; workers are not polled for it. Verdicts that
// combine the observations of all nodes are applied as they arrive.
package backend

import (
	"math"
	"sync"
	"time"

	"github.com/cloverwheel/cloverwheel/internal/httpconn"
	"github.com/cloverwheel/cloverwheel/internal/locality"
)

// Weights and limits for a worker's recent outcomes.
const (
	failureWeight           = 0.2                     // of the newest outcome in the failure rate
	failureHalfLife         = 1500 * time.Millisecond // of the failure rate
	tokenTimeWeight         = 0.2                     // of the newest sample in the time per token
	minAvoidance            = 800 * time.Millisecond  // the first period; it doubles up to maxAvoidance
	maxAvoidance            = 3 * time.Second
	busyPeriod              = 60 * time.Millisecond // after a refusal for lack of capacity
	failuresBeforeAvoidance = 3                     // consecutive
)

// Worker is one process of a worker, with this node's observations of it. A restarted
// worker gets a new Worker. It is safe for concurrent use.
type Worker struct {
	registry *Registry
	// Taken from its first entry. An entry in which one of them differs describes another
	// process.
	id, key, service, zone, version string
	distance                        locality.Distance

	mutex               sync.Mutex
	record              Record
	warmth              warmth
	pool                *httpconn.Pool // nil: no request was sent to it yet
	servesUntil         time.Time      // if it is draining: until when requests that no other worker can serve may be sent to it; zero: they may not
	removed             bool           // no longer on the worker list
	replaced            bool           // another process has started under the same ID
	running             int
	failureRate         float64 // exponentially weighted, as of failureRateAt; it decays with time
	failureRateAt       time.Time
	consecutiveFailures int
	avoidFor            time.Duration // last avoidance period; 0: none since the last success
	avoidUntil          time.Time
	busyUntil           time.Time     // until then it counts as at capacity
	tokenTime           time.Duration // average time per output token; 0: unknown
	lastOutcomeAt       time.Time     // end of the newest request that counts as an outcome of the worker
	tokenTimeAt         time.Time     // when tokenTime was last updated
	unreported          observations  // not yet reported to the group's owner
	verdict             verdict
	// lastServed holds, by priority, the newest send time among the requests that the worker
	// has begun to answer; nil: none.
	lastServed *[Priorities]time.Time
}

// Priorities is the number of request priorities; 0 is the most urgent.
const Priorities = 10

// Record returns the worker's current entry in the worker list.
func (w *Worker) Record() Record {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.record
}

// Key identifies this process of the worker. It is the same on all nodes.
func (w *Worker) Key() string { return w.key }

// Pool returns the worker's connection pool, creating it on first use, since a node sends requests to
// few of the workers that it lists, and the pools of 10,000 take 4 MB.
func (w *Worker) Pool() *httpconn.Pool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.pool == nil {
		w.pool = w.registry.pool(w.record)
		if w.removed {
			w.pool.Close()
		}
	}
	return w.pool
}

// update applies an entry that is not older than the current one. It reports whether anything
// but the revision changed.
func (w *Worker) update(record Record, now time.Time) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if record.Revision > w.record.Revision || record != w.record {
		w.warmth.updateFromEntry(record, now)
	}
	before := w.record
	w.updateDraining(record)
	w.record = record
	before.Revision = record.Revision
	return before != record
}

// markRemoved records that the worker is no longer on the worker list and closes its pool.
func (w *Worker) markRemoved() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.removed = true
	w.registry.unreported.drop(w)
	if w.pool != nil {
		w.pool.Close()
	}
}

// markReplaced records that another process has started under the worker's ID.
func (w *Worker) markReplaced() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.replaced = true
}

// Replaced reports whether another process has started under the worker's ID, so that this one
// has ended.
func (w *Worker) Replaced() bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.replaced
}

// Leaving reports whether the worker is draining or off the worker list, so that it gets no work that other workers can do.
func (w *Worker) Leaving() bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.removed || w.record.Draining
}

// Begin counts a request as running until the returned function is called.
func (w *Worker) Begin() (end func()) {
	w.mutex.Lock()
	w.running++
	w.mutex.Unlock()
	return sync.OnceFunc(func() {
		w.mutex.Lock()
		w.running--
		w.mutex.Unlock()
	})
}

// RecordSuccess records a complete, successful answer.
func (w *Worker) RecordSuccess() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	now := w.registry.options.Now()
	w.lastOutcomeAt = now
	w.recordOutcome(now, 0)
	w.failureRate -= w.failureRate * failureWeight
	w.consecutiveFailures = 0
	w.avoidFor = 0
	w.avoidUntil = time.Time{}
}

// RecordServed records that the worker has begun to answer a request that was sent at the given time.
func (w *Worker) RecordServed(sent time.Time, priority int) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.lastServed == nil {
		w.lastServed = new([Priorities]time.Time)
	}
	if sent.After(w.lastServed[priority]) {
		w.lastServed[priority] = sent
	}
}

// Overtaken reports whether the worker has begun to answer a request of the same or a lower
// priority that was sent after the given time. A request sent at that time and still unanswered is
// then assumed to be lost rather than queued.
func (w *Worker) Overtaken(sent time.Time, priority int) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.lastServed == nil {
		return false
	}
	for _, other := range w.lastServed[priority:] {
		if other.After(sent) {
			return true
		}
	}
	return false
}

// RecordTokenTime records the time that one token of a stream took.
func (w *Worker) RecordTokenTime(took time.Duration) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	now := w.registry.options.Now()
	w.tokenTimeAt = now
	observed := w.observe(now)
	observed.tokenSamples++
	observed.tokenTimeTotal += took
	w.tokenTime = average(w.tokenTime, took)
}

// RecordRefusal records that the worker refused a request because it is at capacity.
func (w *Worker) RecordRefusal(now time.Time) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.busyUntil = now.Add(busyPeriod)
}

// RecordFailure records an answer that was truncated, malformed or an error.
func (w *Worker) RecordFailure(now time.Time) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.addFailure(now)
	w.consecutiveFailures++
	if w.consecutiveFailures >= failuresBeforeAvoidance {
		w.avoid(now)
	}
}

// RecordUnreachable records a failed connection attempt, or a connection that stopped responding.
func (w *Worker) RecordUnreachable(now time.Time) {
	w.mutex.Lock()
	w.addFailure(now)
	w.avoid(now)
	w.mutex.Unlock()
	w.registry.reportUnreachable(w)
}

// extendAvoidance avoids the worker until at least the given time.
func (w *Worker) extendAvoidance(until time.Time) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if until.After(w.avoidUntil) {
		w.avoidUntil = until
	}
}

// markReachable records that a connection could be opened again, and ends the avoidance.
func (w *Worker) markReachable() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.avoidFor = 0
	w.avoidUntil = time.Time{}
}

func (w *Worker) addFailure(now time.Time) {
	rate := w.currentFailureRate(now)
	w.failureRate = rate + (1-rate)*failureWeight
	w.failureRateAt = now
	w.lastOutcomeAt = now
	w.recordOutcome(now, 1)
}

// currentFailureRate is the failure rate decayed to now. Without the decay a worker that gets
// no requests because of its failures could never show that it has recovered.
func (w *Worker) currentFailureRate(now time.Time) float64 {
	if w.failureRate == 0 {
		return 0
	}
	return w.failureRate * math.Exp2(-float64(now.Sub(w.failureRateAt))/float64(failureHalfLife))
}

// avoid starts a period in which the worker gets requests only if there is no other. The period
// doubles each time, up to maxAvoidance. avoid does nothing while such a period is running.
func (w *Worker) avoid(now time.Time) {
	if now.Before(w.avoidUntil) {
		return
	}
	w.avoidFor = min(max(2*w.avoidFor, minAvoidance), maxAvoidance)
	w.avoidUntil = now.Add(w.avoidFor)
}

// average returns the exponentially weighted average; old is 0 if there is none yet.
func average(old, newest time.Duration) time.Duration {
	if old == 0 {
		return newest
	}
	return old + time.Duration(tokenTimeWeight*float64(newest-old))
}
