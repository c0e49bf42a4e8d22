package server

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cloverwheel/cloverwheel/internal/backend"
	"github.com/cloverwheel/cloverwheel/internal/capacity"
	"github.com/cloverwheel/cloverwheel/internal/locality"
	"github.com/cloverwheel/cloverwheel/internal/route"
)

// newTestCapacityTracker returns the tracker of a node in zone a, with the given number of workers of
// each of two services in each zone.
func newTestCapacityTracker(perZone map[string]int) *capacityTracker {
	zones := locality.NewMap(map[string]string{"a": "one", "b": "one", "c": "other"})
	tracker := &capacityTracker{
		location: locality.Location{Zones: zones, Zone: "a"},
		workers:  backend.NewRegistry(backend.Options{Zone: "a", Zones: zones}),
		service: func(name string) route.Service {
			if name == "plain" {
				return route.Service{Name: name}
			}
			return route.Service{Name: name, MaxConcurrency: 6, MemoryTokens: 1000}
		},
		workersComplete: func() bool { return true },
	}
	for zone, count := range perZone {
		for index := range count {
			for _, service := range []string{"s", "plain"} {
				id := fmt.Sprint(service, zone, index)
				tracker.workers.Put(backend.Record{ID: id, Service: service, Address: id, Zone: zone, Revision: 1})
			}
		}
	}
	return tracker
}

// Guards against workers in no group or in several, and against groups that are too large or too
// many.
func TestEachWorkerIsInOneGroup(t *testing.T) {
	for _, count := range []int{1, 11, 16, 17, 45, 140, 560} {
		tracker := newTestCapacityTracker(map[string]int{"a": count, "b": 3})
		seen := map[string]int{}
		groups := capacity.GroupCount(count)
		require.LessOrEqual(t, groups, max(1, count/8))
		for number := range groups {
			members, ok := tracker.members(capacity.Group{Service: "s", Zone: "a", Number: number})
			require.True(t, ok)
			require.LessOrEqual(t, len(members), 3*16/2)
			for _, member := range members {
				seen[member.Worker]++
				require.Equal(t, 6, member.Concurrency)
				require.Equal(t, 1000, member.Memory)
				group, ok := tracker.GroupOf("s", member.Worker)
				require.True(t, ok)
				require.Equal(t, number, group.Number)
			}
		}
		require.Len(t, seen, count)
	}
}

// Guards against tracking capacity for a service that does not configure it, or with an
// incomplete worker list.
func TestCapacityIsTrackedOnlyForConfiguredServices(t *testing.T) {
	tracker := newTestCapacityTracker(map[string]int{"a": 3})
	_, ok := tracker.GroupIn("s", "a", "key")
	require.True(t, ok)
	_, ok = tracker.GroupIn("plain", "a", "key")
	require.False(t, ok)
	_, ok = tracker.GroupIn("s", "c", "key")
	require.False(t, ok, "zone without workers")
	_, ok = tracker.GroupOf("s", "plaina0")
	require.False(t, ok, "worker of another service")
	tracker.workersComplete = func() bool { return false }
	_, ok = tracker.GroupIn("s", "a", "key")
	require.False(t, ok)
	_, ok = tracker.members(capacity.Group{Service: "s", Zone: "a"})
	require.False(t, ok)
}

// Guards against placing requests on draining workers, or on workers that have just declined one.
func TestDrainingWorkersAreNotMembers(t *testing.T) {
	tracker := newTestCapacityTracker(map[string]int{"a": 3})
	tracker.workers.Put(backend.Record{ID: "sa1", Service: "s", Address: "sa1", Zone: "a", Draining: true, Revision: 2})
	members, _ := tracker.members(capacity.Group{Service: "s", Zone: "a"})
	require.Len(t, members, 2)
	worker, _ := tracker.workers.WorkerByKey("sa0")
	require.Empty(t, tracker.Excluded(capacity.Group{Service: "s", Zone: "a"}))
	worker.RecordRefusal(time.Now())
	require.Equal(t, []string{"sa0"}, tracker.Excluded(capacity.Group{Service: "s", Zone: "a"}))
}

// Guards against overflow to zones of another region.
func TestOtherZonesListsZonesOfTheRegion(t *testing.T) {
	tracker := newTestCapacityTracker(map[string]int{"a": 1, "b": 1, "c": 1})
	others := tracker.OtherZones("s", "a")
	require.Len(t, others, 1)
	require.Equal(t, "b", others[0].Zone)
	require.Positive(t, others[0].RoundTrip)
}
