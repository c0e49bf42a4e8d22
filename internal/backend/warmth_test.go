package backend

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cloverwheel/cloverwheel/internal/permit"
)

// coldClock is a registry of one worker, w0, of a service whose cold workers get less, and
// a clock that stands still.
func coldClock(t *testing.T, record Record) (registry *Registry, worker *Worker, pass func(time.Duration)) {
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

// put puts w0's next entry.
func put(registry *Registry, revision uint64, left time.Duration) {
	registry.Put(Record{ID: "w0", Zone: "z", Service: "s", Revision: revision, ColdLeft: left})
}

func TestWorkerIsColdForAsLongAsItsEntrySays(t *testing.T) {
	registry, worker, pass := coldClock(t, Record{Revision: 1, ColdLeft: 2 * time.Second})
	require.Equal(t, permit.Metered, registry.Check(worker, nil))
	pass(2 * time.Second)
	require.Equal(t, permit.Allowed, registry.Check(worker, nil))
}

func TestWarmWorkerMayTurnCold(t *testing.T) {
	registry, worker, _ := coldClock(t, Record{Revision: 1})
	require.False(t, registry.cold(worker))
	put(registry, 2, time.Second)
	require.True(t, registry.cold(worker))
}

// TestEntryReadAgainDoesNotWarmOrCool: what is left counts from the first time it was seen.
func TestEntryReadAgainDoesNotWarmOrCool(t *testing.T) {
	registry, worker, pass := coldClock(t, Record{Revision: 2, ColdLeft: time.Second})
	pass(500 * time.Millisecond)
	put(registry, 2, time.Second)
	require.Equal(t, 500*time.Millisecond, registry.Warmth(worker).Left)
}

func TestOlderEntryTellsNothing(t *testing.T) {
	registry, worker, _ := coldClock(t, Record{Revision: 5, ColdLeft: time.Second})
	put(registry, 4, 0)
	require.True(t, registry.cold(worker))
}

func TestZoneThatIsTakenBackIsColdUntilToldOtherwise(t *testing.T) {
	registry, worker, pass := coldClock(t, Record{Revision: 5})
	registry.ZoneReopened("z", 10)
	require.Equal(t, Warmth{Left: 3 * time.Second, Source: SourceZone}, registry.Warmth(worker))
	put(registry, 8, 0) // written before
	require.True(t, registry.cold(worker))
	put(registry, 11, 0)
	require.False(t, registry.cold(worker))
	registry.ZoneReopened("z", 10) // heard of late, by another way
	require.False(t, registry.cold(worker), "the worker's newer word holds")
	registry.ZoneReopened("z", 12)
	pass(3 * time.Second)
	require.False(t, registry.cold(worker), "a cold start is over")
}

// TestZoneTakenBackWhileAWorkerIsCheckedIsCold: its workers are taken to be cold before the
// zone opens, so who sees it open sees that, too.
func TestZoneTakenBackWhileAWorkerIsCheckedIsCold(t *testing.T) {
	registry, worker, _ := coldClock(t, Record{Revision: 5})
	registry.options.Evacuated = func(string) bool {
		registry.ZoneReopened("z", 10)
		return false
	}
	require.Equal(t, permit.Metered, registry.Check(worker, nil))
}

func TestZoneThatIsTakenBackDoesNotShortenAnEntry(t *testing.T) {
	registry, worker, _ := coldClock(t, Record{Revision: 5, ColdLeft: 9 * time.Second})
	registry.ZoneReopened("z", 10)
	require.Equal(t, 9*time.Second, registry.Warmth(worker).Left)
}

func TestWorkersOwnAnswerHoldsUnlessSomethingNewerIsKnown(t *testing.T) {
	registry, worker, pass := coldClock(t, Record{Revision: 5, ColdLeft: 2 * time.Second})
	pass(time.Second)
	sent := registry.options.Now()
	registry.NoteHealth(worker, 0, sent)
	require.False(t, registry.cold(worker))
	pass(time.Second)
	put(registry, 6, time.Second)
	registry.NoteHealth(worker, 0, sent)
	require.True(t, registry.cold(worker), "the answer is older than the entry")
}

func TestColdWorkersOfOtherServicesGetAsMuch(t *testing.T) {
	registry, _, _ := coldClock(t, Record{})
	registry.Put(Record{ID: "w1", Zone: "z", Service: "other", ColdLeft: time.Second})
	require.False(t, registry.cold(registry.get("w1")))
}

func TestWarmWorkersComeBeforeColdOnes(t *testing.T) {
	registry, _, _ := coldClock(t, Record{Revision: 1, ColdLeft: time.Second})
	registry.Put(Record{ID: "w1", Zone: "z", Service: "s"})
	for range 30 {
		registry.get("w1").Begin()
	}
	require.Equal(t, "w1", choose(t, registry, Query{Key: "k"}))
}

// TestColdWorkersTakeWhatFullOnesDecline: they are there for want of a warm one with room.
func TestColdWorkersTakeWhatFullOnesDecline(t *testing.T) {
	registry, _, _ := coldClock(t, Record{Revision: 1, ColdLeft: time.Second})
	registry.Put(Record{ID: "w1", Zone: "z", Service: "s"})
	registry.get("w1").Declined(registry.options.Now())
	require.Equal(t, "w0", choose(t, registry, Query{Key: "k"}))
}

// TestWarmWorkersOfOtherZonesAreOnTheShortlist where all of the own zone are cold.
func TestWarmWorkersOfOtherZonesAreOnTheShortlist(t *testing.T) {
	registry, _, _ := coldClock(t, Record{Revision: 1, ColdLeft: time.Second})
	for index := range 40 {
		registry.Put(Record{ID: string(rune('a' + index)), Zone: "z", Service: "s", ColdLeft: time.Second})
	}
	registry.Put(Record{ID: "warm", Zone: "y", Service: "s"})
	require.Equal(t, "warm", choose(t, registry, Query{Key: "k", Warm: true}))
}

func TestWarmIsNotBelievedForEver(t *testing.T) {
	registry, worker, pass := coldClock(t, Record{Revision: 1})
	pass(registry.lapse + time.Millisecond)
	require.True(t, registry.Warmth(worker).Lapsed)
	require.Equal(t, permit.Metered, registry.Check(worker, nil))
	registry.Heard()
	require.Equal(t, permit.Allowed, registry.Check(worker, nil), "the list was heard of without news")
}

func TestOwnAnswerRenewsWhatHasLapsed(t *testing.T) {
	registry, worker, pass := coldClock(t, Record{Revision: 1})
	pass(registry.lapse + time.Millisecond)
	registry.NoteHealth(worker, 0, registry.options.Now())
	require.Equal(t, permit.Allowed, registry.Check(worker, nil))
}

func TestWorkersAreSeldomAskedHowTheyAre(t *testing.T) {
	registry, worker, pass := coldClock(t, Record{Revision: 1})
	require.False(t, registry.MayAskHealth(worker), "it is known")
	pass(registry.lapse + time.Millisecond)
	require.True(t, registry.MayAskHealth(worker))
	require.False(t, registry.MayAskHealth(worker))
	pass(askPause)
	require.True(t, registry.MayAskHealth(worker))
}

// TestNodesDoNotAskAllAtOnce: what they know lapses at different times after a feed was lost.
func TestNodesDoNotAskAllAtOnce(t *testing.T) {
	lapse := map[int]int{} // nodes by second
	for node := range 100 {
		registry := registryOf(Options{Node: fmt.Sprint("node", node)}, 1)
		require.GreaterOrEqual(t, registry.lapse, wordLasts)
		lapse[int(registry.lapse.Seconds())]++
	}
	for second, nodes := range lapse {
		require.Less(t, nodes, 25, "second %d", second)
	}
}
