package peer

import (
	"context"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cloverwheel/cloverwheel/internal/deadconn"
)

// stallingProxy forwards connections to a node until they are stalled: they stay open and carry
// no more data, while new connections work.
type stallingProxy struct {
	address Address
	mutex   sync.Mutex
	conns   []*proxiedConn
	dials   int
}

// proxiedConn is a connection of the proxy that forwards data until it is stalled.
type proxiedConn struct {
	client  *net.TCPConn
	stalled atomic.Bool
}

// stalledBuffer is the kernel's receive buffer of a stalled connection, in bytes, in addition to the
// 64 KiB that a new connection accepts.
const stalledBuffer = 4 << 10

// longText exceeds the kernel buffers of a stalled connection, and is sent quickly on one that works.
var longText = strings.Repeat("x", 512<<10)

func newStallingProxy(t *testing.T, to Address) *stallingProxy {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { listener.Close() })
	p := &stallingProxy{address: Address(listener.Addr().String())}
	go func() {
		for {
			client, err := listener.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { client.Close() })
			node, err := net.Dial("tcp", string(to))
			if err != nil {
				return
			}
			t.Cleanup(func() { node.Close() })
			opened := &proxiedConn{client: client.(*net.TCPConn)}
			p.mutex.Lock()
			p.conns = append(p.conns, opened)
			p.dials++
			p.mutex.Unlock()
			go forward(node, client, &opened.stalled)
			go forward(client, node, &opened.stalled)
		}
	}()
	return p
}

// forward copies data until the connection is stalled.
func forward(to, from net.Conn, stalled *atomic.Bool) {
	buffer := make([]byte, 32<<10)
	for {
		count, err := from.Read(buffer)
		if err != nil {
			return
		}
		if stalled.Load() {
			return
		}
		if _, err := to.Write(buffer[:count]); err != nil {
			return
		}
	}
}

func (p *stallingProxy) stall() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, opened := range p.conns {
		opened.stalled.Store(true)
		_ = opened.client.SetReadBuffer(stalledBuffer)
	}
	p.conns = nil
}

func (p *stallingProxy) dialed() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.dials
}

const (
	quietTime = 20 * time.Millisecond // Options.UnresponsiveAfter of these tests
	callTime  = 50 * time.Millisecond
)

func stallOptions(deadConnections *atomic.Int64) Options {
	return Options{Keys: NewKeys("secret"), DialTimeout: time.Minute, UnresponsiveAfter: quietTime, Guard: deadconn.Guard{OnDeadConnection: func() { deadConnections.Add(1) }}}
}

// requireEcho makes a successful call through the proxy.
func requireEcho(t *testing.T, client *HTTPTransport, proxy *stallingProxy) {
	t.Helper()
	require.NoError(t, echo(t.Context(), client, proxy.address, "a"))
}

func echo(ctx context.Context, client *HTTPTransport, to Address, text string) error {
	_, err := Invoke[reply](ctx, client, to, "echo", question{Text: text})
	return err
}

// TestUnresponsiveConnectionIsReplaced: a few timed-out calls must be enough to open a new
// connection, without waiting for the HTTP/2 ping timeout.
func TestUnresponsiveConnectionIsReplaced(t *testing.T) {
	var deadConnections atomic.Int64
	options := stallOptions(&deadConnections)
	proxy := newStallingProxy(t, startServer(t, options, echoMux()))
	client := newClient(t, options)
	requireEcho(t, client, proxy)
	proxy.stall()
	require.Eventually(t, func() bool {
		ctx, cancel := context.WithTimeout(t.Context(), callTime)
		defer cancel()
		return echo(ctx, client, proxy.address, "b") == nil
	}, pingAfterIdle/2, time.Millisecond)
	require.Greater(t, proxy.dialed(), 1)
	require.EqualValues(t, 1, deadConnections.Load())
}

// TestRepeatableCallIsRetried: a repeatable call must succeed on a new connection within its own
// deadline when the peer does not acknowledge data on the old one.
func TestRepeatableCallIsRetried(t *testing.T) {
	var deadConnections atomic.Int64
	options := stallOptions(&deadConnections)
	proxy := newStallingProxy(t, startServer(t, options, echoMux()))
	client := newClient(t, options)
	requireEcho(t, client, proxy)
	proxy.stall()
	ctx, cancel := context.WithTimeout(t.Context(), pingAfterIdle/2)
	defer cancel()
	require.NoError(t, echo(WithRepeatable(ctx), client, proxy.address, longText))
	require.EqualValues(t, 1, deadConnections.Load())
}

