package peer

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cloverwheel/cloverwheel/internal/deadconn"
)

// nodeTransport holds the current HTTP transport to one node. All requests to the node share
// a connection, which may stop responding while new connections work. Then the transport is
// replaced: later requests open a new connection, and those in progress finish on the old one.
type nodeTransport struct {
	newTransport func() *trackedTransport
	mutex        sync.Mutex
	current      *trackedTransport
}

// active returns the transport for new requests.
func (l *nodeTransport) active() *trackedTransport {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.current == nil {
		l.current = l.newTransport()
	}
	return l.current
}

// retire stops using a transport for new requests. It reports whether it was the current one.
func (l *nodeTransport) retire(old *trackedTransport) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.current != old {
		return false
	}
	l.current = nil
	old.transport.CloseIdleConnections()
	return true
}

// closeIdle closes idle connections.
func (l *nodeTransport) closeIdle() { l.active().transport.CloseIdleConnections() }

// timeoutsBeforeRetire is how many consecutive calls must time out, with no byte received in
// between, before the connection is considered unresponsive. When the first one times out,
// HTTP/2 sends a ping, which a working peer answers.
const timeoutsBeforeRetire = 2

// trackedTransport is an HTTP transport to one node that records activity on its connections.
type trackedTransport struct {
	transport *http.Transport
	guard     deadconn.Guard
	dialer    net.Dialer
	quietTime time.Duration // without received data before connections are checked
	createdAt time.Time

	everReceived atomic.Bool  // any byte was received, ever
	waitingSince atomic.Int64 // when the first call since the last received byte began, as time since createdAt; 0: none
	timeouts     atomic.Int64 // calls that timed out since the last received byte

	mutex sync.Mutex
	open  []*trackedConn
}

// noteCall records the start of a call.
func (g *trackedTransport) noteCall() {
	g.waitingSince.CompareAndSwap(0, int64(time.Since(g.createdAt)))
}

// noteReceived records that data arrived from the peer.
func (g *trackedTransport) noteReceived() {
	g.everReceived.Store(true)
	g.waitingSince.Store(0)
	g.timeouts.Store(0)
}

// noteTimeout records a call that timed out, and reports whether the connection should be
// considered unresponsive. If no data was ever received, the peer itself may be down, and the
// result is false.
func (g *trackedTransport) noteTimeout() bool {
	timeouts := g.timeouts.Add(1)
	return g.overdue() && (timeouts >= timeoutsBeforeRetire || g.unacknowledged())
}

// overdue reports whether calls have waited for at least quietTime with no data from the peer.
func (g *trackedTransport) overdue() bool {
	waitingSince := g.waitingSince.Load()
	return g.everReceived.Load() && waitingSince != 0 && time.Since(g.createdAt)-time.Duration(waitingSince) >= g.quietTime
}

// unacknowledged reports whether the peer's kernel takes longer to acknowledge written data
// than has been observed on the connection.
func (g *trackedTransport) unacknowledged() bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return slices.ContainsFunc(g.open, func(c *trackedConn) bool {
		return c.acknowledgements.Overdue(c.Conn)
	})
}

func (g *trackedTransport) dial(ctx context.Context, network, address string) (net.Conn, error) {
	begun := time.Now()
	raw, err := g.dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	g.guard.Apply(raw, time.Since(begun))
	connection := &trackedConn{Conn: raw, owner: g}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.open = append(g.open, connection)
	return connection, nil
}

// trackedConn reports received data to its trackedTransport.
type trackedConn struct {
	net.Conn
	owner            *trackedTransport
	acknowledgements deadconn.Acknowledgements
	counted          atomic.Bool // its failure was reported to the guard
}

// Read implements io.Reader.
func (c *trackedConn) Read(buffer []byte) (int, error) {
	count, err := c.Conn.Read(buffer)
	if count > 0 {
		c.owner.noteReceived()
	}
	if deadconn.IsTimeout(err) && !c.counted.Swap(true) {
		c.owner.guard.ReportDead()
	}
	return count, err
}

