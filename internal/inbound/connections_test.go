package inbound

import (
	"net"
	"net/http"
	"strings"
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

// fakeConn is a connection on which a peer sends bytes without end. It records whether it was closed.
type fakeConn struct {
	net.Conn
	closed bool
}

func (*fakeConn) Read(buffer []byte) (int, error) { return len(buffer), nil }

func (*fakeConn) RemoteAddr() net.Addr { return &net.TCPAddr{} }

func (c *fakeConn) Close() error {
	c.closed = true
	return nil
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

// opened is a connection that a test opened, and its bounded form.
type opened struct {
	*fakeConn
	*Connection
}

// open opens a connection, for which there must be room.
func open(t *testing.T, c *Connections) opened {
	conn := &fakeConn{}
	connection := c.add(conn, time.Now())
	require.NotNil(t, connection)
	return opened{conn, connection}
}

// receive receives a number of bytes.
func (o opened) receive(count int) { _, _ = o.Connection.Read(make([]byte, count)) }

// idle lets a connection wait for another request.
func (o opened) idle() { o.owner.TrackState(o.Connection, http.StateIdle) }

// end ends a connection.
func (o opened) end() { o.owner.TrackState(o.Connection, http.StateClosed) }

func newConnections(limit int) *Connections {
	return New(Options{Limit: limit, Logger: discardLogger})
}

// Guards against an idle client blocking new connections at the limit.
func TestLongestIdleConnectionIsClosedAtTheLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newConnections(2)
		connections := []opened{open(t, c), open(t, c)}
		for _, connection := range connections {
			connection.receive(100)
			connection.idle()
			time.Sleep(time.Second)
		}
		connections[0].idle() // after another request
		require.True(t, c.Accepting())
		require.False(t, connections[1].closed, "nothing is closed until there is need")
		third := open(t, c)
		require.True(t, connections[1].closed, "idle longest")
		require.False(t, connections[0].closed)
		connections[1].end()
		require.Equal(t, 2, c.Open())
		require.True(t, c.Accepting())
		open(t, c)
		require.True(t, connections[0].closed)
		require.False(t, third.closed)
	})
}

// Guards against cutting off requests at the connection limit, and against reporting ready there.
func TestRequestsThatHaveArrivedAreNotClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newConnections(2)
		first, second := open(t, c), open(t, c)
		for _, connection := range []opened{first, second} {
			connection.receive(100)
			c.endHead(connection.Connection)
			require.True(t, c.endRequest(connection.Connection))
		}
		time.Sleep(time.Hour)
		require.False(t, c.Accepting())
		listener := c.Listen(&fakeListener{errors: []error{nil, nil, net.ErrClosed}}, deadconn.Guard{})
		_, err := listener.Accept()
		require.ErrorIs(t, err, net.ErrClosed, "connections for which there is no room are closed, and the next one is awaited")
		require.False(t, first.closed || second.closed, "connections with a request in progress stay open")
		first.end()
		time.Sleep(acceptFailureTTL) // of the listener's end
		require.True(t, c.Accepting())

		unlimited := newConnections(0)
		open(t, unlimited)
		require.True(t, unlimited.Accepting())
	})
}

// Guards against clients that begin requests and keep all places, so that ordinary clients are no longer served (FAULT).
func TestSlowestRequestGivesWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newConnections(4)
		silent, slow, idle, steady := open(t, c), open(t, c), open(t, c), open(t, c)
		idle.receive(100)
		idle.idle()
		time.Sleep(slowLateness / 2)
		require.True(t, c.Accepting())
		slow.receive(100)
		for range 10 {
			steady.receive(expectedRate / 4)
			time.Sleep(slowLateness / 5)
			slow.receive(1)
		}
		open(t, c)
		require.True(t, silent.closed, "it has sent nothing")
		silent.end()
		open(t, c)
		require.True(t, slow.closed, "a byte now and then is too slow")
		require.False(t, c.endRequest(slow.Connection), "a request that was given up is not served")
		slow.end()
		open(t, c)
		require.True(t, idle.closed)
		idle.end()
		require.False(t, steady.closed)
		steady.receive(expectedRate)
		require.False(t, c.Accepting(), "requests that have just begun are not closed")
		time.Sleep(minLateness)
		require.True(t, c.Accepting())
		require.Equal(t, 4, c.Open())
	})
}

// stuckConn is a connection whose peer takes what is sent in pieces, when the test lets it.
type stuckConn struct {
	fakeConn
	takes chan int
}

func (c *stuckConn) Write(data []byte) (int, error) {
	if _, ok := <-c.takes; !ok {
		return 0, net.ErrClosed
	}
	return len(data), nil
}

// Guards against clients that ask for answers, do not take them, and keep all places (FAULT), and against cutting off one that does.
func TestPeerThatDoesNotTakeItsAnswerGivesWayLast(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newConnections(2)
		peers := []*stuckConn{{takes: make(chan int)}, {takes: make(chan int)}}
		answered := make(chan error, len(peers))
		var connections []*Connection
		for _, peer := range peers {
			connection := c.add(peer, time.Now())
			_, _ = connection.Read(make([]byte, 100))
			require.True(t, c.endRequest(connection))
			connections = append(connections, connection)
		}
		time.Sleep(time.Hour)
		require.False(t, c.Accepting(), "both wait for their workers")
		for _, connection := range connections {
			go func() {
				_, err := connection.Write(make([]byte, 3*writePiece))
				answered <- err
			}()
		}
		synctest.Wait()
		require.False(t, c.Accepting(), "they may be about to take their answers")
		peers[0].takes <- 1
		time.Sleep(heldLateness)
		peers[0].takes <- 1
		synctest.Wait()
		open(t, c)
		require.True(t, peers[1].closed, "it has taken nothing")
		require.False(t, peers[0].closed)
		close(peers[1].takes)
		require.Error(t, <-answered)
		peers[0].takes <- 1
		require.NoError(t, <-answered)
	})
}

