package httpconn

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cloverwheel/cloverwheel/internal/deadconn"
)

// stallingServer is a peer whose open connections can be stalled: it still reads from them
// but never answers, while new connections work.
type stallingServer struct {
	address string
	mutex   sync.Mutex
	open    []chan struct{} // closed for stalled connections
	dials   int
	// unanswered gets an entry when a stalled connection has read a request, unless it has one.
	unanswered chan struct{}
}

func newStallingServer(t *testing.T) *stallingServer {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { listener.Close() })
	s := &stallingServer{address: listener.Addr().String(), unanswered: make(chan struct{}, 1)}
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			stalled := make(chan struct{})
			s.mutex.Lock()
			s.open = append(s.open, stalled)
			s.dials++
			s.mutex.Unlock()
			t.Cleanup(func() { connection.Close() })
			go s.serve(connection, stalled)
		}
	}()
	return s
}

func (s *stallingServer) serve(connection net.Conn, stalled chan struct{}) {
	buffer := make([]byte, 4<<10)
	for {
		if _, err := connection.Read(buffer); err != nil {
			return
		}
		select {
		case <-stalled:
			select {
			case s.unanswered <- struct{}{}:
			default:
			}
		default:
			_, _ = io.WriteString(connection, ok)
		}
	}
}

// stall stalls all open connections.
func (s *stallingServer) stall() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, stalled := range s.open {
		close(stalled)
	}
	s.open = nil
}

func (s *stallingServer) dialed() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.dials
}

// fillIdle opens count connections and leaves them idle.
func fillIdle(t *testing.T, p *Pool, count int) {
	t.Helper()
	answers := make([]*Response, count)
	for index := range answers {
		answer, err := p.Send(t.Context(), get())
		require.NoError(t, err)
		_, err = io.ReadAll(answer.Body)
		require.NoError(t, err)
		answers[index] = answer
	}
	for _, answer := range answers {
		answer.Close(true)
	}
	require.Len(t, p.idle, count)
}

// expiringContext is a context whose deadline passes when expired is closed.
type expiringContext struct {
	context.Context
	expired chan struct{}
}

func (c expiringContext) Done() <-chan struct{} { return c.expired }

func (c expiringContext) Err() error {
	select {
	case <-c.expired:
		return context.DeadlineExceeded
	default:
		return nil
	}
}

// requireTimeout sends a request whose deadline passes once the stalled peer has read it, and returns its error.
func requireTimeout(t *testing.T, p *Pool, peer *stallingServer) error {
	t.Helper()
	ctx := expiringContext{context.Background(), make(chan struct{})}
	go func() {
		<-peer.unanswered
		close(ctx.expired)
	}()
	_, err := p.Send(ctx, get())
	require.Error(t, err)
	return err
}

// requireCanceled sends a request that its caller cancels once the stalled peer has read it, and returns its error.
func requireCanceled(t *testing.T, p *Pool, peer *stallingServer, cause error) error {
	t.Helper()
	ctx, cancel := context.WithCancelCause(t.Context())
	go func() {
		<-peer.unanswered
		cancel(cause)
	}()
	_, err := p.Send(ctx, get())
	require.Error(t, err)
	return err
}

// TestUnresponsiveConnectionClosesOtherIdleOnes: after one timeout, the next request must use a
// new connection instead of timing out on another old one.
func TestUnresponsiveConnectionClosesOtherIdleOnes(t *testing.T) {
	peer, givenUp := newStallingServer(t), 0
	p := NewPool(Options{Address: peer.address, DialTimeout: time.Minute, MaxIdle: 4, IdleTimeout: time.Minute, TimeoutMeansUnresponsive: true,
		Guard: deadconn.Guard{OnDeadConnection: func() { givenUp++ }}})
	fillIdle(t, p, 3)
	peer.stall()
	require.ErrorIs(t, requireTimeout(t, p, peer), ErrUnresponsive)
	require.Equal(t, 1, givenUp)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	_, err := p.Send(ctx, get())
	require.NoError(t, err)
	require.Equal(t, 4, peer.dialed())
}

// TestTimeoutOnNewConnectionIsNotErrUnresponsive: a timeout on a new connection must not be ErrUnresponsive.
func TestTimeoutOnNewConnectionIsNotErrUnresponsive(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	p := NewPool(Options{Address: listener.Addr().String(), DialTimeout: time.Minute, MaxIdle: 4, IdleTimeout: time.Minute, TimeoutMeansUnresponsive: true})
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Millisecond)
	defer cancel()
	_, err = p.Send(ctx, get())
	require.Error(t, err)
	require.NotErrorIs(t, err, ErrUnresponsive)
}

// TestSlowPeerKeepsItsConnections: without TimeoutMeansUnresponsive a timeout, and with it a canceled caller, must
// not mark connections as unresponsive.
func TestSlowPeerKeepsItsConnections(t *testing.T) {
	peer := newStallingServer(t)
	p := pool(peer.address)
	fillIdle(t, p, 3)
	peer.stall()
	require.NotErrorIs(t, requireTimeout(t, p, peer), ErrUnresponsive)
	require.Len(t, p.idle, 2)

	p.options.TimeoutMeansUnresponsive = true
	require.NotErrorIs(t, requireCanceled(t, p, peer, context.Canceled), ErrUnresponsive)
	require.Len(t, p.idle, 1)
}

