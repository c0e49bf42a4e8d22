package outlier

import "time"

const (
	// minSlowdown is the ratio to the group's median time per token from which a worker is slow.
	minSlowdown = 1.3
	// minTokenTimeWeight is the weight of measurements from which a worker's time per token is
	// known.
	minTokenTimeWeight = 2.0
	// slowTrialInterval is the time between two trials of a slow worker, and slowTTL how long it
	// stays slow without measurements.
	slowTrialInterval = 500 * time.Millisecond
	slowTTL           = 5 * time.Second
	// minWorkersMeasured is how many workers need a known time per token before any counts as
	// slow.
	minWorkersMeasured = 3
	// failureCost is the cost of a certain failure: the delay before the retry at another worker.
	failureCost = 200 * time.Millisecond
	// lateEventCost is the cost of a certain late first event: the wait before the node acts on
	// it.
	lateEventCost = 200 * time.Millisecond
)

// medianTokenTime returns the worker's time per token in nanoseconds: the median over nodes, so
// that a slow node doesn't make workers look slow. known is false with too few measurements.
func (w *worker) medianTokenTime(now time.Time) (tokenTime float64, known bool) {
	values := make([]weightedValue, 0, len(w.byNode))
	total := 0.0
	for _, stats := range w.byNode {
		stats.tokenTime.decay(now)
		if stats.tokenTime.weight > 0 {
			values = append(values, weightedValue{float64(stats.tokenTime.mean), stats.tokenTime.weight})
			total += stats.tokenTime.weight
		}
	}
	return median(values), total >= minTokenTimeWeight
}

// evaluateTokenTimes updates the slowdown and the cost of a group's workers.
func (d *Detector) evaluateTokenTimes(workers []*worker, now time.Time) {
	tokenTimes := make([]weightedValue, 0, len(workers))
	for _, w := range workers {
		w.tokenTime = 0
		if tokenTime, ok := w.medianTokenTime(now); ok {
			w.tokenTime = tokenTime
			tokenTimes = append(tokenTimes, weightedValue{tokenTime, 1})
		}
	}
	typical := median(tokenTimes)
	typicalFailures := medianFailureRate(workers, now)
	typicalLate := medianLateRate(workers)
	for _, w := range workers {
		w.updateSlowdown(typical, len(tokenTimes), now)
		w.cost = w.extraCost(typicalFailures, typicalLate)
	}
}

// updateSlowdown compares a worker's time per token with typical, the median of the measured
// workers. A slow worker receives few requests, so it stays slow without measurements for slowTTL.
func (w *worker) updateSlowdown(typical float64, measured int, now time.Time) {
	switch {
	case w.tokenTime == 0 && now.Sub(w.tokenTimeAt) < slowTTL:
		return
	case w.tokenTime == 0 || measured < minWorkersMeasured || w.tokenTime < minSlowdown*typical:
		w.slowdown = 0
	default:
		w.slowdown = w.tokenTime / typical
	}
	w.tokenTimeAt = now
}

// offerSlowTrial reports whether the calling node may send a slow worker one request. It allows one
// per slowTrialInterval.
func (w *worker) offerSlowTrial(now time.Time) bool {
	if w.slowdown == 0 || now.Before(w.nextSlowTrial) {
		return false
	}
	w.nextSlowTrial = now.Add(slowTrialInterval)
	return true
}

// medianLateRate returns the median share of requests with late first events.
func medianLateRate(workers []*worker) float64 {
	rates := make([]weightedValue, 0, len(workers))
	for _, w := range workers {
		if w.recent.requests+w.recent.late >= minRequestWeight {
			rates = append(rates, weightedValue{w.recent.lateRate(), 1})
		}
	}
	return median(rates)
}

// extraCost returns the expected extra latency per request because of failures and late first
// events beyond the group's medians; 0 unless they are clearly more.
func (w *worker) extraCost(failures, late float64) time.Duration {
	cost := time.Duration(0)
	if more := w.evidence.failureRate - healthyRateFactor*failures; w.evidence.corroborated > ejectionThreshold/2 && more > 0 {
		cost += time.Duration(more * float64(failureCost))
	}
	if more := w.recent.lateRate() - late; w.recent.late >= 1 && more >= minExcessRate {
		cost += time.Duration(more * float64(lateEventCost))
	}
	return cost
}
