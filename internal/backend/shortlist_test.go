package backend

import (
	"fmt"
	"slices"
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

// zonesSeenFrom names the zones of workers that lie in three zones by turns, as a node
// of one of them sees it: its own is "z".
func zonesSeenFrom(zone, workers int) []string {
	zones := make([]string, workers)
	for index := range zones {
		zones[index] = []string{"z", "y", "x"}[(index+zone)%3]
	}
	return zones
}

// TestNodeSendsPlainRequestsToFewWorkers: its connections are used again. Many nodes
// together use most workers, none of them too much; requests for one object are
// spread by that.
func TestNodeSendsPlainRequestsToFewWorkers(t *testing.T) {
	const workers, nodes, requests = 99, 66, 200
	total := map[string]int{}
	for node := range nodes {
		registry := registryOf(Options{Node: fmt.Sprint("node", node)}, workers, zonesSeenFrom(node%3, workers)...)
		mine, objects := map[string]int{}, map[string]int{}
		for request := range requests {
			query := Query{Service: "s", Key: fmt.Sprint("r", request)}
			mine[choose(t, registry, query)]++
			query.SameObject = true
			objects[choose(t, registry, query)]++
		}
		require.Len(t, mine, shortlisted, "of the zone, all alike")
		require.Greater(t, len(objects), workers/4, "most of the zone")
		for worker, count := range mine {
			total[worker] += count
		}
	}
	require.Greater(t, len(total), workers*9/10)
	for worker, count := range total {
		require.Less(t, count, 3*nodes*requests/workers, worker)
	}
}

// TestWorkersThatDeclineMakeRoom: a node is not bound to the workers that it prefers,
// whatever their number.
func TestWorkersThatDeclineMakeRoom(t *testing.T) {
	for workers := lookAtAll + 1; workers < 4*lookAtAll; workers++ {
		registry := registryOf(Options{Node: "n"}, workers, zonesSeenFrom(0, workers)...)
		var declined []string
		for range workers {
			declined = append(declined, choose(t, registry, Query{Service: "s", Key: "r", Exclude: declined}))
		}
		slices.Sort(declined)
		require.Len(t, slices.Compact(declined), workers)
	}
}
