package backend

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cloverwheel/cloverwheel/internal/eligibility"
	"github.com/cloverwheel/cloverwheel/internal/id"
	"github.com/cloverwheel/cloverwheel/internal/locality"
	"github.com/cloverwheel/cloverwheel/internal/placement"
)

// Query describes the request to place.
type Query struct {
	Service string
	Home    string // key of the worker that has the request's context cached; empty: unknown
	Key     string // requests with the same key prefer the same worker
	// SameObject means that Key names an object that a worker may have cached.
	SameObject bool
	Prompt     int // prompt tokens of a model call; 0: not a model call
	Shared     int // prompt tokens that are shared with other programs
	Output     int // limit on generated tokens
	// PrefixWorkers are the IDs of the workers assigned to cache the shared part of the prompt, the same
	// on all nodes. Usable ones are preferred while they have capacity. Empty: none are assigned.
	PrefixWorkers []string
	// Regions are the regions in which the request may be served.
	Regions locality.Regions
	// Versions are the software versions that may serve the request.
	Versions eligibility.Versions
	// Retryable means that the request can be retried at another worker if it fails.
	Retryable bool
	// FirstTurn means that the request is a program's first turn.
	FirstTurn bool
	// WarmOnly means that only warm workers may be chosen.
	WarmOnly bool
	Exclude  []string // keys of workers that may not be chosen
	Only     []string // keys of workers; if not empty, no others may be chosen
}

const (
	// prefillTokensPerMillisecond is a conservative estimate of prefill speed. It only decides how
	// much cached context is worth compared with other costs.
	prefillTokensPerMillisecond = 200
	// defaultTokenTime is the time per token while none was measured.
	defaultTokenTime = time.Millisecond
	// slowTokenTimeRatio is the ratio to the median time per token from which a worker counts as slow.
	slowTokenTimeRatio = 1.3
	// runningPenalty is the expected wait per request of this node that is running at a worker.
	// It spreads requests over workers that are otherwise equal.
	runningPenalty = time.Millisecond
	// failurePenalty is the expected delay of a request that is certain to fail.
	failurePenalty = 200 * time.Millisecond
	// busyPenalty is added for a worker that has just refused a request for lack of capacity.
	busyPenalty = 100 * time.Millisecond
	// coldPenalty is added for a cold worker, so that warm workers with capacity come first. It is
	// usually less than the cost of moving a program away from its cached context.
	coldPenalty = 50 * time.Millisecond
	// newConnectionPenalty is the expected time to open a connection.
	newConnectionPenalty = 8 * time.Millisecond
	// maxFullRanking is the largest number of workers that are all ranked; beyond it only a
	// shortlist is.
	maxFullRanking = 32
	// shortlistSize is the number of workers on a shortlist, and minOtherZones the least number
	// of workers from other zones of the region on it, if there are as many.
	shortlistSize = 8
	minOtherZones = 3
)