// Guards against a burst that keeps a place for as long as a steady sender would take for it.
func TestBytesThatCameEarlyGiveNoCredit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := startProgress(time.Now())
		p.received(100*expectedRate, time.Now())
		time.Sleep(time.Second)
		require.Equal(t, time.Second, p.lateness(time.Now()))
		p.received(expectedRate/2, time.Now())
		require.InDelta(t, 0.5, p.lateness(time.Now()).Seconds(), 0.01)
	})
}

// Guards against connections that exceed the limit because those that were closed for them have not ended yet.
func TestClosedConnectionsAreAwaited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newConnections(8)
		var connections []opened
		for range 8 {
			connections = append(connections, open(t, c))
		}
		time.Sleep(time.Second)
		for range 8/closingDivisor + 1 {
			open(t, c)
		}
		require.Nil(t, c.add(&fakeConn{}, time.Now()), "more than half have not ended")
		for _, connection := range connections {
			if connection.closed {
				connection.end()
			}
		}
		open(t, c)
	})
}

// Guards against a node that reports ready although it cannot accept connections, and against one
// that stays not ready because it gets no further connection.
func TestAcceptFailureStopsAcceptingForAWhile(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newConnections(0)
		listener := c.Listen(&fakeListener{errors: []error{nil, syscall.EMFILE, nil, syscall.EMFILE}}, deadconn.Guard{})
		for _, takes := range []bool{true, false, true, false} {
			_, err := listener.Accept()
			require.Equal(t, takes, err == nil)
			require.Equal(t, takes, c.Accepting())
		}
		time.Sleep(acceptFailureTTL)
		require.True(t, c.Accepting())
	})
}

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
	synctest.Test(t, func(t *testing.T) {
		const room = 4 * headStep
		budget := memory.NewBudget(room)
		c := New(Options{ReserveLong: budget.Reserve, Logger: discardLogger})
		short, long, late := open(t, c), open(t, c), open(t, c)
		_, err := readTotal(short.Connection, freeHeadMemory/headByteMemory)
		require.NoError(t, err)
		require.Zero(t, budget.Used(), "short heads need no reservation")

		total, err := readTotal(long.Connection, 1<<20)
		require.ErrorIs(t, err, errNoHeadMemory)
		require.LessOrEqual(t, total*headByteMemory, room)
		_, err = readTotal(late.Connection, 1<<20)
		require.ErrorIs(t, err, errNoHeadMemory, "the long head holds all of the memory")
		long.end()

		late.idle()
		_, err = readTotal(late.Connection, headStep/headByteMemory)
		require.NoError(t, err)
		c.endHead(late.Connection)
		used := budget.Used()
		_, err = readTotal(late.Connection, 1<<20)
		require.NoError(t, err, "the handler accounts for the body")
		require.Equal(t, used, budget.Used())
		late.idle()
		require.Zero(t, budget.Used())
	})
}

// Guards against heads of very many short fields, each of which takes far more memory than its bytes (FAULT).
func TestFieldsOfHeadsReserveMemory(t *testing.T) {
	ordinary, many := headSize{}, headSize{}
	ordinary.add([]byte(strings.Repeat("X-Ordinary-Name: a value of some length\r\n", 20)))
	require.Zero(t, ordinary.memory())
	many.add([]byte(strings.Repeat("1a:\r\n", 3000)))
	require.GreaterOrEqual(t, many.memory(), int64(3000*headLineMemory))
}

// Guards against bodies that are counted as heads, which reserve more, and against heads whose end is missed (REFUSED).
func TestHeadsEndWithAnEmptyLine(t *testing.T) {
	for name, c := range map[string]struct {
		text  string
		bytes int
		lines int64
		ended bool
	}{
		"with carriage returns":    {"GET / HTTP/1.1\r\nA: b\r\n\r\nbody\nof\n\nlines", 24, 3, true},
		"without carriage returns": {"GET / HTTP/1.1\nA: b\n\nbody", 21, 3, true},
		"not ended":                {"GET / HTTP/1.1\r\nA: b\r\n", 22, 2, false},
		"a line of returns":        {"GET / HTTP/1.1\r\n\r\r\n", 19, 2, false},
		"a return in a line":       {"GET / HTTP/1.1\r\nA:\r\r\n", 21, 2, false},
	} {
		t.Run(name, func(t *testing.T) {
			for piece := 1; piece <= len(c.text); piece++ {
				h := headSize{}
				for rest := []byte(c.text); len(rest) > 0; {
					size := min(piece, len(rest))
					h.add(rest[:size])
					rest = rest[size:]
				}
				require.EqualValues(t, c.bytes, h.bytes, "in pieces of %d bytes", piece)
				require.Equal(t, c.lines, h.lines)
				require.Equal(t, c.ended, h.ended)
			}
		})
	}
}
