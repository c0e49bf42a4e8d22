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

// newTestRoomTracker returns the tracker of a node in zone a, with the given number of workers of
// each of two services in each zone.
func newTestRoomTracker(perZone map[string]int) *roomTracker {
	places := locality.NewMap(map[string]string{"a": "one", "b": "one", "c": "other"})
	r := &roomTracker{
		vantage: locality.Location{Zones: places, Zone: "a"},
		workers: backend.NewRegistry(backend.Options{Zone: "a", Places: places}),
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
				r.workers.Put(backend.Record{ID: id, Service: service, Address: id, Zone: zone, Revision: 1})
			}
		}
	}
	return r
}

// Guards against workers in no group or in several, and against groups that are too large or too
// many.
func TestEachWorkerIsInOneGroup(t *testing.T) {
	for _, count := range []int{1, 11, 16, 17, 45, 140, 560} {
		r := newTestRoomTracker(map[string]int{"a": count, "b": 3})
		seen := map[string]int{}
		groups := capacity.GroupCount(count)
		require.LessOrEqual(t, groups, max(1, count/8))
		for number := range groups {
			members, ok := r.members(capacity.Group{Service: "s", Zone: "a", Number: number})
			require.True(t, ok)
			require.LessOrEqual(t, len(members), 3*16/2)
			for _, member := range members {
				seen[member.Worker]++
				require.Equal(t, 6, member.Concurrency)
				require.Equal(t, 1000, member.Memory)
				group, ok := r.GroupOf("s", member.Worker)
				require.True(t, ok)
				require.Equal(t, number, group.Number)
			}
		}
		require.Len(t, seen, count)
	}
}

// Guards against tracking capacity for a service that does not configure it, or with an
// incomplete worker list.
func TestRoomIsTrackedOnlyForConfiguredServices(t *testing.T) {
	r := newTestRoomTracker(map[string]int{"a": 3})
	_, ok := r.GroupIn("s", "a", "key")
	require.True(t, ok)
	_, ok = r.GroupIn("plain", "a", "key")
	require.False(t, ok)
	_, ok = r.GroupIn("s", "c", "key")
	require.False(t, ok, "zone without workers")
	_, ok = r.GroupOf("s", "plaina0")
	require.False(t, ok, "worker of another service")
	r.workersComplete = func() bool { return false }
	_, ok = r.GroupIn("s", "a", "key")
	require.False(t, ok)
	_, ok = r.members(capacity.Group{Service: "s", Zone: "a"})
	require.False(t, ok)
}

// Guards against placing requests on draining workers, or on workers that have just declined one.
func TestDrainingWorkersAreNotMembers(t *testing.T) {
	r := newTestRoomTracker(map[string]int{"a": 3})
	r.workers.Put(backend.Record{ID: "sa1", Service: "s", Address: "sa1", Zone: "a", Draining: true, Revision: 2})
	members, _ := r.members(capacity.Group{Service: "s", Zone: "a"})
	require.Len(t, members, 2)
	worker, _ := r.workers.WorkerByKey("sa0")
	require.Empty(t, r.Excluded(capacity.Group{Service: "s", Zone: "a"}))
	worker.RecordRefusal(time.Now())
	require.Equal(t, []string{"sa0"}, r.Excluded(capacity.Group{Service: "s", Zone: "a"}))
}

// Guards against overflow to zones of another region.
func TestOthersListsZonesOfTheRegion(t *testing.T) {
	r := newTestRoomTracker(map[string]int{"a": 1, "b": 1, "c": 1})
	others := r.OtherZones("s", "a")
	require.Len(t, others, 1)
	require.Equal(t, "b", others[0].Zone)
	require.Positive(t, others[0].RoundTrip)
}
