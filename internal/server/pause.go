package server

import (
	"context"
	"time"

	"github.com/cloverwheel/cloverwheel/internal/timing"
)

const (
	// stallCheckInterval is how often a node checks whether it was stalled.
	stallCheckInterval = 500 * time.Millisecond
	// stallThreshold is the minimum gap between two checks that counts as a stall.
	stallThreshold = 1500 * time.Millisecond
)

// monitorStalls logs when the process did not run for a while, for example because it was
// suspended. No other log line reports what clients saw in that time.
func (s *Server) monitorStalls(ctx context.Context) {
	for before := time.Now(); timing.Sleep(ctx, stallCheckInterval) == nil; {
		now := time.Now()
		if gap := now.Sub(before); gap > stallThreshold {
			s.options.Logger.WithField("ms", gap.Milliseconds()).Warn("process was stalled; clients may have dropped the requests of that time")
		}
		before = now
	}
}
