// Package httpconn pools HTTP/1.1 connections to one address and decides which of
// them can be reused. net/http's client hides its connections; here a connection
// with any irregularity must not be reused, and callers must be able to tell
// whether any byte of a request was written.
package httpconn

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/cloverwheel/cloverwheel/internal/deadconn"
)

// ErrNotWritten is in the chain of errors of requests of which no byte was written.
var ErrNotWritten = errors.New("nothing was written; the request can be sent to another worker")

// ErrConnectionLimit is in the chain of errors of new connections that the peer reset at once,
// because it has reached its connection limit. ErrNotWritten is in the chain, too.
var ErrConnectionLimit = errors.New("worker has reached its connection limit; retry later or use another worker")

// ErrBadStatus is in the chain of errors of responses whose status no final response may have. net/http reads any three digits, and its
// servers panic when they write some of them. It is unknown whether the request ran.
var ErrBadStatus = errors.New("no final response may have this status; check whether the peer sends proper responses")

const (
	// settleTime is how long a new connection is observed before use. A peer at its
	// connection limit resets it at once, and if a request had been written by then,
	// it would be unknown whether it ran.
	settleTime = 5 * time.Millisecond
	// shortestIdle is the minimum idle timeout for a peer that resets new connections.
	// Closing idle connections early leaves room for other nodes.
	shortestIdle = 50 * time.Millisecond
	// idleGrowthDivisor sets how fast the idle timeout recovers: by 1/idleGrowthDivisor
	// with each accepted connection.
	idleGrowthDivisor = 20
)

// Buffer sizes of a connection in bytes.
const (
	readBuffer  = 4 << 10
	writeBuffer = 4 << 10
)

// keepAliveMargin is how long before the peer's keep-alive timeout an idle
// connection is discarded, so that a request does not race with the peer's close.
const keepAliveMargin = 400 * time.Millisecond

// Options configures a Pool.
type Options struct {
	Address     string
	DialTimeout time.Duration
	MaxIdle     int           // maximum number of idle connections
	IdleTimeout time.Duration // if the peer sends no Keep-Alive timeout
	MaxIdleTime time.Duration // upper limit on the idle time; a value below IdleTimeout means IdleTimeout
	OnDial      func()        // called for each connection attempt; may be nil
	// OnConnected is called with the time that a successful connection attempt took; may be nil.
	OnConnected func(took time.Duration)
	OnProbe     func()      // called by each Probe; may be nil
	OnBytes     ByteCounter // counts sent and received bytes; may be nil
	// Guard detects unresponsive connections.
	Guard deadconn.Guard
	// TimeoutMeansUnresponsive states that the peer normally answers well within the deadlines of calls. A call
	// that times out on a previously working connection then marks it as unresponsive.
	TimeoutMeansUnresponsive bool
	// Dial opens a connection; nil dials Address over TCP.
	Dial func(ctx context.Context) (net.Conn, error)
}

// Pool holds the idle connections to an address.
type Pool struct {
	options Options
	mutex   sync.Mutex
	idle    []*conn       // least recently used first
	limit   time.Duration // on the idle time of a connection; lowered while the peer rejects connections
	pruning bool          // a call of prune is scheduled
	closed  bool
}

// NewPool returns an empty pool.
func NewPool(options Options) *Pool {
	options.MaxIdleTime = max(options.MaxIdleTime, options.IdleTimeout)
	return &Pool{options: options, limit: options.MaxIdleTime}
}

// Address returns the address of the pool's connections.
func (p *Pool) Address() string { return p.options.Address }

// conn is a connection that carries one request at a time.
type conn struct {
	net.Conn
	heads           *headReader
	reader          *bufio.Reader // of heads
	writer          *bufio.Writer
	keepAlive       time.Duration
	expires         time.Time
	answered        bool      // it has carried a complete response
	answeredBefore  bool      // answered was true when the current request was sent
	lastReceived    time.Time // when the peer last sent data on it; set when it is opened and when it becomes idle
	timeoutExtended bool      // the guard's timeout was extended for a long message
}

