package evacuation

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cloverwheel/cloverwheel/internal/store"
)

func evacuated(zone string, revision store.Version) ZoneState {
	return ZoneState{Zone: zone, Evacuated: true, Revision: revision}
}

func ended(zone string, revision store.Version) ZoneState {
	return ZoneState{Zone: zone, Revision: revision}
}

func TestOlderStateIsIgnored(t *testing.T) {
	board := New(nil)
	board.Apply(evacuated("a", 5), FromStore)
	board.Apply(ended("a", 7), FromStore)
	board.Apply(evacuated("a", 5), FromNode)
	require.False(t, board.Evacuated("a"), "the evacuation ended at a newer revision")
	board.Apply(evacuated("a", 9), FromStore)
	board.Apply(ended("a", 7), FromNode)
	require.True(t, board.Evacuated("a"), "the zone was evacuated again at a newer revision")
}

func TestFullReadEndsMissingEvacuations(t *testing.T) {
	board := New(nil)
	board.Apply(evacuated("a", 5), FromStore)
	board.Apply(evacuated("b", 12), FromNode)
	board.ApplyFullRead(10, []ZoneState{evacuated("c", 8)})
	require.False(t, board.Evacuated("a"), "its row is missing from a newer full read")
	require.True(t, board.Evacuated("b"), "a newer state must be kept")
	require.True(t, board.Evacuated("c"))
	board.Apply(evacuated("a", 5), FromNode)
	require.False(t, board.Evacuated("a"), "the full read is newer")
	require.Len(t, board.Snapshot().Words, 2, "no entry is needed for what a full read covers")
}

func TestOlderFullReadIsIgnored(t *testing.T) {
	board := New(nil)
	board.ApplyFullRead(10, []ZoneState{evacuated("a", 8)})
	board.ApplyFullRead(6, nil)
	require.True(t, board.Evacuated("a"))
}

func TestZonesAreIndependent(t *testing.T) {
	board := New(nil)
	board.ApplyFullRead(10, []ZoneState{evacuated("a", 8), evacuated("b", 9)})
	board.Apply(ended("a", 11), FromStore)
	require.False(t, board.Evacuated("a"))
	require.True(t, board.Evacuated("b"))
	require.False(t, board.Evacuated("unknown"))
}

// Guards against an empty store that is never known, and against taking a single row for a full read.
func TestKnownAfterEmptyFullRead(t *testing.T) {
	board := New(nil)
	board.Merge(Snapshot{})
	require.False(t, board.Known(), "the other node has no state")
	board.Apply(evacuated("a", 3), FromStore)
	require.False(t, board.Known(), "one row is not a full read")
	board.ApplyFullRead(0, nil)
	require.True(t, board.Known())
	require.True(t, board.Evacuated("a"))
}

func TestEachChangeIsNotifiedOnce(t *testing.T) {
	var notified []Change
	board := New(func(change Change) { notified = append(notified, change) })
	board.Apply(evacuated("a", 5), FromStore)
	board.Apply(evacuated("a", 6), FromStore) // the row was written again
	board.Merge(Snapshot{Revision: 9})
	require.Equal(t, []Change{{evacuated("a", 5), FromStore}, {ended("a", 9), FromNode}}, notified)
}

// Guards against reopening a zone before its workers are marked cold, which the callback does.
func TestNotificationPrecedesChange(t *testing.T) {
	var board *Tracker
	notified := 0
	board = New(func(change Change) {
		notified++
		require.Equal(t, !change.Evacuated, board.Evacuated(change.Zone))
	})
	board.Apply(evacuated("a", 5), FromStore)
	board.Apply(ended("a", 7), FromStore)
	require.Equal(t, 2, notified)
	require.False(t, board.Evacuated("a"))
}

// operatorTable is the reference model: the operator's change at each revision, from 1.
type operatorTable []ZoneState

// at reports whether a zone is evacuated at a revision.
func (t operatorTable) at(zone string, revision store.Version) bool {
	evacuated := false
	for _, word := range t[:revision] {
		if word.Zone == zone {
			evacuated = word.Evacuated
		}
	}
	return evacuated
}

var zones = []string{"a", "b", "c"}

// rows returns the rows of a full read at a revision.
func (t operatorTable) rows(revision store.Version) (rows []ZoneState) {
	for _, zone := range zones {
		if t.at(zone, revision) {
			last := ZoneState{}
			for _, word := range t[:revision] {
				if word.Zone == zone {
					last = word
				}
			}
			rows = append(rows, last)
		}
	}
	return rows
}

// Guards against a board that returns to an older state: whatever updates boards receive, in
// whatever order, each shows every zone as of the newest revision received for it.
func TestBoardsNeverRegress(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := operatorTable{}
		boards := []*Tracker{New(nil), New(nil), New(nil)}
		seen := make([]map[string]store.Version, len(boards))
		for index := range seen {
			seen[index] = map[string]store.Version{}
		}
		markSeen := func(board int, zone string, revision store.Version) {
			seen[board][zone] = max(seen[board][zone], revision)
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			board := rapid.IntRange(0, len(boards)-1).Draw(t, "board")
			revision := store.Version(rapid.IntRange(0, len(table)).Draw(t, "revision"))
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0:
				zone := rapid.SampledFrom(zones).Draw(t, "zone")
				table = append(table, ZoneState{Zone: zone, Evacuated: !table.at(zone, store.Version(len(table))), Revision: store.Version(len(table) + 1)})
			case 1:
				if revision > 0 {
					boards[board].Apply(table[revision-1], FromStore)
					markSeen(board, table[revision-1].Zone, revision)
				}
			case 2:
				boards[board].ApplyFullRead(revision, table.rows(revision))
				for _, zone := range zones {
					markSeen(board, zone, revision)
				}
			default:
				other := rapid.IntRange(0, len(boards)-1).Draw(t, "other")
				boards[board].Merge(boards[other].Snapshot())
				for zone, revision := range seen[other] {
					markSeen(board, zone, revision)
				}
			}
			for index, board := range boards {
				for _, zone := range zones {
					require.Equal(t, table.at(zone, seen[index][zone]), board.Evacuated(zone), "board %d, zone %s", index, zone)
				}
			}
		}
	})
}