// Choose picks the worker for a request. It fails with fault.Unavailable if there is none.
func (r *Registry) Choose(query Query) (*Worker, error) {
	if worker, ok := r.TakeTrial(query); ok {
		return worker, nil
	}
	workers := r.shortlist(query)
	now := r.options.Now()
	candidates := make([]placement.Candidate, 0, len(workers))
	slowness := make([]float64, 0, len(workers))
	for _, worker := range workers {
		verdict := r.Check(worker, query.request())
		if verdict.Refused() || verdict == eligibility.NeedsWarmupPermit && query.WarmOnly {
			continue
		}
		candidate := worker.candidate(query, now)
		candidate.RoundTrip = r.RoundTrip(worker)
		if verdict == eligibility.NeedsWarmupPermit {
			candidate.Wait += coldPenalty
		}
		candidates = append(candidates, candidate)
		slowness = append(slowness, worker.slowness(now))
	}
	normalizeTokenTimes(candidates, slowness, query.Output)
	exclude := make([]id.Worker, len(query.Exclude))
	for index, worker := range query.Exclude {
		exclude[index] = id.Worker(worker)
	}
	decision, err := placement.Choose(placement.Query{
		Tokens:  query.Prompt + query.Output,
		Home:    id.Worker(r.homeInRegion(query)),
		Exclude: exclude,
		Key:     query.Key,
	}, candidates, placement.Policy{Name: placement.ExpectedCompletion}, nil)
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

// request returns the properties of the request that decide which workers may get it.
func (q Query) request() eligibility.Request {
	return eligibility.Request{Regions: q.Regions, Versions: q.Versions}
}

// Check decides whether a request may be sent to a worker now.
func (r *Registry) Check(worker *Worker, request eligibility.Request) eligibility.Verdict {
	return eligibility.Check(request, r.eligibilityOf(worker))
}

// eligibilityOf returns the properties of a worker that decide whether requests may be sent to it.
func (r *Registry) eligibilityOf(worker *Worker) eligibility.Worker {
	// Must be read before cold: a zone's workers are marked cold before its evacuation ends, so a zone
	// that has just reopened is not seen with warm workers.
	evacuated := r.options.Evacuated(worker.zone)
	record := worker.Record()
	return eligibility.Worker{
		Region:    r.options.Zones.Region(worker.zone),
		Version:   record.SoftwareVersion,
		Draining:  record.Draining,
		Serving:   record.Draining && worker.ServesWhileDraining(),
		Evacuated: evacuated,
		Cold:      r.cold(worker),
	}
}

// shortlist returns the workers to rank for a request.
func (r *Registry) shortlist(query Query) []*Worker {
	known := r.rosterOf(query.Service)
	if len(query.Only) > 0 {
		return r.allowed(known, query)
	}
	known = r.withOpenZones(query.Regions, known).ofVersions(query.Versions)
	if query.WarmOnly {
		known = known.filter(func(worker *Worker) bool { return !r.cold(worker) })
	}
	spread := r.spreadKey(query)
	short := known.shortlistRegion(query, spread)
	if !r.anyFree(short, query) {
		short = known.appendOtherRegions(short, query, spread)
	}
	return r.appendHome(r.appendPrefixWorkers(short, query), known, query)
}

// appendPrefixWorkers appends the workers of the node's region that are assigned to cache the shared
// part of the prompt. Those of the node's zone rank first because of their shorter round trip. Those of
// other zones rank before a worker without the prefix, whose prefill would take longer: 63 ms for 12,600
// tokens.
func (r *Registry) appendPrefixWorkers(short []*Worker, query Query) []*Worker {
	for _, id := range query.PrefixWorkers {
		worker, ok := r.worker(id)
		usable := ok && worker.service == query.Service && worker.distance != locality.OtherRegion && !worker.Leaving()
		if usable && !slices.Contains(short, worker) && !slices.Contains(query.Exclude, worker.key) {
			short = append(short, worker)
		}
	}
	return short
}

// spreadKey returns the key whose hash selects a request's shortlist. Model calls and requests for
// the same object are spread by the request's key. All other requests of a node go to the same few
// workers, so that connections are reused. Workers that refuse a request are replaced on the list.
func (r *Registry) spreadKey(query Query) string {
	if query.Prompt == 0 && !query.SameObject {
		return r.options.Node
	}
	return query.Key
}

// allowed returns the workers that query.Only names.
func (r *Registry) allowed(known roster, query Query) []*Worker {
	allowed := make([]*Worker, 0, len(query.Only))
	for _, key := range query.Only {
		if worker, ok := r.member(known, query.Service, key); ok {
			allowed = append(allowed, worker)
		}
	}
	return allowed
}

// shortlistRegion selects a few workers of the node's region by the hash of spread, so that the cost
// of a decision does not grow with the number of workers. Workers of the node's zone come first.
// Each of them is on equally many shortlists, so that first turns are spread evenly.
func (r roster) shortlistRegion(query Query, spread string) []*Worker {
	if len(r.workers) <= maxFullRanking {
		return r.workers[:r.sameRegion:r.sameRegion]
	}
	short := make([]*Worker, 0, shortlistSize+minOtherZones+1)
	short = appendSpread(short, query, spread, r.workers[:r.sameZone], shortlistSize)
	return appendSpread(short, query, spread, r.workers[r.sameZone:r.sameRegion], max(shortlistSize-len(short), minOtherZones))
}

// appendOtherRegions appends workers of other regions.
func (r roster) appendOtherRegions(short []*Worker, query Query, spread string) []*Worker {
	if len(r.workers) <= maxFullRanking {
		return append(short, r.workers[r.sameRegion:]...)
	}
	return appendSpread(short, query, spread, r.workers[r.sameRegion:], shortlistSize)
}

// appendHome appends the worker that has the request's context cached, in whatever region it is.
func (r *Registry) appendHome(short []*Worker, known roster, query Query) []*Worker {
	home, ok := r.member(known, query.Service, query.Home)
	if !ok || slices.Contains(short, home) {
		return short
	}
	return append(short, home)
}

// appendSpread appends up to limit workers that may get new work. It walks the list in strides,
// starting at a position given by the hash of spread.
func appendSpread(short []*Worker, query Query, spread string, workers []*Worker, limit int) []*Worker {
	if len(workers) == 0 {
		return short
	}
	start := int(xxhash.Sum64String(spread) % uint64(len(workers)))
	stride := max(1, len(workers)/limit)
	wanted := len(short) + limit
	for visit := 0; visit < len(workers)+stride && len(short) < wanted; visit++ {
		worker := workers[(start+stridedIndex(visit, stride, len(workers)))%len(workers)]
		if !slices.Contains(short, worker) && !slices.Contains(query.Exclude, worker.key) && !worker.Leaving() {
			short = append(short, worker)
		}
	}
	return short
}

// stridedIndex is the position of the given visit when a list is walked in strides, each round
// starting one position further on, so that every position is visited.
func stridedIndex(visit, stride, length int) int {
	perRound := (length + stride - 1) / stride
	return visit%perRound*stride + visit/perRound
}

// candidate returns the worker's estimates for a request, without those that need the registry.
func (w *Worker) candidate(query Query, now time.Time) placement.Candidate {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	unshared := query.Prompt - query.Shared
	candidate := placement.Candidate{
		Worker:       id.Worker(w.key),
		Zone:         w.record.Zone,
		Healthy:      !w.failing(now),
		Draining:     w.record.Draining,
		ModelLoaded:  true,
		AdapterReady: true,
		Running:      w.running,
		TokenTime:    w.tokenTime,
		Wait:         time.Duration(w.running)*runningPenalty + time.Duration(w.currentFailureRate(now)*float64(failurePenalty)),
	}
	if query.Prompt == 0 {
		w.preferConnected(&candidate)
	}
	cost, _ := w.cost(now)
	candidate.Wait += cost
	if now.Before(w.busyUntil) {
		candidate.Wait += busyPenalty
	}
	uncached := 0
	if query.Home != "" && w.key != query.Home {
		uncached += unshared
	}
	if len(query.PrefixWorkers) > 0 && w.key != query.Home && !slices.Contains(query.PrefixWorkers, w.id) {
		uncached += query.Shared
	}
	candidate.Prefill = time.Duration(uncached) * time.Millisecond / prefillTokensPerMillisecond
	candidate.OwnPrefill = candidate.Prefill
	return candidate
}

// preferConnected makes a plain request prefer workers with an open, idle connection. Model calls are
// spread over all workers instead: if they stayed on the few connected workers, long prompts would
// evict each other from the cache.
func (w *Worker) preferConnected(candidate *placement.Candidate) {
	candidate.Connected = w.pool != nil && w.pool.HasIdle()
	if !candidate.Connected {
		candidate.Wait += newConnectionPenalty
	}
}

// normalizeTokenTimes sets the candidates' times to decode. Token times within slowTokenTimeRatio of
// the median count as equal, so that noise does not draw all requests to one worker. Where slowness is
// not 0, all nodes together have measured it, and it replaces this node's own token time.
func normalizeTokenTimes(candidates []placement.Candidate, slowness []float64, output int) {
	steps := make([]time.Duration, 0, len(candidates))
	for index, candidate := range candidates {
		if candidate.TokenTime > 0 && slowness[index] == 0 {
			steps = append(steps, candidate.TokenTime)
		}
	}
	median := defaultTokenTime
	if len(steps) > 0 {
		slices.Sort(steps)
		median = steps[len(steps)/2]
	}
	for index := range candidates {
		step := candidates[index].TokenTime
		if float64(step) < slowTokenTimeRatio*float64(median) {
			step = median
		}
		if slowness[index] > 0 {
			step = time.Duration(slowness[index] * float64(median))
		}
		candidates[index].TokenTime = step
		candidates[index].Decode = time.Duration(output) * step
	}
}
