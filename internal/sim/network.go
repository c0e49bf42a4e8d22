package sim

import (
	"time"

	"github.com/cloverwheel/cloverwheel/internal/workload"
)

// network gives one-way latencies.
type network struct{ cluster *workload.Cluster }

func (n network) between(a, b string) time.Duration {
	if a == b {
		return n.cluster.WithinZone
	}
	return n.cluster.BetweenZones
}

// clientTo is the way from a caller over a gateway near it to a leader. Callers
// are on all sides, so the second leg counts as one between zones.
func (n network) clientTo(string) time.Duration {
	return n.cluster.ToClients + n.cluster.BetweenZones
}

// furthest is the way to the furthest of several workers.
func (n network) furthest(zone string, workers []*backend) time.Duration {
	longest := time.Duration(0)
	for _, b := range workers {
		longest = max(longest, n.between(zone, b.zone))
	}
	return longest
}
