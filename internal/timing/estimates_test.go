package timing

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Observations under one key must not affect the timeout of another.
func TestKeysAreIndependent(t *testing.T) {
	const least, most = 40 * time.Millisecond, 200 * time.Millisecond
	var estimates LatencyEstimates
	for range 100 {
		estimates.Observe("near", time.Millisecond)
		estimates.Observe("far", 100*time.Millisecond)
	}
	require.Equal(t, least, estimates.Timeout("near", least, most))
	require.InDelta(t, 100, estimates.Timeout("far", least, most).Milliseconds(), 1)
	require.Equal(t, least, estimates.Timeout("not observed", least, most))
	require.Equal(t, least, TimeoutFunc(nil).For("process", least, most), "nil TimeoutFunc")
}
