package backend

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cloverwheel/cloverwheel/internal/eligibility"
	"github.com/cloverwheel/cloverwheel/internal/locality"
	"github.com/cloverwheel/cloverwheel/internal/outlier"
)

const (
	// sampleTTL is the age at which unreported observations are dropped.
	sampleTTL = 2 * time.Second
	// minVerdictTTL is the least time for which a verdict stays valid.
	minVerdictTTL = time.Second
	// maxVerdictTTL is the longest time, since the node that issues verdicts may be lost.
	maxVerdictTTL = 3 * time.Second
	// verdictPrecedence is the age up to which a verdict overrides newer observations of this node.
	verdictPrecedence = 500 * time.Millisecond
	// trialTTL is how long a trial may wait for a suitable request. During the first
	// retryableOnlyPeriod it is reserved for requests that can be retried at another worker.
	trialTTL            = 800 * time.Millisecond
	retryableOnlyPeriod = 200 * time.Millisecond
	// maxCost and maxSlowness bound the values of a verdict.
	maxCost     = time.Second
	maxSlowness = 100
)

// observations are this node's unreported observations of a worker.
type observations struct {
	since          time.Time // time of the first one; zero: none
	requests       int
	failures       int
	timeouts       int // requests whose first event was overdue
	tokenSamples   int
	tokenTimeTotal time.Duration // sum over tokenSamples
}

// verdict is the current assessment of a worker by all nodes together.
type verdict struct {
	receivedAt   time.Time // zero: there is no verdict
	ejectedUntil time.Time // until then the worker gets only trials
	expiresAt    time.Time
	slowness     float64 // time per token as a multiple of the usual one; 0: not slow
	cost         time.Duration
}

// inForce reports whether a verdict applies, given the time of this node's newest observation.
func (v verdict) inForce(observed, now time.Time) bool {
	if !now.Before(v.expiresAt) {
		return false
	}
	return now.Sub(v.receivedAt) < verdictPrecedence || !observed.After(v.receivedAt)
}

// unreportedWorkers is the set of workers with unreported observations, by service. Its mutex may be
// locked while a worker's is held.
type unreportedWorkers struct {
	mutex    sync.Mutex
	services map[string]map[*Worker]struct{}
}

// trials are the trial requests assigned to this node. A worker's mutex may be locked while that of
// trials is held.
type trials struct {
	mutex sync.Mutex
	all   []trial
	count atomic.Int32
}

// trial is the right to send one request to an ejected worker, to find out whether it has recovered.
type trial struct {
	worker *Worker
	until  time.Time
}

func (u *unreportedWorkers) add(worker *Worker) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	workers, ok := u.services[worker.service]
	if !ok {
		workers = map[*Worker]struct{}{}
		u.services[worker.service] = workers
	}
	workers[worker] = struct{}{}
}

func (u *unreportedWorkers) drop(worker *Worker) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	delete(u.services[worker.service], worker)
}

func (u *unreportedWorkers) take(service string) map[*Worker]struct{} {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	workers := u.services[service]
	delete(u.services, service)
	return workers
}

func (t *trials) add(worker *Worker, until time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.all = slices.DeleteFunc(t.all, func(existing trial) bool { return existing.worker == worker })
	t.all = append(t.all, trial{worker: worker, until: until})
	t.count.Store(int32(len(t.all)))
}

// take removes the first trial for which suitable is true and returns its worker. It drops expired trials.
func (t *trials) take(now time.Time, suitable func(trial) bool) (*Worker, bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.all = slices.DeleteFunc(t.all, func(existing trial) bool { return !now.Before(existing.until) })
	var worker *Worker
	if index := slices.IndexFunc(t.all, suitable); index >= 0 {
		worker = t.all[index].worker
		t.all = slices.Delete(t.all, index, index+1)
	}
	t.count.Store(int32(len(t.all)))
	return worker, worker != nil
}

// observe returns the worker's unreported observations, starting anew if there are none or they are
// too old. The caller holds the worker's mutex.
func (w *Worker) observe(now time.Time) *observations {
	if now.Sub(w.unreported.since) > sampleTTL {
		w.unreported = observations{since: now}
		if !w.removed {
			w.registry.unreported.add(w)
		}
	}
	return &w.unreported
}

// recordOutcome counts a request that has ended. The caller holds the worker's mutex.
func (w *Worker) recordOutcome(now time.Time, failures int) {
	observed := w.observe(now)
	observed.requests++
	observed.failures += failures
}

// RecordTimeout records a request whose first event is overdue.
func (w *Worker) RecordTimeout(now time.Time) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.observe(now).timeouts++
}