// Send writes the request and reads the response head. When ctx ends, the connection
// is closed, also while the body is read. ErrNotWritten in the error's chain means that
// no byte was written; without it, some may have been.
func (p *Pool) Send(ctx context.Context, request *http.Request) (*Response, error) {
	return p.SendAgain(ctx, request, nil)
}

// SendAgain is Send for a request that may be sent several times. It uses none of the connections in used, and adds its own.
func (p *Pool) SendAgain(ctx context.Context, request *http.Request, used *UsedConnections) (*Response, error) {
	c, err := p.acquire(ctx, used)
	if err != nil {
		return nil, errors.Join(ErrNotWritten, err)
	}
	if ctx.Err() != nil { // the caller no longer waits for the response
		p.put(c)
		return nil, errors.Join(ErrNotWritten, ctx.Err())
	}
	used.add(c)
	sent := time.Now()
	p.extendTimeout(c, request.ContentLength)
	watchOf(ctx).start(c)
	stop := context.AfterFunc(ctx, func() { c.Conn.Close() })
	response, err := c.exchange(request)
	if err != nil {
		stop()
		c.Conn.Close()
		return nil, p.noteFailure(ctx, c, sent, err)
	}
	response.Body = &body{ReadCloser: response.Body, pool: p, conn: c, sent: sent}
	return &Response{Response: response, pool: p, conn: c, stop: stop}, nil
}

// exchange writes the request and reads the response head.
func (c *conn) exchange(request *http.Request) (*http.Response, error) {
	if err := c.write(request); err != nil {
		return nil, err
	}
	return c.readResponse(request)
}

// readResponse reads the head of the final response. It skips informational ones, which announce it.
func (c *conn) readResponse(request *http.Request) (*http.Response, error) {
	c.heads.beginResponse()
	for {
		response, err := c.readHead(request)
		switch {
		case err != nil:
			return nil, err
		case isInformational(response.StatusCode):
		case !isFinal(response.StatusCode):
			return nil, fmt.Errorf("status %q: %w", response.Status, ErrBadStatus)
		default:
			return response, nil
		}
	}
}

// readHead reads one head.
func (c *conn) readHead(request *http.Request) (*http.Response, error) {
	buffered, err := c.reader.Peek(c.reader.Buffered())
	if err != nil {
		return nil, err
	}
	if err := c.heads.beginHead(buffered); err != nil {
		return nil, err
	}
	response, err := http.ReadResponse(c.reader, request)
	if err != nil && c.heads.tooLong != nil {
		return nil, c.heads.tooLong
	}
	return response, err
}

// lastStatus is the highest status of HTTP.
const lastStatus = 599

func isInformational(status int) bool {
	return status >= http.StatusContinue && status < http.StatusOK && status != http.StatusSwitchingProtocols
}

// isFinal reports whether a final response may have a status. No request asks for another protocol.
func isFinal(status int) bool { return status >= http.StatusOK && status <= lastStatus }

func (c *conn) write(request *http.Request) error {
	if err := request.Write(c.writer); err != nil {
		return err
	}
	return c.writer.Flush()
}

// acquire takes an idle connection that is not in used, or opens one.
func (p *Pool) acquire(ctx context.Context, used *UsedConnections) (*conn, error) {
	for {
		c := p.pop(used)
		if c == nil {
			return p.dial(ctx)
		}
		if time.Now().Before(c.expires) && isIdle(c.Conn) {
			c.answeredBefore = c.answered
			return c, nil
		}
		c.Conn.Close()
	}
}

// pop takes the idle connection that was used last of those not in used; nil: there is none.
func (p *Pool) pop(used *UsedConnections) *conn {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for index, c := range slices.Backward(p.idle) {
		if !used.contains(c) {
			p.idle = slices.Delete(p.idle, index, index+1)
			return c
		}
	}
	return nil
}

// HasIdle reports whether an idle connection is available.
func (p *Pool) HasIdle() bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	last := len(p.idle) - 1
	return last >= 0 && time.Now().Before(p.idle[last].expires)
}

