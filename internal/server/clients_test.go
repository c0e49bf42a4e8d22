package server

import (
	"net"
	"net/http"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/stretchr/testify/require"

	"github.com/cloverwheel/cloverwheel/internal/deadconn"
	"github.com/cloverwheel/cloverwheel/internal/memory"
)

var discardLogger = &log.Logger{Handler: discard.New()}

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
	c := newClientConns(3, nil, discardLogger)
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
	c := newClientConns(2, nil, discardLogger)
	first, second := &fakeConn{}, &fakeConn{}
	for _, connection := range []*fakeConn{first, second} {
		c.trackState(connection, http.StateNew)
		c.trackState(connection, http.StateActive)
	}
	require.False(t, c.accepting())
	require.False(t, first.closed, "connections with a request in progress stay open")
	c.trackState(first, http.StateClosed)
	require.True(t, c.accepting())

	third := &fakeConn{}
	c.trackState(third, http.StateNew)
	c.trackState(third, http.StateActive)
	listener := c.trackListener(&fakeListener{errors: []error{nil, nil, net.ErrClosed}}, deadconn.Guard{})
	_, err := listener.Accept()
	require.ErrorIs(t, err, net.ErrClosed, "connections for which there is no room are closed, and the next one is awaited")

	unlimited := newClientConns(0, nil, discardLogger)
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

func (*fakeListener) Close() error { return nil }

// Guards against a node that reports ready although it cannot accept connections, and against one
// that stays not ready because it gets no further connection.
func TestAcceptFailureStopsAcceptingForAWhile(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newClientConns(0, nil, discardLogger)
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

// Guards against connections that exceed the memory of a small node, each with little (FAULT).
func TestConnectionLimitFollowsFromDescriptorsAndMemory(t *testing.T) {
	require.Equal(t, 1536, clientLimit(8000, 144<<20))
	require.Equal(t, 4000, clientLimit(8000, 1<<30))
	require.Equal(t, 100, clientLimit(200, 144<<20))
	require.Equal(t, 1536, clientLimit(0, 144<<20))
	require.Zero(t, clientLimit(0, 0))
}

// readConn is a connection on which a client sends bytes without end.
type readConn struct{ fakeConn }

func (*readConn) Read(buffer []byte) (int, error) { return len(buffer), nil }

func (*readConn) RemoteAddr() net.Addr { return &net.TCPAddr{} }

// readTotal reads from a connection until it fails, or until most bytes were read.
func readTotal(connection net.Conn, most int) (total int, err error) {
	buffer := make([]byte, 1<<10)
	for total < most {
		count, err := connection.Read(buffer)
		total += count
		if err != nil {
			return total, err
		}
	}
	return total, nil
}

// Guards against heads of many requests that exceed the memory together, and against memory that is not released.
func TestHeadsOfRequestsReserveMemory(t *testing.T) {
	const room = 4 * headStep * headMemoryFactor
	budget := memory.NewBudget(room)
	client := func() *clientConnection {
		return &clientConnection{Conn: &readConn{}, grant: memory.NewGrant(budget.Reserve)}
	}
	short, long, late := client(), client(), client()
	_, err := readTotal(short, freeHeadBytes)
	require.NoError(t, err)
	require.Zero(t, budget.Used(), "short heads need no reservation")

	total, err := readTotal(long, 1<<20)
	require.ErrorIs(t, err, errNoHeadMemory)
	require.LessOrEqual(t, total*headMemoryFactor, room)
	_, err = readTotal(late, 1<<20)
	require.ErrorIs(t, err, errNoHeadMemory, "the long head holds all of the memory")
	long.end()

	late.beginRequest()
	_, err = readTotal(late, headStep)
	require.NoError(t, err)
	late.endHead()
	used := budget.Used()
	_, err = readTotal(late, 1<<20)
	require.NoError(t, err, "the handler accounts for the body")
	require.Equal(t, used, budget.Used())
	late.beginRequest()
	require.Zero(t, budget.Used())
}
