package locality

import "slices"

// Regions is the set of regions in which requests may be served, forwarded and stored. Nil allows
// all regions, an empty list none.
type Regions []string

// Allow reports whether the set contains a region.
func (r Regions) Allow(region string) bool { return r == nil || slices.Contains(r, region) }

// Intersect returns the intersection of two sets.
func (r Regions) Intersect(other Regions) Regions {
	switch {
	case r == nil:
		return other
	case other == nil:
		return r
	}
	common := Regions{}
	for _, region := range r {
		if other.Allow(region) {
			common = append(common, region)
		}
	}
	return common
}
