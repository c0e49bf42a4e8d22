package locality

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against wrong distances for unknown zones and for maps without regions.
func TestDistances(t *testing.T) {
	places := NewMap(map[string]string{"a1": "a", "a2": "a", "b1": "b"})
	require.Equal(t, SameZone, places.Distance("a1", "a1"))
	require.Equal(t, SameRegion, places.Distance("a1", "a2"))
	require.Equal(t, OtherRegion, places.Distance("a1", "b1"))
	require.Equal(t, OtherRegion, places.Distance("a1", "unknown"))
	require.Equal(t, SameRegion, NewMap(nil).Distance("a1", "b1"))
	require.Equal(t, []string{"a", "b"}, places.Regions())
}

// Guards against confusing an empty set, which allows no region, with nil, which allows all.
func TestCommonRegions(t *testing.T) {
	everywhere := Regions(nil)
	require.True(t, everywhere.Allow("a"))
	require.Equal(t, Regions{"a"}, everywhere.Intersect(Regions{"a"}))
	require.Equal(t, Regions{"a"}, Regions{"a"}.Intersect(everywhere))
	require.Equal(t, Regions{"b"}, Regions{"a", "b"}.Intersect(Regions{"b", "c"}))
	nowhere := Regions{"a"}.Intersect(Regions{"b"})
	require.NotNil(t, nowhere)
	require.False(t, nowhere.Allow("a"))
}

// Guards against extracting a zone from names that contain none.
func TestProcessNamesContainZone(t *testing.T) {
	require.Equal(t, "a1", ZoneOf(ProcessName("a1", "node-1", "0123")))
	require.Empty(t, ZoneOf("node-1/0123"))
	require.Empty(t, ZoneOf("node-1"))
}

// Guards against choosing a remote item while a local one exists, and against an empty choice.
func TestOwnRegionIsPreferred(t *testing.T) {
	location := Location{Zones: NewMap(map[string]string{"a1": "a", "a2": "a", "b1": "b"}), Zone: "a1"}
	identity := func(zone string) string { return zone }
	zones := []string{"b1", "a2", "unknown", "a1"}
	OwnRegionFirst(location, zones, identity)
	require.Equal(t, []string{"a2", "a1", "b1", "unknown"}, zones, "stable within each region")
	require.Equal(t, []string{"a2", "a1"}, PreferOwnRegion(location, zones, identity))
	require.Equal(t, []string{"b1"}, PreferOwnRegion(location, []string{"b1"}, identity), "no local item")
	require.Equal(t, []string{"x", "y"}, PreferOwnRegion(Location{Zone: "x"}, []string{"x", "y"}, identity), "no regions in the map")
}

// Guards against losing the restriction of a call's content, or taking an empty set for none.
func TestContextCarriesContentRegions(t *testing.T) {
	require.Nil(t, ContentRegions(t.Context()))
	require.Nil(t, ContentRegions(WithContentRegions(t.Context(), nil)), "nil: all regions")
	require.Equal(t, Regions{"a"}, ContentRegions(WithContentRegions(t.Context(), Regions{"a"})))
	require.False(t, ContentRegions(WithContentRegions(t.Context(), Regions{})).Allow("a"), "empty: no region")
}
