package httpconn

import (
	"io"
	"net"
	"sync"
)

// copyBytes is the size in bytes of the buffers for writing bodies.
const copyBytes = 32 << 10

var copyBuffers = sync.Pool{New: func() any { return new([copyBytes]byte) }}

// pooledCopy is a connection that copies from readers through pooled buffers. A plain
// TCP connection would allocate a buffer of the same size for each body.
type pooledCopy struct{ net.Conn }

// ReadFrom implements io.ReaderFrom.
func (p pooledCopy) ReadFrom(reader io.Reader) (int64, error) {
	buffer := copyBuffers.Get().(*[copyBytes]byte)
	defer copyBuffers.Put(buffer)
	return io.CopyBuffer(writerOnly{p.Conn}, reader, buffer[:])
}

// writerOnly hides the other methods of a connection, so that io.CopyBuffer uses its buffer.
type writerOnly struct{ io.Writer }
