package server

import (
	"context"
	"net/http"
	"time"

	"github.com/cloverwheel/cloverwheel/internal/timing"
)

const (
	// drainDelay is how long a stopping node keeps accepting connections, so that load balancers
	// detect that it is not ready: two failed health checks and a margin. With a short grace
	// period the delay is limited to maxDrainDelayRatio of it.
	drainDelay         = 2500 * time.Millisecond
	maxDrainDelayRatio = 0.32
	// closingPollInterval is the time between checks whether the last requests have ended.
	closingPollInterval = 10 * time.Millisecond
	// exitMargin is the part of the grace period left when the remaining requests are cut off.
	exitMargin = 400 * time.Millisecond
	// releaseTimeout is the part of exitMargin for releasing directory slots and returning
	// tokens.
	releaseTimeout = 300 * time.Millisecond
)

// awaitShutdown waits for the end of ctx or for a drain. In a drain it returns once all requests
// have ended or the grace period is nearly over.
func (s *Server) awaitShutdown(ctx context.Context, clientServer *http.Server) {
	select {
	case <-ctx.Done():
		clientServer.Close()
		return
	case <-s.drain:
	}
	started := time.Now()
	cutOff := started.Add(s.options.Settings.ShutdownGrace - exitMargin)
	_ = timing.Sleep(ctx, drainDelayFor(s.options.Settings.ShutdownGrace))
	shutdownCtx, cancel := context.WithDeadline(ctx, cutOff)
	defer cancel()
	s.awaitEarlierRequests(shutdownCtx, cutOff)
	err := clientServer.Shutdown(shutdownCtx)
	s.options.Logger.WithField("ms", time.Since(started).Milliseconds()).WithField("all_ended", err == nil).Info("stopped serving clients")
	if err != nil {
		clientServer.Close()
	}
}

// awaitEarlierRequests begins the last phase of a drain, in which the node still accepts
// connections but begins no turns, and waits for the requests that began before it.
func (s *Server) awaitEarlierRequests(ctx context.Context, cutOff time.Time) {
	s.forwarder.BeginClosing(cutOff)
	s.options.Logger.WithField("requests", s.forwarder.RequestsBeforeClosing()).
		Info("waiting for the requests in progress; new turns are refused, short plain requests are served")
	for s.forwarder.RequestsBeforeClosing() > 0 && timing.Sleep(ctx, closingPollInterval) == nil {
	}
}

// releaseResources releases the directory slots of a draining node and returns its unused tokens
// to the store.
func (s *Server) releaseResources(ctx context.Context) {
	if !s.Draining() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	if s.directory != nil {
		s.directory.Leave(ctx)
	}
	started := time.Now()
	returned := s.budgets.GiveBack(ctx)
	s.options.Logger.WithField("tokens", returned).WithField("ms", time.Since(started).Milliseconds()).Info("returned unused tokens to the store")
}

// drainDelayFor returns how long a node with the given grace period keeps accepting connections.
func drainDelayFor(grace time.Duration) time.Duration {
	return min(drainDelay, time.Duration(maxDrainDelayRatio*float64(grace)))
}
