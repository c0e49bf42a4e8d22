package backend

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cloverwheel/cloverwheel/internal/id"
	"github.com/cloverwheel/cloverwheel/internal/locality"
	"github.com/cloverwheel/cloverwheel/internal/permit"
	"github.com/cloverwheel/cloverwheel/internal/place"
)

// Query describes the request to place.
type Query struct {
	Service string
	Home    string // key of the worker that knows the request's context; empty if none is known
	Key     string // requests with the same key prefer the same worker
	// SameObject says that the key is an object that a worker may remember.
	SameObject bool
	Prompt     int // tokens of a model call's prompt
	Shared     int // of them, those that other programs share
	Output     int // most tokens that may be generated
	// Keepers are the IDs of workers that keep what the prompt shares with others, alike on all
	// nodes: those that are usable come before others as long as they have room. Empty: none
	// are agreed on.
	Keepers []string
	// Regions are those in which the request may be served.
	Regions locality.Regions
	// Spare says that the request may fail at a worker and go to another one.
	Spare bool
	// Begins says that the request is a program's first turn.
	Begins bool
	// Warm says that no cold worker may be chosen.
	Warm    bool
	Exclude []string // keys of workers that may not be chosen
	Only    []string // keys of workers; if given, no other may be chosen
}

const (
	// prefillPerMillisecond is a cautious guess of how many prompt tokens a
	// worker reads in a millisecond; it decides only what staying at home is worth.
	prefillPerMillisecond = 200
	// guessedStep is the time of a token while no worker has shown its pace.
	guessedStep = time.Millisecond
	// slowStep is how much slower than the median a worker must be to count as slow.
	slowStep = 1.3
	// waitPerRunning is what each request of this node at a worker adds to the
	// wait there: it spreads requests between workers that are otherwise alike.
	waitPerRunning = time.Millisecond
	// waitOfFailure is what a sure failure is taken to cost.
	waitOfFailure = 200 * time.Millisecond
	// waitOfBusy is added for a worker that has just said that it is full.
	waitOfBusy = 100 * time.Millisecond
	// waitOfCold is added for a cold worker: warm ones that have not said that they are full
	// come first. A program whose context lies at the cold worker costs more elsewhere.
	waitOfCold = 50 * time.Millisecond
	// waitOfConnection is what a new connection takes before a request is written to it.
	waitOfConnection = 8 * time.Millisecond
	// lookAtAll is up to how many workers all are ranked; beyond, a shortlist is.
	lookAtAll = 32
	// shortlisted is how many workers a shortlist holds, and shortlistedAway how
	// many of them at least are of other zones of the region.
	shortlisted     = 8
	shortlistedAway = 3
)

// Choose picks the worker for a request. It fails with fault.Unavailable if
// there is none.
func (r *Registry) Choose(query Query) (*Worker, error) {
	if worker, ok := r.Trial(query); ok {
		return worker, nil
	}
	workers := r.shortlist(query)
	now := r.options.Now()
	candidates := make([]place.Candidate, 0, len(workers))
	slowness := make([]float64, 0, len(workers))
	for _, worker := range workers {
		verdict := r.Check(worker, query.Regions)
		if verdict.Refused() || verdict == permit.Metered && query.Warm {
			continue
		}
		candidate := worker.candidate(query, now)
		candidate.Distance = r.RoundTrip(worker)
		if verdict == permit.Metered {
			candidate.Wait += waitOfCold
		}
		candidates = append(candidates, candidate)
		slowness = append(slowness, worker.slowness(now))
	}
	levelSteps(candidates, slowness, query.Output)
	exclude := make([]id.Worker, len(query.Exclude))
	for index, worker := range query.Exclude {
		exclude[index] = id.Worker(worker)
	}
	decision, err := place.Choose(place.Query{
		Tokens:  query.Prompt + query.Output,
		Home:    id.Worker(r.homeNearby(query)),
		Exclude: exclude,
		Key:     query.Key,
	}, candidates, place.Policy{Name: place.ExpectedCompletion}, nil)
	if err != nil {
		return nil, err
	}
	for _, worker := range workers {
		if worker.key == string(decision.Worker) {
			return worker, nil
		}
	}
	return nil, err
}

