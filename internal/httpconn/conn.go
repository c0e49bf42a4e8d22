// Package httpconn keeps HTTP/1.1 connections to one address and decides which
// of them may be used again. net/http's own client hides its connections; here
// a connection on which anything odd was seen must never carry a request again,
// and it must be known whether any byte of a request was written.
package httpconn

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cloverwheel/cloverwheel/internal/silence"
)

// ErrNotWritten is in the chain of errors of requests of which no byte was sent.
var ErrNotWritten = errors.New("nothing was written; another worker may be tried")

// ErrCrowded is in the chain of errors of connections that the peer reset at once:
// it has as many as it takes. ErrNotWritten is there too.
var ErrCrowded = errors.New("the worker takes no further connections")

const (
	// settleTime is how long a new connection is watched before it is used: a peer
	// that has too many resets it at once, and a request written to it meanwhile
	// might have run for all one knows.
	settleTime = 5 * time.Millisecond
	// shortestIdle is how short idle connections are kept to a peer that resets
	// new ones, so that other nodes find room.
	shortestIdle = 50 * time.Millisecond
	// regrowth is the share by which that time grows with each sound connection.
	regrowth = 20
)

// Buffer sizes of a connection, in bytes.
const (
	readBuffer  = 4 << 10
	writeBuffer = 4 << 10
)

// keepAliveMargin is how long before the peer's announced end an idle
// connection is no longer used, so that requests do not cross its close.
const keepAliveMargin = 400 * time.Millisecond

// Options of a Pool.
type Options struct {
	Address     string
	DialTimeout time.Duration
	MaxIdle     int           // idle connections kept
	IdleTimeout time.Duration // where the peer announces nothing
	LongestIdle time.Duration // whatever it announces; 0: IdleTimeout
	OnDial      func()        // counts new connections; may be nil
	// OnConnected is told how long a connection that came up took to open; may be nil.
	OnConnected func(took time.Duration)
	OnLook      func()      // counts calls of Reach; may be nil
	OnBytes     ByteCounter // nil: bytes are not counted
	// Guard finds connections that have fallen silent.
	Guard silence.Guard
	// Prompt: the peer answers well within the time that calls are given, so one that
	// ends without a word on a connection that was used before tells of a silent connection.
	Prompt bool
	// Dial opens a connection; nil dials Address by TCP.
	Dial func(ctx context.Context) (net.Conn, error)
}

// Pool holds the idle connections to an address.
type Pool struct {
	options Options
	mutex   sync.Mutex
	idle    []*conn       // the longest unused first
	limit   time.Duration // that a connection stays idle; shorter while the peer is crowded
	pruning bool          // a look at the idle connections is due
	closed  bool
}

// NewPool returns an empty pool.
func NewPool(options Options) *Pool {
	options.LongestIdle = max(options.LongestIdle, options.IdleTimeout)
	return &Pool{options: options, limit: options.LongestIdle}
}

// Address is where the pool's connections lead.
func (p *Pool) Address() string { return p.options.Address }

// conn is a connection that carries one request at a time.
type conn struct {
	net.Conn
	reader    *bufio.Reader
	writer    *bufio.Writer
	keepAlive time.Duration
	expires   time.Time
	answered  bool      // it has carried an answer
	used      bool      // it had before the present request
	heard     time.Time // when the peer was last heard on it, if it is idle
	stretched bool      // the peer was given the time to read a long message
}

// Answer is a response whose body must be read or discarded, then closed.
type Answer struct {
	*http.Response
	pool    *Pool
	conn    *conn
	stop    func() bool
	done    bool
	spoiled atomic.Bool
}

// Send writes the request and reads the head of its answer. The end of ctx
// closes the connection, also while the body is read. If nothing was written,
// the error's chain holds ErrNotWritten.
func (p *Pool) Send(ctx context.Context, request *http.Request) (*Answer, error) {
	c, err := p.take(ctx)
	if err != nil {
		return nil, errors.Join(ErrNotWritten, err)
	}
	if ctx.Err() != nil { // nobody waits for the answer any more
		p.put(c)
		return nil, errors.Join(ErrNotWritten, ctx.Err())
	}
	sent := time.Now()
	p.stretch(c, request.ContentLength)
	watchOf(ctx).start(c)
	stop := context.AfterFunc(ctx, func() { c.Conn.Close() })
	response, err := c.exchange(request)
	if err != nil {
		stop()
		c.Conn.Close()
		return nil, p.judge(ctx, c, sent, err)
	}
	response.Body = &body{ReadCloser: response.Body, pool: p, conn: c, sent: sent}
	return &Answer{Response: response, pool: p, conn: c, stop: stop}, nil
}

// exchange writes the request and reads the head of its answer.
func (c *conn) exchange(request *http.Request) (*http.Response, error) {
	if err := c.write(request); err != nil {
		return nil, err
	}
	return http.ReadResponse(c.reader, request)
}

func (c *conn) write(request *http.Request) error {
	if err := request.Write(c.writer); err != nil {
		return err
	}
	return c.writer.Flush()
}

