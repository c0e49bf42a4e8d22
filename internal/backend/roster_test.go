package backend

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cloverwheel/cloverwheel/internal/locality"
)

// fleetUpdates returns entries of one service, spread over zones.
func fleetUpdates(size int, zones ...string) []Update {
	updates := make([]Update, size)
	for index := range updates {
		updates[index].Record = Record{
			ID: fmt.Sprintf("i-%08x", uint32(index)*2654435761), Service: "s", Zone: zones[index%len(zones)],
			Address: fmt.Sprintf("10.0.%d.%d:80", index>>8, index&0xff), Slots: 6, Revision: uint64(index + 1),
		}
	}
	return updates
}

// Guards against rosters that depend on how changes were batched or ordered.
func TestRosterStaysSorted(t *testing.T) {
	places := locality.NewMap(map[string]string{"z": "one", "y": "one", "x": "other"})
	rapid.Check(t, func(t *rapid.T) {
		registry := NewRegistry(Options{Zone: "z", Zones: places})
		revision := uint64(0)
		want := map[string]Record{}
		for range rapid.IntRange(1, 8).Draw(t, "batches") {
			var updates []Update
			for range rapid.IntRange(0, 12).Draw(t, "updates") {
				revision++
				record := Record{
					ID: fmt.Sprint("w", rapid.IntRange(0, 9).Draw(t, "id")), Service: rapid.SampledFrom([]string{"s", "t"}).Draw(t, "service"),
					Zone: rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "zone"), StartedAt: startTime(int64(revision)), Revision: revision,
				}
				end := rapid.SampledFrom([]End{NotEnded, NotEnded, Removed, Unusable}).Draw(t, "end")
				updates = append(updates, Update{Record: record, End: end})
				delete(want, record.ID)
				if end == NotEnded {
					want[record.ID] = record
				}
			}
			registry.Apply(updates)
		}
		for _, service := range []string{"s", "t"} {
			var workers []*Worker
			for _, record := range want {
				if record.Service == service {
					workers = append(workers, registry.newWorker(record, registry.options.Now()))
				}
			}
			expected, got := newRoster(workers), registry.services[service]
			keys := func(r roster) (keys []string) {
				for _, worker := range r.workers {
					keys = append(keys, worker.key)
				}
				return keys
			}
			require.Equal(t, keys(expected), keys(got))
			require.Equal(t, []int{expected.sameZone, expected.sameRegion}, []int{got.sameZone, got.sameRegion})
			require.Subset(t, got.zones, expected.zones)
		}
	})
}

// listPageSize is the number of entries that are read at a time.
const listPageSize = 500

func loadInPages(registry *Registry, updates []Update) {
	for page := range slices.Chunk(updates, listPageSize) {
		registry.Apply(page)
	}
}

// BenchmarkFirstReading applies the initial worker list page by page.
func BenchmarkFirstReading(b *testing.B) {
	for _, size := range []int{1000, 10_000, 20_000} {
		updates := fleetUpdates(size, "a", "b", "c", "d", "e")
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				loadInPages(NewRegistry(Options{Zone: "a"}), updates)
			}
		})
	}
}

// BenchmarkOneReplaced replaces one worker by another.
func BenchmarkOneReplaced(b *testing.B) {
	for _, size := range []int{1000, 10_000, 20_000} {
		updates := fleetUpdates(size, "a", "b", "c", "d", "e")
		registry := NewRegistry(Options{Zone: "a"})
		loadInPages(registry, updates)
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			for round := 0; b.Loop(); round++ {
				removed, added := updates[round%2], updates[(round+1)%2]
				added.Record.Revision = uint64(size + round + 1)
				registry.Apply([]Update{{Record: Record{ID: removed.Record.ID}, End: Removed}, added})
			}
		})
	}
}

// BenchmarkChoose chooses workers for first turns and for turns with cached context, half each.
func BenchmarkChoose(b *testing.B) {
	places := locality.NewMap(map[string]string{"a": "r", "b": "r", "c": "r", "d": "r", "e": "r"})
	for _, size := range []int{100, 1000, 10_000, 20_000} {
		updates := fleetUpdates(size, "a", "b", "c", "d", "e")
		registry := NewRegistry(Options{Zone: "a", Zones: places})
		loadInPages(registry, updates)
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			for round := 0; b.Loop(); round++ {
				query := Query{Service: "s", Key: fmt.Sprint("program", round), Prompt: 14000, Shared: 12600, Output: 100}
				if round%2 == 0 {
					query.Home = updates[round%size].Record.ID
				}
				if _, err := registry.Choose(query); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
