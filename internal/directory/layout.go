package directory

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/cloverwheel/cloverwheel/internal/locality"
)

// Layout describes how the slots are numbered: a fixed number per region, with the regions in
// ascending order of their names. All nodes configured with the same zones compute the same
// layout. The zero value is the layout of a single region.
type Layout struct {
	regions []string
}

// NewLayout returns the layout of the regions in zoneMap; a nil map is a single region.
func NewLayout(zoneMap *locality.ZoneMap) Layout { return Layout{regions: zoneMap.Regions()} }

// SlotCount returns the number of slots of all regions.
func (l Layout) SlotCount() int { return l.count() * slotsPerRegion }

// RegionCount returns the number of regions that have slots, at least one.
func (l Layout) RegionCount() int { return l.count() }

func (l Layout) count() int { return max(1, len(l.regions)) }

// SlotIn returns the slot that a hash falls into, within a region. A region that is not in the layout
// shares the slots of one that is; the choice is the same on all nodes.
func (l Layout) SlotIn(region string, hash uint64) int {
	return l.index(region)*slotsPerRegion + SlotOf(hash)
}

// RoundRobinSlot returns the slot that a hash falls into, within the region number selector modulo
// the number of regions. It is for keys that have one slot over all regions instead of one per
// region; consecutive selectors spread them over the regions.
func (l Layout) RoundRobinSlot(selector, hash uint64) int {
	return int(selector%uint64(l.count()))*slotsPerRegion + SlotOf(hash)
}

// RegionOf returns the region of a slot; empty if the layout has no named regions.
func (l Layout) RegionOf(slot int) string {
	index := slot / slotsPerRegion
	if index >= len(l.regions) {
		return ""
	}
	return l.regions[index]
}

// index returns the index of a region; one that is not listed is mapped by hash.
func (l Layout) index(region string) int {
	if len(l.regions) == 0 {
		return 0
	}
	if index, listed := slices.BinarySearch(l.regions, region); listed {
		return index
	}
	return int(xxhash.Sum64String(region) % uint64(len(l.regions)))
}

// SlotsOf returns the slots of a region.
func (l Layout) SlotsOf(region string) []int {
	first := l.index(region) * slotsPerRegion
	listed := make([]int, slotsPerRegion)
	for offset := range listed {
		listed[offset] = first + offset
	}
	return listed
}
