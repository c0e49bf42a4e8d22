package server

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a drain delay that uses up a short grace period.
func TestDrainDelayLeavesTimeForRequests(t *testing.T) {
	require.Equal(t, drainDelay, drainDelayFor(8*time.Second))
	for _, grace := range []time.Duration{time.Second, 2 * time.Second, 4 * time.Second} {
		require.Greater(t, grace-exitMargin-drainDelayFor(grace), grace/5)
	}
}
