package gather

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cloverwheel/cloverwheel/internal/store"
)

// TestCallsStayWithinTheirShare: whatever the rates, all groups together make no more calls
// than their share, unless rows would wait too long; those of a group that has no more rows than
// calls do not wait.
func TestCallsStayWithinTheirShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		pace := Pace{Writes: rapid.Float64Range(10, 10_000).Draw(t, "writes"), Groups: Groups * rapid.IntRange(1, 4).Draw(t, "regions"), Across: rapid.Bool().Draw(t, "across")}
		total := 0.0
		for range pace.Groups {
			rows := rapid.Float64Range(0, 10_000).Draw(t, "rate")
			queues := float64(pace.queues())
			each := queues / max(rows, 0.001) // seconds between two rows of a queue
			calls := queues / (each + pace.Gathering(rows, 1).Seconds())
			if pace.Gathering(rows, 1) < longestGathering {
				total += calls
			}
		}
		require.LessOrEqual(t, total, turnsShare*pace.Writes*1.001)
		require.Zero(t, pace.Gathering(pace.calls(), 1))
	})
	require.Zero(t, Pace{Groups: Groups}.Gathering(1e6, 1), "nothing is said of the table")
	require.False(t, Pace{Groups: Groups}.Short(1e6, true))
}

// TestShortageDoesNotFlap: between the two bounds it stays as it was.
func TestShortageDoesNotFlap(t *testing.T) {
	pace := Pace{Writes: 1500, Groups: Groups}
	between := (shortFrom + calmBelow) / 2 * pace.calls()
	require.True(t, pace.Short(between, true))
	require.False(t, pace.Short(between, false))
	require.True(t, pace.Short(shortFrom*pace.calls(), false))
	require.False(t, pace.Short(calmBelow*pace.calls()*0.99, true))
}

// TestRateFollowsWhatArrives within two windows.
func TestRateFollowsWhatArrives(t *testing.T) {
	begun := time.Unix(0, 0)
	seen := rate{window: time.Second}
	now := begun
	for range 300 {
		now = now.Add(10 * time.Millisecond)
		seen.add(2, now)
	}
	require.InDelta(t, 200, seen.at(now), 5)
	require.InDelta(t, 0, seen.at(now.Add(2*time.Second)), 0.1)
}

// TestPickTakesTheMostUrgentThatFit: by earliest deadline, within the bounds of a call, each row once.
func TestPickTakesTheMostUrgentThatFit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var waiting []*item
		for index := range rapid.IntRange(1, 300).Draw(t, "items") {
			name := fmt.Sprint(rapid.IntRange(0, index).Draw(t, "name"))
			bytes := rapid.IntRange(1, maxBytes).Draw(t, "bytes")
			deadline := time.Unix(int64(rapid.IntRange(0, 50).Draw(t, "deadline")), 0)
			waiting = append(waiting, &item{rows: []store.Row{{Key: store.Key{Part: "t1", Name: name}}}, bytes: bytes, deadline: deadline})
		}
		picked, rest := pick(waiting)
		require.NotEmpty(t, picked)
		require.Len(t, append(append([]*item{}, picked...), rest...), len(waiting))
		rows, bytes, names := 0, 0, map[string]bool{}
		for _, taken := range picked {
			require.False(t, names[taken.rows[0].Name], "a row twice in one call")
			names[taken.rows[0].Name] = true
			rows += len(taken.rows)
			bytes += taken.bytes
		}
		require.LessOrEqual(t, rows, callRows)
		require.LessOrEqual(t, bytes, callBytes)
		for _, left := range rest {
			if !left.deadline.Before(picked[0].deadline) {
				continue
			}
			t.Fatalf("the most urgent was left")
		}
	})
}

// TestPartsAreWrittenApart: items of a part stay together, and none is lost.
func TestPartsAreWrittenApart(t *testing.T) {
	var items []*item
	for index := range 20 {
		items = append(items, &item{rows: []store.Row{{Key: store.Key{Part: fmt.Sprint("t", index%3), Name: fmt.Sprint(index)}}}})
	}
	divided := byPart(items)
	require.Len(t, divided, 3)
	count := 0
	for _, some := range divided {
		require.False(t, transactionOf(some).Across())
		count += len(some)
	}
	require.Equal(t, len(items), count)
	require.True(t, transactionOf(items).Across())
}
