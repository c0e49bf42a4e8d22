package outlier

import (
	"slices"
	"time"
)

// A node that sees failures at many of the workers it uses probably has faulty links or is faulty
// itself. Its reports are weighted by a trust that falls from 1 to 0 with the share of workers
// that it sees failing (its spread).
const (
	// fullTrustSpread is the spread up to which a node is fully trusted. It equals the maximum
	// share of ejected workers.
	fullTrustSpread = maxEjectedShare
	// zeroTrustSpread is the spread from which a node's reports are ignored.
	zeroTrustSpread = 0.5
	// minWorkersUsed is the number of workers that a node must use before its trust is reduced.
	minWorkersUsed = 4
	// failingRate is the failure rate from which a worker counts as failing for a node.
	failingRate = 0.3
	// minRequestWeight is the decayed request count below which a failure rate or a rate of late
	// first events is ignored.
	minRequestWeight = 0.25
	// minTrialTrust is the trust from which a node's trial outcomes count.
	minTrialTrust = 0.5
)

// updateTrust recomputes the trust in each node. While no worker is suspected, all are trusted.
func (d *Detector) updateTrust(workers []*worker, now time.Time) {
	clear(d.trust)
	if !slices.ContainsFunc(workers, func(w *worker) bool { return w.suspected }) {
		return
	}
	used, failing := map[string]int{}, map[string]int{}
	for _, w := range workers {
		for node, stats := range w.byNode {
			stats.spread.decay(now, spreadHalfLife)
			if stats.spread.requests < minRequestWeight {
				continue
			}
			used[node]++
			if stats.spread.failureRate() >= failingRate {
				failing[node]++
			}
		}
	}
	for node, count := range used {
		if trust := trustFor(count, failing[node]); trust < 1 {
			d.trust[node] = trust
		}
	}
}

// trustFor returns the trust in a node, given how many workers it uses and how many of them it sees
// failing.
func trustFor(used, failing int) float64 {
	if used < minWorkersUsed {
		return 1
	}
	spread := float64(failing) / float64(used)
	return min(1, max(0, (zeroTrustSpread-spread)/(zeroTrustSpread-fullTrustSpread)))
}

// trustIn returns the trust in a node, from 0 to 1.
func (d *Detector) trustIn(node string) float64 {
	if trust, ok := d.trust[node]; ok {
		return trust
	}
	return 1
}
