package server

import (
	"context"
	"time"

	"github.com/cloverwheel/cloverwheel/internal/wait"
)

const (
	// beatEvery is how often a node looks whether it was paused.
	beatEvery = 500 * time.Millisecond
	// pausedFor is from which gap on it counts as paused.
	pausedFor = 1500 * time.Millisecond
)

// notePauses logs when the process stood still, because what its clients saw then
// is in no other line.
func (s *Server) notePauses(ctx context.Context) {
	for before := time.Now(); wait.For(ctx, beatEvery) == nil; {
		now := time.Now()
		if gap := now.Sub(before); gap > pausedFor {
			s.options.Logger.WithField("ms", gap.Milliseconds()).Warn("the process stood still; requests of that time have lost their clients")
		}
		before = now
	}
}
