// Package backend knows the workers of each service: which there are, how they
// have answered this node lately, and the connections to them. What it knows of
// their load it learns from its own requests alone; nothing is asked. What all
// nodes together have seen of a worker is told to it, and counts beside that.
package backend

import (
	"math"
	"sync"
	"time"

	"github.com/cloverwheel/cloverwheel/internal/httpconn"
	"github.com/cloverwheel/cloverwheel/internal/locality"
)

// Tuning of how a worker's past answers weigh.
const (
	failureWeight   = 0.2 // of the newest answer in the share of failures
	failureHalfLife = 1500 * time.Millisecond
	paceWeight      = 0.2 // of the newest measurement in a pace
	firstAvoid      = 800 * time.Millisecond
	longestAvoid    = 3 * time.Second
	declinedFor     = 60 * time.Millisecond
	failuresToAvoid = 3 // broken answers in a row
)

// Worker is one incarnation of a worker as this node has experienced it.
type Worker struct {
	registry *Registry
	// Of its first entry; an entry in which one differs is another process's.
	id, key, service, zone string
	distance               locality.Distance

	mutex      sync.Mutex
	record     Record
	warmth     warmth
	pool       *httpconn.Pool // nil: nothing was sent to it yet
	gone       bool           // it is not on the list any more
	succeeded  bool           // another process has started under its ID since
	running    int
	failures   float64 // share of broken answers, as of failedAt; it halves with time
	failedAt   time.Time
	inARow     int
	avoidFor   time.Duration
	avoidUntil time.Time
	busyUntil  time.Time
	step       time.Duration // between two tokens; 0: unknown
	answeredAt time.Time     // when the newest request ended whose outcome tells of the worker
	pacedAt    time.Time     // when its pace was last measured
	seen       seen          // and not told to a keeper of its group
	verdict    verdict
	// served is by priority when the newest request that was answered had been sent; nil: none was.
	served *[Priorities]time.Time
}

// Priorities is the number of priorities that a worker knows; 0 is the most urgent.
const Priorities = 10

// Record returns what the list says of the worker now.
func (w *Worker) Record() Record {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.record
}

// Key names this incarnation of the worker, alike on all nodes.
func (w *Worker) Key() string { return w.key }

// Pool holds the connections to the worker. It is made when it is first needed: a node sends to
// few of the workers that it knows, and pools of 10,000 take 4 MB.
func (w *Worker) Pool() *httpconn.Pool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.pool == nil {
		w.pool = w.registry.pool(w.record)
		if w.gone {
			w.pool.Close()
		}
	}
	return w.pool
}

// update takes over an entry that is not older than what is known. It reports whether that is
// news.
func (w *Worker) update(record Record, now time.Time) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if record.Revision > w.record.Revision || record != w.record {
		w.warmth.learnRow(record, now)
	}
	before := w.record
	w.record = record
	before.Revision = record.Revision
	return before != record
}

// leave notes that the worker is not on the list any more.
func (w *Worker) leave() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.gone = true
	w.registry.untold.drop(w)
	if w.pool != nil {
		w.pool.Close()
	}
}

// noteSuccessor notes that another process has started under the worker's ID.
func (w *Worker) noteSuccessor() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.succeeded = true
}

// Succeeded reports whether another process has started under the worker's ID since: this one
// has ended, then.
func (w *Worker) Succeeded() bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.succeeded
}

// Leaving reports whether the worker must get no new work.
func (w *Worker) Leaving() bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.gone || w.record.Draining
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

// Answered notes a whole answer.
func (w *Worker) Answered() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	now := w.registry.options.Now()
	w.answeredAt = now
	w.noteEnded(now, 0)
	w.failures -= w.failures * failureWeight
	w.inARow = 0
	w.avoidFor = 0
	w.avoidUntil = time.Time{}
}

// Serves notes that a request sent at that time begins to be answered.
func (w *Worker) Serves(sent time.Time, priority int) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.served == nil {
		w.served = new([Priorities]time.Time)
	}
	if sent.After(w.served[priority]) {
		w.served[priority] = sent
	}
}

// Overtaken reports whether the worker answers requests that were sent after this
// one and are no more urgent: it does not queue then, it has forgotten this one.
func (w *Worker) Overtaken(sent time.Time, priority int) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.served == nil {
		return false
	}
	for _, other := range w.served[priority:] {
		if other.After(sent) {
			return true
		}
	}
	return false
}

// Paced notes how long a token of a stream took.
func (w *Worker) Paced(step time.Duration) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	now := w.registry.options.Now()
	w.pacedAt = now
	known := w.note(now)
	known.paced++
	known.spent += step
	w.step = average(w.step, step)
}

// Declined notes that the worker said it is full.
func (w *Worker) Declined(now time.Time) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.busyUntil = now.Add(declinedFor)
}

// Broke notes an answer that was cut off, garbled or a failure.
func (w *Worker) Broke(now time.Time) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.addFailure(now)
	w.inARow++
	if w.inARow >= failuresToAvoid {
		w.avoid(now)
	}
}

// Unreachable notes that no connection came up, or that one fell silent.
func (w *Worker) Unreachable(now time.Time) {
	w.mutex.Lock()
	w.addFailure(now)
	w.avoid(now)
	w.mutex.Unlock()
	w.registry.noteLost(w)
}

// stayAway lets other workers come first for at least so long.
func (w *Worker) stayAway(until time.Time) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if until.After(w.avoidUntil) {
		w.avoidUntil = until
	}
}

// reached notes that a connection came up again.
func (w *Worker) reached() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.avoidFor = 0
	w.avoidUntil = time.Time{}
}

func (w *Worker) addFailure(now time.Time) {
	share := w.failureShare(now)
	w.failures = share + (1-share)*failureWeight
	w.failedAt = now
	w.answeredAt = now
	w.noteEnded(now, 1)
}

// failureShare is the share of broken answers now: without it halving, a worker
// that is passed over could not show that it is well again.
func (w *Worker) failureShare(now time.Time) float64 {
	if w.failures == 0 {
		return 0
	}
	return w.failures * math.Exp2(-float64(now.Sub(w.failedAt))/float64(failureHalfLife))
}

// avoid lengthens the time for which other workers come first.
func (w *Worker) avoid(now time.Time) {
	if now.Before(w.avoidUntil) {
		return
	}
	w.avoidFor = min(max(2*w.avoidFor, firstAvoid), longestAvoid)
	w.avoidUntil = now.Add(w.avoidFor)
}

func average(old, newest time.Duration) time.Duration {
	if old == 0 {
		return newest
	}
	return old + time.Duration(paceWeight*float64(newest-old))
}
