package server

import (
	"net"
	"net/http"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cloverwheel/cloverwheel/internal/deadconn"
)

// fakeConn records whether it was closed.
type fakeConn struct {
	net.Conn
	closed bool
}

func (c *fakeConn) Close() error {
	c.closed = true
	return nil
}

// Guards against an idle client blocking new connections at the limit.
func TestLongestIdleConnectionIsClosedAtTheLimit(t *testing.T) {
	c := newClientConns(3 * clientDescriptorDivisor)
	connections := []*fakeConn{{}, {}, {}}
	for _, connection := range connections[:2] {
		c.trackState(connection, http.StateNew)
		c.trackState(connection, http.StateActive)
		c.trackState(connection, http.StateIdle)
	}
	c.trackState(connections[0], http.StateActive)
	c.trackState(connections[0], http.StateIdle)
	require.False(t, connections[1].closed, "below the limit")
	c.trackState(connections[2], http.StateNew)
	require.True(t, connections[1].closed, "idle longest")
	require.False(t, connections[0].closed)
	require.True(t, c.accepting())
	c.trackState(connections[1], http.StateClosed)
	require.False(t, connections[0].closed)
}

// Guards against cutting off requests at the connection limit, and against reporting ready there.
func TestNodeAtTheConnectionLimitDoesNotAccept(t *testing.T) {
	c := newClientConns(2 * clientDescriptorDivisor)
	first, second := &fakeConn{}, &fakeConn{}
	for _, connection := range []*fakeConn{first, second} {
		c.trackState(connection, http.StateNew)
		c.trackState(connection, http.StateActive)
	}
	require.False(t, c.accepting())
	require.False(t, first.closed, "connections with a request in progress stay open")
	c.trackState(first, http.StateClosed)
	require.True(t, c.accepting())

	unlimited := newClientConns(0)
	unlimited.trackState(first, http.StateNew)
	require.True(t, unlimited.accepting())
}

// fakeListener accepts with the given errors, in order.
type fakeListener struct {
	net.Listener
	errors []error
}

func (l *fakeListener) Accept() (net.Conn, error) {
	err := l.errors[0]
	l.errors = l.errors[1:]
	return &fakeConn{}, err
}

// Guards against a node that reports ready although it cannot accept connections, and against one
// that stays not ready because it gets no further connection.
func TestAcceptFailureStopsAcceptingForAWhile(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newClientConns(0)
		listener := c.trackListener(&fakeListener{errors: []error{nil, syscall.EMFILE, nil, syscall.EMFILE}}, deadconn.Guard{})
		for _, takes := range []bool{true, false, true, false} {
			_, err := listener.Accept()
			require.Equal(t, takes, err == nil)
			require.Equal(t, takes, c.accepting())
		}
		time.Sleep(acceptFailureTTL)
		require.True(t, c.accepting())
	})
}
