package directory

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/cloverwheel/cloverwheel/internal/locality"
)

// Layout tells which slots there are: so many for each region, those of the regions in
// ascending order of their names. All nodes that know the same zones have the same
// layout. Its zero value, and that of no known regions, is the layout of one region.
type Layout struct {
	regions []string
}

// NewLayout is the layout of the regions of a map; nil is one region.
func NewLayout(places *locality.Map) Layout { return Layout{regions: places.Regions()} }

// Count is the number of slots of all regions.
func (l Layout) Count() int { return l.count() * slots }

// Regions is the number of regions that have slots, at least one.
func (l Layout) Regions() int { return l.count() }

// count is the number of regions.
func (l Layout) count() int { return max(1, len(l.regions)) }

// SlotIn is the slot of a region for whatever has the hash given. A region that is not
// listed shares the slots of one that is: all nodes agree on which.
func (l Layout) SlotIn(region string, hash uint64) int {
	return l.index(region)*slots + SlotOf(hash)
}

// Spread is a slot for whatever has the hash given in the region that turn picks: one of
// which there is only one over all regions. What follows one another by turn lies in as many
// regions as there are.
func (l Layout) Spread(turn, hash uint64) int {
	return int(turn%uint64(l.count()))*slots + SlotOf(hash)
}

// RegionOf is the region of a slot; empty if no regions are known.
func (l Layout) RegionOf(slot int) string {
	index := slot / slots
	if index >= len(l.regions) {
		return ""
	}
	return l.regions[index]
}

// index is the place of a region.
func (l Layout) index(region string) int {
	if len(l.regions) == 0 {
		return 0
	}
	if index, listed := slices.BinarySearch(l.regions, region); listed {
		return index
	}
	return int(xxhash.Sum64String(region) % uint64(len(l.regions)))
}

// Of lists the slots of a region.
func (l Layout) Of(region string) []int {
	first := l.index(region) * slots
	listed := make([]int, slots)
	for offset := range listed {
		listed[offset] = first + offset
	}
	return listed
}
