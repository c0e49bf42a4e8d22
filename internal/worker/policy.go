package worker

import (
	"time"

	"github.com/cloverwheel/cloverwheel/internal/admit"
	"github.com/cloverwheel/cloverwheel/internal/cache"
	"github.com/cloverwheel/cloverwheel/internal/placement"
)

// Policy bundles the options of placement, admission and retention under one
// name, for experiments and settings.
type Policy struct {
	Name      string
	Place     placement.Policy
	Admission admit.Options
	Cache     cache.Options
}

// DefaultPolicy is the name of the policy that nodes run.
const DefaultPolicy = "expected_completion"

// Policies lists the baselines, ours, and ours with one mechanism switched off
// each. The list only grows.
func Policies() []Policy {
	baseline := func(name placement.Name) Policy {
		return Policy{
			Name:      string(name),
			Place:     placement.Policy{Name: name},
			Admission: admit.Options{Policy: admit.FirstCome},
			Cache:     cache.Options{NoHolds: true, NoOffload: true, NoCleanup: true},
		}
	}
	policies := []Policy{baseline(placement.RoundRobin), baseline(placement.LeastRequests), baseline(placement.Sticky), ours(DefaultPolicy)}
	return append(policies, ablations()...)
}

func ours(name string) Policy {
	return Policy{
		Name:      name,
		Place:     placement.Policy{Name: placement.ExpectedCompletion},
		Admission: admit.Options{Policy: admit.WholeProgram},
	}
}

func ablations() []Policy {
	switched := func(suffix string, change func(*Policy)) Policy {
		policy := ours(DefaultPolicy + "-" + suffix)
		change(&policy)
		return policy
	}
	return []Policy{
		switched("no_cache_in_placement", func(p *Policy) { p.Place.IgnoreCache = true }),
		switched("no_others_in_placement", func(p *Policy) { p.Place.IgnoreOthers = true }),
		switched("no_wait_in_placement", func(p *Policy) { p.Place.IgnoreWait = true }),
		switched("no_whole_program_order", func(p *Policy) { p.Admission.Policy = admit.FirstCome }),
		switched("no_fair_shares", func(p *Policy) { p.Admission.NoFairShares = true }),
		switched("no_attained", func(p *Policy) { p.Admission.NoAttained = true }),
		switched("no_remaining", func(p *Policy) { p.Admission.NoRemaining = true }),
		switched("no_deadline", func(p *Policy) { p.Admission.NoDeadline = true }),
		switched("no_shedding", func(p *Policy) { p.Admission.NoShedding = true }),
		switched("no_holds", func(p *Policy) { p.Cache.NoHolds = true }),
		switched("no_offload", func(p *Policy) { p.Cache.NoOffload = true }),
		switched("no_cleanup", func(p *Policy) { p.Cache.NoCleanup = true }),
	}
}

// PolicyNamed finds a policy of Policies.
func PolicyNamed(name string) (Policy, bool) {
	for _, policy := range Policies() {
		if policy.Name == name {
			return policy, true
		}
	}
	return Policy{}, false
}

// zoneStep is what one step of zone distance is taken to cost: it decides between workers
// that are otherwise alike.
const zoneStep = 2 * time.Millisecond

// CandidateOf turns an owner's estimate into a candidate. distance is between
// the placer's zone and the worker's: 0 same zone, 1 same region, 2 further.
func CandidateOf(estimate Estimate, distance int) placement.Candidate {
	return placement.Candidate{
		Worker:       estimate.Worker,
		Zone:         estimate.Zone,
		RoundTrip:    time.Duration(distance) * zoneStep,
		Healthy:      estimate.Healthy,
		Draining:     estimate.Leaving,
		ModelLoaded:  estimate.ModelLoaded,
		AdapterReady: estimate.AdapterReady,
		Queued:       estimate.Queued,
		Running:      estimate.Running,
		Wait:         estimate.Wait,
		Prefill:      estimate.Prefill,
		Decode:       estimate.Decode,
		TokenTime:    estimate.Step,
		OwnPrefill:   estimate.Compute,
		Load:         estimate.Load,
		CachedTokens: estimate.CachedTokens,
		Capacity:     estimate.MemoryTokens,
	}
}
