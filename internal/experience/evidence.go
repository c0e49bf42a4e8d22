package experience

import (
	"math"
	"slices"
	"time"
)

// How fast what was told loses its weight.
const (
	// recentHalfLife is that of the share of failures by which workers and nodes are compared: short,
	// so that a trouble of all shows as one of all before single workers are held to account for it.
	recentHalfLife = 400 * time.Millisecond
	// paceHalfLife lets a worker count as slow while it is, and not long after: some are slow for
	// less than a second.
	paceHalfLife = 300 * time.Millisecond
	// caseHalfLife is that of what speaks for and against a worker since it last was beyond doubt.
	caseHalfLife = 3 * time.Second
	// spreadHalfLife is that of a node's failures over all workers that it uses.
	spreadHalfLife = 2 * time.Second
)

// tally counts requests; it halves with time.
type tally struct {
	requests float64
	failures float64
	silences float64
	at       time.Time
}

func (t *tally) add(requests, failures, silences, weight float64, now time.Time, halfLife time.Duration) {
	t.age(now, halfLife)
	t.requests += weight * requests
	t.failures += weight * failures
	t.silences += weight * silences
}

func (t *tally) age(now time.Time, halfLife time.Duration) {
	left := remaining(t.at, now, halfLife)
	t.requests *= left
	t.failures *= left
	t.silences *= left
	t.at = now
}

// weighed is the tally times a weight.
func (t tally) weighed(weight float64) tally {
	t.requests *= weight
	t.failures *= weight
	t.silences *= weight
	return t
}

// failureShare is the share of failures; 0: nothing is known.
func (t *tally) failureShare() float64 { return share(t.failures, t.requests) }

// silenceShare is the share of requests that got no first event in time.
func (t *tally) silenceShare() float64 { return min(1, share(t.silences, t.requests+t.silences)) }

func share(part, whole float64) float64 {
	if whole <= 0 {
		return 0
	}
	return part / whole
}

// remaining is what is left of a weight.
func remaining(since, now time.Time, halfLife time.Duration) float64 {
	elapsed := now.Sub(since)
	if since.IsZero() || elapsed <= 0 {
		return 1
	}
	return math.Exp2(-float64(elapsed) / float64(halfLife))
}

// pace is the mean time of a token; its weight halves with time.
type pace struct {
	mean   time.Duration
	weight float64
	at     time.Time
}

func (p *pace) add(mean time.Duration, weight float64, now time.Time) {
	p.age(now)
	p.weight += weight
	p.mean += time.Duration(float64(mean-p.mean) * weight / p.weight)
}

func (p *pace) age(now time.Time) {
	p.weight *= remaining(p.at, now, paceHalfLife)
	p.at = now
}

// cell is what one node has told of one worker.
type cell struct {
	spread tally // over all that the node told
	open   tally // of the worker's case, since it last was beyond doubt
	pace   pace
	newest time.Time
}

// median of values, by weight; 0: there are none.
func median(values []weighed) float64 {
	total := 0.0
	for _, value := range values {
		total += value.weight
	}
	slices.SortFunc(values, func(a, b weighed) int {
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

// weighed is a value and its weight.
type weighed struct{ value, weight float64 }