// takeSample returns and resets the unreported observations; ok is false if there are none.
func (w *Worker) takeSample(now time.Time) (sample outlier.Sample, ok bool) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	observed := w.unreported
	w.unreported = observations{}
	if observed.since.IsZero() || now.Sub(observed.since) > sampleTTL {
		return sample, false
	}
	sample = outlier.Sample{
		Worker: w.key, Requests: observed.requests, Failures: observed.failures,
		Silences: observed.timeouts, Paced: observed.tokenSamples,
	}
	if observed.tokenSamples > 0 {
		sample.Pace = observed.tokenTimeTotal / time.Duration(observed.tokenSamples)
	}
	return sample, true
}

// TakeSamples returns the observations of a service's workers since the last call. Observations older
// than sampleTTL are dropped.
func (r *Registry) TakeSamples(service string) []outlier.Sample {
	now := r.options.Now()
	var samples []outlier.Sample
	for worker := range r.unreported.take(service) {
		if sample, ok := worker.takeSample(now); ok {
			samples = append(samples, sample)
		}
	}
	return samples
}

// ApplyVerdicts applies verdicts that combine the observations of all nodes.
func (r *Registry) ApplyVerdicts(verdicts []outlier.Verdict) {
	now := r.options.Now()
	for _, received := range verdicts {
		worker, ok := r.byKey(received.Worker)
		if !ok {
			continue
		}
		worker.setVerdict(received, now)
		if received.Trial {
			r.trials.add(worker, now.Add(trialTTL))
		}
	}
}

// setVerdict replaces the worker's verdict. Out-of-range values are limited.
func (w *Worker) setVerdict(received outlier.Verdict, now time.Time) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if received.Clear() && !w.verdict.receivedAt.IsZero() {
		w.tokenTime = 0 // it was measured while the worker was impaired
	}
	if received.Clear() {
		w.verdict = verdict{}
		return
	}
	until := min(max(received.Until, 0), maxVerdictTTL)
	next := verdict{receivedAt: now, ejectedUntil: now.Add(until), expiresAt: now.Add(max(until, minVerdictTTL))}
	if received.Slow > 1 {
		next.slowness = min(received.Slow, maxSlowness)
	}
	next.cost = min(max(received.Cost, 0), maxCost)
	w.verdict = next
}

// ejected reports whether a verdict excludes the worker from all requests except trials. The caller
// holds its mutex.
func (w *Worker) ejected(now time.Time) bool {
	return now.Before(w.verdict.ejectedUntil) && w.verdict.inForce(w.lastOutcomeAt, now)
}

// cost returns the extra cost that the verdict predicts for a request to this worker, and its time per
// token as a multiple of the usual one. Zero means that no verdict applies. The caller holds the
// worker's mutex.
func (w *Worker) cost(now time.Time) (cost time.Duration, slowness float64) {
	if w.verdict.inForce(w.lastOutcomeAt, now) {
		cost = w.verdict.cost
	}
	if w.verdict.inForce(w.tokenTimeAt, now) {
		slowness = w.verdict.slowness
	}
	return cost, slowness
}

// slowness returns the worker's time per token as a multiple of the usual one, by the verdict of all
// nodes; 0: no verdict applies.
func (w *Worker) slowness(now time.Time) float64 {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	_, slowness := w.cost(now)
	return slowness
}

// Ejected reports whether the verdict of all nodes excludes the worker from all requests except trials.
func (w *Worker) Ejected(now time.Time) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.ejected(now)
}

// TakeTrial returns a worker that the request should try on behalf of all nodes. Suitable requests have no
// cached context at another worker and can be retried elsewhere. If none arrives within
// retryableOnlyPeriod, a program's first turn is used, since it has no cached context. Each trial is used once.
func (r *Registry) TakeTrial(query Query) (*Worker, bool) {
	if r.trials.count.Load() == 0 || !query.Retryable && !query.FirstTurn || len(query.Only) > 0 {
		return nil, false
	}
	now := r.options.Now()
	return r.trials.take(now, func(trial trial) bool {
		worker := trial.worker
		return (query.Retryable || trial.until.Sub(now) <= trialTTL-retryableOnlyPeriod) && worker.service == query.Service && worker.distance != locality.OtherRegion &&
			(query.Home == "" || query.Home == worker.key) &&
			!slices.Contains(query.Exclude, worker.key) &&
			r.Check(worker, query.request()) == eligibility.Allowed && worker.triable(now)
	})
}

// triable reports whether the worker is listed and this node neither avoids it nor was refused by it
// within busyPeriod.
func (w *Worker) triable(now time.Time) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return !w.removed && !now.Before(w.avoidUntil) && !now.Before(w.busyUntil)
}
