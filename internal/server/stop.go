package server

import (
	"context"
	"net/http"
	"time"

	"github.com/cloverwheel/cloverwheel/internal/wait"
)

const (
	// leaveTime is how long a stopping node goes on taking connections, so that
	// nobody is sent to a closed door: two missed questions and some more. Of a
	// short grace it takes no more than leaveShare.
	leaveTime  = 2500 * time.Millisecond
	leaveShare = 0.32
	// exitMargin is what is left of the grace when the last requests are cut.
	exitMargin = 400 * time.Millisecond
	// giveBackTime of that bounds leaving slots and giving tokens back.
	giveBackTime = 300 * time.Millisecond
)

// awaitStop returns when the node is to end at once, or has ended its requests.
func (s *Server) awaitStop(ctx context.Context, front *http.Server) {
	select {
	case <-ctx.Done():
		front.Close()
		return
	case <-s.drain:
	}
	begun := time.Now()
	_ = wait.For(ctx, leaveFor(s.options.Settings.Grace))
	limited, cancel := context.WithDeadline(ctx, begun.Add(s.options.Settings.Grace-exitMargin))
	defer cancel()
	err := front.Shutdown(limited)
	s.options.Logger.WithField("ms", time.Since(begun).Milliseconds()).WithField("all_ended", err == nil).Info("stopped")
	if err != nil {
		front.Close()
	}
}

// giveBack leaves the node's directory slots and returns to the table the tokens
// that it holds, when it stops as planned.
func (s *Server) giveBack(ctx context.Context) {
	if !s.Draining() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, giveBackTime)
	defer cancel()
	if s.programs != nil {
		s.programs.Leave(ctx)
	}
	begun := time.Now()
	returned := s.budgets.GiveBack(ctx)
	s.options.Logger.WithField("tokens", returned).WithField("ms", time.Since(begun).Milliseconds()).Info("tokens given back")
}

// leaveFor is how long a node with that grace goes on taking connections.
func leaveFor(grace time.Duration) time.Duration {
	return min(leaveTime, time.Duration(leaveShare*float64(grace)))
}
