// Package locality maps zones to regions, classifies the distance between zones, and restricts the
// content of requests to regions.
package locality

import (
	"cmp"
	"maps"
	"slices"
	"strings"
)

// ZoneMap is an immutable mapping of zones to regions. A nil or zero ZoneMap has no zones.
type ZoneMap struct {
	regionOf map[string]string
	regions  []string
}

// NewMap returns a ZoneMap, given the region of each zone.
func NewMap(regionOfZone map[string]string) *ZoneMap {
	regions := slices.Collect(maps.Values(regionOfZone))
	slices.Sort(regions)
	return &ZoneMap{regionOf: maps.Clone(regionOfZone), regions: slices.Compact(regions)}
}

// Region returns the region of a zone. An unknown zone is a region of its own, so that content
// restricted to regions never goes there.
func (m *ZoneMap) Region(zone string) string {
	if m == nil {
		return zone
	}
	if region, ok := m.regionOf[zone]; ok {
		return region
	}
	return zone
}

// Regions returns all regions in ascending order. The caller must not modify the slice.
func (m *ZoneMap) Regions() []string {
	if m == nil {
		return nil
	}
	return m.regions
}

// ZoneCount returns the number of zones in the map.
func (m *ZoneMap) ZoneCount() int {
	if m == nil {
		return 0
	}
	return len(m.regionOf)
}

// Distance classifies how far two zones are apart.
type Distance int

// Distances in ascending order.
const (
	SameZone Distance = iota
	SameRegion
	OtherRegion
)

// String returns the name of a distance in metrics and logs.
func (d Distance) String() string {
	switch d {
	case SameZone:
		return "same_zone"
	case SameRegion:
		return "same_region"
	default:
		return "other_region"
	}
}

// Distance returns the distance between two zones. A map without zones puts all zones into one
// region.
func (m *ZoneMap) Distance(a, b string) Distance {
	switch {
	case a == b:
		return SameZone
	case m == nil || len(m.regions) == 0 || m.Region(a) == m.Region(b):
		return SameRegion
	default:
		return OtherRegion
	}
}

// processSeparator separates the parts of a process name.
const processSeparator = "/"

// ProcessName returns a process name from which ZoneOf can extract the zone. unique distinguishes
// the process from all others of the node.
func ProcessName(zone, node, unique string) string {
	return zone + processSeparator + node + processSeparator + unique
}

// ZoneOf returns the zone in a name made by ProcessName, or "" for other names.
func ZoneOf(process string) string {
	zone, rest, found := strings.Cut(process, processSeparator)
	if !found || !strings.Contains(rest, processSeparator) {
		return ""
	}
	return zone
}

// Location is a zone from which distances are measured. With nil Zones, no regions are known.
type Location struct {
	Zones *ZoneMap // region of each zone
	Zone  string
}

// DistanceTo returns the distance to a zone.
func (l Location) DistanceTo(zone string) Distance { return l.Zones.Distance(l.Zone, zone) }

// OwnRegion returns the region of the location's own zone.
func (l Location) OwnRegion() string { return l.Zones.Region(l.Zone) }

// OwnRegionFirst stably moves items in other regions behind those in the location's own region. zoneOf
// returns the zone of an item.
func OwnRegionFirst[T any](l Location, items []T, zoneOf func(T) string) {
	slices.SortStableFunc(items, func(a, b T) int {
		return cmp.Compare(l.regionRank(zoneOf(a)), l.regionRank(zoneOf(b)))
	})
}

// PreferOwnRegion returns the items in the location's own region, or all items if there are none.
func PreferOwnRegion[T any](l Location, items []T, zoneOf func(T) string) []T {
	local := slices.DeleteFunc(slices.Clone(items), func(item T) bool { return l.regionRank(zoneOf(item)) > 0 })
	if len(local) == 0 {
		return items
	}
	return local
}

// regionRank is 1 for zones in other regions, else 0.
func (l Location) regionRank(zone string) int {
	if l.DistanceTo(zone) == OtherRegion {
		return 1
	}
	return 0
}
