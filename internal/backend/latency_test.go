package backend

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against mixing the latencies of services.
func TestLatencyEstimatesArePerService(t *testing.T) {
	registry := NewRegistry(Options{})
	registry.LatencyEstimates("a").First.Observe(time.Second)
	require.Equal(t, time.Second, registry.LatencyEstimates("a").First.Timeout(0, time.Second))
	require.Zero(t, registry.LatencyEstimates("b").First.Timeout(0, time.Second))
}
