package streamorigin

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cloverwheel/cloverwheel/internal/budget"
	"github.com/cloverwheel/cloverwheel/internal/locality"
)

// Guards against records that end before clients do, and against records that are kept for good.
func TestRecordsAreKeptForTheirTime(t *testing.T) {
	start := time.Unix(1000, 0)
	r := newRecords(start)
	r.put(1, Origin{Version: "v1"}, start)
	_, ok := r.get(1, start.Add(recordTTL))
	require.True(t, ok)
	_, ok = r.get(1, start.Add(2*recordTTL-time.Millisecond))
	require.True(t, ok)
	_, ok = r.get(1, start.Add(2*recordTTL))
	require.False(t, ok)

	r = newRecords(start)
	r.put(1, Origin{Version: "v1"}, start)
	_, ok = r.get(1, start.Add(time.Hour))
	require.False(t, ok)
}

// Guards against a record whose version a later record changes: the client has an event of the first.
func TestVersionOfARecordStays(t *testing.T) {
	now := time.Unix(1000, 0)
	r := newRecords(now)
	r.put(1, Origin{Version: "v1", Worker: "a"}, now)
	r.put(1, Origin{Version: "v2", Worker: "b"}, now)
	origin, _ := r.get(1, now)
	require.Equal(t, Origin{Version: "v1", Worker: "b"}, origin)
}

// Guards against memory that grows with the rate of streams.
func TestRecordsAreBounded(t *testing.T) {
	now := time.Unix(1000, 0)
	r := newRecords(now)
	for stream := range uint64(3 * maxRecords) {
		r.put(stream, Origin{}, now)
		require.LessOrEqual(t, len(r.newer)+len(r.older), maxRecords)
	}
}

// Guards against nodes that look for a record where no other node put it, also when they know different nodes, and against both
// copies in one zone.
func TestNodesAgreeOnTheHoldersOfARecord(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		stream := rapid.Uint64().Draw(t, "stream")
		var nodes []budget.Holder
		zones := rapid.IntRange(1, 4).Draw(t, "zones")
		for number := range rapid.IntRange(3, 40).Draw(t, "nodes") {
			zone := fmt.Sprint("zone-", number%zones)
			nodes = append(nodes, budget.Holder{Process: locality.ProcessName(zone, fmt.Sprint("n", number), "1"), Address: fmt.Sprint("10.0.0.", number)})
		}
		ranked := Rank(stream, nodes)
		require.ElementsMatch(t, nodes, ranked)
		if zones > 1 {
			require.NotEqual(t, ranked[0].Zone(), ranked[1].Zone())
		}
		shuffled := rapid.Permutation(nodes).Draw(t, "order")
		require.Equal(t, ranked, Rank(stream, shuffled))

		sender, asker := rapid.SampledFrom(nodes).Draw(t, "sender"), rapid.SampledFrom(nodes).Draw(t, "asker")
		holders := Rank(stream, without(nodes, sender))[:copies]
		askedNodes := append(Rank(stream, without(nodes, asker))[:min(asked, len(nodes)-1)], asker) // it looks at its own records first
		require.True(t, slices.ContainsFunc(holders, func(holder budget.Holder) bool { return slices.Contains(askedNodes, holder) }))
	})
}

func without(nodes []budget.Holder, one budget.Holder) []budget.Holder {
	return slices.DeleteFunc(slices.Clone(nodes), func(node budget.Holder) bool { return node == one })
}
