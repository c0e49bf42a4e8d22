package placement

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// retryAfter is when a caller should retry if no worker is feasible.
	retryAfter = time.Second
	// tieTolerance is the share of the best cost within which candidates are tied. Estimates
	// are no more precise, and nodes should not all pick the same worker.
	tieTolerance = 0.02
)

// Select picks one of the best of the ranked candidates, which must not be empty. Among tied
// candidates the worker that ran the program's last call wins, else the query's key decides.
// Without a key the choice is random; if random is nil, the first is taken.
func Select(query Query, ranked []Candidate, policy Policy, random *rand.Rand) Decision {
	chosen := 0
	switch policy.Name {
	case RoundRobin:
		chosen = int(query.Sequence % uint64(len(ranked)))
	case LeastRequests, Sticky:
		chosen = 0
	default:
		chosen = selectTied(query, ranked, policy, random)
	}
	return decide(ranked, chosen)
}

func selectTied(query Query, ranked []Candidate, policy Policy, random *rand.Rand) int {
	best := policy.cost(query, ranked[0])
	limit := best + time.Duration(float64(best)*tieTolerance)
	tied := 1
	for tied < len(ranked) && policy.cost(query, ranked[tied]) <= limit && ranked[tied].RoundTrip == ranked[0].RoundTrip {
		tied++
	}
	for index := range ranked[:tied] {
		if ranked[index].Worker == query.Home {
			return index
		}
	}
	if query.Key != "" {
		return preferred(query.Key, ranked[:tied])
	}
	if tied == 1 || random == nil {
		return 0
	}
	return random.IntN(tied)
}

// preferred returns the index of the worker that ranks first by rendezvous hashing. If any have
// an open connection only those are considered, since opening one costs time at both ends.
func preferred(key string, tied []Candidate) int {
	connected := slices.ContainsFunc(tied, func(c Candidate) bool { return c.Connected })
	best, highest := 0, uint64(0)
	for index, candidate := range tied {
		weight := xxhash.Sum64String(key + "\x00" + string(candidate.Worker))
		if candidate.Connected == connected && weight > highest {
			best, highest = index, weight
		}
	}
	return best
}

// decide returns the decision for a chosen candidate. Its runner-up is the best of the others.
func decide(ranked []Candidate, chosen int) Decision {
	decision := Decision{Worker: ranked[chosen].Worker, Expected: ranked[chosen].Expected()}
	runnerUp := 0
	if chosen == 0 {
		runnerUp = 1
	}
	if runnerUp < len(ranked) {
		decision.RunnerUp = ranked[runnerUp].Worker
		decision.Margin = ranked[runnerUp].Expected() - decision.Expected
	}
	return decision
}
