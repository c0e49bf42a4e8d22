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
	headerKey      = "X-Cloverwheel-Key"
	headerVersion  = "X-Cloverwheel-Version"
	headerDeadline = "X-Cloverwheel-Deadline" // milliseconds left
	headerAnswer   = "X-Cloverwheel-Answer"   // hash of the response schema that the caller knows
)

// Paths of the peer protocol; the method's name follows.
const (
	pathCall   = "/peer/call/"
	pathStream = "/peer/stream/"
)

// Health checks of connections, so that one to a machine that vanished without
// closing it is given up.
const (
	pingAfterSilence = 10 * time.Second
	pingTimeout      = 5 * time.Second
)

// Windows of HTTP/2 flow control in bytes: one stream's share of memory while
// its receiver is slow, and that of a whole connection.
const (
	streamWindow     = 1 << 20
	connectionWindow = 64 << 20
)

// maxConcurrentStreams bounds the calls on one connection; more of them open
// further connections.
const maxConcurrentStreams = 1000

// HTTPTransport calls other nodes over HTTP/2.
type HTTPTransport struct {
	options  Options
	scheme   string
	lines    sync.Map // Address → *line
	metrics  *metrics
	calls    atomic.Int64
	streams  atomic.Int64
	versions sync.Map // Address → the version in which it is called, where that was agreed
	answers  sync.Map // method → hash of its last response's schema, for headerAnswer
}

// NewHTTPTransport returns a transport that opens connections as needed.
func NewHTTPTransport(options Options) *HTTPTransport {
	options = options.withDefaults()
	t := &HTTPTransport{options: options, scheme: "http", metrics: newMetrics("client", options.Registerer)}
	if options.TLS != nil {
		t.scheme = "https"
	}
	return t
}

// newGeneration returns a transport that has no connection yet.
func (t *HTTPTransport) newGeneration() *generation {
	g := &generation{
		guard:  t.options.Guard,
		dialer: net.Dialer{Timeout: t.options.DialTimeout},
		after:  t.options.QuietTime,
		began:  time.Now(),
	}
	protocols := &http.Protocols{}
	g.transport = &http.Transport{
		Protocols:          protocols,
		DialContext:        g.dial,
		IdleConnTimeout:    t.options.IdleTimeout,
		DisableCompression: true,
		HTTP2: &http.HTTP2Config{
			SendPingTimeout:               pingAfterSilence,
			PingTimeout:                   pingTimeout,
			MaxReceiveBufferPerStream:     streamWindow,
			MaxReceiveBufferPerConnection: connectionWindow,
		},
	}
	if t.options.TLS == nil {
		protocols.SetUnencryptedHTTP2(true)
		return g
	}
	protocols.SetHTTP2(true)
	g.transport.TLSClientConfig = t.options.TLS.clientConfig()
	g.transport.TLSHandshakeTimeout = t.options.DialTimeout
	return g
}

// Close gives up idle connections.
func (t *HTTPTransport) Close() {
	t.lines.Range(func(_, known any) bool {
		known.(*line).closeIdle()
		return true
	})
}

// Call implements Transport.
func (t *HTTPTransport) Call(ctx context.Context, to Address, method string, request []byte) ([]byte, error) {
	if t.calls.Add(1) > int64(t.options.MaxCalls) {
		t.calls.Add(-1)
		return nil, tooMany(to, t.options.MaxCalls)
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
		return nil, tooLarge("response", uint64(response.ContentLength), t.options.MaxResponse).WithRan(fault.RanYes)
	}
	if response.ContentLength < 0 {
		return nil, unreachable(to, fault.RanUnknown)
	}
	answer, err := readSized(response.Body, int(response.ContentLength))
	if err != nil {
		return nil, unreachable(to, fault.RanUnknown)
	}
	t.metrics.received.WithLabelValues(method).Add(float64(len(answer)))
	whole, hash, known := restore(answer)
	if !known {
		return nil, unreachable(to, fault.RanUnknown)
	}
	t.learnAnswer(method, hash)
	return whole, nil
}

// learnAnswer remembers the schema of a method's responses, so that the next
// ones can come without it.
func (t *HTTPTransport) learnAnswer(method string, hash uint64) {
	if hash == 0 {
		return
	}
	formatted := formatHash(hash)
	if last, ok := t.answers.Load(method); !ok || last.(string) != formatted {
		t.answers.Store(method, formatted)
	}
}

