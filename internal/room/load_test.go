package room

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// measure plays a load and tells what callers got.
func measure(t *testing.T, load float64, found way, hop time.Duration) measured {
	p := newPlay(t, found, hop)
	p.run(load)
	got := p.measured()
	t.Logf("load %.2f, %v to the keeper, %-8s: wait mean %v, p95 %v, longest %v; queued beside free places %.1f%%; declines %d, lost %d, most queued %d, held with a place free %d; taken %.2f",
		load, 2*hop, found, got.mean.Round(100*time.Microsecond), got.p95.Round(time.Millisecond), got.longest.Round(time.Millisecond),
		100*got.share, p.declines, p.lost, p.mostQueued, p.unserved, p.worked.Seconds()/loadLasts.Seconds()/loadWorkers/loadPlaces)
	if found == kept {
		require.Zero(t, p.unserved, "requests were held while the account had a free place")
		require.Zero(t, p.lost)
	}
	return got
}

// TestAKeeperFindsFreePlaces plays the load with each way to find a worker.
func TestAKeeperFindsFreePlaces(t *testing.T) {
	for _, load := range []float64{0.8, 0.95} {
		without := measure(t, load, blind, 0)
		for _, other := range []way{digests, exact} {
			measure(t, load, other, 0) // for the figures alone
		}
		for _, hop := range []time.Duration{time.Millisecond, 5 * time.Millisecond} {
			with := measure(t, load, kept, hop)
			require.Less(t, with.mean, without.mean)
			require.Less(t, with.p95, without.p95)
			require.Less(t, with.longest, without.longest)
			require.Less(t, with.share, without.share)
		}
	}
}
