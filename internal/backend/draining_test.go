package backend

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cloverwheel/cloverwheel/internal/eligibility"
)

// drainPeriod is how long the workers of these tests serve after the list has accepted that they drain.
const drainPeriod = 2 * time.Second

// drainRegistry returns a registry with a clock set by hand. It knows that no entry of revision 2 or later was listed before a time.
func drainRegistry(notListedBefore time.Time) (registry *Registry, now *time.Time) {
	clock := notListedBefore
	registry = NewRegistry(Options{Zone: "z", Zones: testPlaces(), Now: func() time.Time { return clock }, Drain: DrainOptions{
		Period:          drainPeriod,
		NotListedBefore: func(revision uint64) (time.Time, bool) { return notListedBefore, revision >= 2 },
	}})
	return registry, &clock
}

func drainingEntry(id string, revision uint64) Record {
	return Record{ID: id, Service: "s", Address: id, Zone: "z", Slots: 4, Revision: revision, Draining: true}
}

func readyEntry(id string, revision uint64) Record {
	entry := drainingEntry(id, revision)
	entry.Draining = false
	return entry
}

// Guards against requests to a draining worker for longer than it is known to serve: time counts from when the list can have accepted that it
// drains, not from when this node heard of it.
func TestDrainingWorkerServesFromTheEarliestTime(t *testing.T) {
	begun := time.Now()
	registry, now := drainRegistry(begun)
	registry.Put(readyEntry("w", 1))
	*now = begun.Add(time.Second) // this node hears late
	registry.Put(drainingEntry("w", 2))
	worker, _ := registry.WorkerByKey("w")
	require.Equal(t, drainPeriod-time.Second-sendMargin, worker.DrainTimeLeft())
	*now = begun.Add(drainPeriod - sendMargin)
	require.False(t, worker.ServesWhileDraining())
	*now = begun
	registry.Put(readyEntry("w", 3))
	require.False(t, worker.ServesWhileDraining(), "it is ready again")
}

// Guards against requests to a worker of which this node cannot tell since when it drains.
func TestDrainOfUnknownBeginGivesNoTime(t *testing.T) {
	moved, cold := drainingEntry("w", 2), drainingEntry("w", 2)
	moved.Slots, cold.ColdRemaining = 5, time.Second
	for name, entries := range map[string][]Record{
		"it drained when this node first heard of it": {drainingEntry("w", 2)},
		"its slots changed, too":                      {readyEntry("w", 1), moved},
		"its cold start changed, too":                 {readyEntry("w", 1), cold},
		"no time is known for the entry":              {readyEntry("w", 0), drainingEntry("w", 1)},
	} {
		t.Run(name, func(t *testing.T) {
			registry, _ := drainRegistry(time.Now())
			for _, entry := range entries {
				registry.Put(entry)
			}
			worker, _ := registry.WorkerByKey("w")
			require.False(t, worker.ServesWhileDraining())
			require.Nil(t, registry.ChooseDraining(Query{Service: "s"}))
		})
	}
}

// Guards against a later entry of a draining worker that gives it more time.
func TestLaterEntriesOfADrainingWorkerGiveNoMoreTime(t *testing.T) {
	registry, now := drainRegistry(time.Now())
	registry.Put(readyEntry("w", 1))
	registry.Put(drainingEntry("w", 2))
	worker, _ := registry.WorkerByKey("w")
	*now = now.Add(drainPeriod)
	registry.Put(drainingEntry("w", 3))
	require.Zero(t, worker.DrainTimeLeft())
}

// Guards against work for draining workers that others can do, and against draining workers that may not get the request.
func TestChooseDraining(t *testing.T) {
	registry, now := drainRegistry(time.Now())
	for _, id := range []string{"a", "b", "ready"} {
		registry.Put(readyEntry(id, 1))
	}
	for _, id := range []string{"a", "b"} {
		registry.Put(drainingEntry(id, 2))
	}
	ready, _ := registry.WorkerByKey("ready")
	require.Nil(t, registry.ChooseDraining(Query{Service: "s"}), "another worker can serve")
	require.Equal(t, "b", registry.ChooseDraining(Query{Service: "s", Home: "b", Exclude: []string{"ready"}}).Key(), "it has the context cached")
	require.Equal(t, "a", registry.ChooseDraining(Query{Service: "s", Only: []string{"a"}}).Key())
	require.Nil(t, registry.ChooseDraining(Query{Service: "s", Only: []string{"ready"}}))
	require.Nil(t, registry.ChooseDraining(Query{Service: "s", Versions: eligibility.OnlyVersions("v2")}))
	require.Nil(t, registry.ChooseDraining(Query{Service: "s", Exclude: []string{"a", "b", "ready"}}))
	ready.RecordRefusal(*now)
	require.Nil(t, registry.ChooseDraining(Query{Service: "s"}), "it was at capacity a moment ago, and may not be now")
	ready.RecordUnreachable(*now)
	first := registry.ChooseDraining(Query{Service: "s"})
	require.NotNil(t, first)
	defer first.Begin()()
	require.NotEqual(t, first, registry.ChooseDraining(Query{Service: "s"}), "requests are spread")
}
