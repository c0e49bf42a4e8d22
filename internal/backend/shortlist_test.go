package backend

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestFirstTurnsSpreadEvenly: beyond lookAtAll workers, those of one zone get the
// first turns of its programs in like measure, wherever they stand in the list.
func TestFirstTurnsSpreadEvenly(t *testing.T) {
	const workers, programs = 45, 9000
	zones := make([]string, workers)
	for index := range zones {
		zones[index] = []string{"z", "z", "y", "x", "z", "y", "y", "x", "x"}[index%9]
	}
	registry := registryOf(Options{}, workers, zones...)
	chosen := map[string]int{}
	for program := range programs {
		chosen[choose(t, registry, turn(func(q *Query) { q.Key = fmt.Sprint("p", program) }))]++
	}
	const near = workers / 3
	require.Len(t, chosen, near, "only workers of the zone")
	for worker, count := range chosen {
		require.InDelta(t, programs/near, count, 0.25*programs/near, worker)
	}
}

// TestShortlistReachesBeyondTheZone: when the zone's workers may not be asked,
// others are, and the home is always among those looked at.
func TestShortlistReachesBeyondTheZone(t *testing.T) {
	zones := make([]string, 40)
	for index := range zones {
		zones[index] = "y"
	}
	zones[7], zones[21] = "z", "z"
	registry := registryOf(Options{}, len(zones), zones...)
	require.Contains(t, []string{"w7", "w21"}, choose(t, registry, turn(nil)))
	away := choose(t, registry, turn(func(q *Query) { q.Exclude = []string{"w7", "w21"} }))
	require.NotContains(t, []string{"w7", "w21"}, away)
	for index := range zones {
		home := fmt.Sprint("w", index)
		require.Equal(t, home, choose(t, registry, turn(func(q *Query) { q.Home = home })))
	}
}
