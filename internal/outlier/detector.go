package outlier

import (
	"slices"
	"time"
)

const (
	// evaluationInterval is the minimum time between two evaluations of an unchanged group.
	evaluationInterval = 100 * time.Millisecond
	// minVerdictDuration is the minimum duration of an ejection verdict, for nodes that receive no
	// later one.
	minVerdictDuration = time.Second
	// clearNoticeDuration is how long clear verdicts are sent after the last restrictive one.
	clearNoticeDuration = 3 * time.Second
	// stateTTL is how long the state of a node or worker is kept after its last report.
	stateTTL = 10 * time.Second
	// maxWorkers and maxNodes bound a detector: workers, and reporting nodes per worker.
	maxWorkers = 2048
	maxNodes   = 256
)

// Reason is why a worker was ejected or readmitted. Its values are metric labels.
type Reason string

// Reasons for a Change.
const (
	TooManyFailures Reason = "failing" // ejected: it fails clearly more requests than the others of its group
	TrialFailed     Reason = "tried"   // ejected for longer: a trial failed
	TrialsSucceeded Reason = "sound"   // readmitted: its trials succeeded
	CapacityNeeded  Reason = "needed"  // readmitted: the other workers lack capacity for the load
	NoTrialOutcome  Reason = "untried" // readmitted: no trial outcome was reported in time
)

// Change is a decision about a worker, for logs and metrics.
type Change struct {
	Worker      string // key of the worker's incarnation
	Ejected     bool   // false: it is readmitted
	Reason      Reason
	FailureRate float64       // the worker's failure rate, from 0 to 1
	Requests    float64       // decayed number of requests behind the decision
	Nodes       int           // number of nodes that saw failures
	TrialDelay  time.Duration // until the next trial, if Ejected
	EjectedFor  time.Duration // since the ejection
	Utilization float64       // utilization of the group's capacity; above 1 if requests are queued
}

// Event returns the name of the decision, for log messages and metric labels: "ejected", "tried
// again" if a failed trial lengthened the ejection, or "back".
func (c Change) Event() string {
	switch {
	case !c.Ejected:
		return "back"
	case c.Reason == TrialFailed:
		return "tried again"
	default:
		return "ejected"
	}
}

// Detector merges the reports of all nodes about the workers of one group and decides which workers
// are ejected. It is not safe for concurrent use.
type Detector struct {
	onChange    func(Change)
	workers     map[string]*worker // by key
	trust       map[string]float64 // by node, 0 to 1; nodes that are fully trusted are absent
	utilization float64            // of the group's capacity
	lastGroup   []string           // worker keys of the last evaluation
	evaluatedAt time.Time
	sweptAt     time.Time
}

// worker is the state of one incarnation of a worker.
type worker struct {
	key           string
	byNode        map[string]*nodeStats // reports by node
	recent        decayingCounts        // requests outside ejections, weighted by trust
	lastReport    time.Time
	evidence      evidence  // as of the last evaluation
	tokenTime     float64   // median over nodes in nanoseconds; 0: unknown
	slowdown      float64   // relative to the group's median; 0: not slow
	tokenTimeAt   time.Time // when tokenTime was last known
	nextSlowTrial time.Time // earliest time of the next trial of a slow worker
	cost          time.Duration
	suspected     bool // failures were reported and the suspicion has not been cleared
	ejection      *ejection
	lastDelay     time.Duration // trial delay of the last ejection
	readmittedAt  time.Time     // end of the last ejection
	lastAdverse   time.Time     // when the last restrictive verdict was returned
}

// New returns a Detector without reports. onChange is called for each decision; nil: not called.
func New(onChange func(Change)) *Detector {
	if onChange == nil {
		onChange = func(Change) {}
	}
	return &Detector{onChange: onChange, workers: map[string]*worker{}, trust: map[string]float64{}}
}

// SetUtilization sets the utilization of the group's capacity; above 1 if requests are queued.
// Until it is called, utilization counts as 0, which never prevents an ejection.
func (d *Detector) SetUtilization(share float64) { d.utilization = share }

// Add merges the report of the node from. It ignores invalid samples, and workers beyond
// maxWorkers.
func (d *Detector) Add(from string, samples []Sample, now time.Time) {
	trust := d.trustIn(from)
	for _, sample := range samples {
		if w := d.findOrAddWorker(sample.Worker); w != nil && valid(sample) {
			d.addSample(w, from, sample, trust, now)
		}
	}
	d.sweep(now)
}

// valid reports whether a sample's counts are consistent. Samples come from other processes.
func valid(sample Sample) bool {
	return sample.Failures >= 0 && sample.Requests >= sample.Failures && sample.Silences >= 0 &&
		sample.Paced >= 0 && sample.Pace >= 0
}

// findOrAddWorker returns the state of a worker, or nil if the detector is full.
func (d *Detector) findOrAddWorker(key string) *worker {
	w, ok := d.workers[key]
	if !ok && len(d.workers) < maxWorkers {
		w = &worker{key: key, byNode: map[string]*nodeStats{}}
		d.workers[key] = w
	}
	return w
}

