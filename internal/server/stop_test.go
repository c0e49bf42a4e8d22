package server

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestShortGraceLeavesTimeForRequests(t *testing.T) {
	require.Equal(t, leaveTime, leaveFor(8*time.Second))
	for _, grace := range []time.Duration{time.Second, 2 * time.Second, 4 * time.Second} {
		require.Greater(t, grace-exitMargin-leaveFor(grace), grace/5)
	}
}
