package worker

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cloverwheel/cloverwheel/internal/chat"
	"github.com/cloverwheel/cloverwheel/internal/fault"
	"github.com/cloverwheel/cloverwheel/internal/id"
	"github.com/cloverwheel/cloverwheel/internal/member"
	"github.com/cloverwheel/cloverwheel/internal/peer"
	"github.com/cloverwheel/cloverwheel/internal/placement"
)

// PlacerOptions hold what a Placer needs. Fields with a stated default may be zero.
type PlacerOptions struct {
	View      func() *member.View
	Catalog   *Catalog
	Transport peer.Transport
	Policy    Policy // zero: DefaultPolicy
	// ProbeTimeout bounds a round of probes; default 150 ms.
	ProbeTimeout time.Duration
}

// Placer chooses workers for calls by probing a few owners.
type Placer struct {
	options  PlacerOptions
	sequence atomic.Uint64
	homes    *recent[id.Program, id.Worker]
	shared   *recent[uint64, []id.Worker] // by hash of a template's shared prefix
}

// probeRounds is how often Place samples other workers before it gives up.
const probeRounds = 2

// NewPlacer returns a Placer.
func NewPlacer(options PlacerOptions) *Placer {
	setDefault(&options.ProbeTimeout, 150*time.Millisecond)
	if options.Policy.Name == "" {
		options.Policy, _ = PolicyNamed(DefaultPolicy)
	}
	return &Placer{
		options: options,
		homes:   newRecent[id.Program, id.Worker](),
		shared:  newRecent[uint64, []id.Worker](),
	}
}

// Place returns the worker that should run the call that query describes.
// query.Worker may name the worker of the program's last call. It fails with
// fault.Overloaded when calls are being shed, and with fault.Unavailable when no
// worker fits; nothing has run in either case.
func (p *Placer) Place(ctx context.Context, query ProbeRequest, exclude []id.Worker) (Location, error) {
	var err error
	for range probeRounds {
		var location Location
		location, err = p.placeOnce(ctx, query, exclude)
		if err == nil || ctx.Err() != nil {
			return location, err
		}
	}
	return Location{}, err
}

// Locate returns where a worker is now.
func (p *Placer) Locate(worker id.Worker) (Location, bool) {
	ctx, cancel := context.WithTimeout(context.Background(), catalogTimeout)
	defer cancel()
	return p.options.Catalog.Locate(ctx, worker)
}

func (p *Placer) placeOnce(ctx context.Context, query ProbeRequest, exclude []id.Worker) (Location, error) {
	pool := p.options.Catalog.Serving(ctx, query.Model)
	if len(pool) == 0 {
		return Location{}, fault.Newf(fault.Unavailable, "add workers that serve the model",
			"no worker serves model %q", query.Model).WithRetryAfter(time.Second)
	}
	home := p.homeOf(query)
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	probed := p.probeAll(ctx, query, p.shortlist(query, home, pool, exclude, random))
	if refusal := shedByAll(probed); refusal != nil {
		return Location{}, refusal
	}
	self := p.options.View().Self
	decision, err := placement.Choose(placement.Query{
		Program:  query.Program,
		Model:    query.Model,
		Adapter:  query.Adapter,
		Tokens:   query.Prefix.Tokens() + query.MaxTokens,
		Home:     home,
		Zone:     self.Zone,
		Exclude:  exclude,
		Sequence: p.sequence.Add(1),
	}, candidatesOf(self, probed), p.options.Policy.Place, random)
	if err != nil {
		return Location{}, err
	}
	p.remember(query, decision.Worker)
	return locationOf(probed, decision.Worker), nil
}

// homeOf is the worker of the program's last call, as far as is known.
func (p *Placer) homeOf(query ProbeRequest) id.Worker {
	if query.Worker != "" {
		return query.Worker
	}
	home, _ := p.homes.get(query.Program)
	return home
}

