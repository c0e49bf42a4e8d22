// Package inbound bounds what peers hold of a node by the connections that they open: how many there are, and the memory of requests
// that are arriving. When room is short, the connection on which a request arrives most slowly gives way, and last of all one whose
// peer does not take its answer. A request that waits for a worker never does.
package inbound

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"github.com/cloverwheel/cloverwheel/internal/memory"
)

// acceptFailureTTL is how long a failed Accept makes the node not ready. The HTTP server retries
// within a second, but Accept does not return while no client connects.
const acceptFailureTTL = 1500 * time.Millisecond

// Options are the options of Connections.
type Options struct {
	// Listener names the listener in logs and metrics.
	Listener string
	// Limit is the maximum number of connections; 0: unlimited.
	Limit int
	// ReserveMemory reserves memory for bodies, ReserveLong for long bodies and heads, which leave a part of that memory to others;
	// nil: without a limit.
	ReserveMemory memory.Reserve
	ReserveLong   memory.Reserve
	// CountRefused counts connections that were closed and requests that were refused before they had arrived; nil: they are not counted.
	CountRefused func(Reason)
	Logger       log.Interface
}

// Connections are the open connections of one listener.
type Connections struct {
	options      Options
	acceptFailed atomic.Pointer[time.Time] // time of the last Accept if it failed; nil: it succeeded
	// unboundedOnce logs that the unread bytes of connections cannot be bounded.
	unboundedOnce sync.Once

	mutex   sync.Mutex
	open    []*Connection
	closing int // connections that were evicted and have not ended yet
	report  report
}

// New returns the connections of a listener, none of them open.
func New(options Options) *Connections {
	return &Connections{options: options, report: newReport(options)}
}

// TrackState records the new state of a connection. It is the ConnState hook of http.Server.
func (c *Connections) TrackState(conn net.Conn, state http.ConnState) {
	connection, ok := conn.(*Connection)
	if !ok {
		return // of another listener
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	switch state {
	case http.StateIdle:
		connection.phase, connection.headRead = phaseIdle, false
		connection.head, connection.progress = headSize{}, startProgress(time.Now())
		connection.headMemory.Release()
	case http.StateClosed, http.StateHijacked:
		c.remove(connection)
	}
}

// add adds a connection that was accepted. It returns nil if there is no room; the connection must be closed then.
func (c *Connections) add(conn net.Conn, now time.Time) *Connection {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !c.makeRoom(now) {
		c.report.add(ReasonFull, conn.RemoteAddr(), len(c.open), now)
		return nil
	}
	connection := &Connection{Conn: conn, owner: c, position: len(c.open), progress: startProgress(now), headMemory: memory.NewGrant(c.options.ReserveLong)}
	c.open = append(c.open, connection)
	return connection
}

// remove forgets a connection and releases its memory. The caller holds the mutex.
func (c *Connections) remove(connection *Connection) {
	connection.freeMemory()
	if connection.evicted {
		c.closing--
		return
	}
	c.takeOut(connection)
}

// takeOut takes a connection out of the list. The caller holds the mutex.
func (c *Connections) takeOut(connection *Connection) {
	last := c.open[len(c.open)-1]
	c.open[connection.position], last.position = last, connection.position
	c.open = c.open[:len(c.open)-1]
}

// full reports whether the limit is reached. The caller holds the mutex.
func (c *Connections) full() bool { return c.options.Limit > 0 && len(c.open) >= c.options.Limit }

// received records bytes that have arrived. It reports whether there is memory for them, if they belong to a head.
func (c *Connections) received(connection *Connection, arrived []byte) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if connection.evicted || connection.phase == phaseServing {
		return true
	}
	now := time.Now()
	if connection.phase != phaseReceiving {
		connection.phase, connection.progress = phaseReceiving, startProgress(now)
	}
	connection.progress.received(len(arrived), now)
	if connection.headRead {
		return true
	}
	connection.head.add(arrived)
	return c.obtain(connection, func() bool { return connection.headMemory.Grow(connection.head.memory(), headStep) })
}

// beginSending states that bytes of an answer are being sent.
func (c *Connections) beginSending(connection *Connection) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	connection.sending, connection.taken = true, startProgress(time.Now())
}

// sent records bytes of an answer that the network has taken.
func (c *Connections) sent(connection *Connection, count int) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	connection.taken.received(count, time.Now())
}

// endSending states that all bytes were sent, or that sending failed.
func (c *Connections) endSending(connection *Connection) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	connection.sending = false
}

// endHead states that the current head was read as a whole. Its memory stays reserved until the next request.
func (c *Connections) endHead(connection *Connection) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	connection.phase, connection.headRead = phaseReceiving, true
}

// endRequest states that the current request has arrived as a whole. It reports false if the connection was evicted before.
func (c *Connections) endRequest(connection *Connection) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	connection.phase = phaseServing
	return !connection.evicted
}

// refused reports a request that was refused before it had arrived.
func (c *Connections) refused(connection *Connection, reason Reason) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.report.add(reason, connection.RemoteAddr(), len(c.open), time.Now())
}

// Accepting reports whether new connections can be accepted.
func (c *Connections) Accepting() bool {
	if failed := c.acceptFailed.Load(); failed != nil && time.Since(*failed) < acceptFailureTTL {
		return false
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return !c.full() || c.givesWay(time.Now()) != nil
}

// Open returns the number of open connections.
func (c *Connections) Open() int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return len(c.open)
}
