package placement

import (
	"slices"

	"github.com/cloverwheel/cloverwheel/internal/fault"
)

// Feasible returns the candidates that can serve the query: not excluded, not draining
// and with enough memory. Unhealthy ones are returned only if no healthy one is left, since they may
// still succeed. It fails with fault.Unavailable if there is none.
func Feasible(query Query, candidates []Candidate) ([]Candidate, error) {
	usable := make([]Candidate, 0, len(candidates))
	healthy := 0
	for _, candidate := range candidates {
		if !fits(query, candidate) {
			continue
		}
		usable = append(usable, candidate)
		if candidate.Healthy {
			healthy++
		}
	}
	if len(usable) == 0 {
		return nil, fault.Newf(fault.Unavailable, "retry shortly, or add workers that serve this model",
			"none of %d candidate workers can take a call of model %q", len(candidates), query.Model).WithRetryAfter(retryAfter)
	}
	if healthy == 0 {
		return usable, nil
	}
	return slices.DeleteFunc(usable, func(c Candidate) bool { return !c.Healthy }), nil
}

func fits(query Query, candidate Candidate) bool {
	if candidate.Draining || slices.Contains(query.Exclude, candidate.Worker) {
		return false
	}
	return candidate.Capacity == 0 || query.Tokens <= candidate.Capacity
}
