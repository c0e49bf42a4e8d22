package wait

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Observations of one path must not affect the timeout of another.
func TestPathsAreIndependent(t *testing.T) {
	const least, most = 40 * time.Millisecond, 200 * time.Millisecond
	var paths Ways
	for range 100 {
		paths.Observe("near", time.Millisecond)
		paths.Observe("far", 100*time.Millisecond)
	}
	require.Equal(t, least, paths.Longest("near", least, most))
	require.InDelta(t, 100, paths.Longest("far", least, most).Milliseconds(), 1)
	require.Equal(t, least, paths.Longest("not observed", least, most))
	require.Equal(t, least, Patience(nil).Of("process", least, most), "nil Patience")
}
