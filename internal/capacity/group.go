package capacity

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// targetGroupSize is the average number of workers per group above which a zone gets more groups. It
// is large enough that some worker of a group usually has capacity, and small enough to bound the
// messages that one coordinator handles.
const targetGroupSize = 16

// Group identifies a subset of the workers of a service in one zone.
type Group struct {
	Service string
	Zone    string
	Number  int
}

// GroupCount returns the number of groups for a zone's workers of a service. It is a power of two,
// so that it seldom changes.
func GroupCount(workers int) int {
	count := 1
	for count*targetGroupSize < workers {
		count *= 2
	}
	return count
}

// GroupNumber returns the group number for a name: a worker's ID, or the key of a new program.
func GroupNumber(name string, groups int) int {
	return int(xxhash.Sum64String(name) % uint64(max(groups, 1)))
}

// String returns the name of the group in log lines.
func (g Group) String() string { return g.Service + "/" + g.Zone + "/" + strconv.Itoa(g.Number) }

// rankSlots orders directory slots by rendezvous hashing. The owner of the first one should be the
// group's coordinator. All nodes compute the same order.
func (g Group) rankSlots(slots []int) []int {
	weights := make(map[int]uint64, len(slots))
	for _, slot := range slots {
		weights[slot] = xxhash.Sum64String(g.String() + "#" + strconv.Itoa(slot))
	}
	ordered := slices.Clone(slots)
	slices.SortFunc(ordered, func(a, b int) int {
		return cmp.Or(cmp.Compare(weights[b], weights[a]), cmp.Compare(a, b))
	})
	return ordered
}
