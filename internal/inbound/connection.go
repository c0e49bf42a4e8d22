package inbound

import (
	"context"
	"errors"
	"net"
	"net/http"

	"github.com/cloverwheel/cloverwheel/internal/memory"
)

// phase is what a connection is used for.
type phase int

const (
	phaseUnused    phase = iota // nothing has arrived yet
	phaseIdle                   // it waits for another request
	phaseReceiving              // a request is arriving
	phaseServing                // the request has arrived and is being served
)

// errNoHeadMemory is returned by reads of a head that the node has no memory for.
var errNoHeadMemory = errors.New("not enough memory for the head of the request; retry at another node")

// Connection is a connection of a peer. It reserves memory for the heads of requests as they arrive.
type Connection struct {
	net.Conn
	owner *Connections

	// The following fields are guarded by the mutex of owner.
	position   int // in the list of owner's connections
	phase      phase
	progress   progress // of the request that arrives; otherwise since when the connection waits
	head       headSize // of the request that arrives
	headRead   bool     // the handler has the head; the rest is the body
	headMemory *memory.Grant
	bodyMemory reservation
	sending    bool     // bytes of an answer wait until the peer takes them
	taken      progress // of the peer that takes them
	evicted    bool
}

// Read implements net.Conn. It fails if there is no memory for the head; net/http then closes the connection without an answer,
// so that the client knows that its request was not read.
func (c *Connection) Read(buffer []byte) (int, error) {
	count, err := c.Conn.Read(buffer)
	if count > 0 && !c.owner.received(c, buffer[:count]) {
		return 0, &net.OpError{Op: "read", Net: "tcp", Addr: c.RemoteAddr(), Err: errNoHeadMemory}
	}
	return count, err
}

// writePiece is the size in bytes of the pieces in which long writes are passed on, so that the progress of the peer is seen.
const writePiece = 16 << 10

// Write implements net.Conn.
func (c *Connection) Write(data []byte) (written int, err error) {
	c.owner.beginSending(c)
	defer c.owner.endSending(c)
	for {
		piece := data[written:min(written+writePiece, len(data))]
		count, err := c.Conn.Write(piece)
		written += count
		if err != nil || written == len(data) {
			return written, err
		}
		c.owner.sent(c, count)
	}
}

// waitsForBytes reports whether the connection holds room although its peer has not sent a whole request.
func (c *Connection) waitsForBytes() bool { return c.phase == phaseUnused || c.phase == phaseReceiving }

// holdsMemory reports whether memory is reserved for the connection.
func (c *Connection) holdsMemory() bool { return c.headMemory.Reserved() > 0 || c.bodyMemory.bytes > 0 }

// freeMemory releases all memory that is reserved for the connection.
func (c *Connection) freeMemory() {
	c.headMemory.Release()
	c.bodyMemory.free()
}

// connectionKey is the key of a request's connection in its context.
type connectionKey struct{}

// WithConnection is the ConnContext hook of http.Server.
func WithConnection(ctx context.Context, connection net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, connection)
}

// connectionOf returns the connection of a request; nil: it came in another way.
func connectionOf(r *http.Request) *Connection {
	connection, _ := r.Context().Value(connectionKey{}).(*Connection)
	return connection
}

// EndHeads returns a handler that states for each request that its head was read as a whole.
func EndHeads(next http.Handler) http.Handler {
	return http.HandlerFunc(func(out http.ResponseWriter, r *http.Request) {
		if connection := connectionOf(r); connection != nil {
			connection.owner.endHead(connection)
		}
		next.ServeHTTP(out, r)
	})
}

// WithoutBodies returns a handler for requests whose bodies are not read: each has arrived as a whole with its head.
func WithoutBodies(next http.Handler) http.Handler {
	return EndHeads(http.HandlerFunc(func(out http.ResponseWriter, r *http.Request) {
		if !EndRequest(r) {
			panic(http.ErrAbortHandler) // the connection was closed for others
		}
		next.ServeHTTP(out, r)
	}))
}

// Refused reports that a request was refused before it had arrived as a whole.
func Refused(r *http.Request, reason Reason) {
	if connection := connectionOf(r); connection != nil {
		connection.owner.refused(connection, reason)
	}
}

// EndRequest states that a request has arrived as a whole, so that its connection no longer gives way to others. It reports false if
// the connection was closed for others before; the request must not be served then.
func EndRequest(r *http.Request) bool {
	connection := connectionOf(r)
	return connection == nil || connection.owner.endRequest(connection)
}