// TestUnresponsivenessIsCheckedAgain: a check that comes too early must be repeated, so that the
// call is not left waiting on the old connection.
func TestUnresponsivenessIsCheckedAgain(t *testing.T) {
	var deadConnections atomic.Int64
	options := stallOptions(&deadConnections)
	proxy := newStallingProxy(t, startServer(t, options, echoMux()))
	client := newClient(t, options)
	requireEcho(t, client, proxy)
	proxy.stall()
	payload, err := Encode(question{Text: longText})
	require.NoError(t, err)
	ctx, cancel := context.WithTimeout(WithRepeatable(t.Context()), pingAfterIdle/2)
	defer cancel()
	response, err := client.roundTrip(ctx, proxy.address, func(ctx context.Context) *http.Request {
		time.Sleep(3 * quietTime) // past the first check
		return client.newRequest(ctx, proxy.address, pathCall+"echo", payload, &requestBody{})
	})
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	require.EqualValues(t, 1, deadConnections.Load())
}

// TestNonRepeatableCallIsNotRetried: a call that is not repeatable must time out instead.
func TestNonRepeatableCallIsNotRetried(t *testing.T) {
	var deadConnections, handled atomic.Int64
	options := stallOptions(&deadConnections)
	handlers := echoMux()
	Handle(handlers, "count once", func(_ context.Context, q question) (reply, error) {
		handled.Add(1)
		return reply{}, nil
	})
	proxy := newStallingProxy(t, startServer(t, options, handlers))
	client := newClient(t, options)
	requireEcho(t, client, proxy)
	proxy.stall()
	ctx, cancel := context.WithTimeout(t.Context(), 2*callTime)
	defer cancel()
	_, err := Invoke[reply](ctx, client, proxy.address, "count once", question{Text: longText})
	require.Error(t, err)
	require.Zero(t, handled.Load())
}

// TestWaitingCallDoesNotBlockOthers: while a call that is not repeatable waits on an unresponsive
// connection, later calls must use a new one.
func TestWaitingCallDoesNotBlockOthers(t *testing.T) {
	var deadConnections atomic.Int64
	options := stallOptions(&deadConnections)
	proxy := newStallingProxy(t, startServer(t, options, echoMux()))
	client := newClient(t, options)
	requireEcho(t, client, proxy)
	proxy.stall()
	callContext, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- echo(callContext, client, proxy.address, longText) }()
	require.Eventually(t, func() bool { return deadConnections.Load() == 1 }, pingAfterIdle/2, time.Millisecond)
	later, stop := context.WithTimeout(t.Context(), pingAfterIdle/2)
	defer stop()
	require.NoError(t, echo(later, client, proxy.address, "b"))
	cancel()
	require.Error(t, <-ended)
}

// TestSlowNodeKeepsItsConnection: a connection whose peer acknowledges data must not be replaced.
func TestSlowNodeKeepsItsConnection(t *testing.T) {
	var deadConnections atomic.Int64
	options := stallOptions(&deadConnections)
	handlers := echoMux()
	release := make(chan struct{})
	var slow atomic.Int64
	Handle(handlers, "slow", func(ctx context.Context, q question) (reply, error) {
		slow.Add(1)
		select {
		case <-ctx.Done():
		case <-release:
		}
		return reply{}, nil
	})
	proxy := newStallingProxy(t, startServer(t, options, handlers))
	client := newClient(t, options)
	requireEcho(t, client, proxy)
	used := client.nodeTransportFor(proxy.address).active()
	ended := make(chan error, 1)
	go func() {
		_, err := Invoke[reply](WithRepeatable(t.Context()), client, proxy.address, "slow", question{})
		ended <- err
	}()
	require.Eventually(t, func() bool { return slow.Load() == 1 }, 5*time.Second, time.Millisecond)
	time.Sleep(5 * quietTime)
	close(release)
	require.NoError(t, <-ended)
	require.EqualValues(t, 1, slow.Load(), "sent once")
	require.Same(t, used, client.nodeTransportFor(proxy.address).active(), "later calls use it, too")
	require.Zero(t, deadConnections.Load())
}

// TestNoteTimeout: without unacknowledged data, a connection may be considered unresponsive only after
// repeated timeouts with no data received in between.
func TestNoteTimeout(t *testing.T) {
	newTracked := func() *trackedTransport {
		return &trackedTransport{quietTime: time.Second, createdAt: time.Now().Add(-time.Hour)}
	}
	old := int64(time.Hour - 2*time.Second) // two seconds ago

	tracked := newTracked()
	tracked.waitingSince.Store(old)
	tracked.timeouts.Store(5)
	require.False(t, tracked.noteTimeout(), "the connection never worked, so the node may be down")

	tracked.noteReceived()
	tracked.waitingSince.Store(old)
	require.False(t, tracked.noteTimeout(), "a single call may be slow")
	require.True(t, tracked.noteTimeout())

	tracked.noteReceived()
	tracked.noteCall()
	tracked.timeouts.Store(5)
	require.False(t, tracked.noteTimeout(), "the time without data is short")

	tracked.waitingSince.Store(old)
	tracked.noteReceived()
	require.False(t, tracked.noteTimeout(), "data was received since")
}
