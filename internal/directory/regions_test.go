package directory

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/stretchr/testify/require"

	"github.com/cloverwheel/cloverwheel/internal/budget"
	"github.com/cloverwheel/cloverwheel/internal/locality"
	"github.com/cloverwheel/cloverwheel/internal/store/storetest"
)

// regionZones has two zones in each of three regions.
var regionZones = map[string]string{"a1": "a", "a2": "a", "b1": "b", "b2": "b", "c1": "c", "c2": "c"}

// newRegionalCluster starts nodes in three regions: node i is in region i modulo 3, and the nodes of
// a region alternate between its zones.
func newRegionalCluster(nodes int) *cluster {
	c := newCluster(0)
	c.zoneMap, c.zones = locality.NewMap(regionZones), map[string]string{}
	for index := range nodes {
		c.zones[address(index)] = fmt.Sprintf("%c%d", "abc"[index%3], 1+index/3%2)
		c.start(address(index))
	}
	return c
}

// regionsPartitioned reports whether a region partition separates two nodes.
func (c *cluster) regionsPartitioned(one, other string) bool {
	if c.partitionedRegion == "" {
		return false
	}
	return (c.zoneMap.Region(c.zones[one]) == c.partitionedRegion) != (c.zoneMap.Region(c.zones[other]) == c.partitionedRegion)
}

// misplacedSlots counts the slots owned by nodes of other regions, according to all nodes' views.
func (c *cluster) misplacedSlots() (count int) {
	for address, d := range c.nodes {
		for slot := range d.layout.SlotCount() {
			if d.owns(slot) && d.layout.RegionOf(slot) != c.zoneMap.Region(c.zones[address]) {
				count++
			}
		}
	}
	return count
}

// The layout must map each region to slots of its own, and work without regions.
func TestLayoutOfRegions(t *testing.T) {
	layout := NewLayout(locality.NewMap(regionZones))
	require.Equal(t, 3*slotsPerRegion, layout.SlotCount())
	require.Equal(t, slotsPerRegion+7, layout.SlotIn("b", 7+slotsPerRegion))
	require.Equal(t, "b", layout.RegionOf(slotsPerRegion+7))
	unlisted := layout.SlotIn("elsewhere", 7)
	require.Equal(t, 7, unlisted%slotsPerRegion, "an unlisted region is mapped to a listed one")
	require.Equal(t, []int{7, slotsPerRegion + 7, 2*slotsPerRegion + 7, 7}, []int{layout.RoundRobinSlot(0, 7), layout.RoundRobinSlot(1, 7), layout.RoundRobinSlot(2, 7), layout.RoundRobinSlot(3, 7)})
	for _, one := range []Layout{{}, NewLayout(nil), NewLayout(locality.NewMap(map[string]string{"z": "r"}))} {
		require.Equal(t, slotsPerRegion, one.SlotCount())
		require.Equal(t, 7, one.SlotIn("x", 7))
		require.Equal(t, 7, one.RoundRobinSlot(5, 7))
	}
	require.Equal(t, "07", keyOf(7).Name)
	require.Equal(t, "107", keyOf(107).Name)
}

// The slots of a region must be owned by its nodes, and lookups must stay within it.
func TestRegionsOwnTheirSlots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newRegionalCluster(12)
		defer c.stop()
		time.Sleep(12 * time.Second)
		owned := 0
		for _, d := range c.nodes {
			for slot := range d.layout.SlotCount() {
				if d.owns(slot) {
					owned++
				}
			}
		}
		require.Equal(t, 3*slotsPerRegion, owned)
		require.Zero(t, c.misplacedSlots())
		for program := range 50 {
			requester, other := c.node(0), c.node(3) // in two zones of one region
			requester.Locate(t.Context(), programOf(program))
			require.Equal(t, []budget.Holder{requester.options.Self}, other.Locate(t.Context(), programOf(program)).Holders)
			owner, ok := other.Owner(other.slotOf(programOf(program)))
			require.True(t, ok)
			require.Equal(t, "a", c.zoneMap.Region(c.zones[owner.Address]), "the owner is in the same region")
		}
	})
}

// Guards against a node that takes a slot of another region for vacant until its next poll, because it
// read the slots after the owner had left and before a successor had claimed them.
func TestVacantSlotOfOtherRegionIsReadAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newRegionalCluster(6)
		defer c.stop()
		time.Sleep(15 * time.Second)
		observer, slot := c.node(0), c.node(0).layout.SlotIn("b", 7)
		c.releaseRegion("b")
		observer.RequestRefresh()
		time.Sleep(time.Second)
		_, known := observer.Owner(slot)
		require.False(t, known)
		reads := c.table.Watches()
		for range 100 {
			observer.Owner(slot)
			time.Sleep(10 * time.Millisecond)
		}
		require.LessOrEqual(t, c.table.Watches()-reads, 4, "requests for a vacant slot read the store once a second, besides polls")
		successor := c.start(address(1))
		for !successor.owns(slot) {
			time.Sleep(10 * time.Millisecond)
		}
		observer.Owner(slot)
		time.Sleep(vacantRefreshInterval)
		observer.Owner(slot)
		time.Sleep(2 * minRefreshInterval)
		_, known = observer.Owner(slot)
		require.True(t, known, "the slot was claimed again")
	})
}

