package backend

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cloverwheel/cloverwheel/internal/locality"
)

// testPlaces has three regions of two zones each; the tests run as a node in zone z.
func testPlaces() *locality.ZoneMap {
	return locality.NewMap(map[string]string{"z": "a", "a2": "a", "b1": "b", "b2": "b", "c1": "c", "c2": "c"})
}

func newTestEstimator() *RoundTripEstimator {
	return NewRoundTripEstimator(locality.Location{Zones: testPlaces(), Zone: "z"}, time.Now)
}

// Zones without samples must get the default of their distance.
func TestRoundTripDefaults(t *testing.T) {
	estimator := newTestEstimator()
	require.Zero(t, estimator.RoundTrip("z"))
	require.Equal(t, level(defaultSameRegion), estimator.RoundTrip("a2"))
	require.Equal(t, level(defaultOtherRegion), estimator.RoundTrip("b1"))
}

// Guards against estimates that follow delays of busy machines, or that never rise or expire.
func TestRoundTripFollowsRecentMinimum(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		estimator := newTestEstimator()
		observe := func(times ...time.Duration) {
			for _, took := range times {
				estimator.Observe("b1", took*time.Millisecond)
			}
		}
		_, changed := estimator.Observe("b1", 90*time.Millisecond)
		require.True(t, changed, "there was no estimate before")
		_, changed = estimator.Observe("b1", 70*time.Millisecond)
		require.False(t, changed)
		observe(300)
		require.Equal(t, level(defaultOtherRegion), estimator.RoundTrip("b1"), "there are too few samples")
		observe(80)
		require.Equal(t, level(70*time.Millisecond), estimator.RoundTrip("b1"))
		observe(24, 500, 500)
		require.Equal(t, level(24*time.Millisecond), estimator.RoundTrip("b1"), "longer samples do not count")
		for range 4 { // the round trip has become longer
			time.Sleep(20 * time.Second)
			observe(50, 55)
		}
		require.Equal(t, level(50*time.Millisecond), estimator.RoundTrip("b1"))
		time.Sleep(estimateTTL + time.Second)
		require.Equal(t, level(defaultOtherRegion), estimator.RoundTrip("b1"), "the estimate has expired")
	})
}

// Guards against counting the overhead of opening connections as distance, which every zone has.
func TestOwnZoneHasZeroRoundTrip(t *testing.T) {
	estimator := newTestEstimator()
	for range minSamples {
		estimator.Observe("z", 9*time.Millisecond)
		estimator.Observe("a2", 100*time.Microsecond)
	}
	require.Zero(t, estimator.RoundTrip("z"))
	require.Equal(t, level(0), estimator.RoundTrip("a2"))
}

// Guards against preferring a worker because of measurement noise.
func TestSimilarRoundTripsAreEqual(t *testing.T) {
	for _, pair := range [][2]float64{{0, 1.4}, {2.1, 2.8}, {23.7, 24.3}, {16, 31}} {
		one, other := time.Duration(pair[0]*float64(time.Millisecond)), time.Duration(pair[1]*float64(time.Millisecond))
		require.Equal(t, level(one), level(other), pair)
	}
	require.Positive(t, level(0), "another zone is never at zero distance")
	require.Less(t, level(2800*time.Microsecond), level(24*time.Millisecond))
}
