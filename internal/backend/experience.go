package backend

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cloverwheel/cloverwheel/internal/experience"
	"github.com/cloverwheel/cloverwheel/internal/locality"
	"github.com/cloverwheel/cloverwheel/internal/permit"
)

const (
	// sampleLasts is how old what was seen may become before it is told: older is dropped.
	sampleLasts = 2 * time.Second
	// verdictLasts is for how long a verdict without a time of its own counts.
	verdictLasts = time.Second
	// longestVerdict bounds for how long any counts: its keeper may be lost.
	longestVerdict = 3 * time.Second
	// freshVerdict is up to which age a verdict comes before what this node has seen since.
	freshVerdict = 500 * time.Millisecond
	// trialLasts is for how long a trial may wait for a request that may make it, and spareOnly for
	// how long it is for those that may fail there and go elsewhere.
	trialLasts = 800 * time.Millisecond
	spareOnly  = 200 * time.Millisecond
	// largestCost and largestSlowness bound what a verdict may claim.
	largestCost     = time.Second
	largestSlowness = 100
)

// seen is what this node has seen of a worker and not told yet.
type seen struct {
	since    time.Time // of the first of it; zero: nothing is there to tell
	requests int
	failures int
	silences int
	paced    int
	spent    time.Duration // on the tokens paced
}

// verdict is what all nodes together say of a worker.
type verdict struct {
	at       time.Time // when it came; zero: none did
	until    time.Time // for how long the worker gets no requests but trials
	lapses   time.Time
	slowness float64 // of a token, as a multiple of what one takes elsewhere; 0: alike
	cost     time.Duration
}

// inForce reports whether a verdict counts, given when this node last saw the worker for itself.
func (v verdict) inForce(seen, now time.Time) bool {
	if !now.Before(v.lapses) {
		return false
	}
	return now.Sub(v.at) < freshVerdict || !seen.After(v.at)
}

// untold are the workers of which there is something to tell, by service. Its mutex may be taken
// while a worker's is held.
type untold struct {
	mutex    sync.Mutex
	services map[string]map[*Worker]struct{}
}

// trials are the workers that this node may try for all nodes. A worker's mutex may be taken while
// that of the trials is held.
type trials struct {
	mutex   sync.Mutex
	all     []trial
	waiting atomic.Int32
}

// trial is the right to send one request to a worker that gets no others.
type trial struct {
	worker *Worker
	until  time.Time
}

func (u *untold) add(worker *Worker) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	workers, ok := u.services[worker.service]
	if !ok {
		workers = map[*Worker]struct{}{}
		u.services[worker.service] = workers
	}
	workers[worker] = struct{}{}
}

func (u *untold) drop(worker *Worker) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	delete(u.services[worker.service], worker)
}

func (u *untold) take(service string) map[*Worker]struct{} {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	workers := u.services[service]
	delete(u.services, service)
	return workers
}

func (t *trials) add(worker *Worker, until time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.all = slices.DeleteFunc(t.all, func(known trial) bool { return known.worker == worker })
	t.all = append(t.all, trial{worker: worker, until: until})
	t.waiting.Store(int32(len(t.all)))
}

// take returns the first trial that a request may make, and drops those whose time is over.
func (t *trials) take(now time.Time, may func(trial) bool) (*Worker, bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.all = slices.DeleteFunc(t.all, func(known trial) bool { return !now.Before(known.until) })
	var worker *Worker
	if index := slices.IndexFunc(t.all, may); index >= 0 {
		worker = t.all[index].worker
		t.all = slices.Delete(t.all, index, index+1)
	}
	t.waiting.Store(int32(len(t.all)))
	return worker, worker != nil
}

// note begins what is to be told anew where nothing is, or what is there is old. The caller holds
// the worker's mutex.
func (w *Worker) note(now time.Time) *seen {
	if now.Sub(w.seen.since) > sampleLasts {
		w.seen = seen{since: now}
		if !w.gone {
			w.registry.untold.add(w)
		}
	}
	return &w.seen
}

// noteEnded notes that a request ended. The caller holds the worker's mutex.
func (w *Worker) noteEnded(now time.Time, failures int) {
	known := w.note(now)
	known.requests++
	known.failures += failures
}

