package forward

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cloverwheel/cloverwheel/internal/backend"
	"github.com/cloverwheel/cloverwheel/internal/fault"
	"github.com/cloverwheel/cloverwheel/internal/route"
)

// stalledWorker is a worker that answers one request on its first connection and then stops
// reading from it. It answers all requests on later connections.
func stalledWorker(t *testing.T) (address string, answered *atomic.Int64) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { listener.Close() })
	answered = &atomic.Int64{}
	stalled := make(chan struct{})
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		answered.Add(1)
		_, _ = io.WriteString(w, "ok")
	})
	go func() {
		first, err := listener.Accept()
		if err != nil {
			return
		}
		t.Cleanup(func() { first.Close() })
		_ = first.(*net.TCPConn).SetReadBuffer(readBufferBytes) // so that it fills up at once
		_, _ = first.Read(make([]byte, readBufferBytes))
		answered.Add(1)
		_, _ = io.WriteString(first, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		close(stalled)
		server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
		t.Cleanup(func() { server.Close() })
		_ = server.Serve(listener)
	}()
	return listener.Addr().String(), answered
}

// poolTransport sends calls over the worker's own connection pool.
type poolTransport struct{ sends atomic.Int64 }

func (o *poolTransport) Send(ctx context.Context, worker *backend.Worker, call Call) (*Answer, error) {
	o.sends.Add(1)
	request := &http.Request{Method: http.MethodPost, URL: &url.URL{Opaque: call.Request.Target}, Host: "h", Header: http.Header{},
		Body: io.NopCloser(bytes.NewReader(bytes.Join(call.Body, nil))), ContentLength: int64(len(bytes.Join(call.Body, nil)))}
	got, err := worker.Pool().Send(ctx, request)
	if err != nil {
		return nil, err
	}
	return &Answer{Status: got.StatusCode, Header: got.Header, Length: got.ContentLength, Body: got.Body, Close: got.Close}, nil
}

// stalledFixture has a stalled worker that has answered its one request on the first connection.
func stalledFixture(t *testing.T, served route.Route) (f *fixture, transport *poolTransport, answered, checks *atomic.Int64) {
	address, answered := stalledWorker(t)
	served.Timeout = time.Minute
	f = newFixture(t, served)
	transport, checks = &poolTransport{}, &atomic.Int64{}
	f.forwarder.options.Transport = transport
	f.forwarder.options.Workers = backend.NewRegistry(backend.Options{Zone: "z", DialTimeout: time.Minute, OnReconnect: func() { checks.Add(1) }})
	f.forwarder.options.Workers.Put(backend.Record{ID: "w", Service: "s", Address: address, Zone: "z", Slots: 4})
	require.Equal(t, http.StatusOK, f.serve(t.Context(), func(r *Request) { r.Timeout = time.Minute }).status)
	return f, transport, answered, checks
}

// readBufferBytes is the size of the stalled connection's receive buffer. The peer's window for a
// new connection allows another 64 KiB.
const readBufferBytes = 4 << 10

// longRequest is larger than the buffers of a stalled connection, and is sent quickly to a worker
// that reads it.
func longRequest(r *Request) { r.Timeout, r.Body = time.Minute, make([]byte, 1<<20) }

// Guards against waiting for an answer on a dead connection when a safe request can be resent on
// a new one.
func TestSafeRequestIsResentOnANewConnection(t *testing.T) {
	f, transport, answered, checks := stalledFixture(t, plainRoute(route.Safe, 1))
	require.Equal(t, http.StatusOK, f.serve(t.Context(), longRequest).status)
	require.EqualValues(t, 3, transport.sends.Load())
	require.EqualValues(t, 2, answered.Load(), "the first send did not run")
	require.Less(t, checks.Load(), int64(checksInQueue), "it did not wait as long as for a hanging worker")
}

// Guards against resending a stream that may not run twice when its connection is dead.
func TestUnrepeatableStreamFailsOnADeadConnection(t *testing.T) {
	f, transport, answered, _ := stalledFixture(t, turnRoute(nil))
	got := f.serve(t.Context(), longRequest)
	require.EqualValues(t, 2, transport.sends.Load(), "it was sent once")
	require.EqualValues(t, 1, answered.Load())
	require.Equal(t, fault.EngineFailed, got.refusal.Code)
	require.Equal(t, fault.RanUnknown, got.refusal.Ran)
}

// Guards against keeping an unsafe request until its deadline when its connection has failed.
func TestDeadConnectionFailsAnUnsafeRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, plainRoute(route.Unsafe, 3))
		const bound = 700 * time.Millisecond
		f.worker("w", func(context.Context, Call) (*Answer, error) {
			time.Sleep(bound)
			return nil, &net.OpError{Op: "read", Err: syscall.ETIMEDOUT}
		})
		got := f.serve(t.Context(), nil)
		require.Equal(t, fault.EngineFailed, got.refusal.Code)
		require.Equal(t, fault.RanUnknown, got.refusal.Ran)
		require.Equal(t, bound, got.took)
		require.Len(t, f.sent(), 1)
	})
}
