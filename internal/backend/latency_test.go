package backend

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against mixing the latencies of services.
func TestLatencyEstimatesArePerService(t *testing.T) {
	registry := NewRegistry(Options{})
	registry.Silences("a").First.Observe(time.Second)
	require.Equal(t, time.Second, registry.Silences("a").First.Timeout(0, time.Second))
	require.Zero(t, registry.Silences("b").First.Timeout(0, time.Second))
}
