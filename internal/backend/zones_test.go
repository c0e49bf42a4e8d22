package backend

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cloverwheel/cloverwheel/internal/eligibility"
	"github.com/cloverwheel/cloverwheel/internal/locality"
)

// evacuatedFunc returns an Options.Evacuated for the given zones.
func evacuatedFunc(zones ...string) func(string) bool {
	return func(zone string) bool { return slices.Contains(zones, zone) }
}

// Guards against loading only some of the remaining workers, whether all are ranked or a shortlist is,
// and also when the node's own zone is evacuated.
func TestEvacuatedZonesLoadIsSpreadOverAllOthers(t *testing.T) {
	const programs = 6000
	for _, c := range []struct {
		workers   int
		evacuated []string
	}{{12, []string{"z"}}, {90, []string{"z"}}, {90, []string{"z", "y"}}} {
		t.Run(fmt.Sprint(c), func(t *testing.T) {
			registry := newTestRegistry(Options{Evacuated: evacuatedFunc(c.evacuated...)}, c.workers, alternatingZones(0, c.workers)...)
			chosen := map[string]int{}
			for program := range programs {
				chosen[choose(t, registry, modelCall(func(q *Query) { q.Key = fmt.Sprint("p", program) }))]++
			}
			remaining := c.workers * (3 - len(c.evacuated)) / 3
			require.Len(t, chosen, remaining)
			for worker, count := range chosen {
				require.NotContains(t, c.evacuated, registry.get(worker).zone)
				require.InDelta(t, programs/remaining, count, 0.4*programs/float64(remaining), worker)
			}
		})
	}
}

// Guards against sending requests to an evacuated zone because their context is cached there.
func TestProgramLeavesEvacuatedHome(t *testing.T) {
	registry := newTestRegistry(Options{Evacuated: evacuatedFunc("y")}, 3, "y", "z", "z")
	require.NotEqual(t, "w0", choose(t, registry, modelCall(func(q *Query) { q.Home = "w0" })))
}

// A lingering worker must not be used while its zone is evacuated.
func TestRemovedWorkerOfEvacuatedZoneIsNotUsed(t *testing.T) {
	registry := newTestRegistry(Options{Evacuated: evacuatedFunc("z")}, 1)
	registry.Remove("w0")
	_, err := registry.Choose(Query{Service: "s"})
	require.Error(t, err)
	reason, _ := registry.ClosedReason("s", nil, nil)
	require.Equal(t, eligibility.Evacuated, reason)
}

// Guards against missing the only worker of an allowed region among many others.
func TestShortlistHonorsRegions(t *testing.T) {
	zones := alternatingZones(0, 60)
	zones[17] = "w"
	places := locality.NewMap(map[string]string{"z": "one", "y": "one", "x": "one", "w": "other"})
	registry := newTestRegistry(Options{Zones: places}, len(zones), zones...)
	for program := range 50 {
		query := modelCall(func(q *Query) { q.Key, q.Regions = fmt.Sprint(program), locality.Regions{"other"} })
		require.Equal(t, "w17", choose(t, registry, query))
	}
}

// The reason and the zones decide the remedy that a refused caller receives.
func TestWhyClosed(t *testing.T) {
	places := locality.NewMap(map[string]string{"z": "one", "y": "one", "x": "other"})
	for _, c := range []struct {
		name      string
		evacuated []string
		regions   locality.Regions
		only      []string
		reason    eligibility.Verdict
		zones     []string
	}{
		{name: "open"},
		{name: "one zone of three", evacuated: []string{"z"}},
		{name: "all zones", evacuated: []string{"x", "y", "z"}, reason: eligibility.Evacuated, zones: []string{"x", "y", "z"}},
		{name: "all of the region", evacuated: []string{"y", "z"}, regions: locality.Regions{"one"}, reason: eligibility.Evacuated, zones: []string{"y", "z"}},
		{name: "no worker in the region", regions: locality.Regions{"third"}, reason: eligibility.OutsideRegions},
		{name: "no region", regions: locality.Regions{}, reason: eligibility.OutsideRegions},
		{name: "all allowed workers", evacuated: []string{"z"}, only: []string{"w0"}, reason: eligibility.Evacuated, zones: []string{"z"}},
		{name: "an unknown zone", evacuated: []string{"nowhere"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			registry := newTestRegistry(Options{Zones: places, Evacuated: evacuatedFunc(c.evacuated...)}, 3, "z", "y", "x")
			reason, zones := registry.ClosedReason("s", c.regions, c.only)
			require.Equal(t, c.reason, reason)
			require.Equal(t, c.zones, zones)
		})
	}
}

// A service without workers may get some soon, so requests wait instead of failing.
func TestEmptyServiceIsNotClosed(t *testing.T) {
	now := time.Now()
	registry := newTestRegistry(Options{Now: func() time.Time { return now }}, 0)
	reason, _ := registry.ClosedReason("s", nil, nil)
	require.Equal(t, eligibility.Allowed, reason)
}
