package streamorigin

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cloverwheel/cloverwheel/internal/budget"
	"github.com/cloverwheel/cloverwheel/internal/id"
	"github.com/cloverwheel/cloverwheel/internal/locality"
)

const (
	// copies is the number of nodes that a record is sent to.
	copies = 2
	// asked is the number of nodes of a region that are asked for a record: one more than copies, since one of
	// those may have been unreachable, or may have become known to one of the two nodes only.
	asked = copies + 1
)

// Rank orders nodes by the hash of their address and the stream (rendezvous hashing): all nodes that know the same others
// compute the same order. The second is in another zone than the first if there is one, so that records outlast a zone.
func Rank(stream uint64, nodes []budget.Holder) []budget.Holder {
	type scored struct {
		node  budget.Holder
		score uint64
	}
	key := strconv.FormatUint(stream, 16)
	all := make([]scored, 0, len(nodes))
	for _, node := range nodes {
		all = append(all, scored{node, id.Score(key, node.Address)})
	}
	slices.SortFunc(all, func(a, b scored) int { return cmp.Compare(b.score, a.score) })
	ranked := make([]budget.Holder, 0, len(all))
	for _, one := range all {
		ranked = append(ranked, one.node)
	}
	if len(ranked) == 0 {
		return ranked
	}
	elsewhere := slices.IndexFunc(ranked, func(node budget.Holder) bool { return node.Zone() != ranked[0].Zone() })
	if elsewhere > 1 {
		moved := ranked[elsewhere]
		ranked = slices.Insert(slices.Delete(ranked, elsewhere, elsewhere+1), 1, moved)
	}
	return ranked
}

// ByRegion groups nodes by their region; the node's own region comes first, if it has other nodes.
func ByRegion(location locality.Location, nodes []budget.Holder) (groups [][]budget.Holder) {
	own := location.OwnRegion()
	regions := map[string][]budget.Holder{}
	for _, node := range nodes {
		region := location.Zones.Region(node.Zone())
		regions[region] = append(regions[region], node)
	}
	if len(regions[own]) > 0 {
		groups = append(groups, regions[own])
	}
	delete(regions, own)
	for _, group := range regions {
		groups = append(groups, group)
	}
	return groups
}
