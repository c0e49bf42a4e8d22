package backend

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cloverwheel/cloverwheel/internal/locality"
)

// regionsOf are workers in zones of three regions by turns, as seen from zone z.
func regionsOf(options Options, workers int) *Registry {
	zones := make([]string, workers)
	for index := range zones {
		zones[index] = []string{"z", "b1", "c1", "a2", "b2", "c2"}[index%6]
	}
	options.Places = testPlaces()
	return registryOf(options, workers, zones...)
}

// sizes of a service: all workers are ranked, or a shortlist is.
var sizes = []int{12, 6 * lookAtAll}

func distanceOf(r *Registry, worker string) locality.Distance { return r.get(worker).distance }

// near lists the workers of the registry's region.
func (r *Registry) near() (near []*Worker) {
	return r.services["s"].workers[:r.services["s"].region]
}

func TestNoRequestLeavesItsRegionOnACalmDay(t *testing.T) {
	for _, workers := range sizes {
		registry := regionsOf(Options{}, workers)
		for zone, took := range map[string]time.Duration{"z": 9, "a2": 9, "b1": 0, "c1": 0} { // whatever was measured
			for range enoughSeen {
				registry.ways.Observe(zone, took*time.Millisecond)
			}
		}
		for program := range 500 {
			query := turn(func(q *Query) { q.Key = fmt.Sprint(program) })
			require.NotEqual(t, locality.OtherRegion, distanceOf(registry, choose(t, registry, query)))
			query = Query{Key: fmt.Sprint(program)}
			require.NotEqual(t, locality.OtherRegion, distanceOf(registry, choose(t, registry, query)))
		}
	}
}

func TestRequestsCrossWhenTheRegionCannotTakeThem(t *testing.T) {
	for name, test := range map[string]struct {
		given  func(*Registry, *Worker)
		reason Reason
	}{
		"full by their own word": {func(_ *Registry, w *Worker) { w.Declined(time.Now()) }, ReasonFull},
		"full by this node's":    {func(_ *Registry, w *Worker) { w.running = w.record.Slots + 200 }, ReasonFull},
		"out of reach":           {func(_ *Registry, w *Worker) { w.Unreachable(time.Now()) }, ReasonFull},
		"leaving":                {func(r *Registry, w *Worker) { drains(w.id)(r) }, ReasonNone},
	} {
		for _, workers := range sizes {
			t.Run(fmt.Sprint(name, " ", workers), func(t *testing.T) {
				registry := regionsOf(Options{}, workers)
				for _, worker := range registry.near() {
					worker.record.Slots = 8
					test.given(registry, worker)
				}
				query := turn(func(q *Query) { q.Service = "s" })
				chosen, err := registry.Choose(query)
				require.NoError(t, err)
				distance, reason := registry.Way(chosen, query)
				require.Equal(t, locality.OtherRegion, distance)
				require.Equal(t, test.reason, reason)
			})
		}
	}
}

func TestEvacuatedRegionIsLeft(t *testing.T) {
	registry := regionsOf(Options{Evacuated: func(zone string) bool { return zone == "z" || zone == "a2" }}, 12)
	query := turn(func(q *Query) { q.Service = "s" })
	chosen, err := registry.Choose(query)
	require.NoError(t, err)
	distance, reason := registry.Way(chosen, query)
	require.Equal(t, locality.OtherRegion, distance)
	require.Equal(t, ReasonNone, reason)
}

// TestContextInAnotherRegionIsReadAgainIfThatIsQuicker than the way there and back.
func TestContextInAnotherRegionIsReadAgainIfThatIsQuicker(t *testing.T) {
	for _, workers := range sizes {
		registry := regionsOf(Options{}, workers)
		home := func(fresh int) Query {
			return Query{Service: "s", Key: "p", Home: "w1", Prompt: 12_000 + fresh, Shared: 12_000, Output: 500}
		}
		require.NotEqual(t, "w1", choose(t, registry, home(700)), "some 4 ms")
		stays := home(40_000) // some 200 ms
		require.Equal(t, "w1", choose(t, registry, stays))
		distance, reason := registry.Way(registry.get("w1"), stays)
		require.Equal(t, locality.OtherRegion, distance)
		require.Equal(t, ReasonHome, reason)
	}
}

func TestOtherZoneOfTheRegionKeepsItsContexts(t *testing.T) {
	registry := regionsOf(Options{}, 12)
	query := Query{Key: "p", Home: "w3", Prompt: 12_700, Shared: 12_000, Output: 500}
	require.Equal(t, locality.SameRegion, distanceOf(registry, "w3"))
	require.Equal(t, "w3", choose(t, registry, query))
}
