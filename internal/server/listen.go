package server

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/cloverwheel/cloverwheel/internal/timing"
)

const (
	// listenRetryInterval is the time between attempts to listen at an address that the node cannot serve without.
	listenRetryInterval = 50 * time.Millisecond
	// optionalRetryInterval is the same for an address that it can serve without.
	optionalRetryInterval = time.Second
)

// retriedAcceptError is an error of Accept that does not mean that the listener was closed. net/http retries after such errors; after
// others it would stop serving.
type retriedAcceptError struct{ error }

// Timeout implements net.Error.
func (retriedAcceptError) Timeout() bool { return false }

// Temporary implements net.Error.
func (retriedAcceptError) Temporary() bool { return true }

// Unwrap returns the cause.
func (e retriedAcceptError) Unwrap() error { return e.error }

// persistentListener is a listener whose server keeps accepting after errors, for example when the kernel lacks memory.
type persistentListener struct{ net.Listener }

// Accept implements net.Listener.
func (l persistentListener) Accept() (net.Conn, error) {
	connection, err := l.Listener.Accept()
	if err == nil || errors.Is(err, net.ErrClosed) {
		return connection, err
	}
	return nil, retriedAcceptError{err}
}

// open listens at an address.
func (s *Server) open(address string) (net.Listener, error) {
	listener, err := s.options.Listen(address)
	if err != nil {
		return nil, err
	}
	return persistentListener{listener}, nil
}

// errStoppedAtStart is returned when a planned shutdown starts before the node can serve.
var errStoppedAtStart = errors.New("the node was stopped before it could serve")

// openWhenFree listens at an address that the node cannot serve without. The process before it may still hold the address, so it
// tries again for as long as a planned shutdown takes.
func (s *Server) openWhenFree(ctx context.Context, address string) (net.Listener, error) {
	for deadline, attempt := time.Now().Add(s.options.Settings.ShutdownGrace), 1; ; attempt++ {
		listener, err := s.open(address)
		if err == nil {
			s.logRegained(address, attempt)
			return listener, nil
		}
		if s.Draining() {
			return nil, errStoppedAtStart
		}
		if time.Now().After(deadline) {
			return nil, eris.Wrapf(err, "cannot listen at %s; free the port and start the node again", address)
		}
		s.logNotListening(address, attempt, err, "cannot listen yet; another process may hold the port, trying again")
		if timing.Sleep(ctx, listenRetryInterval) != nil {
			return nil, ctx.Err()
		}
	}
}

// serveOptional serves at an address that the node can serve clients without. It tries again until ctx ends, whatever fails. serve
// returns nil or http.ErrServerClosed when the server was closed.
func (s *Server) serveOptional(ctx context.Context, group *errgroup.Group, address string, serve func(net.Listener) error) {
	group.Go(func() error {
		for attempt := 1; ctx.Err() == nil; attempt++ {
			listener, err := s.open(address)
			if err == nil {
				s.logRegained(address, attempt)
				attempt = 0
				err = serve(listener)
			}
			if err == nil || errors.Is(err, http.ErrServerClosed) {
				return nil
			}
			s.logNotListening(address, attempt, err, "cannot serve at an address, continuing without it; free the port")
			_ = timing.Sleep(ctx, optionalRetryInterval) // the loop ends with ctx
		}
		return nil
	})
}

// logNotListening logs the first of a series of failed attempts to listen.
func (s *Server) logNotListening(address string, attempt int, err error, message string) {
	if attempt <= 1 {
		s.options.Logger.WithError(err).WithField("address", address).Error(message)
	}
}

// logRegained logs that the node listens after failed attempts.
func (s *Server) logRegained(address string, attempt int) {
	if attempt > 1 {
		s.options.Logger.WithField("address", address).WithField("attempts", attempt).Info("listening now")
	}
}
