package peer

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/cloverwheel/cloverwheel/internal/fault"
)

// Headers of the peer protocol, in canonical form.
const (
	headerKey            = "X-Cloverwheel-Key"
	headerVersion        = "X-Cloverwheel-Version"
	headerDeadline       = "X-Cloverwheel-Deadline" // milliseconds until the caller's deadline
	headerResponseSchema = "X-Cloverwheel-Answer"   // hash of the response schema that the caller has cached
)

// Path prefixes of the peer protocol; the method name follows.
const (
	pathCall   = "/peer/call/"
	pathStream = "/peer/stream/"
)

// HTTP/2 keepalive pings detect connections to a machine that disappeared
// without closing them.
const (
	pingAfterIdle = 10 * time.Second
	pingTimeout   = 5 * time.Second
)

// HTTP/2 flow control windows in bytes. They bound the memory that one stream,
// and one connection, can occupy while its receiver is slow.
const (
	streamWindow     = 1 << 20
	connectionWindow = 64 << 20
)

// maxConcurrentStreams limits the requests on one connection. Further requests
// open additional connections.
const maxConcurrentStreams = 1000

// HTTPTransport implements Transport over HTTP/2.
type HTTPTransport struct {
	options         Options
	scheme          string
	nodes           sync.Map // Address → *nodeTransport
	metrics         *metrics
	calls           atomic.Int64
	streams         atomic.Int64
	versions        sync.Map // Address → negotiated protocol version (int)
	responseSchemas sync.Map // method → formatted hash of its last response schema, sent in headerResponseSchema
}

// NewHTTPTransport returns a transport that opens connections on demand.
func NewHTTPTransport(options Options) *HTTPTransport {
	options = options.withDefaults()
	t := &HTTPTransport{options: options, scheme: "http", metrics: newMetrics("client", options.Registerer)}
	if options.TLS != nil {
		t.scheme = "https"
	}
	return t
}

// newTrackedTransport returns an HTTP transport that has no connections yet.
func (t *HTTPTransport) newTrackedTransport() *trackedTransport {
	tracked := &trackedTransport{
		guard:     t.options.Guard,
		dialer:    net.Dialer{Timeout: t.options.DialTimeout},
		quietTime: t.options.UnresponsiveAfter,
		createdAt: time.Now(),
	}
	protocols := &http.Protocols{}
	tracked.transport = &http.Transport{
		Protocols:          protocols,
		DialContext:        tracked.dial,
		IdleConnTimeout:    t.options.IdleTimeout,
		DisableCompression: true,
		HTTP2: &http.HTTP2Config{
			SendPingTimeout:               pingAfterIdle,
			PingTimeout:                   pingTimeout,
			MaxReceiveBufferPerStream:     streamWindow,
			MaxReceiveBufferPerConnection: connectionWindow,
		},
	}
	if t.options.TLS == nil {
		protocols.SetUnencryptedHTTP2(true)
		return tracked
	}
	protocols.SetHTTP2(true)
	tracked.transport.TLSClientConfig = t.options.TLS.clientConfig()
	tracked.transport.TLSHandshakeTimeout = t.options.DialTimeout
	return tracked
}

// Close closes idle connections. Requests in progress are not affected.
func (t *HTTPTransport) Close() {
	t.nodes.Range(func(_, known any) bool {
		known.(*nodeTransport).closeIdle()
		return true
	})
}

// Call implements Transport.
func (t *HTTPTransport) Call(ctx context.Context, to Address, method string, request []byte) ([]byte, error) {
	if t.calls.Add(1) > int64(t.options.MaxCalls) {
		t.calls.Add(-1)
		return nil, overloadedError(to, t.options.MaxCalls)
	}
	defer t.calls.Add(-1)
	answer, err := t.call(ctx, to, method, request)
	t.metrics.done(method, err)
	return answer, err
}