// Close implements net.Conn.
func (c *trackedConn) Close() error {
	g := c.owner
	g.mutex.Lock()
	g.open = slices.DeleteFunc(g.open, func(other *trackedConn) bool { return other == c })
	g.mutex.Unlock()
	return c.Conn.Close()
}

type repeatableKey struct{}

// WithRepeatable marks calls that may be executed twice. If the connection becomes unresponsive
// and ctx has not ended, such a call is retried once on a new connection.
func WithRepeatable(ctx context.Context) context.Context {
	return context.WithValue(ctx, repeatableKey{}, true)
}

func isRepeatable(ctx context.Context) bool { return ctx.Value(repeatableKey{}) != nil }

// errUnresponsive cancels a call that is then retried on a new connection.
var errUnresponsive = errors.New("connection to the node is unresponsive")

// nodeTransportFor returns the nodeTransport of a node, and creates it if needed.
func (t *HTTPTransport) nodeTransportFor(to Address) *nodeTransport {
	known, ok := t.nodes.Load(to)
	if !ok {
		known, _ = t.nodes.LoadOrStore(to, &nodeTransport{newTransport: t.newTrackedTransport})
	}
	return known.(*nodeTransport)
}

// roundTrip sends a request, and retries it once on a new connection if it is repeatable.
func (t *HTTPTransport) roundTrip(ctx context.Context, to Address, request func(context.Context) *http.Request) (*http.Response, error) {
	node := t.nodeTransportFor(to)
	used := node.active()
	if !isRepeatable(ctx) {
		defer t.monitor(node, used, func() {})()
		return t.roundTripOnce(ctx, node, used, request(ctx))
	}
	first, cancel := context.WithCancelCause(ctx)
	stopMonitor := t.monitor(node, used, func() { cancel(errUnresponsive) })
	response, err := t.roundTripOnce(first, node, used, request(first))
	stopMonitor()
	if err == nil {
		response.Body = &cancelingBody{ReadCloser: response.Body, cancel: cancel}
		return response, nil
	}
	cancel(nil)
	if errors.Is(context.Cause(first), errUnresponsive) && ctx.Err() == nil {
		return t.roundTripOnce(ctx, node, node.active(), request(ctx))
	}
	return nil, err
}

// monitor checks a node's connections while a call waits, until stop is called. If they are
// unresponsive, the transport is retired and onUnresponsive is called. It checks periodically,
// because earlier calls or data in flight can hide the condition at first.
func (t *HTTPTransport) monitor(node *nodeTransport, used *trackedTransport, onUnresponsive func()) (stop func()) {
	ended := make(chan struct{})
	timer := time.AfterFunc(used.quietTime, func() {
		again := time.NewTicker(used.quietTime)
		defer again.Stop()
		for !used.overdue() || !used.unacknowledged() {
			select {
			case <-ended:
				return
			case <-again.C:
			}
		}
		t.retireUnresponsive(node, used)
		onUnresponsive()
	})
	return func() {
		timer.Stop()
		close(ended)
	}
}

func (t *HTTPTransport) roundTripOnce(ctx context.Context, node *nodeTransport, used *trackedTransport, request *http.Request) (*http.Response, error) {
	used.noteCall()
	response, err := used.transport.RoundTrip(request)
	if err != nil && errors.Is(ctx.Err(), context.DeadlineExceeded) && used.noteTimeout() {
		t.retireUnresponsive(node, used)
	}
	return response, err
}

// retireUnresponsive stops using an unresponsive transport and reports it to the guard.
func (t *HTTPTransport) retireUnresponsive(node *nodeTransport, unresponsive *trackedTransport) {
	if node.retire(unresponsive) {
		t.options.Guard.ReportDead()
	}
}

// cancelingBody cancels its request's context when it is closed.
type cancelingBody struct {
	io.ReadCloser
	cancel context.CancelCauseFunc
}

// Close implements io.Closer.
func (b *cancelingBody) Close() error {
	defer b.cancel(nil)
	return b.ReadCloser.Close()
}
