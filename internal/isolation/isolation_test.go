package isolation

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// recordMisses records count misses, evenly spread over a duration, and returns the time of the
// last one.
func recordMisses(d *Detector, start time.Time, count int, over time.Duration) (last time.Time) {
	for index := range count {
		last = start.Add(over * time.Duration(index) / time.Duration(count-1))
		d.RecordMiss(last)
	}
	return last
}

// TestIsolatedOnlyWithoutTableAndPeers guards against nodes that report not ready although the
// table or another zone answers, and against isolation that never ends.
func TestIsolatedOnlyWithoutTableAndPeers(t *testing.T) {
	const lost = true
	start := time.Now()
	t.Run("table and other zones are unreachable", func(t *testing.T) {
		d := &Detector{}
		require.True(t, d.Isolated(lost, recordMisses(d, start, minMisses, minMissSpan)))
	})
	t.Run("the table answers", func(t *testing.T) {
		d := &Detector{}
		require.False(t, d.Isolated(!lost, recordMisses(d, start, 9, minMissSpan)))
	})
	t.Run("no request was sent", func(t *testing.T) {
		require.False(t, (&Detector{}).Isolated(lost, start))
	})
	t.Run("a node of another zone answers", func(t *testing.T) {
		d := &Detector{}
		recordMisses(d, start, 9, minMissSpan)
		d.RecordReply(start.Add(minMissSpan))
		require.False(t, d.NeedsProbe(start.Add(minMissSpan)))
		require.True(t, d.NeedsProbe(start.Add(minMissSpan+probeAfter)))
		require.False(t, d.PeersUnreachable())
		require.False(t, d.Isolated(lost, start.Add(minMissSpan)))
		require.False(t, d.Isolated(lost, recordMisses(d, start, minMisses-1, time.Second)), "a reply resets the count")
	})
	t.Run("all misses at about the same time", func(t *testing.T) {
		d := &Detector{}
		require.False(t, d.Isolated(lost, recordMisses(d, start, 9, minMissSpan/2)))
	})
	t.Run("the detection expires", func(t *testing.T) {
		d := &Detector{}
		require.False(t, d.Isolated(lost, recordMisses(d, start, 9, minMissSpan).Add(maxEvidenceAge)))
	})
}
