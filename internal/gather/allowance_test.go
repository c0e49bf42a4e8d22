package gather

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestAllowanceFallsFastAndGrowsSlowly: others' calls leave less than the share at times.
func TestAllowanceFallsFastAndGrowsSlowly(t *testing.T) {
	var a allowance
	now := time.Now()
	require.Equal(t, 1.0, a.at(now))
	a.refused(now)
	a.refused(now.Add(lowerPause / 2))
	require.InDelta(t, loweredTo, a.at(now), 1e-9, "what is refused in one moment is one sign")
	for range 20 {
		now = now.Add(lowerPause)
		a.refused(now)
	}
	require.InDelta(t, lowestAllowance, a.at(now), 1e-9)
	require.InDelta(t, lowestAllowance+raisedPerSecond, a.at(now.Add(time.Second)), 1e-9)
	require.Equal(t, 1.0, a.at(now.Add(time.Minute)))
}

// TestGatheringHasRowsWaitLongerWhileLessIsTaken: the calls of all groups stay within what is left.
func TestGatheringHasRowsWaitLongerWhileLessIsTaken(t *testing.T) {
	pace := Pace{Writes: 1500, Groups: Groups}
	rate := 1400.0 / Groups
	whole, half := pace.Gathering(rate, 1), pace.Gathering(rate, 0.5)
	require.Greater(t, half, whole)
	calls := func(waits time.Duration) float64 {
		return Groups * partsOfGroup / (waits.Seconds() + partsOfGroup/rate)
	}
	require.LessOrEqual(t, calls(whole), turnsShare*pace.Writes)
	require.LessOrEqual(t, calls(half), turnsShare*pace.Writes/2)
}