func (t *HTTPTransport) call(ctx context.Context, to Address, method string, request []byte) ([]byte, error) {
	response, err := t.send(ctx, to, pathCall, method, request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	if response.ContentLength > int64(t.options.MaxResponse) {
		return nil, tooLargeError("response", uint64(response.ContentLength), t.options.MaxResponse).WithRan(fault.RanYes)
	}
	if response.ContentLength < 0 {
		return nil, unavailableError(to, fault.RanUnknown)
	}
	answer, err := readSized(response.Body, int(response.ContentLength))
	if err != nil {
		return nil, unavailableError(to, fault.RanUnknown)
	}
	t.metrics.received.WithLabelValues(method).Add(float64(len(answer)))
	whole, hash, known := restoreSchema(answer)
	if !known {
		return nil, unavailableError(to, fault.RanUnknown)
	}
	t.cacheResponseSchema(method, hash)
	return whole, nil
}

// cacheResponseSchema stores the hash of a method's response schema, so that the
// server can omit the schema from later responses.
func (t *HTTPTransport) cacheResponseSchema(method string, hash uint64) {
	if hash == 0 {
		return
	}
	formatted := formatHash(hash)
	if last, ok := t.responseSchemas.Load(method); !ok || last.(string) != formatted {
		t.responseSchemas.Store(method, formatted)
	}
}

// Stream implements Transport.
func (t *HTTPTransport) Stream(ctx context.Context, to Address, method string, request []byte, receive func([]byte) error) error {
	if t.streams.Add(1) > int64(t.options.MaxStreams) {
		t.streams.Add(-1)
		return overloadedError(to, t.options.MaxStreams)
	}
	defer t.streams.Add(-1)
	err := t.stream(ctx, to, method, request, receive)
	t.metrics.done(method, err)
	return err
}

func (t *HTTPTransport) stream(ctx context.Context, to Address, method string, request []byte, receive func([]byte) error) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel() // resets the stream, which cancels the handler
	response, err := t.send(ctx, to, pathStream, method, request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	reader := bufio.NewReader(response.Body)
	var schema []byte // of the last item received with its schema
	for {
		kind, payload, err := readFrame(reader, t.options.MaxItem)
		if err != nil {
			return streamFailure(to, err)
		}
		t.metrics.received.WithLabelValues(method).Add(float64(len(payload)))
		switch kind {
		case frameItem:
			if len(payload) > 0 && payloadKind(payload[0]) == payloadSchema {
				schema, _, _ = splitSchema(payload) // Decode reports a malformed schema
			}
			if err := receive(payload); err != nil {
				return err
			}
		case frameValue:
			if err := receive(joinSchema(schema, payload)); err != nil {
				return err
			}
		case frameEnd:
			return nil
		case frameFault:
			return decodeFault(to, payload)
		default:
			return unavailableError(to, fault.RanUnknown)
		}
	}
}

// streamFailure keeps a fault.TooLarge error and reports any other failure as
// fault.Unavailable.
func streamFailure(to Address, err error) error {
	if fault.Is(err, fault.TooLarge) {
		return fault.From(err).WithRan(fault.RanUnknown)
	}
	return unavailableError(to, fault.RanUnknown)
}

// send posts the request and returns the response if its status is 200. The
// schema is omitted at first and sent on status 428. After status 426 the request
// is sent again in the negotiated protocol version.
func (t *HTTPTransport) send(ctx context.Context, to Address, path, method string, request []byte) (*http.Response, error) {
	if len(request) > t.options.MaxRequest {
		return nil, tooLargeError("request", uint64(len(request)), t.options.MaxRequest)
	}
	if ctx.Err() != nil {
		return nil, unavailableError(to, fault.RanNo)
	}
	short, hash := elideSchema(request)
	response, err := t.post(ctx, to, path, method, short)
	if err == nil && hash != 0 && response.StatusCode == http.StatusPreconditionRequired {
		_ = response.Body.Close()
		response, err = t.post(ctx, to, path, method, request)
	}
	if err == nil && t.negotiateVersion(to, response) && response.StatusCode == http.StatusUpgradeRequired {
		_ = response.Body.Close() // the server rejects a version before it reads the body
		response, err = t.post(ctx, to, path, method, request)
	}
	if err != nil {
		return nil, err
	}
	if response.StatusCode == http.StatusOK {
		return response, nil
	}
	defer response.Body.Close()
	return nil, readFault(to, response)
}

// post sends one HTTP request and returns the response with any status.
func (t *HTTPTransport) post(ctx context.Context, to Address, path, method string, payload []byte) (*http.Response, error) {
	body := &requestBody{}
	response, err := t.roundTrip(ctx, to, func(ctx context.Context) *http.Request {
		request := t.newRequest(ctx, to, path+method, payload, body)
		if hash, ok := t.responseSchemas.Load(method); ok {
			request.Header[headerResponseSchema] = []string{hash.(string)}
		}
		return request
	})
	if err != nil && errors.Is(err, syscall.ECONNREFUSED) {
		return nil, unavailableError(to, body.ran()).WithHint(HintRefused)
	}
	if err != nil {
		return nil, unavailableError(to, body.ran())
	}
	t.metrics.sent.WithLabelValues(method).Add(float64(len(payload)))
	return response, nil
}

func (t *HTTPTransport) newRequest(ctx context.Context, to Address, path string, payload []byte, body *requestBody) *http.Request {
	header := make(http.Header, 4)
	header[headerVersion] = []string{strconv.Itoa(t.versionFor(to))}
	if key := t.options.Keys.own(); key != "" {
		header[headerKey] = []string{key}
	}
	if deadline, ok := ctx.Deadline(); ok {
		left := max(time.Until(deadline).Milliseconds(), 1)
		header[headerDeadline] = []string{strconv.FormatInt(left, 10)}
	}
	request := &http.Request{
		Method:        http.MethodPost,
		URL:           &url.URL{Scheme: t.scheme, Host: string(to), Path: path},
		Host:          string(to),
		Header:        header,
		Body:          body.reader(payload),
		GetBody:       func() (io.ReadCloser, error) { return body.reader(payload), nil },
		ContentLength: int64(len(payload)),
		ProtoMajor:    2,
	}
	return request.WithContext(ctx)
}

// requestBody records whether any byte of the body was read for sending. The
// server runs a request only after it has received the whole body, so a body that
// was never read proves that the request did not run.
type requestBody struct {
	read atomic.Bool
}

func (b *requestBody) reader(payload []byte) io.ReadCloser {
	return &bodyReader{Reader: bytes.NewReader(payload), body: b}
}

func (b *requestBody) ran() fault.Ran {
	if b.read.Load() {
		return fault.RanUnknown
	}
	return fault.RanNo
}

type bodyReader struct {
	*bytes.Reader
	body *requestBody
}

// Read implements io.Reader.
func (r *bodyReader) Read(buffer []byte) (int, error) {
	r.body.read.Store(true)
	return r.Reader.Read(buffer)
}

// WriteTo implements io.WriterTo.
func (r *bodyReader) WriteTo(writer io.Writer) (int64, error) {
	r.body.read.Store(true)
	return r.Reader.WriteTo(writer)
}

// Close implements io.Closer.
func (r *bodyReader) Close() error { return nil }

// readFault decodes the typed error of a response whose status is not 200.
func readFault(to Address, response *http.Response) error {
	if response.StatusCode == http.StatusUnauthorized {
		return unauthorizedError(to)
	}
	if response.ContentLength <= 0 || response.ContentLength > maxFault {
		return unavailableError(to, fault.RanUnknown)
	}
	payload, err := readSized(response.Body, int(response.ContentLength))
	if err != nil {
		return unavailableError(to, fault.RanUnknown)
	}
	return decodeFault(to, payload)
}

func decodeFault(to Address, payload []byte) error {
	var typed fault.Error
	if err := Decode(payload, &typed); err != nil {
		return eris.Wrap(unavailableError(to, fault.RanUnknown), "decode typed error")
	}
	return &typed
}

func unauthorizedError(to Address) *fault.Error {
	return fault.Newf(fault.Unauthorized, "give all nodes the same peer key", "node at %s rejected this node's key", to)
}

func overloadedError(to Address, limit int) *fault.Error {
	return fault.Newf(fault.Overloaded, "retry later", "limit of %d concurrent messages to other nodes is reached; the message to %s was not sent", limit, to).
		WithRetryAfter(overloadRetryAfter)
}
