package outlier

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// maxEjectedShare is the maximum share of a group's workers that are ejected. It exceeds the
	// share of a single zone in a usual region. Failures of more workers have a common cause,
	// which ejections don't remedy.
	maxEjectedShare = 0.3
	// A worker is ejected only if the utilization of the remaining ones would stay within
	// ejectUtilization. Ejected workers are readmitted while it exceeds readmitUtilization.
	ejectUtilization   = 0.8
	readmitUtilization = 0.95
	// uselessFailureRate is the failure rate from which a worker is not readmitted for its
	// capacity.
	uselessFailureRate = 0.9
	// healthyFailureRate is the minimum failure rate expected of a healthy worker.
	healthyFailureRate = 0.05
	// healthyRateFactor times the median failure rate of the group is still healthy.
	healthyRateFactor = 1.5
	// minExcessRate is by how much the failure rate of a bad worker exceeds that of a healthy one.
	minExcessRate = 0.3
	// maxFailureRate bounds the failure rate expected of a bad worker.
	maxFailureRate = 0.95
	// ejectionThreshold is the log-likelihood ratio of a bad to a healthy worker above which a
	// worker is ejected. A worker with failure rate healthyFailureRate exceeds it by chance about
	// once in 1,800 requests, even if no node is discounted.
	ejectionThreshold = 7.5
)

// hypotheses are the failure rates expected of a healthy and of a bad worker.
type hypotheses struct{ healthy, bad float64 }

// hypothesesFor returns the hypotheses for a group with the given median failure rate.
func hypothesesFor(typical float64) hypotheses {
	healthy := min(max(healthyFailureRate, healthyRateFactor*typical), maxFailureRate-healthyFailureRate)
	return hypotheses{healthy: healthy, bad: min(healthy+minExcessRate, maxFailureRate)}
}

// logLikelihoodRatio returns the logarithm of how much likelier the counts are for a bad worker
// than for a healthy one; below 0 if they are likelier for a healthy one.
func (h hypotheses) logLikelihoodRatio(counts decayingCounts) float64 {
	successes := max(0, counts.requests-counts.failures)
	return counts.failures*math.Log(h.bad/h.healthy) + successes*math.Log((1-h.bad)/(1-h.healthy))
}

// evidence summarizes the reports about one worker.
type evidence struct {
	worker       *worker
	failureRate  float64
	weight       float64 // decayed number of requests
	corroborated float64 // log-likelihood ratio without the node that reports the worker worst
	total        float64 // log-likelihood ratio of all reports
	nodes        int     // number of nodes that saw failures
}

// collectEvidence merges the reports of all nodes about a worker. It discounts the node whose
// reports weigh most against the worker, since the fault may be that node's own links: no single
// node can cause an ejection.
func (d *Detector) collectEvidence(w *worker, h hypotheses, now time.Time) evidence {
	if !w.suspected {
		return evidence{worker: w}
	}
	var all decayingCounts
	strongest := 0.0
	nodes := 0
	for node, stats := range w.byNode {
		stats.suspicion.decay(now, suspicionHalfLife)
		weighted := stats.suspicion.scaled(d.trustIn(node))
		all.requests += weighted.requests
		all.failures += weighted.failures
		strongest = max(strongest, h.logLikelihoodRatio(weighted))
		if weighted.failures > 0 {
			nodes++
		}
	}
	total := h.logLikelihoodRatio(all)
	return evidence{
		worker: w, failureRate: all.failureRate(), weight: all.requests,
		corroborated: total - strongest, total: total, nodes: nodes,
	}
}

// medianFailureRate returns the median recent failure rate of the workers that are not ejected.
func medianFailureRate(workers []*worker, now time.Time) float64 {
	failureRates := make([]weightedValue, 0, len(workers))
	for _, w := range workers {
		w.recent.decay(now, recentHalfLife)
		if w.ejection == nil && w.recent.requests >= minRequestWeight {
			failureRates = append(failureRates, weightedValue{w.recent.failureRate(), 1})
		}
	}
	return median(failureRates)
}

