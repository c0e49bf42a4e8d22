package quota

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cloverwheel/cloverwheel/internal/directory"
	"github.com/cloverwheel/cloverwheel/internal/locality"
	"github.com/cloverwheel/cloverwheel/internal/tenant"
)

// threeRegions has three regions with one zone each, of the same name.
func threeRegions() *locality.ZoneMap {
	return locality.NewMap(map[string]string{"a": "a", "b": "b", "c": "c"})
}

// newMultiRegionCluster is a cluster whose nodes are spread evenly over three regions.
func newMultiRegionCluster(nodes int, limit tenant.Limit) *cluster {
	c := newTestCluster(0, limit)
	c.places = threeRegions()
	for index := range nodes {
		c.start(addressOf(index))
	}
	return c
}

// Guards against a tenant's shares that miss a region.
func TestEachRegionHasShare(t *testing.T) {
	layout := directory.NewLayout(threeRegions())
	for index := range 200 {
		name := fmt.Sprint("tenant", index)
		for _, region := range threeRegions().Regions() {
			require.Len(t, sharesInRegion(layout, region, name), 1, name)
		}
		require.Len(t, sharesInRegion(layout, "elsewhere", name), shares)
		require.Len(t, sharesInRegion(directory.Layout{}, "", name), shares, "without regions, all shares are local")
	}
}

// Guards against exceeding a limit during faults when shares are spread over regions.
func TestLimitHoldsAcrossRegionsDuringFaults(t *testing.T) {
	for seed := range uint64(12) {
		random := rand.New(rand.NewPCG(seed, 1))
		limit := tenant.Limit{PerSecond: 1 + 59*random.Float64(), Burst: 60 * random.Float64()}
		run := faultRun{seed: seed, nodes: 9, limit: limit, faults: random, cluster: newMultiRegionCluster}
		t.Run(fmt.Sprint(seed), run.holds)
	}
}

// Guards against cross-region calls for evenly spread usual traffic.
func TestUsualTrafficStaysInRegion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limit := tenant.Limit{PerSecond: 60, Burst: 60}
		c := newMultiRegionCluster(9, limit)
		time.Sleep(12 * time.Second)
		for request := range int(20 * limit.PerSecond / 2) { // all requests of a program enter through one region
			_ = c.send(addressOf(request%9), "calm", fmt.Sprint(request%3, "-", request/90))
			time.Sleep(time.Duration(2 * float64(time.Second) / limit.PerSecond))
		}
		require.Empty(t, c.refused)
		require.Zero(t, c.crossRegion)
		c.stop()
	})
}

// Guards against a tenant of one region that cannot use the shares of other regions.
func TestSingleRegionTenantCanUseFullLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limit := tenant.Limit{PerSecond: 30, Burst: 30}
		c := newMultiRegionCluster(9, limit)
		time.Sleep(12 * time.Second)
		whole := limit.PerSecond*5 + limit.Burst
		for request := range int(whole) {
			_ = c.send(addressOf(3*(request%3)), "calm", "one program")
			time.Sleep(5 * time.Millisecond)
		}
		require.GreaterOrEqual(t, len(c.admitted["calm"]), int(whole*0.95))
		c.stop()
	})
}

// Guards against issuing a share twice, or failing its usual traffic, while regions are partitioned.
func TestLimitHoldsDuringRegionPartition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limit := tenant.Limit{PerSecond: 30, Burst: 30}
		c := newMultiRegionCluster(9, limit)
		time.Sleep(12 * time.Second)
		c.set(func() { c.regionsSplit = true })
		var running sync.WaitGroup
		running.Go(func() { c.load(rand.New(rand.NewPCG(1, 2)), 9, "hot", limit.PerSecond*6, 40*time.Second) })
		running.Go(func() { c.load(rand.New(rand.NewPCG(1, 3)), 9, "calm", limit.PerSecond/4, 40*time.Second) })
		running.Wait()
		require.LessOrEqual(t, float64(maxInWindow(c.admitted["hot"], testTolerance.Window)), bound(limit))
		require.GreaterOrEqual(t, len(c.admitted["calm"]), int(0.95*40*limit.PerSecond/4), "traffic well below each share must be served")
		c.stop()
	})
}
