package groupcommit

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestWriteShareDecreasesFastAndRecoversSlowly guards against a share that stays high under
// throttling or never recovers.
func TestWriteShareDecreasesFastAndRecoversSlowly(t *testing.T) {
	var share writeShare
	now := time.Now()
	require.Equal(t, 1.0, share.at(now))
	share.onThrottled(now)
	share.onThrottled(now.Add(decreaseInterval / 2))
	require.InDelta(t, decreaseFactor, share.at(now), 1e-9, "commits throttled together count once")
	for range 20 {
		now = now.Add(decreaseInterval)
		share.onThrottled(now)
	}
	require.InDelta(t, minWriteShare, share.at(now), 1e-9)
	require.InDelta(t, minWriteShare+increasePerSecond, share.at(now.Add(time.Second)), 1e-9)
	require.Equal(t, 1.0, share.at(now.Add(time.Minute)))
}

// TestBatchDelayGrowsAsWriteShareShrinks guards against exceeding the reduced commit rate.
func TestBatchDelayGrowsAsWriteShareShrinks(t *testing.T) {
	limit := CommitLimit{PerSecond: 1500, Groups: Groups}
	rate := 1400.0 / Groups
	whole, half := limit.BatchDelay(rate, 1), limit.BatchDelay(rate, 0.5)
	require.Greater(t, half, whole)
	calls := func(delay time.Duration) float64 {
		return Groups * partitionsPerGroup / (delay.Seconds() + partitionsPerGroup/rate)
	}
	require.LessOrEqual(t, calls(whole), groupCommitShare*limit.PerSecond)
	require.LessOrEqual(t, calls(half), groupCommitShare*limit.PerSecond/2)
}