func (p *Pool) dial(ctx context.Context) (*conn, error) {
	if p.options.OnDial != nil {
		p.options.OnDial()
	}
	begun := time.Now()
	raw, err := p.connect(ctx)
	if errors.Is(err, syscall.ECONNRESET) {
		p.adjustIdleLimit(false)
		return nil, errors.Join(ErrConnectionLimit, err)
	}
	if err != nil {
		return nil, err
	}
	if p.options.OnConnected != nil {
		p.options.OnConnected(time.Since(begun))
	}
	p.options.Guard.Apply(raw, time.Since(begun))
	if !p.acceptedByPeer(raw) {
		raw.Close()
		return nil, ErrConnectionLimit
	}
	reads, writes := p.counted(raw)
	heads := &headReader{source: reads}
	return &conn{
		Conn:         raw,
		heads:        heads,
		reader:       bufio.NewReaderSize(heads, readBuffer),
		writer:       bufio.NewWriterSize(pooledCopy{writes}, writeBuffer),
		keepAlive:    p.options.IdleTimeout,
		lastReceived: time.Now(),
	}, nil
}

func (p *Pool) connect(ctx context.Context) (net.Conn, error) {
	if p.options.Dial != nil {
		return p.options.Dial(ctx)
	}
	dialer := net.Dialer{Timeout: p.options.DialTimeout, KeepAlive: -1}
	return dialer.DialContext(ctx, "tcp", p.options.Address)
}

// acceptedByPeer observes a new connection for settleTime and reports whether the peer
// keeps it open.
func (p *Pool) acceptedByPeer(fresh net.Conn) bool {
	if _, ok := fresh.(syscall.Conn); !ok {
		return true // its state cannot be checked without reading
	}
	time.Sleep(settleTime)
	accepted := isIdle(fresh)
	p.adjustIdleLimit(accepted)
	return accepted
}

// adjustIdleLimit adapts the idle timeout to whether the peer accepted a new connection.
func (p *Pool) adjustIdleLimit(accepted bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if accepted {
		p.limit = min(p.limit+p.limit/idleGrowthDivisor, p.options.MaxIdleTime)
	} else {
		p.limit = max(p.limit/2, min(shortestIdle, p.options.IdleTimeout))
	}
}

func (p *Pool) put(c *conn) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	c.expires = time.Now().Add(min(c.keepAlive-keepAliveMargin, p.limit))
	if p.closed || len(p.idle) >= p.options.MaxIdle {
		c.Conn.Close()
		return
	}
	p.idle = append(p.idle, c)
	p.schedulePrune()
}

// schedulePrune schedules prune for when the first idle connection expires. The caller
// must hold the mutex.
func (p *Pool) schedulePrune() {
	if p.pruning || len(p.idle) == 0 {
		return
	}
	p.pruning = true
	time.AfterFunc(max(time.Until(p.idle[0].expires), shortestIdle), p.prune)
}

// prune closes expired idle connections, so that the peer can accept others.
func (p *Pool) prune() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.pruning = false
	now := time.Now()
	kept := p.idle[:0]
	for _, c := range p.idle {
		if now.Before(c.expires) {
			kept = append(kept, c)
			continue
		}
		c.Conn.Close()
	}
	clear(p.idle[len(kept):])
	p.idle = kept
	p.schedulePrune()
}

// Close closes all idle connections. Connections in use are closed when they are returned.
func (p *Pool) Close() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.closed = true
	for _, c := range p.idle {
		c.Conn.Close()
	}
	p.idle = nil
}

// Next skips the rest of this response's body, of fewer than limit bytes, and returns the
// next response on the same connection, which is not reused afterwards.
func (r *Response) Next(limit int64) (*Response, error) {
	r.done = true
	_, err := io.CopyN(io.Discard, r.Body, limit)
	if err == nil {
		err = errors.New("response body is too long to be skipped")
	}
	if errors.Is(err, io.EOF) {
		var response *http.Response
		response, err = r.conn.readResponse(r.Request)
		if err == nil {
			next := &Response{Response: response, pool: r.pool, conn: r.conn, stop: r.stop}
			next.DisableReuse()
			return next, nil
		}
	}
	r.stop()
	r.conn.Conn.Close()
	return nil, err
}
