package server

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"

	"github.com/cloverwheel/cloverwheel/internal/memory"
)

const (
	// freeHeadBytes is the part of a request's head that needs no reservation: the read buffer of its connection holds it.
	freeHeadBytes = 4 << 10
	// headStep is the step in which the memory of longer heads is reserved, in bytes.
	headStep = 16 << 10
	// headMemoryFactor is the memory that a byte of a head takes: as it is read, decoded and copied.
	headMemoryFactor = 4
)

// errNoHeadMemory is returned by reads of a head that the node has no memory for.
var errNoHeadMemory = errors.New("not enough memory for the head of the request; retry at another node")

// clientConnection is a connection of a client that reserves memory for the heads of requests as they arrive.
type clientConnection struct {
	net.Conn
	mutex   sync.Mutex
	grant   *memory.Grant
	head    int64 // bytes read of the current request's head
	handled bool  // the head was read as a whole; the handler accounts for the body
	closed  bool
}

// Read implements net.Conn. It fails if there is no memory for the head; net/http then closes the connection without an answer,
// so that the client knows that its request was not read.
func (c *clientConnection) Read(buffer []byte) (int, error) {
	count, err := c.Conn.Read(buffer)
	if !c.reserve(int64(count)) {
		return 0, &net.OpError{Op: "read", Net: "tcp", Addr: c.RemoteAddr(), Err: errNoHeadMemory}
	}
	return count, err
}

// reserve reserves memory for further bytes of a head. It reports whether there is enough.
func (c *clientConnection) reserve(count int64) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.handled || c.closed {
		return true
	}
	c.head += count
	if c.head <= freeHeadBytes {
		return true
	}
	return c.grant.Grow(c.head*headMemoryFactor, headStep*headMemoryFactor)
}

// beginRequest releases the memory of the last request's head.
func (c *clientConnection) beginRequest() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.head, c.handled = 0, false
	c.grant.Release()
}

// endHead states that the current head was read as a whole. Its memory stays reserved until the next request.
func (c *clientConnection) endHead() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.handled = true
}

// end releases all memory of the connection.
func (c *clientConnection) end() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.closed = true
	c.grant.Release()
}

// clientConnectionKey is the key of a request's connection in its context.
type clientConnectionKey struct{}

// withClientConnection is the ConnContext hook of http.Server.
func withClientConnection(ctx context.Context, connection net.Conn) context.Context {
	return context.WithValue(ctx, clientConnectionKey{}, connection)
}

// endHeads returns a handler that states for each request that its head was read as a whole.
func endHeads(next http.Handler) http.Handler {
	return http.HandlerFunc(func(out http.ResponseWriter, r *http.Request) {
		if connection, ok := r.Context().Value(clientConnectionKey{}).(*clientConnection); ok {
			connection.endHead()
		}
		next.ServeHTTP(out, r)
	})
}