// Spoil makes sure that the connection is not used again.
func (a *Answer) Spoil() { a.spoiled.Store(true) }

// Close ends the exchange. Only a connection whose answer was read to its
// proper end, with nothing after it, is kept.
func (a *Answer) Close(readWhole bool) {
	if a.done {
		return
	}
	a.done = true
	if !a.stop() || !readWhole || a.spoiled.Load() || a.Response.Close || a.conn.reader.Buffered() > 0 {
		a.conn.Conn.Close()
		return
	}
	if limit, ok := keepAliveOf(a.Header); ok {
		a.conn.keepAlive = limit
	}
	a.conn.answered, a.conn.heard = true, time.Now()
	a.pool.put(a.conn)
}

// keepAliveOf reads the timeout of a Keep-Alive header.
func keepAliveOf(header http.Header) (time.Duration, bool) {
	for _, field := range strings.Split(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		seconds, err := strconv.Atoi(strings.TrimSpace(value))
		if err == nil && seconds >= 0 {
			return time.Duration(seconds) * time.Second, true
		}
	}
	return 0, false
}

func (p *Pool) take(ctx context.Context) (*conn, error) {
	for {
		c := p.pop()
		if c == nil {
			return p.dial(ctx)
		}
		if time.Now().Before(c.expires) && quiet(c.Conn) {
			c.used = c.answered
			return c, nil
		}
		c.Conn.Close()
	}
}

func (p *Pool) pop() *conn {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	last := len(p.idle) - 1
	if last < 0 {
		return nil
	}
	c := p.idle[last]
	p.idle = p.idle[:last]
	return c
}

// Ready reports whether an idle connection is at hand.
func (p *Pool) Ready() bool {
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
		p.noteFresh(false)
		return nil, errors.Join(ErrCrowded, err)
	}
	if err != nil {
		return nil, err
	}
	if p.options.OnConnected != nil {
		p.options.OnConnected(time.Since(begun))
	}
	p.options.Guard.Protect(raw, time.Since(begun))
	if !p.settles(raw) {
		raw.Close()
		return nil, ErrCrowded
	}
	reads, writes := p.counted(raw)
	return &conn{
		Conn:      raw,
		reader:    bufio.NewReaderSize(reads, readBuffer),
		writer:    bufio.NewWriterSize(pooledCopy{writes}, writeBuffer),
		keepAlive: p.options.IdleTimeout,
		heard:     time.Now(),
	}, nil
}

func (p *Pool) connect(ctx context.Context) (net.Conn, error) {
	if p.options.Dial != nil {
		return p.options.Dial(ctx)
	}
	dialer := net.Dialer{Timeout: p.options.DialTimeout, KeepAlive: -1}
	return dialer.DialContext(ctx, "tcp", p.options.Address)
}

// settles watches a new connection for a moment and reports whether it stays.
func (p *Pool) settles(fresh net.Conn) bool {
	if _, ok := fresh.(syscall.Conn); !ok {
		return true // nothing can be learnt without reading
	}
	time.Sleep(settleTime)
	stays := quiet(fresh)
	p.noteFresh(stays)
	return stays
}

// noteFresh notes whether the peer had a place for a new connection.
func (p *Pool) noteFresh(stays bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if stays {
		p.limit = min(p.limit+p.limit/regrowth, p.options.LongestIdle)
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

// schedulePrune looks at the idle connections again when the first is over. The
// caller holds the mutex.
func (p *Pool) schedulePrune() {
	if p.pruning || len(p.idle) == 0 {
		return
	}
	p.pruning = true
	time.AfterFunc(max(time.Until(p.idle[0].expires), shortestIdle), p.prune)
}

// prune closes the connections that were idle for too long: the peer may need
// their places.
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

// Reach opens a connection and keeps it, or tells why none came up. A peer that has no
// place for the connection is there: that is no error.
func (p *Pool) Reach(ctx context.Context) error {
	if p.options.OnLook != nil {
		p.options.OnLook()
	}
	c, err := p.dial(ctx)
	if errors.Is(err, ErrCrowded) {
		return nil
	}
	if err != nil {
		return err
	}
	p.put(c)
	return nil
}

// Close drops all idle connections.
func (p *Pool) Close() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.closed = true
	for _, c := range p.idle {
		c.Conn.Close()
	}
	p.idle = nil
}

// Next reads past this answer's body, of at most limit bytes, and returns the
// next answer that comes on the same connection, which is not used again.
func (a *Answer) Next(limit int64) (*Answer, error) {
	a.done = true
	_, err := io.CopyN(io.Discard, a.Body, limit)
	if err == nil {
		err = errors.New("the answer is too long to be read past")
	}
	if errors.Is(err, io.EOF) {
		var response *http.Response
		response, err = http.ReadResponse(a.conn.reader, a.Request)
		if err == nil {
			next := &Answer{Response: response, pool: a.pool, conn: a.conn, stop: a.stop}
			next.Spoil()
			return next, nil
		}
	}
	a.stop()
	a.conn.Conn.Close()
	return nil, err
}