// evaluateFailures readmits ejected workers that have no trial outcome or whose capacity is needed.
// Then it ejects workers, beginning with the strongest evidence.
func (d *Detector) evaluateFailures(workers []*worker, now time.Time) {
	h := hypothesesFor(medianFailureRate(workers, now))
	var candidates []evidence
	for _, w := range workers {
		w.evidence = d.collectEvidence(w, h, now)
		switch {
		case w.ejection != nil && w.ejection.isUntried(now):
			d.readmit(w, NoTrialOutcome, now)
		case w.ejection == nil && w.evidence.corroborated > ejectionThreshold:
			candidates = append(candidates, w.evidence)
		case w.ejection == nil && w.evidence.total <= 0:
			w.clearSuspicion()
		}
	}
	d.readmitNeeded(workers, now)
	slices.SortFunc(candidates, func(a, c evidence) int {
		return cmp.Or(cmp.Compare(c.corroborated, a.corroborated), cmp.Compare(a.worker.key, c.worker.key))
	})
	for _, candidate := range candidates {
		if d.canEject(workers, candidate) {
			d.eject(candidate, now)
		}
	}
}

// clearSuspicion discards the evidence about a worker that appears healthy, so that its earlier
// successes don't delay the detection of a later failure.
func (w *worker) clearSuspicion() {
	if !w.suspected {
		return
	}
	w.suspected = false
	for _, stats := range w.byNode {
		stats.suspicion = decayingCounts{}
	}
}

// canEject reports whether the group's limit and capacity permit another ejection.
func (d *Detector) canEject(workers []*worker, candidate evidence) bool {
	ejected, lostCapacity := countEjected(workers)
	return ejected+1 <= maxEjected(len(workers)) && d.hasCapacity(len(workers), lostCapacity+1-candidate.failureRate, ejectUtilization)
}

// maxEjected returns how many of a group's workers may be ejected: never the only one, and at least
// one of several.
func maxEjected(workers int) int {
	if workers < 2 {
		return 0
	}
	return max(1, int(maxEjectedShare*float64(workers)))
}

// hasCapacity reports whether utilization stays within maxUtilization when the group loses the
// capacity of lostCapacity healthy workers.
func (d *Detector) hasCapacity(workers int, lostCapacity, maxUtilization float64) bool {
	return d.utilization*float64(workers) <= maxUtilization*(float64(workers)-lostCapacity)
}

// countEjected returns the number of ejected workers, and how many healthy workers would provide
// the capacity that the group lacks without them.
func countEjected(workers []*worker) (count int, lostCapacity float64) {
	for _, w := range workers {
		if w.ejection != nil {
			count++
			lostCapacity += 1 - w.ejection.failureRate
		}
	}
	return count, lostCapacity
}

// readmitNeeded readmits ejected workers, the lowest failure rate first, while the group exceeds
// its ejection limit or the others lack capacity. For capacity, it readmits no useless worker.
func (d *Detector) readmitNeeded(workers []*worker, now time.Time) {
	for {
		ejected, lostCapacity := countEjected(workers)
		if ejected <= maxEjected(len(workers)) && d.hasCapacity(len(workers), lostCapacity, readmitUtilization) {
			return
		}
		best := bestEjected(workers)
		if best == nil || best.ejection.failureRate >= uselessFailureRate && ejected <= maxEjected(len(workers)) {
			return
		}
		d.readmit(best, CapacityNeeded, now)
	}
}

// bestEjected returns the ejected worker with the lowest failure rate, or nil.
func bestEjected(workers []*worker) *worker {
	var best *worker
	for _, w := range workers {
		if w.ejection == nil {
			continue
		}
		if best == nil || w.ejection.failureRate < best.ejection.failureRate {
			best = w
		}
	}
	return best
}
