package worker

import (
	"maps"
	"math"
	"time"

	"github.com/cloverwheel/cloverwheel/internal/id"
)

const (
	// shareMemory is the time over which tenants' service is balanced.
	shareMemory = time.Minute
	// shareFloor is the service, in tokens, below which a tenant is forgotten.
	shareFloor = 1.0
)

// servedShares is the recent service of each tenant, decayed over time.
type servedShares struct {
	tokens map[id.Tenant]float64
	last   time.Time
}

func newServedShares() *servedShares { return &servedShares{tokens: map[id.Tenant]float64{}} }

func (s *servedShares) add(now time.Time, tenant id.Tenant, tokens int) {
	s.decay(now)
	s.tokens[tenant] += float64(tokens)
}

// at returns the service of each tenant by now. The map must not be changed.
func (s *servedShares) at(now time.Time) map[id.Tenant]float64 {
	s.decay(now)
	return s.tokens
}

// decayStep is the shortest time between two decays.
const decayStep = 100 * time.Millisecond

func (s *servedShares) decay(now time.Time) {
	elapsed := now.Sub(s.last)
	if elapsed < decayStep {
		return
	}
	s.last = now
	factor := math.Exp(-elapsed.Seconds() / shareMemory.Seconds())
	for tenant := range s.tokens {
		s.tokens[tenant] *= factor
	}
	maps.DeleteFunc(s.tokens, func(_ id.Tenant, tokens float64) bool { return tokens < shareFloor })
}
