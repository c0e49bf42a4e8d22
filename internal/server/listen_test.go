package server

import (
	"errors"
	"net"
	"net/http"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"
)

// Guards against a node that ends because the kernel could not accept a connection (FAULT).
func TestErrorsOfAcceptDoNotEndAServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		failures := []error{syscall.ENOBUFS, syscall.ENOMEM, syscall.EPERM, syscall.ENETDOWN, syscall.EMFILE}
		listener := &fakeListener{errors: append(failures, net.ErrClosed)}
		err := (&http.Server{ReadHeaderTimeout: time.Second, ErrorLog: newErrorLog(discardLogger)}).Serve(persistentListener{listener})
		require.ErrorIs(t, err, net.ErrClosed)
		require.Empty(t, listener.errors, "all errors before the last one were survived")
	})
}

// Guards against a node that ends, or no longer tries, because something that it can do without fails (FAULT).
func TestOptionalServersAreRetried(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		attempts := 0
		s := &Server{options: Options{Logger: discardLogger, Listen: func(string) (net.Listener, error) {
			attempts++
			if attempts <= 3 {
				return nil, syscall.EADDRINUSE
			}
			return &fakeListener{}, nil
		}}}
		served := 0
		group := &errgroup.Group{}
		s.serveOptional(t.Context(), group, "a", func(net.Listener) error {
			served++
			if served == 1 {
				return errors.New("failed while it served")
			}
			return http.ErrServerClosed
		})
		require.NoError(t, group.Wait())
		require.Equal(t, 2, served)
	})
}

// Guards against a node that gives up a port which the process before it still holds, and against one that never does (FAULT).
func TestPortOfTheLastProcessIsAwaited(t *testing.T) {
	for name, c := range map[string]struct {
		free   time.Duration
		listen bool
	}{
		"free soon":  {2 * time.Second, true},
		"free never": {time.Hour, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				begun := time.Now()
				s := &Server{options: Options{Settings: Settings{ShutdownGrace: 8 * time.Second}, Logger: discardLogger, Listen: func(string) (net.Listener, error) {
					if time.Since(begun) < c.free {
						return nil, syscall.EADDRINUSE
					}
					return &fakeListener{}, nil
				}}}
				listener, err := s.openWhenFree(t.Context(), "a")
				if c.listen {
					require.NoError(t, err)
					require.NotNil(t, listener)
					return
				}
				require.ErrorIs(t, err, syscall.EADDRINUSE)
				require.ErrorContains(t, err, "free the port")
				require.Less(t, time.Since(begun), 9*time.Second)
				s.draining.Store(true)
				_, err = s.openWhenFree(t.Context(), "a")
				require.ErrorIs(t, err, errStoppedAtStart)
			})
		})
	}
}