// Stream implements Transport.
func (t *HTTPTransport) Stream(ctx context.Context, to Address, method string, request []byte, receive func([]byte) error) error {
	if t.streams.Add(1) > int64(t.options.MaxStreams) {
		t.streams.Add(-1)
		return tooMany(to, t.options.MaxStreams)
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
	var schema []byte // of the last item that came whole
	for {
		kind, payload, err := readFrame(reader, t.options.MaxItem)
		if err != nil {
			return streamFailure(to, err)
		}
		t.metrics.received.WithLabelValues(method).Add(float64(len(payload)))
		switch kind {
		case frameItem:
			if len(payload) > 0 && payloadKind(payload[0]) == payloadSchema {
				schema, _, _ = splitSchema(payload) // Decode reports a bad one
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
			return unreachable(to, fault.RanUnknown)
		}
	}
}

// streamFailure keeps a typed refusal and types every other failure.
func streamFailure(to Address, err error) error {
	if fault.Is(err, fault.TooLarge) {
		return fault.From(err).WithRan(fault.RanUnknown)
	}
	return unreachable(to, fault.RanUnknown)
}

// send posts the request, without its schema where the peer knows it, and
// returns the response once its status is 200.
func (t *HTTPTransport) send(ctx context.Context, to Address, path, method string, request []byte) (*http.Response, error) {
	if len(request) > t.options.MaxRequest {
		return nil, tooLarge("request", uint64(len(request)), t.options.MaxRequest)
	}
	if ctx.Err() != nil {
		return nil, unreachable(to, fault.RanNo)
	}
	short, hash := elide(request)
	response, err := t.post(ctx, to, path, method, short)
	if err == nil && hash != 0 && response.StatusCode == http.StatusPreconditionRequired {
		_ = response.Body.Close()
		response, err = t.post(ctx, to, path, method, request)
	}
	if err == nil && t.agree(to, response) && response.StatusCode == http.StatusUpgradeRequired {
		_ = response.Body.Close() // refused before it was read
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

// post sends one HTTP request and returns the response whatever its status.
func (t *HTTPTransport) post(ctx context.Context, to Address, path, method string, payload []byte) (*http.Response, error) {
	body := &requestBody{}
	response, err := t.roundTrip(ctx, to, func(ctx context.Context) *http.Request {
		request := t.newRequest(ctx, to, path+method, payload, body)
		if hash, ok := t.answers.Load(method); ok {
			request.Header[headerAnswer] = []string{hash.(string)}
		}
		return request
	})
	if err != nil && errors.Is(err, syscall.ECONNREFUSED) {
		return nil, unreachable(to, body.ran()).WithHint(HintRefused)
	}
	if err != nil {
		return nil, unreachable(to, body.ran())
	}
	t.metrics.sent.WithLabelValues(method).Add(float64(len(payload)))
	return response, nil
}

func (t *HTTPTransport) newRequest(ctx context.Context, to Address, path string, payload []byte, body *requestBody) *http.Request {
	header := make(http.Header, 4)
	header[headerVersion] = []string{strconv.Itoa(t.agreed(to))}
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

// requestBody remembers whether any byte of the body was handed to the
// network. The server handles a request only when it has the whole body, so a
// body that was never read proves that the request did not run.
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

// readFault reads the typed error in a response that is not 200.
func readFault(to Address, response *http.Response) error {
	if response.StatusCode == http.StatusUnauthorized {
		return refusedKey(to)
	}
	if response.ContentLength <= 0 || response.ContentLength > maxFault {
		return unreachable(to, fault.RanUnknown)
	}
	payload, err := readSized(response.Body, int(response.ContentLength))
	if err != nil {
		return unreachable(to, fault.RanUnknown)
	}
	return decodeFault(to, payload)
}

func decodeFault(to Address, payload []byte) error {
	var typed fault.Error
	if err := Decode(payload, &typed); err != nil {
		return eris.Wrap(unreachable(to, fault.RanUnknown), "undecodable error")
	}
	return &typed
}

func refusedKey(to Address) *fault.Error {
	return fault.Newf(fault.Unauthorized, "give all nodes the same peer key", "node at %s refused this node's key", to)
}

func tooMany(to Address, limit int) *fault.Error {
	return fault.Newf(fault.Overloaded, "come back later", "%d messages to other nodes are in progress, next for %s", limit, to).
		WithRetryAfter(overloadRetryAfter)
}