// Guards against grants that fail until the next poll because the node read the slots while that of the
// program, which may lie in another region, was vacant.
func TestGrantReadsVacantSlotAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newRegionalCluster(6)
		defer c.stop()
		time.Sleep(15 * time.Second)
		observer, program := c.node(0), ""
		for index := 0; observer.layout.RegionOf(observer.grantSlotOf(program)) != "b"; index++ {
			program = programOf(index)
		}
		c.releaseRegion("b")
		observer.RequestRefresh()
		time.Sleep(time.Second)
		successor := c.start(address(1))
		for !successor.owns(observer.grantSlotOf(program)) {
			time.Sleep(10 * time.Millisecond)
		}
		observer.Grant(t.Context(), program, 100, 1)
		time.Sleep(vacantRefreshInterval) // the view must be this old
		observer.Grant(t.Context(), program, 100, 1)
		time.Sleep(2 * minRefreshInterval)
		require.Equal(t, successor.options.Self.Process, observer.slotOwner(observer.grantSlotOf(program)).Process)
	})
}

// releaseRegion stops all nodes of a region by plan.
func (c *cluster) releaseRegion(region string) {
	for index := range len(c.zones) {
		if c.zoneMap.Region(c.zones[address(index)]) == region {
			c.node(index).Leave(context.Background())
			c.kill(address(index))
		}
	}
}

// A partitioned region must keep its slots and take none of the others, and the end of the partition
// must not make all nodes read the store at once.
func TestPartitionedRegionKeepsItsSlots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newRegionalCluster(12)
		defer c.stop()
		time.Sleep(12 * time.Second)
		before, _ := c.allOwners()
		c.mutex.Lock()
		c.partitionedRegion = "b"
		c.mutex.Unlock()
		for range 120 {
			c.lookUpAll(t.Context())
			time.Sleep(500 * time.Millisecond)
		}
		during, _ := c.allOwners()
		require.Equal(t, before, during)
		c.mutex.Lock()
		c.partitionedRegion = ""
		c.mutex.Unlock()
		watches := c.table.Watches()
		time.Sleep(time.Second)
		require.LessOrEqual(t, c.table.Watches()-watches, 6, "at most half of the nodes read the store")
	})
}

// The slots of a region without nodes must not move to other regions.
func TestSlotsOfAnEmptyRegionDoNotMove(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newRegionalCluster(12)
		defer c.stop()
		time.Sleep(12 * time.Second)
		for index := range 4 {
			c.kill(address(3*index + 1)) // in region b
		}
		for range 60 {
			c.lookUpAll(t.Context())
			time.Sleep(500 * time.Millisecond)
		}
		require.Zero(t, c.misplacedSlots())
		c.start(address(1))
		for range 60 {
			c.lookUpAll(t.Context())
			time.Sleep(500 * time.Millisecond)
		}
		_, total := c.allOwners()
		require.Equal(t, 3*slotsPerRegion, total, "the first node that returns claims them all")
	})
}

// The last node of a region must take over the region's slots: owners in other regions still answer, so
// it is not partitioned.
func TestLastNodeOfARegionTakesItsSlots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newRegionalCluster(6)
		defer c.stop()
		time.Sleep(12 * time.Second)
		c.kill(address(4)) // in region b, as node 1
		for range 60 {
			c.lookUpAll(t.Context())
			time.Sleep(500 * time.Millisecond)
		}
		_, total := c.allOwners()
		require.Equal(t, 3*slotsPerRegion, total)
		require.Zero(t, c.misplacedSlots())
	})
}

// A slot claimed by a version without regions must move to an owner in its region.
func TestSlotOfAnEarlierVersionGoesToItsRegion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newRegionalCluster(0)
		earlier := New(Options{Store: c.table, Self: budget.Holder{Process: "old", Address: address(1)}, Logger: &log.Logger{Handler: discard.New()}})
		written, err := earlier.put(t.Context(), 5, earlier.successor(5), "taken")
		require.NoError(t, err)
		require.True(t, written)
		for index := range 6 {
			c.zones[address(index)] = fmt.Sprintf("%c1", "abc"[index%3])
			c.start(address(index)) // node 1, in region b, has the address of the earlier process
		}
		defer c.stop()
		for range 40 {
			c.lookUpAll(t.Context())
			time.Sleep(500 * time.Millisecond)
		}
		_, total := c.allOwners()
		require.Equal(t, 3*slotsPerRegion, total)
		require.Zero(t, c.misplacedSlots())
	})
}

// A region that is partitioned from the store and the other regions must not issue permits, and no other
// region may issue them in its place.
func TestFullyPartitionedRegionLendsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newRegionalCluster(6)
		defer c.stop()
		time.Sleep(12 * time.Second)
		away, near := c.node(1), c.node(0)
		c.confirmClaims(away)
		c.confirmClaims(near)
		slot := ownedSlot(t, away)
		require.True(t, leaseValid(away, slot))
		c.mutex.Lock()
		c.partitionedRegion = "b"
		c.mutex.Unlock()
		c.table.SetFault(func(string, bool) storetest.Fault { return storetest.Refused })
		time.Sleep(leaseDuration)
		c.table.SetFault(nil)
		for range 60 {
			c.lookUpAll(t.Context())
			time.Sleep(500 * time.Millisecond)
			require.False(t, leaseValid(away, slot), "it has not renewed its lease")
			require.Zero(t, c.misplacedSlots())
		}
	})
}

// allOwners counts the slots of all regions that each process owns according to its own view.
func (c *cluster) allOwners() (owned map[string]int, total int) {
	owned = map[string]int{}
	for _, d := range c.nodes {
		for slot := range d.layout.SlotCount() {
			if d.owns(slot) {
				owned[d.options.Self.Process]++
				total++
			}
		}
	}
	return owned, total
}
