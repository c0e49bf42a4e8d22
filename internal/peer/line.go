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

	"github.com/cloverwheel/cloverwheel/internal/silence"
)

// line is the way to one node. All calls to it share a connection, which may fall silent
// while new ones work; then later calls get a transport of their own, with a new connection,
// and those under way on the old one run out.
type line struct {
	fresh   func() *generation
	mutex   sync.Mutex
	current *generation
}

// generation returns what new calls go over.
func (l *line) generation() *generation {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.current == nil {
		l.current = l.fresh()
	}
	return l.current
}

// retire takes connections out of use for new calls. It reports whether they were in use.
func (l *line) retire(old *generation) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.current != old {
		return false
	}
	l.current = nil
	old.transport.CloseIdleConnections()
	return true
}

// closeIdle gives up idle connections.
func (l *line) closeIdle() { l.generation().transport.CloseIdleConnections() }

// latesIfSilent is how many calls in a row end late, without a byte between them, where
// the connection is silent: the first one's end sends a ping, which a sound peer answers.
const latesIfSilent = 2

// generation is a transport to one node, and what was heard on its connections.
type generation struct {
	transport *http.Transport
	guard     silence.Guard
	dialer    net.Dialer
	after     time.Duration // of silence before connections are doubted
	began     time.Time

	heard atomic.Bool  // something was, ever
	asked atomic.Int64 // when the first call after the last byte was made, as time since began; 0: none
	lates atomic.Int64 // calls that ended late since the last byte

	mutex sync.Mutex
	open  []*heardConn
}

// ask notes a call.
func (g *generation) ask() { g.asked.CompareAndSwap(0, int64(time.Since(g.began))) }

// hear notes bytes from the peer.
func (g *generation) hear() {
	g.heard.Store(true)
	g.asked.Store(0)
	g.lates.Store(0)
}

// late notes a call that ended without an answer, and reports whether the connection is to
// be taken for silent. One that never brought a word tells nothing: the peer may be gone.
func (g *generation) late() bool {
	lates := g.lates.Add(1)
	return g.overdue() && (lates >= latesIfSilent || g.unacknowledged())
}

// overdue reports whether calls have waited for long with no byte from the peer.
func (g *generation) overdue() bool {
	asked := g.asked.Load()
	return g.heard.Load() && asked != 0 && time.Since(g.began)-time.Duration(asked) >= g.after
}

// unacknowledged reports whether the peer's kernel takes longer to take in what was written than it
// was seen to take.
func (g *generation) unacknowledged() bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return slices.ContainsFunc(g.open, func(c *heardConn) bool {
		return c.acknowledgements.Overdue(c.Conn)
	})
}

func (g *generation) dial(ctx context.Context, network, address string) (net.Conn, error) {
	begun := time.Now()
	raw, err := g.dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	g.guard.Protect(raw, time.Since(begun))
	connection := &heardConn{Conn: raw, generation: g}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.open = append(g.open, connection)
	return connection, nil
}

// heardConn tells its generation of what is read.
type heardConn struct {
	net.Conn
	generation       *generation
	acknowledgements silence.Acknowledgements
	counted          atomic.Bool // as given up by the kernel
}

// Read implements io.Reader.
func (c *heardConn) Read(buffer []byte) (int, error) {
	count, err := c.Conn.Read(buffer)
	if count > 0 {
		c.generation.hear()
	}
	if silence.Broken(err) && !c.counted.Swap(true) {
		c.generation.guard.Count()
	}
	return count, err
}

// Close implements net.Conn.
func (c *heardConn) Close() error {
	g := c.generation
	g.mutex.Lock()
	g.open = slices.DeleteFunc(g.open, func(other *heardConn) bool { return other == c })
	g.mutex.Unlock()
	return c.Conn.Close()
}

type repeatableKey struct{}

// Repeatable marks calls that may be made twice: one whose connection falls silent is made
// once more, on a new one, if there is time.
func Repeatable(ctx context.Context) context.Context {
	return context.WithValue(ctx, repeatableKey{}, true)
}

func isRepeatable(ctx context.Context) bool { return ctx.Value(repeatableKey{}) != nil }

// errSilent ends a call that is made once more.
var errSilent = errors.New("the connection to the node fell silent")

// lineTo returns the way to a node.
func (t *HTTPTransport) lineTo(to Address) *line {
	known, ok := t.lines.Load(to)
	if !ok {
		known, _ = t.lines.LoadOrStore(to, &line{fresh: t.newGeneration})
	}
	return known.(*line)
}

// roundTrip sends a request over the line, and once more if it may be.
func (t *HTTPTransport) roundTrip(ctx context.Context, to Address, request func(context.Context) *http.Request) (*http.Response, error) {
	way := t.lineTo(to)
	used := way.generation()
	if !isRepeatable(ctx) {
		defer t.look(way, used, func() {})()
		return t.roundTripOnce(ctx, way, used, request(ctx))
	}
	first, cancel := context.WithCancelCause(ctx)
	stopLooking := t.look(way, used, func() { cancel(errSilent) })
	response, err := t.roundTripOnce(first, way, used, request(first))
	stopLooking()
	if err == nil {
		response.Body = &cancelingBody{ReadCloser: response.Body, cancel: cancel}
		return response, nil
	}
	cancel(nil)
	if errors.Is(context.Cause(first), errSilent) && ctx.Err() == nil {
		return t.roundTripOnce(ctx, way, way.generation(), request(ctx))
	}
	return nil, err
}

// look watches a line while a call waits, until the function that it returns is called. If
// the connections in use turn out to be silent, they are given up and silent is called. It
// looks again and again: calls made before this one, or a byte on its way, can hide
// that at first.
func (t *HTTPTransport) look(way *line, used *generation, silent func()) (stop func()) {
	ended := make(chan struct{})
	timer := time.AfterFunc(used.after, func() {
		again := time.NewTicker(used.after)
		defer again.Stop()
		for !used.overdue() || !used.unacknowledged() {
			select {
			case <-ended:
				return
			case <-again.C:
			}
		}
		t.giveUp(way, used)
		silent()
	})
	return func() {
		timer.Stop()
		close(ended)
	}
}

func (t *HTTPTransport) roundTripOnce(ctx context.Context, way *line, used *generation, request *http.Request) (*http.Response, error) {
	used.ask()
	response, err := used.transport.RoundTrip(request)
	if err != nil && errors.Is(ctx.Err(), context.DeadlineExceeded) && used.late() {
		t.giveUp(way, used)
	}
	return response, err
}

// giveUp takes silent connections out of use.
func (t *HTTPTransport) giveUp(way *line, silent *generation) {
	if way.retire(silent) {
		t.options.Guard.Count()
	}
}

// cancelingBody ends its request's context when it is closed.
type cancelingBody struct {
	io.ReadCloser
	cancel context.CancelCauseFunc
}

// Close implements io.Closer.
func (b *cancelingBody) Close() error {
	defer b.cancel(nil)
	return b.ReadCloser.Close()
}
