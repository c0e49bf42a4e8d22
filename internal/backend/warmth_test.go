package backend

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cloverwheel/cloverwheel/internal/eligibility"
)

// newColdRegistry returns a registry with a manual clock and one worker, w0, of a service whose cold
// workers get less work.
func newColdRegistry(t *testing.T, record Record) (registry *Registry, worker *Worker, advance func(time.Duration)) {
	now := time.Unix(1000, 0)
	registry = NewRegistry(Options{
		Zone: "z", Now: func() time.Time { return now },
		Cold: func(service string) (bool, time.Duration) { return service == "s", 3 * time.Second },
	})
	record.ID, record.Zone, record.Service = "w0", "z", "s"
	registry.Put(record)
	t.Cleanup(func() { registry.Remove("w0") })
	return registry, registry.get("w0"), func(by time.Duration) { now = now.Add(by) }
}

// put applies a new entry of w0.
func put(registry *Registry, revision uint64, left time.Duration) {
	registry.Put(Record{ID: "w0", Zone: "z", Service: "s", Revision: revision, ColdRemaining: left})
}

// Guards against overloading a cold worker, and against limiting it after its cold start.
func TestWorkerIsColdUntilColdStartEnds(t *testing.T) {
	registry, worker, advance := newColdRegistry(t, Record{Revision: 1, ColdRemaining: 2 * time.Second})
	require.Equal(t, eligibility.NeedsWarmupPermit, registry.Check(worker, eligibility.Request{}))
	advance(2 * time.Second)
	require.Equal(t, eligibility.Allowed, registry.Check(worker, eligibility.Request{}))
}

// Guards against ignoring a later entry that announces a cold start.
func TestWarmWorkerMayTurnCold(t *testing.T) {
	registry, worker, _ := newColdRegistry(t, Record{Revision: 1})
	require.False(t, registry.cold(worker))
	put(registry, 2, time.Second)
	require.True(t, registry.cold(worker))
}

// Guards against restarting the countdown when the same revision is read again.
func TestRepeatedEntryDoesNotExtendColdStart(t *testing.T) {
	registry, worker, advance := newColdRegistry(t, Record{Revision: 2, ColdRemaining: time.Second})
	advance(500 * time.Millisecond)
	put(registry, 2, time.Second)
	require.Equal(t, 500*time.Millisecond, registry.Warmth(worker).Remaining)
}

// Guards against entries that arrive out of order.
func TestOlderEntryIsIgnored(t *testing.T) {
	registry, worker, _ := newColdRegistry(t, Record{Revision: 5, ColdRemaining: time.Second})
	put(registry, 4, 0)
	require.True(t, registry.cold(worker))
}

// Guards against full load on workers that have turned cold during an evacuation.
func TestReopenedZoneIsColdUntilNewerEntry(t *testing.T) {
	registry, worker, advance := newColdRegistry(t, Record{Revision: 5})
	registry.ZoneReopened("z", 10)
	require.Equal(t, Warmth{Remaining: 3 * time.Second, Source: SourceZone}, registry.Warmth(worker))
	put(registry, 8, 0) // written before the zone was reopened
	require.True(t, registry.cold(worker))
	put(registry, 11, 0)
	require.False(t, registry.cold(worker))
	registry.ZoneReopened("z", 10) // a late duplicate
	require.False(t, registry.cold(worker), "the worker's newer entry applies")
	registry.ZoneReopened("z", 12)
	advance(3 * time.Second)
	require.False(t, registry.cold(worker), "a cold start has passed")
}

// Guards against a race in which a zone is seen as open before its workers are marked cold.
func TestZoneReopenedDuringCheckIsCold(t *testing.T) {
	registry, worker, _ := newColdRegistry(t, Record{Revision: 5})
	registry.options.Evacuated = func(string) bool {
		registry.ZoneReopened("z", 10)
		return false
	}
	require.Equal(t, eligibility.NeedsWarmupPermit, registry.Check(worker, eligibility.Request{}))
}

// Guards against replacing a longer cold start by the default one.
func TestReopenedZoneDoesNotShortenColdStart(t *testing.T) {
	registry, worker, _ := newColdRegistry(t, Record{Revision: 5, ColdRemaining: 9 * time.Second})
	registry.ZoneReopened("z", 10)
	require.Equal(t, 9*time.Second, registry.Warmth(worker).Remaining)
}

