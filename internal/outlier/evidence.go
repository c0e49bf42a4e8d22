package outlier

import (
	"math"
	"slices"
	"time"
)

// Half-lives of the weights of reported requests and measurements.
const (
	// recentHalfLife applies to the failure rates by which workers are compared. It is short, so
	// that a failure of the whole group raises the median before single workers are ejected.
	recentHalfLife = 400 * time.Millisecond
	// tokenTimeHalfLife applies to times per token. It is short, since a slowdown may last less than a
	// second.
	tokenTimeHalfLife = 300 * time.Millisecond
	// suspicionHalfLife applies to the requests to a suspected worker.
	suspicionHalfLife = 3 * time.Second
	// spreadHalfLife applies to a node's requests, by which its trust is computed.
	spreadHalfLife = 2 * time.Second
)

// decayingCounts counts requests with exponential decay; late are those with a late first event.
type decayingCounts struct {
	requests  float64
	failures  float64
	late      float64
	updatedAt time.Time
}

func (c *decayingCounts) add(requests, failures, late, weight float64, now time.Time, halfLife time.Duration) {
	c.decay(now, halfLife)
	c.requests += weight * requests
	c.failures += weight * failures
	c.late += weight * late
}

func (c *decayingCounts) decay(now time.Time, halfLife time.Duration) {
	factor := decayFactor(c.updatedAt, now, halfLife)
	c.requests *= factor
	c.failures *= factor
	c.late *= factor
	c.updatedAt = now
}

// scaled returns the counts multiplied by weight.
func (c decayingCounts) scaled(weight float64) decayingCounts {
	c.requests *= weight
	c.failures *= weight
	c.late *= weight
	return c
}

// failureRate returns the share of requests that failed; 0 without requests.
func (c *decayingCounts) failureRate() float64 { return ratio(c.failures, c.requests) }

// lateRate returns the late first events as a share of ended and late requests; 0 without any.
func (c *decayingCounts) lateRate() float64 {
	return min(1, ratio(c.late, c.requests+c.late))
}

func ratio(part, whole float64) float64 {
	if whole <= 0 {
		return 0
	}
	return part / whole
}

// decayFactor returns the factor by which a weight decays between two times; 1 if since is zero or
// not before now.
func decayFactor(since, now time.Time, halfLife time.Duration) float64 {
	elapsed := now.Sub(since)
	if since.IsZero() || elapsed <= 0 {
		return 1
	}
	return math.Exp2(-float64(elapsed) / float64(halfLife))
}

// tokenTime is the mean time per token, with a decaying weight.
type tokenTime struct {
	mean      time.Duration
	weight    float64
	updatedAt time.Time
}

func (t *tokenTime) add(mean time.Duration, weight float64, now time.Time) {
	t.decay(now)
	t.weight += weight
	t.mean += time.Duration(float64(mean-t.mean) * weight / t.weight)
}

func (t *tokenTime) decay(now time.Time) {
	t.weight *= decayFactor(t.updatedAt, now, tokenTimeHalfLife)
	t.updatedAt = now
}

// nodeStats holds one node's reports about one worker.
type nodeStats struct {
	spread     decayingCounts // all reported requests
	suspicion  decayingCounts // requests reported while the worker is suspected
	tokenTime  tokenTime
	lastReport time.Time
}

// median returns the weighted median of values, which it sorts; 0 if there are none.
func median(values []weightedValue) float64 {
	total := 0.0
	for _, value := range values {
		total += value.weight
	}
	slices.SortFunc(values, func(a, b weightedValue) int {
		switch {
		case a.value < b.value:
			return -1
		case a.value > b.value:
			return 1
		default:
			return 0
		}
	})
	seen := 0.0
	for _, value := range values {
		seen += value.weight
		if 2*seen >= total {
			return value.value
		}
	}
	return 0
}

type weightedValue struct{ value, weight float64 }
