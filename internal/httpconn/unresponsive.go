package httpconn

import (
	"context"
	"errors"
	"io"
	"net"
	"slices"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cloverwheel/cloverwheel/internal/deadconn"
)

// ErrUnresponsive is in the chain of errors of requests whose connection became unresponsive. The
// peer may still accept new connections. It is unknown whether the request arrived.
var ErrUnresponsive = errors.New("connection is unresponsive; the peer may be reachable on a new one")

// ClosedByPeer reports whether err means that the peer closed or reset the connection. The
// peer's kernel does so, too, when the process has ended.
func ClosedByPeer(err error) bool {
	for _, end := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(err, end) {
			return true
		}
	}
	return false
}

// Refused reports whether a connection attempt was refused because nothing listens at the
// address. The machine itself is up; one that is down or unreachable sends no reply.
func Refused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// longMessage is the size in bytes from which a peer that does not read can block a write:
// the smallest receive window of a new connection.
const longMessage = 14 << 10

// extendTimeout gives the peer time to read a long message. The longer timeout
// stays in effect for the rest of the connection's life.
func (p *Pool) extendTimeout(c *conn, bytes int64) {
	if bytes >= 0 && bytes < longMessage || c.timeoutExtended {
		return
	}
	c.timeoutExtended = true
	p.options.Guard.AllowSlowRead(c.Conn)
}

// noteFailure processes an exchange that ended without a response. If its connection was
// unresponsive, idle connections that have received nothing since the request was sent may be,
// too. They are closed, and the next request uses a new connection.
func (p *Pool) noteFailure(ctx context.Context, c *conn, sent time.Time, err error) error {
	broken := deadconn.IsTimeout(err)
	if !broken && !p.unresponsive(ctx, c) {
		return err
	}
	p.options.Guard.ReportDead()
	p.closeStale(sent)
	if broken && !c.answeredBefore {
		return err // the connection was new, so the peer itself may be unresponsive
	}
	return errors.Join(ErrUnresponsive, err)
}

// unresponsive reports whether an exchange ended by its context was on an unresponsive
// connection. A canceled caller proves nothing, since it did not wait for the response.
func (p *Pool) unresponsive(ctx context.Context, c *conn) bool {
	if errors.Is(context.Cause(ctx), ErrUnresponsive) {
		return true
	}
	return p.options.TimeoutMeansUnresponsive && c.answeredBefore && errors.Is(ctx.Err(), context.DeadlineExceeded)
}

// body is a response body that may fail because the connection becomes unresponsive.
type body struct {
	io.ReadCloser
	pool *Pool
	conn *conn
	sent time.Time
}

// Read implements io.Reader.
func (b *body) Read(buffer []byte) (int, error) {
	count, err := b.ReadCloser.Read(buffer)
	if deadconn.IsTimeout(err) {
		err = b.pool.noteFailure(context.Background(), b.conn, b.sent, err)
	}
	return count, err
}

// closeStale closes the idle connections that have received nothing since a time.
func (p *Pool) closeStale(before time.Time) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.idle = slices.DeleteFunc(p.idle, func(c *conn) bool {
		if !c.lastReceived.Before(before) {
			return false
		}
		c.Conn.Close()
		return true
	})
}

// Watch reports the state of a request's connection while its response is pending. Its
// methods are safe for concurrent use.
type Watch struct{ conn atomic.Pointer[watchedConn] }

// watchedConn is the state of a request's connection when the request was sent. The connection
// may since have been reused for another request.
type watchedConn struct {
	connection       net.Conn
	worked           bool
	acknowledgements deadconn.Acknowledgements
}

type watchKey struct{}

// WithWatch returns a context for Send, and a Watch of the connection that Send uses.
func WithWatch(ctx context.Context) (context.Context, *Watch) {
	watch := &Watch{}
	return context.WithValue(ctx, watchKey{}, watch), watch
}

func watchOf(ctx context.Context) *Watch {
	watch, _ := ctx.Value(watchKey{}).(*Watch)
	return watch
}

func (w *Watch) start(c *conn) {
	if w != nil {
		w.conn.Store(&watchedConn{connection: c.Conn, worked: c.answeredBefore})
	}
}

// Unresponsive reports whether a previously working connection is unresponsive: the peer's kernel takes
// longer to acknowledge written data than has been observed. It is false if that is unknown.
func (w *Watch) Unresponsive() bool {
	watched := w.conn.Load()
	if watched == nil || !watched.worked {
		return false
	}
	return watched.acknowledgements.Overdue(watched.connection)
}
