package inbound

import (
	"errors"
	"io"
	"net/http"
)

const (
	// freeBodyBytes is the part of a body that needs no reservation: each connection has room for it.
	freeBodyBytes = 4 << 10
	// bodyGrowth is the factor by which the buffer of a body grows when it is full.
	bodyGrowth = 4
	// longBodyBytes is the size in bytes from which on a body uses the memory of long bodies.
	longBodyBytes = 64 << 10
)

var (
	// ErrNoMemory is returned for a body that the node has no memory for.
	ErrNoMemory = errors.New("not enough memory for the request body")
	// ErrTooLong is returned for a body that is longer than allowed.
	ErrTooLong = errors.New("the request body is longer than allowed")
	// ErrClosed is returned if the connection was closed before the end of the body, by the client or for others.
	ErrClosed = errors.New("the connection was closed before the end of the request body")
)

// ReadBody reads the body of a request, which may have limit bytes. It reserves memory for what has arrived, not for what the client
// declares, so that a client which does not send holds no memory. release frees the memory and is never nil. After an error, the request
// must not be served.
func ReadBody(r *http.Request, limit int64) (body []byte, release func(), err error) {
	reader := bodyReader{connection: connectionOf(r), source: r.Body, declared: r.ContentLength, limit: limit}
	body, err = reader.readAll()
	if err == nil && !EndRequest(r) {
		err = ErrClosed
	}
	return body, reader.release, err
}

// bodyReader reads one body.
type bodyReader struct {
	connection *Connection // nil: memory is not reserved
	source     io.Reader
	declared   int64 // length of the body; -1: unknown
	limit      int64
}

func (b *bodyReader) readAll() ([]byte, error) {
	switch {
	case b.declared > b.limit:
		return nil, ErrTooLong
	case b.declared == 0:
		return nil, nil
	}
	var data []byte
	for size := b.capacity(freeBodyBytes); ; size = b.capacity(size * bodyGrowth) {
		if !b.reserve(size) {
			return nil, ErrNoMemory
		}
		grown := make([]byte, size)
		length := copy(grown, data)
		count, err := io.ReadFull(b.source, grown[length:])
		data = grown[:length+count]
		switch {
		case errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF):
			return b.ended(data)
		case err != nil:
			return nil, ErrClosed
		case int64(len(data)) == b.declared:
			return data, nil
		case int64(len(data)) > b.limit:
			return nil, ErrTooLong
		}
	}
}

// capacity returns the size of a buffer of about the given size: no larger than the body can be, and one byte more if its length is
// unknown, to see whether it is too long.
func (b *bodyReader) capacity(size int64) int64 {
	if b.declared > 0 {
		return min(size, b.declared)
	}
	if size < b.limit {
		return size
	}
	return b.limit + 1
}

// ended returns the body when the source has ended.
func (b *bodyReader) ended(data []byte) ([]byte, error) {
	if b.declared > 0 {
		return nil, ErrClosed // net/http ends a declared body early only with its connection
	}
	if int64(len(data)) > b.limit {
		return nil, ErrTooLong
	}
	return data, nil
}

// reserve reserves the memory of a buffer of the given size, which replaces the last one.
func (b *bodyReader) reserve(size int64) bool {
	if b.connection == nil || size <= freeBodyBytes {
		return true
	}
	return b.connection.owner.reserveBody(b.connection, size)
}

// release frees the memory of the body.
func (b *bodyReader) release() {
	if b.connection != nil {
		b.connection.owner.releaseBody(b.connection)
	}
}

// reserveBody reserves the memory of a body of a connection in the place of what was reserved for it before. Connections on which requests
// arrive more slowly give way.
func (c *Connections) reserveBody(connection *Connection, size int64) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	reserve := c.options.ReserveMemory
	if size > longBodyBytes {
		reserve = c.options.ReserveLong
	}
	if reserve == nil {
		return true
	}
	var release func()
	reserved := c.obtain(connection, func() (ok bool) {
		release, ok = reserve(size)
		return ok
	})
	if !reserved {
		return false
	}
	connection.bodyMemory.free()
	connection.bodyMemory = reservation{size, release}
	return true
}

// releaseBody frees the memory of a connection's body.
func (c *Connections) releaseBody(connection *Connection) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	connection.bodyMemory.free()
}

// reservation is memory that is reserved for one buffer.
type reservation struct {
	bytes   int64
	release func() // nil: nothing is reserved
}

// free releases the memory, if any is reserved.
func (r *reservation) free() {
	if r.release != nil {
		r.release()
	}
	*r = reservation{}
}
