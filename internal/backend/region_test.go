package backend

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cloverwheel/cloverwheel/internal/locality"
)

// newMultiRegionRegistry returns a registry in zone z whose workers alternate between zones of three regions.
func newMultiRegionRegistry(options Options, workers int) *Registry {
	zones := make([]string, workers)
	for index := range zones {
		zones[index] = []string{"z", "b1", "c1", "a2", "b2", "c2"}[index%6]
	}
	options.Zones = testPlaces()
	return newTestRegistry(options, workers, zones...)
}

// sizes are numbers of workers at which all are ranked and at which a shortlist is.
var sizes = []int{12, 6 * maxFullRanking}

func distanceOf(r *Registry, worker string) locality.Distance { return r.get(worker).distance }

// regionWorkers returns the workers of the registry's region.
func (r *Registry) regionWorkers() (workers []*Worker) {
	return r.services["s"].workers[:r.services["s"].sameRegion]
}

// Guards against leaving the region without need, whatever round trips were measured.
func TestRequestsStayInRegionWithoutLoad(t *testing.T) {
	for _, workers := range sizes {
		registry := newMultiRegionRegistry(Options{}, workers)
		for zone, took := range map[string]time.Duration{"z": 9, "a2": 9, "b1": 0, "c1": 0} { // the measurements favor the other regions
			for range minSamples {
				registry.roundTrips.Observe(zone, took*time.Millisecond)
			}
		}
		for program := range 500 {
			query := modelCall(func(q *Query) { q.Key = fmt.Sprint(program) })
			require.NotEqual(t, locality.OtherRegion, distanceOf(registry, choose(t, registry, query)))
			query = Query{Key: fmt.Sprint(program)}
			require.NotEqual(t, locality.OtherRegion, distanceOf(registry, choose(t, registry, query)))
		}
	}
}

// Guards against requests that wait or fail because their region has no capacity.
func TestRequestsLeaveRegionWithoutCapacity(t *testing.T) {
	for name, test := range map[string]struct {
		setup  func(*Registry, *Worker)
		reason CrossRegionReason
	}{
		"at capacity by refusals": {func(_ *Registry, w *Worker) { w.RecordRefusal(time.Now()) }, ReasonFull},
		"at capacity by count":    {func(_ *Registry, w *Worker) { w.running = w.record.Slots + 200 }, ReasonFull},
		"unreachable":             {func(_ *Registry, w *Worker) { w.RecordUnreachable(time.Now()) }, ReasonFull},
		"leaving":                 {func(r *Registry, w *Worker) { draining(w.id)(r) }, ReasonNone},
	} {
		for _, workers := range sizes {
			t.Run(fmt.Sprint(name, " ", workers), func(t *testing.T) {
				registry := newMultiRegionRegistry(Options{}, workers)
				for _, worker := range registry.regionWorkers() {
					worker.record.Slots = 8
					test.setup(registry, worker)
				}
				query := modelCall(func(q *Query) { q.Service = "s" })
				chosen, err := registry.Choose(query)
				require.NoError(t, err)
				distance, reason := registry.Distance(chosen, query)
				require.Equal(t, locality.OtherRegion, distance)
				require.Equal(t, test.reason, reason)
			})
		}
	}
}

// Guards against failing requests when the node's whole region is evacuated.
func TestRequestsLeaveEvacuatedRegion(t *testing.T) {
	registry := newMultiRegionRegistry(Options{Evacuated: func(zone string) bool { return zone == "z" || zone == "a2" }}, 12)
	query := modelCall(func(q *Query) { q.Service = "s" })
	chosen, err := registry.Choose(query)
	require.NoError(t, err)
	distance, reason := registry.Distance(chosen, query)
	require.Equal(t, locality.OtherRegion, distance)
	require.Equal(t, ReasonNone, reason)
}

// Context in another region must be recomputed locally if that takes less time than the round trip.
func TestRemoteContextIsRecomputedIfFaster(t *testing.T) {
	for _, workers := range sizes {
		registry := newMultiRegionRegistry(Options{}, workers)
		home := func(unshared int) Query {
			return Query{Service: "s", Key: "p", Home: "w1", Prompt: 12_000 + unshared, Shared: 12_000, Output: 500}
		}
		require.NotEqual(t, "w1", choose(t, registry, home(700)), "prefill takes about 4 ms")
		stays := home(40_000) // prefill of about 200 ms
		require.Equal(t, "w1", choose(t, registry, stays))
		distance, reason := registry.Distance(registry.get("w1"), stays)
		require.Equal(t, locality.OtherRegion, distance)
		require.Equal(t, ReasonHome, reason)
	}
}

// Guards against recomputing context that is cached in another zone of the region.
func TestContextInOtherZoneOfRegionIsUsed(t *testing.T) {
	registry := newMultiRegionRegistry(Options{}, 12)
	query := Query{Key: "p", Home: "w3", Prompt: 12_700, Shared: 12_000, Output: 500}
	require.Equal(t, locality.SameRegion, distanceOf(registry, "w3"))
	require.Equal(t, "w3", choose(t, registry, query))
}
