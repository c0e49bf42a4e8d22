package httpconn

import (
	"io"
	"net"
	"sync"
)

// copyBytes is the size of the buffers through which bodies are written.
const copyBytes = 32 << 10

var copyBuffers = sync.Pool{New: func() any { return new([copyBytes]byte) }}

// pooledCopy is a connection that copies from readers through a buffer that is used
// again. A TCP connection alone makes one of the same size for each body.
type pooledCopy struct{ net.Conn }

// ReadFrom implements io.ReaderFrom.
func (p pooledCopy) ReadFrom(reader io.Reader) (int64, error) {
	buffer := copyBuffers.Get().(*[copyBytes]byte)
	defer copyBuffers.Put(buffer)
	return io.CopyBuffer(writerOnly{p.Conn}, reader, buffer[:])
}

// writerOnly hides what else a connection can do.
type writerOnly struct{ io.Writer }
