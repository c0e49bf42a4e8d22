package backend

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// newPrefixWorkersRegistry returns a registry with workers in two zones of the node's region and in one
// zone of another region. Four workers of each zone are assigned to cache the shared prefix.
func newPrefixWorkersRegistry() (registry *Registry, prefixWorkers []string) {
	updates := fleetUpdates(200, "z", "a2", "b1")
	registry = NewRegistry(Options{Zone: "z", Zones: testPlaces()})
	registry.Apply(updates)
	for _, update := range updates[:12] {
		prefixWorkers = append(prefixWorkers, update.Record.ID)
	}
	return registry, prefixWorkers
}

// First turns must go to prefix workers of the node's zone, while these are full to those of its region,
// and only when all are full to workers without the prefix.
func TestFirstTurnsGoToPrefixWorkers(t *testing.T) {
	registry, prefixWorkers := newPrefixWorkersRegistry()
	zoneOf := func(worker *Worker) string { return worker.zone }
	first := func(program int) *Worker {
		query := Query{Service: "s", Key: fmt.Sprint("program", program), Prompt: 14_000, Shared: 12_600, Output: 100, PrefixWorkers: prefixWorkers}
		worker, err := registry.Choose(query)
		require.NoError(t, err)
		return worker
	}
	seen := map[string]bool{}
	for program := range 100 {
		worker := first(program)
		require.Contains(t, prefixWorkers, worker.id)
		require.Equal(t, "z", zoneOf(worker))
		seen[worker.id] = true
	}
	require.Len(t, seen, 4, "all prefix workers of the zone share the load")
	for _, id := range prefixWorkers {
		if worker := registry.get(id); worker.zone == "z" {
			worker.RecordRefusal(time.Now().Add(time.Minute))
		}
	}
	for program := range 20 {
		worker := first(program)
		require.Contains(t, prefixWorkers, worker.id)
		require.Equal(t, "a2", zoneOf(worker), "workers of other regions are not used")
	}
	for _, id := range prefixWorkers {
		registry.get(id).RecordRefusal(time.Now().Add(time.Minute))
	}
	for program := range 20 {
		require.NotContains(t, prefixWorkers, first(program).id)
	}
}

// Guards against moving a program from its cached context, which is larger than the shared prefix.
func TestHomeComesBeforePrefixWorkers(t *testing.T) {
	registry, prefixWorkers := newPrefixWorkersRegistry()
	home := registry.Workers("s")[50].key
	worker, err := registry.Choose(Query{Service: "s", Key: "p", Prompt: 14_000, Shared: 12_600, Home: home, PrefixWorkers: prefixWorkers})
	require.NoError(t, err)
	require.Equal(t, home, worker.key)
}
