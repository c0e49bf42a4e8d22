package httpconn

import (
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// Response is a response. The caller must call Close, whether or not it has read the body.
type Response struct {
	*http.Response
	pool        *Pool
	conn        *conn
	stop        func() bool
	done        bool
	notReusable atomic.Bool
}

// IsFirst reports whether its request was the first on the connection, so that no earlier request can have caused the response.
// It may only be called before Close.
func (r *Response) IsFirst() bool { return !r.conn.answeredBefore }

// EndsWithConnection reports whether nothing but the end of the connection ends the body: it has neither a length nor chunks.
func (r *Response) EndsWithConnection() bool {
	return r.ContentLength < 0 && len(r.TransferEncoding) == 0 && r.Response.Body != http.NoBody
}

// DisableReuse prevents the connection from being reused.
func (r *Response) DisableReuse() { r.notReusable.Store(true) }

// Close ends the exchange. The connection is reused only if readWhole is true, the
// response allows it, and no further data was received.
func (r *Response) Close(readWhole bool) {
	if r.done {
		return
	}
	r.done = true
	if !r.stop() || !readWhole || r.notReusable.Load() || r.Response.Close || r.conn.reader.Buffered() > 0 {
		r.conn.Conn.Close()
		return
	}
	if limit, ok := keepAliveOf(r.Header); ok {
		r.conn.keepAlive = limit
	}
	r.conn.answered, r.conn.lastReceived = true, time.Now()
	r.pool.put(r.conn)
}

// keepAliveOf returns the timeout in a Keep-Alive header, or false if there is none.
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
