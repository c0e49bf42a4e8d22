package groupcommit

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cloverwheel/cloverwheel/internal/store"
)

// TestWriteCallsStayWithinShare guards against groups that together exceed their share of the
// commit rate, at any row rates below the maximum delay, and against a delay for groups with no
// more rows than allowed commits.
func TestWriteCallsStayWithinShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := CommitLimit{PerSecond: rapid.Float64Range(10, 10_000).Draw(t, "writes"), Groups: Groups * rapid.IntRange(1, 4).Draw(t, "regions"), CrossPartition: rapid.Bool().Draw(t, "across")}
		total := 0.0
		for range limit.Groups {
			rows := rapid.Float64Range(0, 10_000).Draw(t, "rate")
			queues := float64(limit.queues())
			each := queues / max(rows, 0.001) // seconds between two rows of a queue
			calls := queues / (each + limit.BatchDelay(rows, 1).Seconds())
			if limit.BatchDelay(rows, 1) < maxBatchDelay {
				total += calls
			}
		}
		require.LessOrEqual(t, total, groupCommitShare*limit.PerSecond*1.001)
		require.Zero(t, limit.BatchDelay(limit.groupCalls(), 1))
	})
	require.Zero(t, CommitLimit{Groups: Groups}.BatchDelay(1e6, 1), "the commit limit is unknown")
	require.False(t, CommitLimit{Groups: Groups}.GroupNearLimit(1e6, true))
}

// TestNearLimitHysteresis guards against flapping: between the two thresholds the state stays as
// it was.
func TestNearLimitHysteresis(t *testing.T) {
	limit := CommitLimit{PerSecond: 1500, Groups: Groups}
	between := (nearLimitEnter + nearLimitLeave) / 2 * limit.groupCalls()
	require.True(t, limit.GroupNearLimit(between, true))
	require.False(t, limit.GroupNearLimit(between, false))
	require.True(t, limit.GroupNearLimit(nearLimitEnter*limit.groupCalls(), false))
	require.False(t, limit.GroupNearLimit(nearLimitLeave*limit.groupCalls()*0.99, true))
}

// TestRateConvergesWithinTwoWindows guards against rate estimates that lag behind a change.
func TestRateConvergesWithinTwoWindows(t *testing.T) {
	start := time.Unix(0, 0)
	observed := rate{window: time.Second}
	now := start
	for range 300 {
		now = now.Add(10 * time.Millisecond)
		observed.add(2, now)
	}
	require.InDelta(t, 200, observed.at(now), 5)
	require.InDelta(t, 0, observed.at(now.Add(2*time.Second)), 0.1)
}

// TestSelectBatchByEarliestDeadline guards against batches that skip the most urgent request,
// exceed the transaction limits or contain a row twice.
func TestSelectBatchByEarliestDeadline(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var pending []*pendingRequest
		for index := range rapid.IntRange(1, 300).Draw(t, "items") {
			name := fmt.Sprint(rapid.IntRange(0, index).Draw(t, "name"))
			bytes := rapid.IntRange(1, maxRequestBytes).Draw(t, "bytes")
			deadline := time.Unix(int64(rapid.IntRange(0, 50).Draw(t, "deadline")), 0)
			pending = append(pending, &pendingRequest{rows: []store.Row{{Key: store.Key{Part: "t1", Name: name}}}, bytes: bytes, deadline: deadline})
		}
		batch, rest := selectBatch(pending)
		require.NotEmpty(t, batch)
		require.Len(t, append(append([]*pendingRequest{}, batch...), rest...), len(pending))
		rows, bytes, names := 0, 0, map[string]bool{}
		for _, selected := range batch {
			require.False(t, names[selected.rows[0].Name], "a row occurs twice in one batch")
			names[selected.rows[0].Name] = true
			rows += len(selected.rows)
			bytes += selected.bytes
		}
		require.LessOrEqual(t, rows, maxBatchRows)
		require.LessOrEqual(t, bytes, maxBatchBytes)
		for _, skipped := range rest {
			if !skipped.deadline.Before(batch[0].deadline) {
				continue
			}
			t.Fatalf("the most urgent request is not in the batch")
		}
	})
}

// TestSplitByPartition guards against lost requests, and against transactions across partitions
// where each partition is to be committed separately.
func TestSplitByPartition(t *testing.T) {
	var requests []*pendingRequest
	for index := range 20 {
		requests = append(requests, &pendingRequest{rows: []store.Row{{Key: store.Key{Part: fmt.Sprint("t", index%3), Name: fmt.Sprint(index)}}}})
	}
	partitions := splitByPartition(requests)
	require.Len(t, partitions, 3)
	count := 0
	for _, partition := range partitions {
		require.False(t, buildTransaction(partition).CrossPart())
		count += len(partition)
	}
	require.Equal(t, len(requests), count)
	require.True(t, buildTransaction(requests).CrossPart())
}
