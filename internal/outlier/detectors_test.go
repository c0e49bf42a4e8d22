package outlier

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against ejections or load of one group affecting another.
func TestGroupsAreEvaluatedIndependently(t *testing.T) {
	utilization := 0.0
	var changedGroups []int
	detectors := NewDetectors(Options[int]{
		Members:     func(group int) []string { return names[10*group : 10*group+10] },
		Utilization: func(int) float64 { return utilization },
		OnChange:    func(group int, _ Change) { changedGroups = append(changedGroups, group) },
	})
	now := startTime
	reportAll := func() {
		now = now.Add(evaluationInterval)
		for _, node := range []string{"n0", "n1", "n2"} {
			for worker := range 20 {
				detectors.Add(worker/10, node, []Sample{sampleOf(worker, 10, failFirst(1, 6)(worker))}, now)
			}
		}
	}
	utilization = 1
	reportAll()
	require.Zero(t, detectors.Verdicts(0, now)[0].Until, "ejection at full load")
	utilization = 0.5
	reportAll()
	require.Equal(t, key(0), detectors.Verdicts(0, now)[0].Worker)
	require.Positive(t, detectors.Verdicts(0, now)[0].Until)
	require.Empty(t, detectors.Verdicts(1, now))
	require.Equal(t, []int{0}, changedGroups)
}

// Guards against unbounded growth of the number of groups.
func TestDetectorsAreBounded(t *testing.T) {
	detectors := NewDetectors(Options[int]{Members: func(int) []string { return nil }})
	for group := range 2 * maxDetectors {
		detectors.Add(group, "n0", []Sample{sampleOf(0, 1, 0)}, startTime)
	}
	require.Len(t, detectors.detectors, maxDetectors)
	detectors.Verdicts(-1, startTime.Add(2*stateTTL))
	require.Len(t, detectors.detectors, 1)
}