// Check decides whether a request that may be served in regions may be sent to a worker now.
func (r *Registry) Check(worker *Worker, regions locality.Regions) permit.Verdict {
	return permit.Check(permit.Request{Regions: regions}, r.facts(worker))
}

// facts is what is known of a worker as a place to send a request to.
func (r *Registry) facts(worker *Worker) permit.Worker {
	// Asked first: a zone opens once its workers are taken to be cold.
	evacuated := r.options.Evacuated(worker.zone)
	return permit.Worker{
		Region:    r.options.Places.Region(worker.zone),
		Leaving:   worker.Record().Draining,
		Evacuated: evacuated,
		Cold:      r.cold(worker),
	}
}

// shortlist lists the workers to rank for a request.
func (r *Registry) shortlist(query Query) []*Worker {
	known := r.of(query.Service)
	if len(query.Only) > 0 {
		return r.allowed(known, query)
	}
	known = r.open(query.Regions, known)
	if query.Warm {
		known = known.only(func(worker *Worker) bool { return !r.cold(worker) })
	}
	spread := r.spreadOf(query)
	short := known.ofRegion(query, spread)
	if !r.anyFree(short, query) {
		short = known.appendAway(short, query, spread)
	}
	return r.appendHome(r.appendKeepers(short, query), known, query)
}

// appendKeepers appends the workers of the node's region that keep what the request's prompt shares
// with others. Those of its zone come first by their way alone; those of others follow before a
// worker that would have to read 12,600 tokens, for which it takes 63 ms.
func (r *Registry) appendKeepers(short []*Worker, query Query) []*Worker {
	for _, id := range query.Keepers {
		worker, ok := r.worker(id)
		usable := ok && worker.service == query.Service && worker.distance != locality.OtherRegion && !worker.Leaving()
		if usable && !slices.Contains(short, worker) && !slices.Contains(query.Exclude, worker.key) {
			short = append(short, worker)
		}
	}
	return short
}

// spreadOf is what decides which workers are on a request's shortlist. Model calls
// are spread by what they belong to, as are requests for the same object. All other
// requests of a node go to the same few workers, so that its connections to them are
// used again; those that decline make room for others on the list.
func (r *Registry) spreadOf(query Query) string {
	if query.Prompt == 0 && !query.SameObject {
		return r.options.Node
	}
	return query.Key
}

// allowed lists the workers that a request may go to where these are few.
func (r *Registry) allowed(known roster, query Query) []*Worker {
	kept := make([]*Worker, 0, len(query.Only))
	for _, key := range query.Only {
		if worker, ok := r.member(known, query.Service, key); ok {
			kept = append(kept, worker)
		}
	}
	return kept
}

// ofRegion lists a few workers of the node's region by hash of spread, so that the cost
// of a decision does not grow with the number of workers. Those of its zone come first,
// and each of them is on as many shortlists as any other, so that none draws more first
// turns than the rest.
func (r roster) ofRegion(query Query, spread string) []*Worker {
	if len(r.workers) <= lookAtAll {
		return r.workers[:r.region:r.region]
	}
	short := make([]*Worker, 0, shortlisted+shortlistedAway+1)
	short = appendSpread(short, query, spread, r.workers[:r.near], shortlisted)
	return appendSpread(short, query, spread, r.workers[r.near:r.region], max(shortlisted-len(short), shortlistedAway))
}

// appendAway appends workers of other regions.
func (r roster) appendAway(short []*Worker, query Query, spread string) []*Worker {
	if len(r.workers) <= lookAtAll {
		return append(short, r.workers[r.region:]...)
	}
	return appendSpread(short, query, spread, r.workers[r.region:], shortlisted)
}

