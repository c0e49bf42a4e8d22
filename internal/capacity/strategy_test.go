package capacity

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// measureStrategy simulates a load with a strategy and returns the wait statistics. With a
// coordinator, it fails if a request is held despite free capacity or dropped.
func measureStrategy(t *testing.T, load float64, strategy strategy, hop time.Duration) waitStats {
	sim := newSimulation(t, strategy, hop)
	sim.run(load)
	stats := sim.stats()
	t.Logf("load %.2f, coordinator round trip %v, %-8s: wait mean %v, p95 %v, longest %v; queued despite free capacity %.1f%%; declined %d, dropped %d, longest queue %d, held despite free capacity %d; utilization %.2f",
		load, 2*hop, strategy, stats.mean.Round(100*time.Microsecond), stats.p95.Round(time.Millisecond), stats.longest.Round(time.Millisecond),
		100*stats.misqueued, sim.declines, sim.dropped, sim.mostQueued, sim.heldDespiteCapacity, sim.busyTime.Seconds()/simDuration.Seconds()/simWorkers/simConcurrency)
	if strategy == coordinatorAssigned {
		require.Zero(t, sim.heldDespiteCapacity, "the coordinator held requests while it had free capacity")
		require.Zero(t, sim.dropped)
	}
	return stats
}

// TestCoordinatorReducesWaits guards against a coordinator that performs worse than choosing
// workers from local state alone.
func TestCoordinatorReducesWaits(t *testing.T) {
	for _, load := range []float64{0.8, 0.95} {
		without := measureStrategy(t, load, localOnly, 0)
		for _, strategy := range []strategy{sampled, omniscient} {
			measureStrategy(t, load, strategy, 0) // logged for comparison only
		}
		for _, hop := range []time.Duration{time.Millisecond, 5 * time.Millisecond} {
			with := measureStrategy(t, load, coordinatorAssigned, hop)
			require.Less(t, with.mean, without.mean)
			require.Less(t, with.p95, without.p95)
			require.Less(t, with.longest, without.longest)
			require.Less(t, with.misqueued, without.misqueued)
		}
	}
}
