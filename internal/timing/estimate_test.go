package timing

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The timeout must adapt to slower and faster operations and stay within its bounds.
func TestEstimateAdaptsWithinBounds(t *testing.T) {
	const least, most = 100 * time.Millisecond, 800 * time.Millisecond
	var estimate LatencyEstimate
	require.Equal(t, least, estimate.Timeout(least, most), "no observations")
	random := rand.New(rand.NewPCG(1, 1))
	for name, test := range map[string]struct{ from, to, atLeast, atMost time.Duration }{
		"fast":       {5 * time.Millisecond, 15 * time.Millisecond, least, least},
		"slow":       {60 * time.Millisecond, 180 * time.Millisecond, 180 * time.Millisecond, 400 * time.Millisecond},
		"very slow":  {time.Second, 3 * time.Second, most, most},
		"fast again": {5 * time.Millisecond, 15 * time.Millisecond, least, least},
	} {
		for range 200 {
			estimate.Observe(test.from + time.Duration(random.Int64N(int64(test.to-test.from))))
		}
		longest := estimate.Timeout(least, most)
		require.GreaterOrEqual(t, longest, test.atLeast, name)
		require.LessOrEqual(t, longest, test.atMost, name)
	}
}