// FellSilent notes a request that got no first event within what is usual.
func (w *Worker) FellSilent(now time.Time) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.note(now).silences++
}

// takeSample returns what was seen and not told yet; ok is false if there is nothing.
func (w *Worker) takeSample(now time.Time) (sample experience.Sample, ok bool) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	known := w.seen
	w.seen = seen{}
	if known.since.IsZero() || now.Sub(known.since) > sampleLasts {
		return sample, false
	}
	sample = experience.Sample{
		Worker: w.key, Requests: known.requests, Failures: known.failures,
		Silences: known.silences, Paced: known.paced,
	}
	if known.paced > 0 {
		sample.Pace = known.spent / time.Duration(known.paced)
	}
	return sample, true
}

// TakeSamples returns what was seen of a service's workers since it was last taken. What is not
// taken for long is dropped.
func (r *Registry) TakeSamples(service string) []experience.Sample {
	now := r.options.Now()
	var samples []experience.Sample
	for worker := range r.untold.take(service) {
		if sample, ok := worker.takeSample(now); ok {
			samples = append(samples, sample)
		}
	}
	return samples
}

// NoteVerdicts takes over what all nodes together have seen of workers.
func (r *Registry) NoteVerdicts(verdicts []experience.Verdict) {
	now := r.options.Now()
	for _, said := range verdicts {
		worker, ok := r.byKey(said.Worker)
		if !ok {
			continue
		}
		worker.noteVerdict(said, now)
		if said.Trial {
			r.trials.add(worker, now.Add(trialLasts))
		}
	}
}

func (w *Worker) noteVerdict(said experience.Verdict, now time.Time) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if said.Clear() && !w.verdict.at.IsZero() {
		w.step = 0 // it was measured while the worker was in trouble
	}
	if said.Clear() {
		w.verdict = verdict{}
		return
	}
	until := min(max(said.Until, 0), longestVerdict)
	next := verdict{at: now, until: now.Add(until), lapses: now.Add(max(until, verdictLasts))}
	if said.Slow > 1 {
		next.slowness = min(said.Slow, largestSlowness)
	}
	next.cost = min(max(said.Cost, 0), largestCost)
	w.verdict = next
}

// ejected reports whether the worker gets no requests but trials. The caller holds its mutex.
func (w *Worker) ejected(now time.Time) bool {
	return now.Before(w.verdict.until) && w.verdict.inForce(w.answeredAt, now)
}

// cost is what all nodes together expect a request there to cost beyond others, and how many times
// as long a token takes; 0: they do not tell. The caller holds the worker's mutex.
func (w *Worker) cost(now time.Time) (cost time.Duration, slowness float64) {
	if w.verdict.inForce(w.answeredAt, now) {
		cost = w.verdict.cost
	}
	if w.verdict.inForce(w.pacedAt, now) {
		slowness = w.verdict.slowness
	}
	return cost, slowness
}

// slowness is that of cost.
func (w *Worker) slowness(now time.Time) float64 {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	_, slowness := w.cost(now)
	return slowness
}

// Ejected reports whether all nodes together keep requests from the worker.
func (w *Worker) Ejected(now time.Time) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.ejected(now)
}

// Trial is a worker that a request is to try for all nodes: one that has no context elsewhere, and
// may fail there and go to another worker. If none such comes soon, a program's first turn is to,
// of which least is lost. A trial is given out once.
func (r *Registry) Trial(query Query) (*Worker, bool) {
	if r.trials.waiting.Load() == 0 || !query.Spare && !query.Begins || len(query.Only) > 0 {
		return nil, false
	}
	now := r.options.Now()
	return r.trials.take(now, func(trial trial) bool {
		worker := trial.worker
		return (query.Spare || trial.until.Sub(now) <= trialLasts-spareOnly) && worker.service == query.Service && worker.distance != locality.OtherRegion &&
			(query.Home == "" || query.Home == worker.key) &&
			!slices.Contains(query.Exclude, worker.key) &&
			r.Check(worker, query.Regions) == permit.Allowed && worker.triable(now)
	})
}

// triable reports whether the worker is on the list and nothing that this node saw speaks against it.
func (w *Worker) triable(now time.Time) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return !w.gone && !now.Before(w.avoidUntil) && !now.Before(w.busyUntil)
}
