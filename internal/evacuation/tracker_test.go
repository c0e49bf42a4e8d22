package evacuation

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cloverwheel/cloverwheel/internal/store"
)

func evacuated(zone string, revision store.Version) Word {
	return Word{Zone: zone, Evacuated: true, Revision: revision}
}

func ended(zone string, revision store.Version) Word {
	return Word{Zone: zone, Revision: revision}
}

func TestOlderStateIsIgnored(t *testing.T) {
	tracker := New(nil)
	tracker.Apply(evacuated("a", 5), FromStore)
	tracker.Apply(ended("a", 7), FromStore)
	tracker.Apply(evacuated("a", 5), FromNode)
	require.False(t, tracker.Evacuated("a"), "the evacuation ended at a newer revision")
	tracker.Apply(evacuated("a", 9), FromStore)
	tracker.Apply(ended("a", 7), FromNode)
	require.True(t, tracker.Evacuated("a"), "the zone was evacuated again at a newer revision")
}

func TestFullReadEndsMissingEvacuations(t *testing.T) {
	tracker := New(nil)
	tracker.Apply(evacuated("a", 5), FromStore)
	tracker.Apply(evacuated("b", 12), FromNode)
	tracker.ApplyFullRead(10, []Word{evacuated("c", 8)})
	require.False(t, tracker.Evacuated("a"), "its row is missing from a newer full read")
	require.True(t, tracker.Evacuated("b"), "a newer state must be kept")
	require.True(t, tracker.Evacuated("c"))
	tracker.Apply(evacuated("a", 5), FromNode)
	require.False(t, tracker.Evacuated("a"), "the full read is newer")
	require.Len(t, tracker.Snapshot().Words, 2, "no entry is needed for what a full read covers")
}

func TestOlderFullReadIsIgnored(t *testing.T) {
	tracker := New(nil)
	tracker.ApplyFullRead(10, []Word{evacuated("a", 8)})
	tracker.ApplyFullRead(6, nil)
	require.True(t, tracker.Evacuated("a"))
}

func TestZonesAreIndependent(t *testing.T) {
	tracker := New(nil)
	tracker.ApplyFullRead(10, []Word{evacuated("a", 8), evacuated("b", 9)})
	tracker.Apply(ended("a", 11), FromStore)
	require.False(t, tracker.Evacuated("a"))
	require.True(t, tracker.Evacuated("b"))
	require.False(t, tracker.Evacuated("unknown"))
}

// Guards against an empty store that is never known, and against taking a single row for a full read.
func TestKnownAfterEmptyFullRead(t *testing.T) {
	tracker := New(nil)
	tracker.Merge(Snapshot{})
	require.False(t, tracker.Known(), "the other node has no state")
	tracker.Apply(evacuated("a", 3), FromStore)
	require.False(t, tracker.Known(), "one row is not a full read")
	tracker.ApplyFullRead(0, nil)
	require.True(t, tracker.Known())
	require.True(t, tracker.Evacuated("a"))
}

func TestEachChangeIsNotifiedOnce(t *testing.T) {
	var notified []Change
	tracker := New(func(change Change) { notified = append(notified, change) })
	tracker.Apply(evacuated("a", 5), FromStore)
	tracker.Apply(evacuated("a", 6), FromStore) // the row was written again
	tracker.Merge(Snapshot{Revision: 9})
	require.Equal(t, []Change{{evacuated("a", 5), FromStore}, {ended("a", 9), FromNode}}, notified)
}

// Guards against reopening a zone before its workers are marked cold, which the callback does.
func TestNotificationPrecedesChange(t *testing.T) {
	var tracker *Tracker
	notified := 0
	tracker = New(func(change Change) {
		notified++
		require.Equal(t, !change.Evacuated, tracker.Evacuated(change.Zone))
	})
	tracker.Apply(evacuated("a", 5), FromStore)
	tracker.Apply(ended("a", 7), FromStore)
	require.Equal(t, 2, notified)
	require.False(t, tracker.Evacuated("a"))
}

// operatorTable is the reference model: the operator's change at each revision, from 1.
type operatorTable []Word

// at reports whether a zone is evacuated at a revision.
func (t operatorTable) at(zone string, revision store.Version) bool {
	evacuated := false
	for _, change := range t[:revision] {
		if change.Zone == zone {
			evacuated = change.Evacuated
		}
	}
	return evacuated
}

var zones = []string{"a", "b", "c"}

// rows returns the rows of a full read at a revision.
func (t operatorTable) rows(revision store.Version) (rows []Word) {
	for _, zone := range zones {
		if t.at(zone, revision) {
			last := Word{}
			for _, change := range t[:revision] {
				if change.Zone == zone {
					last = change
				}
			}
			rows = append(rows, last)
		}
	}
	return rows
}

// Guards against a tracker that returns to an older state: whatever updates trackers receive, in
// whatever order, each shows every zone as of the newest revision received for it.
func TestTrackersNeverRegress(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := operatorTable{}
		trackers := []*Tracker{New(nil), New(nil), New(nil)}
		seen := make([]map[string]store.Version, len(trackers))
		for index := range seen {
			seen[index] = map[string]store.Version{}
		}
		markSeen := func(tracker int, zone string, revision store.Version) {
			seen[tracker][zone] = max(seen[tracker][zone], revision)
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			tracker := rapid.IntRange(0, len(trackers)-1).Draw(t, "tracker")
			revision := store.Version(rapid.IntRange(0, len(table)).Draw(t, "revision"))
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0:
				zone := rapid.SampledFrom(zones).Draw(t, "zone")
				table = append(table, Word{Zone: zone, Evacuated: !table.at(zone, store.Version(len(table))), Revision: store.Version(len(table) + 1)})
			case 1:
				if revision > 0 {
					trackers[tracker].Apply(table[revision-1], FromStore)
					markSeen(tracker, table[revision-1].Zone, revision)
				}
			case 2:
				trackers[tracker].ApplyFullRead(revision, table.rows(revision))
				for _, zone := range zones {
					markSeen(tracker, zone, revision)
				}
			default:
				other := rapid.IntRange(0, len(trackers)-1).Draw(t, "other")
				trackers[tracker].Merge(trackers[other].Snapshot())
				for zone, revision := range seen[other] {
					markSeen(tracker, zone, revision)
				}
			}
			for index, tracker := range trackers {
				for _, zone := range zones {
					require.Equal(t, table.at(zone, seen[index][zone]), tracker.Evacuated(zone), "tracker %d, zone %s", index, zone)
				}
			}
		}
	})
}
