package backend

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against shortlists that favor workers by their position in the list, with more than
// maxFullRanking workers.
func TestFirstTurnsAreSpreadEvenly(t *testing.T) {
	const workers, programs = 45, 9000
	zones := make([]string, workers)
	for index := range zones {
		zones[index] = []string{"z", "z", "y", "x", "z", "y", "y", "x", "x"}[index%9]
	}
	registry := newTestRegistry(Options{}, workers, zones...)
	chosen := map[string]int{}
	for program := range programs {
		chosen[choose(t, registry, modelCall(func(q *Query) { q.Key = fmt.Sprint("p", program) }))]++
	}
	const inZone = workers / 3
	require.Len(t, chosen, inZone, "only workers of the zone")
	for worker, count := range chosen {
		require.InDelta(t, programs/inZone, count, 0.25*programs/inZone, worker)
	}
}

// Other zones must be used when the workers of the node's zone are excluded, and the home must
// always be considered.
func TestShortlistIncludesOtherZonesAndHome(t *testing.T) {
	zones := make([]string, 40)
	for index := range zones {
		zones[index] = "y"
	}
	zones[7], zones[21] = "z", "z"
	registry := newTestRegistry(Options{}, len(zones), zones...)
	require.Contains(t, []string{"w7", "w21"}, choose(t, registry, modelCall(nil)))
	away := choose(t, registry, modelCall(func(q *Query) { q.Exclude = []string{"w7", "w21"} }))
	require.NotContains(t, []string{"w7", "w21"}, away)
	for index := range zones {
		home := fmt.Sprint("w", index)
		require.Equal(t, home, choose(t, registry, modelCall(func(q *Query) { q.Home = home })))
	}
}

// alternatingZones returns the zones of workers that alternate between three zones. The zone with the
// given number, 0 to 2, is the node's own and is named "z".
func alternatingZones(zone, workers int) []string {
	zones := make([]string, workers)
	for index := range zones {
		zones[index] = []string{"z", "y", "x"}[(index+zone)%3]
	}
	return zones
}

// Plain requests of a node must go to few workers, so that connections are reused, while many nodes
// together load most workers evenly. Requests for the same object are spread by object.
func TestNodeSendsPlainRequestsToFewWorkers(t *testing.T) {
	const workers, nodes, requests = 99, 66, 200
	total := map[string]int{}
	for node := range nodes {
		registry := newTestRegistry(Options{Node: fmt.Sprint("node", node)}, workers, alternatingZones(node%3, workers)...)
		plain, objects := map[string]int{}, map[string]int{}
		for request := range requests {
			query := Query{Service: "s", Key: fmt.Sprint("r", request)}
			plain[choose(t, registry, query)]++
			query.SameObject = true
			objects[choose(t, registry, query)]++
		}
		require.Len(t, plain, shortlistSize, "equal workers of the zone")
		require.Greater(t, len(objects), workers/4, "most workers of the zone")
		for worker, count := range plain {
			total[worker] += count
		}
	}
	require.Greater(t, len(total), workers*9/10)
	for worker, count := range total {
		require.Less(t, count, 3*nodes*requests/workers, worker)
	}
}

// Guards against nodes that use only their preferred workers even when these refuse requests.
func TestRefusingWorkersAreReplaced(t *testing.T) {
	for workers := maxFullRanking + 1; workers < 4*maxFullRanking; workers++ {
		registry := newTestRegistry(Options{Node: "n"}, workers, alternatingZones(0, workers)...)
		var refusing []string
		for range workers {
			refusing = append(refusing, choose(t, registry, Query{Service: "s", Key: "r", Exclude: refusing}))
		}
		slices.Sort(refusing)
		require.Len(t, slices.Compact(refusing), workers)
	}
}
