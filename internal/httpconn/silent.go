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

	"github.com/cloverwheel/cloverwheel/internal/silence"
)

// ErrSilent is in the chain of errors of requests whose connection fell silent: that says
// nothing of the peer, to which new connections may well come up. Whether the request
// arrived is not known.
var ErrSilent = errors.New("the connection fell silent; its peer may be there on a new one")

// ClosedByPeer reports whether an error is the peer's own end of a connection, by a close or a
// reset. Its kernel says so also for a process that has ended.
func ClosedByPeer(err error) bool {
	for _, end := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(err, end) {
			return true
		}
	}
	return false
}

// Refused reports whether a connection did not come up because nobody listens at the address:
// the word of the machine there. A machine that is off, and a path that is cut, say nothing.
func Refused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// longMessage is the size in bytes from which a peer that does not read may hold up a
// message: the least that a kernel takes in for a new connection.
const longMessage = 14 << 10

// stretch gives the peer time to read a long message, also later on this connection.
func (p *Pool) stretch(c *conn, bytes int64) {
	if bytes >= 0 && bytes < longMessage || c.stretched {
		return
	}
	c.stretched = true
	p.options.Guard.Stretch(c.Conn)
}

// judge tells what the end of an exchange without an answer says of the pool's
// connections. If this one was silent, those that have not been heard since the request
// was sent may be so, too: they are closed, and the next request goes over a new one.
func (p *Pool) judge(ctx context.Context, c *conn, sent time.Time, err error) error {
	broken := silence.Broken(err)
	if !broken && !p.silent(ctx, c) {
		return err
	}
	p.options.Guard.Count()
	p.distrust(sent)
	if broken && !c.used {
		return err // a new connection to the peer does not work either
	}
	return errors.Join(ErrSilent, err)
}

// silent reports whether an exchange that its caller ended was one with a silent
// connection. A caller that left, or was answered elsewhere, did not wait for the answer.
func (p *Pool) silent(ctx context.Context, c *conn) bool {
	if errors.Is(context.Cause(ctx), ErrSilent) {
		return true
	}
	return p.options.Prompt && c.used && errors.Is(ctx.Err(), context.DeadlineExceeded)
}

// body is an answer's body, which may break off because the connection falls silent.
type body struct {
	io.ReadCloser
	pool *Pool
	conn *conn
	sent time.Time
}

// Read implements io.Reader.
func (b *body) Read(buffer []byte) (int, error) {
	count, err := b.ReadCloser.Read(buffer)
	if silence.Broken(err) {
		err = b.pool.judge(context.Background(), b.conn, b.sent, err)
	}
	return count, err
}

// distrust closes the idle connections that were last heard before a time.
func (p *Pool) distrust(before time.Time) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.idle = slices.DeleteFunc(p.idle, func(c *conn) bool {
		if !c.heard.Before(before) {
			return false
		}
		c.Conn.Close()
		return true
	})
}

// Watch tells how the connection of a request fares while its answer is waited for. Its
// methods may be called at any time, by any goroutine.
type Watch struct{ conn atomic.Pointer[watched] }

// watched is what a request's connection was when the request was sent. The connection
// itself may carry a later one by now.
type watched struct {
	connection       net.Conn
	worked           bool
	acknowledgements silence.Acknowledgements
}

type watchKey struct{}

// WithWatch returns a context for Send, and what tells of the connection that this uses.
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
		w.conn.Store(&watched{connection: c.Conn, worked: c.used})
	}
}

// Silent reports whether the connection worked before, and the peer's kernel takes longer than it
// was seen to take to say that all that was written has arrived there. It is false where that cannot
// be known.
func (w *Watch) Silent() bool {
	line := w.conn.Load()
	if line == nil || !line.worked {
		return false
	}
	return line.acknowledgements.Overdue(line.connection)
}
