package placement

import (
	"cmp"
	"slices"
	"time"
)

// delayedArrivals is the number of calls, besides the running ones, that the prefill of a call
// after the program's first is assumed to delay: those that arrive during it, and those for which there
// is no memory because the context is then cached at two workers.
const delayedArrivals = 40

// Rank returns the candidates sorted by the policy, best first.
func Rank(query Query, candidates []Candidate, policy Policy) []Candidate {
	ranked := slices.Clone(candidates)
	normalizeDecode(ranked)
	slices.SortFunc(ranked, func(a, b Candidate) int {
		if order := compare(query, a, b, policy); order != 0 {
			return order
		}
		return cmp.Compare(a.Worker, b.Worker)
	})
	return ranked
}

// compare orders candidates by the policy, better ones first; 0: they are tied.
func compare(query Query, a, b Candidate, policy Policy) int {
	switch policy.Name {
	case RoundRobin:
		return 0
	case LeastRequests:
		return compareRequests(a, b)
	case Sticky:
		return compareSticky(query, a, b)
	default:
		return cmp.Compare(policy.cost(query, a), policy.cost(query, b))
	}
}

func compareRequests(a, b Candidate) int {
	if order := cmp.Compare(a.Queued+a.Running, b.Queued+b.Running); order != 0 {
		return order
	}
	return cmp.Compare(a.RoundTrip, b.RoundTrip)
}

func compareSticky(query Query, a, b Candidate) int {
	if home := cmp.Compare(isHome(query, b), isHome(query, a)); home != 0 {
		return home
	}
	return compareRequests(a, b)
}

// isHome returns 1 for the worker that ran the program's last call, else 0.
func isHome(query Query, candidate Candidate) int {
	if query.Home != "" && candidate.Worker == query.Home {
		return 1
	}
	return 0
}

// cost is the expected completion, the round trip and the delay that the call causes for others,
// without the parts that the policy ignores. Recomputing tokens delays the whole batch.
func (p Policy) cost(query Query, c Candidate) time.Duration {
	cost := c.Load + c.Decode
	if !p.IgnoreWait {
		cost += c.Wait
	}
	if !p.IgnoreCache {
		cost += c.Prefill
	}
	if !p.IgnoreCache && !p.IgnoreOthers {
		cost += time.Duration(delayedCalls(query, c)) * c.OwnPrefill
	}
	if !p.IgnoreZones {
		cost += c.RoundTrip
	}
	return cost
}

// delayedCalls is the number of calls that the call's own prefill is assumed to delay. A first
// call duplicates no context: the template prefix that it computes is reused by later programs.
func delayedCalls(query Query, c Candidate) int {
	if query.Home == "" {
		return c.Running
	}
	return c.Running + delayedArrivals
}

// normalizeDecode makes the candidates' times to decode comparable. The output has the same
// length at each worker, so they may differ only by the time per token. A worker without a
// measurement counts as fast as the fastest, or it would never be tried.
func normalizeDecode(candidates []Candidate) {
	output, known := 0.0, 0
	fastest := time.Duration(0)
	for _, c := range candidates {
		if c.TokenTime <= 0 {
			continue
		}
		output += float64(c.Decode) / float64(c.TokenTime)
		known++
		if fastest == 0 || c.TokenTime < fastest {
			fastest = c.TokenTime
		}
	}
	if known == 0 {
		return
	}
	output /= float64(known)
	for i := range candidates {
		step := candidates[i].TokenTime
		if step <= 0 {
			step = fastest
		}
		candidates[i].Decode = time.Duration(output * float64(step))
	}
}