// Guards against a late health response overriding a newer entry.
func TestHealthResponseAppliesUnlessOutdated(t *testing.T) {
	registry, worker, advance := newColdRegistry(t, Record{Revision: 5, ColdRemaining: 2 * time.Second})
	advance(time.Second)
	sent := registry.options.Now()
	registry.ApplyHealth(worker, 0, sent)
	require.False(t, registry.cold(worker))
	advance(time.Second)
	put(registry, 6, time.Second)
	registry.ApplyHealth(worker, 0, sent)
	require.True(t, registry.cold(worker), "the answer is older than the entry")
}

// Guards against limiting services for which cold starts are not configured.
func TestColdStartAppliesOnlyToConfiguredServices(t *testing.T) {
	registry, _, _ := newColdRegistry(t, Record{})
	registry.Put(Record{ID: "w1", Zone: "z", Service: "other", ColdRemaining: time.Second})
	require.False(t, registry.cold(registry.get("w1")))
}

// Guards against choosing a cold worker because it has fewer requests.
func TestWarmWorkersComeBeforeColdOnes(t *testing.T) {
	registry, _, _ := newColdRegistry(t, Record{Revision: 1, ColdRemaining: time.Second})
	registry.Put(Record{ID: "w1", Zone: "z", Service: "s"})
	for range 30 {
		registry.get("w1").Begin()
	}
	require.Equal(t, "w1", choose(t, registry, Query{Key: "k"}))
}

// Guards against refusing requests when all warm workers are full.
func TestColdWorkersAreUsedWhenWarmOnesAreFull(t *testing.T) {
	registry, _, _ := newColdRegistry(t, Record{Revision: 1, ColdRemaining: time.Second})
	registry.Put(Record{ID: "w1", Zone: "z", Service: "s"})
	registry.get("w1").RecordRefusal(registry.options.Now())
	require.Equal(t, "w0", choose(t, registry, Query{Key: "k"}))
}

// Guards against shortlists without a warm worker when all workers of the node's zone are cold.
func TestWarmWorkersOfOtherZonesAreOnTheShortlist(t *testing.T) {
	registry, _, _ := newColdRegistry(t, Record{Revision: 1, ColdRemaining: time.Second})
	for index := range 40 {
		registry.Put(Record{ID: string(rune('a' + index)), Zone: "z", Service: "s", ColdRemaining: time.Second})
	}
	registry.Put(Record{ID: "warm", Zone: "y", Service: "s"})
	require.Equal(t, "warm", choose(t, registry, Query{Key: "k", WarmOnly: true}))
}

// Guards against full load on a worker whose state has not been confirmed for long.
func TestWarmthExpires(t *testing.T) {
	registry, worker, advance := newColdRegistry(t, Record{Revision: 1})
	advance(registry.warmthTTL + time.Millisecond)
	require.True(t, registry.Warmth(worker).Expired)
	require.Equal(t, eligibility.NeedsWarmupPermit, registry.Check(worker, eligibility.Request{}))
	registry.ListConfirmed()
	require.Equal(t, eligibility.Allowed, registry.Check(worker, eligibility.Request{}), "the list was confirmed without changes")
}

// Guards against limiting a worker that has just reported that it is warm.
func TestHealthResponseRenewsExpiredWarmth(t *testing.T) {
	registry, worker, advance := newColdRegistry(t, Record{Revision: 1})
	advance(registry.warmthTTL + time.Millisecond)
	registry.ApplyHealth(worker, 0, registry.options.Now())
	require.Equal(t, eligibility.Allowed, registry.Check(worker, eligibility.Request{}))
}

// Guards against health checks for every request, or while the information is current.
func TestHealthChecksAreRateLimited(t *testing.T) {
	registry, worker, advance := newColdRegistry(t, Record{Revision: 1})
	require.False(t, registry.BeginHealthCheck(worker), "the information is current")
	advance(registry.warmthTTL + time.Millisecond)
	require.True(t, registry.BeginHealthCheck(worker))
	require.False(t, registry.BeginHealthCheck(worker))
	advance(minHealthCheckInterval)
	require.True(t, registry.BeginHealthCheck(worker))
}

// Guards against health checks by all nodes at once after they lose the worker list.
func TestWarmthExpiryIsSpreadOverNodes(t *testing.T) {
	expiring := map[int]int{} // number of nodes by second
	for node := range 100 {
		registry := newTestRegistry(Options{Node: fmt.Sprint("node", node)}, 1)
		require.GreaterOrEqual(t, registry.warmthTTL, minWarmthTTL)
		expiring[int(registry.warmthTTL.Seconds())]++
	}
	for second, nodes := range expiring {
		require.Less(t, nodes, 25, "second %d", second)
	}
}
