package httpconn

import (
	"io"
	"net"
)

// ByteCounter is called with the number of bytes sent and received on a connection. It
// must be safe for concurrent use.
type ByteCounter func(sent, received int)

// countedReader counts the bytes read from a connection.
type countedReader struct {
	io.Reader
	count ByteCounter
}

// Read implements io.Reader.
func (c countedReader) Read(buffer []byte) (int, error) {
	read, err := c.Reader.Read(buffer)
	c.count(0, read)
	return read, err
}

// countedConn counts the bytes written to a connection.
type countedConn struct {
	net.Conn
	count ByteCounter
}

// Write implements io.Writer.
func (c countedConn) Write(data []byte) (int, error) {
	written, err := c.Conn.Write(data)
	c.count(written, 0)
	return written, err
}

// counted returns the reader and writer of a connection, with byte counting if
// Options.OnBytes is set.
func (p *Pool) counted(raw net.Conn) (io.Reader, net.Conn) {
	if p.options.OnBytes == nil {
		return raw, raw
	}
	return countedReader{raw, p.options.OnBytes}, countedConn{raw, p.options.OnBytes}
}
