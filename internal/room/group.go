package room

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// mostInGroup bounds how many workers of a zone make a group, where it has as
// many: enough that some worker of a group usually has room, and so few that its keeper bears what
// the nodes send.
const mostInGroup = 16

// Group names some workers of a service that stand in a zone.
type Group struct {
	Service string
	Zone    string
	Number  int
}

// Groups is how many groups a zone's workers of a service fall into. It doubles as these grow, so
// that it seldom changes.
func Groups(workers int) int {
	groups := 1
	for groups*mostInGroup < workers {
		groups *= 2
	}
	return groups
}

// NumberOf is the number of the group of a worker, by its ID, or of a program that begins, by its
// key, where there are so many groups.
func NumberOf(name string, groups int) int {
	return int(xxhash.Sum64String(name) % uint64(max(groups, 1)))
}

// String names the group in log lines.
func (g Group) String() string { return g.Service + "/" + g.Zone + "/" + strconv.Itoa(g.Number) }

// slotOrder lists slots, those first whose owners should keep the group. All nodes agree on it.
func (g Group) slotOrder(slots []int) []int {
	weight := make(map[int]uint64, len(slots))
	for _, slot := range slots {
		weight[slot] = xxhash.Sum64String(g.String() + "#" + strconv.Itoa(slot))
	}
	ordered := slices.Clone(slots)
	slices.SortFunc(ordered, func(a, b int) int {
		return cmp.Or(cmp.Compare(weight[b], weight[a]), cmp.Compare(a, b))
	})
	return ordered
}
