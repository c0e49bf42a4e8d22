package server

import (
	"container/list"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cloverwheel/cloverwheel/internal/deadconn"
)

// clientDescriptorDivisor is the part of the socket descriptors that client connections may use.
// A request in progress needs about as many again for its worker, other nodes and the store.
const clientDescriptorDivisor = 2 // one half

// acceptFailureTTL is how long a failed Accept makes the node not ready. The HTTP server retries
// within a second, but Accept does not return while no client connects.
const acceptFailureTTL = 1500 * time.Millisecond

// clientConns tracks the connections of clients and limits their number. At the limit it closes
// the connection that has been idle longest; if none is idle, the node reports not ready.
type clientConns struct {
	limit        int                       // maximum number of connections; 0: unlimited
	acceptFailed atomic.Pointer[time.Time] // time of the last Accept if it failed; nil: it succeeded

	mutex        sync.Mutex
	open         int
	idle         *list.List // of net.Conn, longest idle first
	idleElements map[net.Conn]*list.Element
}

// newClientConns returns a tracker for a process with the given number of socket descriptors; 0:
// unlimited.
func newClientConns(descriptors int) *clientConns {
	return &clientConns{limit: descriptors / clientDescriptorDivisor, idle: list.New(), idleElements: map[net.Conn]*list.Element{}}
}

// trackState records the new state of a connection. It is the ConnState hook of http.Server.
func (c *clientConns) trackState(connection net.Conn, state http.ConnState) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if element, ok := c.idleElements[connection]; ok {
		c.idle.Remove(element)
		delete(c.idleElements, connection)
	}
	switch state {
	case http.StateNew:
		c.open++
	case http.StateIdle:
		c.idleElements[connection] = c.idle.PushBack(connection)
	case http.StateClosed, http.StateHijacked:
		c.open--
	}
	if c.limit > 0 && c.open >= c.limit {
		c.closeLongestIdle()
	}
}

// closeLongestIdle closes the connection that has been idle longest, if any. The caller holds the
// mutex. The HTTP server reports the close later, so one connection more than needed may be
// closed.
func (c *clientConns) closeLongestIdle() {
	first := c.idle.Front()
	if first == nil {
		return
	}
	connection := c.idle.Remove(first).(net.Conn)
	delete(c.idleElements, connection)
	connection.Close()
}

// accepting reports whether the node can accept new connections.
func (c *clientConns) accepting() bool {
	if failed := c.acceptFailed.Load(); failed != nil && time.Since(*failed) < acceptFailureTTL {
		return false
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.limit == 0 || c.open < c.limit || c.idle.Len() > 0
}

// trackListener wraps a listener to record whether the last Accept succeeded. The guard detects
// dead connections.
func (c *clientConns) trackListener(listener net.Listener, guard deadconn.Guard) net.Listener {
	return &trackedListener{Listener: deadconn.Listener{Listener: listener, Guard: guard}, clients: c}
}

type trackedListener struct {
	net.Listener
	clients *clientConns
}

// Accept implements net.Listener.
func (l *trackedListener) Accept() (net.Conn, error) {
	connection, err := l.Listener.Accept()
	if err == nil {
		l.clients.acceptFailed.Store(nil)
		return connection, nil
	}
	now := time.Now()
	l.clients.acceptFailed.Store(&now)
	return connection, err
}