// appendHome appends the worker that knows the request's context, wherever it stands.
func (r *Registry) appendHome(short []*Worker, known roster, query Query) []*Worker {
	home, ok := r.member(known, query.Service, query.Home)
	if !ok || slices.Contains(short, home) {
		return short
	}
	return append(short, home)
}

// appendSpread appends up to most workers that may get new work, spread over the
// list from a place that spread decides.
func appendSpread(short []*Worker, query Query, spread string, workers []*Worker, most int) []*Worker {
	if len(workers) == 0 {
		return short
	}
	start := int(xxhash.Sum64String(spread) % uint64(len(workers)))
	stride := max(1, len(workers)/most)
	wanted := len(short) + most
	for visit := 0; visit < len(workers)+stride && len(short) < wanted; visit++ {
		worker := workers[(start+visitAt(visit, stride, len(workers)))%len(workers)]
		if !slices.Contains(short, worker) && !slices.Contains(query.Exclude, worker.key) && !worker.Leaving() {
			short = append(short, worker)
		}
	}
	return short
}

// visitAt is the place of a visit in a list that is gone through by strides, again
// and again from one place further on, so that each place is visited.
func visitAt(visit, stride, length int) int {
	perRound := (length + stride - 1) / stride
	return visit%perRound*stride + visit/perRound
}

func (w *Worker) candidate(query Query, now time.Time) place.Candidate {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	fresh := query.Prompt - query.Shared
	candidate := place.Candidate{
		Worker:       id.Worker(w.key),
		Zone:         w.record.Zone,
		Healthy:      !now.Before(w.avoidUntil) && !w.ejected(now),
		Leaving:      w.record.Draining,
		ModelLoaded:  true,
		AdapterReady: true,
		Running:      w.running,
		Step:         w.step,
		Wait:         time.Duration(w.running)*waitPerRunning + time.Duration(w.failureShare(now)*float64(waitOfFailure)),
	}
	if query.Prompt == 0 {
		w.weighConnection(&candidate)
	}
	cost, _ := w.cost(now)
	candidate.Wait += cost
	if now.Before(w.busyUntil) {
		candidate.Wait += waitOfBusy
	}
	missing := 0
	if query.Home != "" && w.key != query.Home {
		missing += fresh
	}
	if len(query.Keepers) > 0 && w.key != query.Home && !slices.Contains(query.Keepers, w.id) {
		missing += query.Shared
	}
	candidate.Prefill = time.Duration(missing) * time.Millisecond / prefillPerMillisecond
	candidate.Compute = candidate.Prefill
	return candidate
}

// weighConnection lets a plain request prefer workers to which a connection is open and free.
// Model calls are spread over all workers in place of that: kept to the few that a node is
// connected to, long prompts crowd each other out of their memory (0.900 of worth in place
// of 0.932 on a day of bursts before 45 workers, one play each).
func (w *Worker) weighConnection(candidate *place.Candidate) {
	candidate.Connected = w.pool != nil && w.pool.Ready()
	if !candidate.Connected {
		candidate.Wait += waitOfConnection
	}
}

// levelSteps sets the times to decode. Paces within slowStep of the median
// count as alike, so that chance does not draw all requests to one worker. Where all nodes together
// tell how slow a worker is, that counts in place of its pace at this node.
func levelSteps(candidates []place.Candidate, slowness []float64, output int) {
	steps := make([]time.Duration, 0, len(candidates))
	for index, candidate := range candidates {
		if candidate.Step > 0 && slowness[index] == 0 {
			steps = append(steps, candidate.Step)
		}
	}
	median := guessedStep
	if len(steps) > 0 {
		slices.Sort(steps)
		median = steps[len(steps)/2]
	}
	for index := range candidates {
		step := candidates[index].Step
		if float64(step) < slowStep*float64(median) {
			step = median
		}
		if slowness[index] > 0 {
			step = time.Duration(slowness[index] * float64(median))
		}
		candidates[index].Step = step
		candidates[index].Decode = time.Duration(output) * step
	}
}