// addSample merges one sample. While the worker is ejected, its requests count as trials, if the
// node is trusted.
func (d *Detector) addSample(w *worker, from string, sample Sample, trust float64, now time.Time) {
	requests, failures, late := float64(sample.Requests), float64(sample.Failures), float64(sample.Silences)
	w.lastReport = now
	stats, ok := w.byNode[from]
	if !ok {
		if len(w.byNode) >= maxNodes {
			return
		}
		stats = &nodeStats{}
		w.byNode[from] = stats
	}
	stats.lastReport = now
	stats.spread.add(requests, failures, late, 1, now, spreadHalfLife)
	if sample.Paced > 0 && sample.Pace > 0 {
		stats.tokenTime.add(sample.Pace, float64(sample.Paced), now)
	}
	if w.ejection == nil {
		w.recent.add(requests, failures, late, trust, now, recentHalfLife)
		w.suspected = w.suspected || failures > 0
		if w.suspected {
			stats.suspicion.add(requests, failures, late, 1, now, suspicionHalfLife)
		}
		return
	}
	if trust >= minTrialTrust {
		d.addTrialOutcome(w, sample, now)
	}
}

// addTrialOutcome processes the outcomes of an ejected worker's trials. It reports a failure only
// if it lengthens the trial delay.
func (d *Detector) addTrialOutcome(w *worker, sample Sample, now time.Time) {
	before := w.ejection.delay
	if w.ejection.recordOutcome(sample.Requests, sample.Failures, now) {
		d.readmit(w, TrialsSucceeded, now)
		return
	}
	if w.ejection.delay != before {
		d.notify(w, true, TrialFailed, now)
	}
}

func (d *Detector) eject(candidate evidence, now time.Time) {
	w := candidate.worker
	w.ejection = newEjection(candidate.failureRate, delayAfter(w.lastDelay, w.readmittedAt, now), now)
	w.lastDelay = w.ejection.delay
	d.notify(w, true, TooManyFailures, now)
}

func (d *Detector) readmit(w *worker, reason Reason, now time.Time) {
	d.notify(w, false, reason, now)
	w.lastDelay = w.ejection.delay
	w.ejection = nil
	w.readmittedAt = now
	w.recent = decayingCounts{}
	w.clearSuspicion()
}

func (d *Detector) notify(w *worker, ejected bool, reason Reason, now time.Time) {
	d.onChange(Change{
		Worker: w.key, Ejected: ejected, Reason: reason, FailureRate: w.ejection.failureRate,
		Requests: w.evidence.weight, Nodes: w.evidence.nodes, TrialDelay: w.ejection.delay,
		EjectedFor: now.Sub(w.ejection.since), Utilization: d.utilization,
	})
}

// Verdicts returns the verdicts on a group's workers for one node: the restrictive ones, and for
// clearNoticeDuration afterwards the clear ones. Each trial is offered to a single caller, so the
// result must be sent to one node only.
func (d *Detector) Verdicts(workers []string, now time.Time) []Verdict {
	d.evaluateIfDue(workers, now)
	var verdicts []Verdict
	for _, key := range workers {
		w, ok := d.workers[key]
		if !ok {
			continue
		}
		verdict := w.verdict(now)
		if !verdict.Clear() {
			w.lastAdverse = now
		}
		if !w.lastAdverse.IsZero() && now.Sub(w.lastAdverse) < clearNoticeDuration {
			verdicts = append(verdicts, verdict)
		}
	}
	return verdicts
}

func (d *Detector) evaluateIfDue(workers []string, now time.Time) {
	if now.Sub(d.evaluatedAt) >= evaluationInterval || !slices.Equal(workers, d.lastGroup) {
		d.evaluate(workers, now)
	}
}

func (d *Detector) evaluate(workers []string, now time.Time) {
	d.evaluatedAt, d.lastGroup = now, slices.Clone(workers)
	members := make([]*worker, 0, len(workers))
	for _, key := range workers {
		if member := d.findOrAddWorker(key); member != nil {
			members = append(members, member)
		}
	}
	d.updateTrust(members, now)
	d.evaluateFailures(members, now)
	d.evaluateTokenTimes(members, now)
}

func (w *worker) verdict(now time.Time) Verdict {
	verdict := Verdict{Worker: w.key, Slow: w.slowdown, Cost: w.cost}
	if w.ejection == nil {
		verdict.Trial = w.offerSlowTrial(now)
		return verdict
	}
	untilTrial := min(w.ejection.nextTrial.Sub(now), w.ejection.delay) // more than the delay if the clock stepped back
	verdict.Until = max(untilTrial, minVerdictDuration)
	verdict.Trial = w.ejection.offerTrial(now)
	return verdict
}

// sweep removes the state of nodes and workers without recent reports.
func (d *Detector) sweep(now time.Time) {
	if now.Sub(d.sweptAt) < stateTTL/4 {
		return
	}
	d.sweptAt = now
	for key, w := range d.workers {
		for node, stats := range w.byNode {
			if now.Sub(stats.lastReport) > stateTTL {
				delete(w.byNode, node)
			}
		}
		if w.ejection == nil && now.Sub(w.lastReport) > stateTTL {
			delete(d.workers, key)
		}
	}
}