func (p *Placer) shortlist(query ProbeRequest, home id.Worker, pool, exclude []id.Worker, random *rand.Rand) []id.Worker {
	if _, all := p.options.Policy.Place.Probes(); all {
		return pool
	}
	shared, _ := p.shared.get(firstHash(query.Prefix))
	return placement.Shortlist(home, shared, pool, exclude, random)
}

func firstHash(prefix chat.Prefix) uint64 {
	if len(prefix) == 0 {
		return 0
	}
	return prefix[0].Hash
}

// maxSharedHomes bounds the workers remembered for a template's shared prefix.
const maxSharedHomes = 4

// remember notes where the program's context, and its template's, will lie.
func (p *Placer) remember(query ProbeRequest, worker id.Worker) {
	if query.Program != "" {
		p.homes.put(query.Program, worker)
	}
	key := firstHash(query.Prefix)
	known, _ := p.shared.get(key)
	homes := make([]id.Worker, 0, maxSharedHomes)
	homes = append(homes, worker)
	for _, other := range known {
		if other != worker && len(homes) < maxSharedHomes {
			homes = append(homes, other)
		}
	}
	p.shared.put(key, homes)
}

// probe is one worker's answer.
type probe struct {
	location Location
	estimate Estimate
	err      error
}

// probeAll asks the owners of workers at once and returns what answered in time.
func (p *Placer) probeAll(ctx context.Context, query ProbeRequest, workers []id.Worker) []probe {
	ctx, cancel := context.WithTimeout(ctx, p.options.ProbeTimeout)
	defer cancel()
	answers := make([]probe, len(workers))
	var group sync.WaitGroup
	for index, worker := range workers {
		group.Go(func() { answers[index] = p.probe(ctx, query, worker) })
	}
	group.Wait()
	return answers
}

func (p *Placer) probe(ctx context.Context, query ProbeRequest, worker id.Worker) probe {
	location, ok := p.options.Catalog.Locate(ctx, worker)
	if !ok {
		return probe{err: fault.Newf(fault.Unavailable, "wait for a node to come back", "worker %s has no owner", worker)}
	}
	query.Worker = worker
	estimate, err := peer.Invoke[Estimate](ctx, p.options.Transport, location.Owner, MethodProbe, query)
	return probe{location: location, estimate: estimate, err: err}
}

// The distances between zones.
const (
	sameZone = iota
	sameRegion
	otherRegion
)

func distance(self member.Member, location Location) int {
	switch {
	case self.Zone == location.Zone:
		return sameZone
	case self.Region == location.Region:
		return sameRegion
	default:
		return otherRegion
	}
}

func candidatesOf(self member.Member, probed []probe) []placement.Candidate {
	candidates := make([]placement.Candidate, 0, len(probed))
	for _, answered := range probed {
		if answered.err == nil {
			candidates = append(candidates, CandidateOf(answered.estimate, distance(self, answered.location)))
		}
	}
	return candidates
}

func locationOf(probed []probe, worker id.Worker) Location {
	var chosen Location
	var copied Import
	for _, answered := range probed {
		if answered.location.Worker == worker {
			chosen = answered.location
			chosen.Fence = answered.estimate.Fence
		}
		if answered.estimate.Exported.Tokens > copied.Tokens {
			copied = answered.estimate.Exported
		}
	}
	chosen.Import = copied
	return chosen
}

// shedByAll returns fault.Overloaded if every worker that answered would refuse
// the call for load.
func shedByAll(probed []probe) error {
	var soonest time.Duration
	answers := 0
	for _, answered := range probed {
		if answered.err != nil || answered.estimate.Leaving {
			continue
		}
		answers++
		wait := answered.estimate.RetryAfter
		if wait == 0 {
			return nil
		}
		if soonest == 0 || wait < soonest {
			soonest = wait
		}
	}
	if answers == 0 {
		return nil
	}
	return fault.New(fault.Overloaded, "all workers asked have full queues", "retry after the given time").WithRetryAfter(soonest)
}
