package server

import (
	"container/list"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"github.com/cloverwheel/cloverwheel/internal/deadconn"
	"github.com/cloverwheel/cloverwheel/internal/memory"
)

// clientDescriptorDivisor is the part of the socket descriptors that client connections may use.
// A request in progress needs about as many again for its worker, other nodes and the store.
const clientDescriptorDivisor = 2 // one half

const (
	// clientMemoryDivisor is the part of the process's memory that client connections may use, and clientConnectionBytes what
	// one of them takes with a request in progress: stacks, buffers and the request.
	clientMemoryDivisor   = 4 // one quarter
	clientConnectionBytes = 24 << 10
)

// fullLogInterval is the shortest time between two log lines on connections that are closed unread.
const fullLogInterval = time.Second

// acceptFailureTTL is how long a failed Accept makes the node not ready. The HTTP server retries
// within a second, but Accept does not return while no client connects.
const acceptFailureTTL = 1500 * time.Millisecond

// clientConns tracks the connections of clients and limits their number. At the limit it closes the connection that has been idle
// longest. If none is idle, new connections are closed at once, and the node reports not ready.
type clientConns struct {
	limit        int            // maximum number of connections; 0: unlimited
	reserve      memory.Reserve // of the memory for heads of requests
	logger       log.Interface
	acceptFailed atomic.Pointer[time.Time] // time of the last Accept if it failed; nil: it succeeded

	mutex        sync.Mutex
	open         int
	idle         *list.List // of net.Conn without a request, longest idle first
	idleElements map[net.Conn]*list.Element
	refused      int       // connections closed unread since the last log line
	refusalsAt   time.Time // time of that line
}

// clientLimit returns the maximum number of client connections of a process; 0: unlimited. descriptors and memoryBytes are its
// limits; 0: unlimited.
func clientLimit(descriptors int, memoryBytes int64) int {
	limit := descriptors / clientDescriptorDivisor
	inMemory := int(memoryBytes / clientMemoryDivisor / clientConnectionBytes)
	if limit == 0 || inMemory > 0 && inMemory < limit {
		return inMemory
	}
	return limit
}

// newClientConns returns a tracker for at most limit connections; 0: unlimited. reserve reserves the memory for long
// heads; nil: without a limit.
func newClientConns(limit int, reserve memory.Reserve, logger log.Interface) *clientConns {
	return &clientConns{limit: limit, reserve: reserve, logger: logger, idle: list.New(), idleElements: map[net.Conn]*list.Element{}}
}

// trackState records the new state of a connection. It is the ConnState hook of http.Server.
func (c *clientConns) trackState(connection net.Conn, state http.ConnState) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if element, ok := c.idleElements[connection]; ok {
		c.idle.Remove(element)
		delete(c.idleElements, connection)
	}
	client, _ := connection.(*clientConnection)
	switch state {
	case http.StateNew:
		c.open++
		c.idleElements[connection] = c.idle.PushBack(connection)
	case http.StateIdle:
		c.idleElements[connection] = c.idle.PushBack(connection)
		if client != nil {
			client.beginRequest()
		}
	case http.StateClosed, http.StateHijacked:
		c.open--
		if client != nil {
			client.end()
		}
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
	return !c.full()
}

// full reports whether the limit is reached and no connection is idle. The caller holds the mutex.
func (c *clientConns) full() bool { return c.limit > 0 && c.open >= c.limit && c.idle.Len() == 0 }

// admit reports whether there is room for a new connection. It logs refusals, together with those of the last interval.
func (c *clientConns) admit(now time.Time) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !c.full() {
		return true
	}
	c.refused++
	if now.Sub(c.refusalsAt) >= fullLogInterval {
		c.logger.WithField("closed", c.refused).WithField("open", c.open).
			Warn("closing new connections of clients unread: every connection has a request in progress")
		c.refused, c.refusalsAt = 0, now
	}
	return false
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

// Accept implements net.Listener. It closes connections for which there is no room.
func (l *trackedListener) Accept() (net.Conn, error) {
	for {
		connection, err := l.Listener.Accept()
		now := time.Now()
		if err != nil {
			l.clients.acceptFailed.Store(&now)
			return connection, err
		}
		l.clients.acceptFailed.Store(nil)
		if l.clients.admit(now) {
			return &clientConnection{Conn: connection, grant: memory.NewGrant(l.clients.reserve)}, nil
		}
		if err := connection.Close(); err != nil {
			l.clients.logger.WithError(err).Warn("cannot close a connection of a client for which there is no room")
		}
	}
}