// TestRecentlyActiveConnectionIsKept: a connection that has received data since must stay open.
func TestRecentlyActiveConnectionIsKept(t *testing.T) {
	peer := newStallingServer(t)
	p := pool(peer.address)
	fillIdle(t, p, 2)
	active := p.idle[1]
	active.lastReceived = time.Now().Add(time.Hour)
	p.closeStale(time.Now())
	require.Equal(t, []*conn{active}, p.idle)
}

// TestCallerCanReportUnresponsiveConnection: ErrUnresponsive as the cancellation cause must be honored.
func TestCallerCanReportUnresponsiveConnection(t *testing.T) {
	peer := newStallingServer(t)
	p := pool(peer.address)
	fillIdle(t, p, 2)
	peer.stall()
	require.ErrorIs(t, requireCanceled(t, p, peer, ErrUnresponsive), ErrUnresponsive)
	require.Empty(t, p.idle)
}

// brokenConn is a connection whose reads fail with ETIMEDOUT after the given response data.
type brokenConn struct {
	net.Conn
	answer *bytes.Reader
}

func (b brokenConn) Read(buffer []byte) (int, error) {
	if b.answer.Len() > 0 {
		return b.answer.Read(buffer)
	}
	return 0, &net.OpError{Op: "read", Err: syscall.ETIMEDOUT}
}

func (b brokenConn) Write(data []byte) (int, error) { return len(data), nil }

// TestConnectionTimedOutByKernelIsCounted: a connection that the kernel timed out must be reported
// to the guard, before the response and within its body.
func TestConnectionTimedOutByKernelIsCounted(t *testing.T) {
	for name, answer := range map[string]string{"before the response": "", "within its body": "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok"} {
		t.Run(name, func(t *testing.T) {
			givenUp := 0
			p := NewPool(Options{MaxIdle: 4, IdleTimeout: time.Minute, Guard: deadconn.Guard{OnDeadConnection: func() { givenUp++ }},
				Dial: func(context.Context) (net.Conn, error) {
					ours, _ := net.Pipe()
					return brokenConn{ours, bytes.NewReader([]byte(answer))}, nil
				}})
			_, err := exchange(t, p)
			require.True(t, deadconn.IsTimeout(err))
			require.NotErrorIs(t, err, ErrNotWritten)
			require.Equal(t, 1, givenUp)
		})
	}
}

// TestWatchReportsUnacknowledgedData: a Watch must report unacknowledged data, but only on a
// connection that worked before. On a new one the peer itself may be down.
func TestWatchReportsUnacknowledgedData(t *testing.T) {
	for name, before := range map[string]int{"a new connection": 0, "one that worked": 1} {
		t.Run(name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			defer listener.Close()
			go func() {
				connection, err := listener.Accept()
				if err != nil {
					return
				}
				for range before {
					_, _ = connection.Read(make([]byte, 4<<10))
					_, _ = io.WriteString(connection, ok)
				}
				<-t.Context().Done()
				connection.Close()
			}()
			p := pool(listener.Addr().String())
			for range before {
				_, err := exchange(t, p)
				require.NoError(t, err)
			}
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			ctx, watch := WithWatch(ctx)
			require.False(t, watch.Unresponsive(), "nothing has been sent yet")
			const length = 64 << 20 // more than the kernels hold
			request := get()
			request.Method, request.Body, request.ContentLength = http.MethodPost, io.NopCloser(bytes.NewReader(make([]byte, length))), length
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				_, _ = p.Send(ctx, request)
			}()
			if before > 0 {
				require.Eventually(t, watch.Unresponsive, 10*time.Second, time.Millisecond)
			} else {
				require.Eventually(t, func() bool { return watch.conn.Load() != nil }, 10*time.Second, time.Millisecond)
				time.Sleep(20 * time.Millisecond)
				require.False(t, watch.Unresponsive())
			}
			cancel()
			<-ended
			require.False(t, watch.Unresponsive(), "it is closed")
		})
	}
}

// TestWatchOutlastsItsRequest: a Watch used after its request must not race with later requests on
// the same connection (run with -race).
func TestWatchOutlastsItsRequest(t *testing.T) {
	peer := newStallingServer(t)
	p := NewPool(Options{Address: peer.address, DialTimeout: time.Minute, MaxIdle: 1, IdleTimeout: time.Minute})
	fillIdle(t, p, 1)
	ctx, watch := WithWatch(t.Context())
	answer, err := p.Send(ctx, get())
	require.NoError(t, err)
	var polling sync.WaitGroup
	defer polling.Wait()
	polling.Go(func() {
		for range 1000 {
			watch.Unresponsive()
		}
	})
	_, err = io.ReadAll(answer.Body)
	require.NoError(t, err)
	answer.Close(true)
	for range 20 {
		fillIdle(t, p, 1)
	}
}
