package backend

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// keepersRegistry has workers in two zones of the node's region and in one of another; of each, four
// are keepers.
func keepersRegistry() (registry *Registry, keepers []string) {
	updates := fleet(200, "z", "a2", "b1")
	registry = NewRegistry(Options{Zone: "z", Places: testPlaces()})
	registry.Apply(updates)
	for _, update := range updates[:12] {
		keepers = append(keepers, update.Record.ID)
	}
	return registry, keepers
}

// TestFirstTurnsGoToKeepers of what their prompts share: to those of the zone first, to others of the
// region while these are full, and to workers that must read it only once all are.
func TestFirstTurnsGoToKeepers(t *testing.T) {
	registry, keepers := keepersRegistry()
	zoneOf := func(worker *Worker) string { return worker.zone }
	first := func(program int) *Worker {
		query := Query{Service: "s", Key: fmt.Sprint("program", program), Prompt: 14_000, Shared: 12_600, Output: 100, Keepers: keepers}
		worker, err := registry.Choose(query)
		require.NoError(t, err)
		return worker
	}
	seen := map[string]bool{}
	for program := range 100 {
		worker := first(program)
		require.Contains(t, keepers, worker.id)
		require.Equal(t, "z", zoneOf(worker))
		seen[worker.id] = true
	}
	require.Len(t, seen, 4, "all of the zone's share the work")
	for _, id := range keepers {
		if worker := registry.get(id); worker.zone == "z" {
			worker.Declined(time.Now().Add(time.Minute))
		}
	}
	for program := range 20 {
		worker := first(program)
		require.Contains(t, keepers, worker.id)
		require.Equal(t, "a2", zoneOf(worker), "no other region's")
	}
	for _, id := range keepers {
		registry.get(id).Declined(time.Now().Add(time.Minute))
	}
	for program := range 20 {
		require.NotContains(t, keepers, first(program).id)
	}
}

// TestHomeComesBeforeKeepers: it has more of the context.
func TestHomeComesBeforeKeepers(t *testing.T) {
	registry, keepers := keepersRegistry()
	home := registry.Of("s")[50].key
	worker, err := registry.Choose(Query{Service: "s", Key: "p", Prompt: 14_000, Shared: 12_600, Home: home, Keepers: keepers})
	require.NoError(t, err)
	require.Equal(t, home, worker.key)
}
