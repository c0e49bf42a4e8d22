package httpconn

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// ownCopy is a connection that allocates its own buffer in ReadFrom, as a TCP connection does.
type ownCopy struct {
	net.Conn
	copied *int
}

// ReadFrom implements io.ReaderFrom.
func (o ownCopy) ReadFrom(reader io.Reader) (int64, error) {
	*o.copied++
	return io.Copy(writerOnly{o.Conn}, reader)
}

// TestBodiesUsePooledBuffers: bodies must be written completely, and not through the
// connection's own ReadFrom.
func TestBodiesUsePooledBuffers(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	received := make(chan []byte, 1)
	server := &http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		received <- body
	})}
	go func() { _ = server.Serve(listener) }()
	defer server.Close()
	copied := 0
	p := NewPool(Options{MaxIdle: 4, IdleTimeout: time.Minute, Dial: func(context.Context) (net.Conn, error) {
		connection, err := net.Dial("tcp", listener.Addr().String())
		return ownCopy{Conn: connection, copied: &copied}, err
	}})
	for _, length := range []int{1, writeBuffer, writeBuffer + 1, copyBytes, 3*copyBytes + 1} {
		body := bytes.Repeat([]byte("x"), length)
		request := get()
		request.Method, request.Body, request.ContentLength = http.MethodPost, io.NopCloser(bytes.NewReader(body)), int64(length)
		answer, err := p.Send(t.Context(), request)
		require.NoError(t, err)
		answer.Close(false)
		require.Equal(t, body, <-received)
	}
	require.Zero(t, copied)
}
