package httpjson

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cloverwheel/cloverwheel/internal/fault"
)

// Defaults of Options.
const (
	DefaultTimeout   = 5 * time.Second
	DefaultMaxAnswer = 64 << 20
)

const (
	dialTimeout         = 2 * time.Second
	idleTimeout         = 90 * time.Second
	idleConnectionsHost = 256
	contentType         = "Content-Type"
	jsonType            = "application/json"
)

// Options configure a Client. Only Base must be set.
type Options struct {
	Base string // http://host:port or host:port
	// Service names the other side in messages, such as "table service".
	Service   string
	Timeout   time.Duration     // of a whole exchange; zero: DefaultTimeout; streams have none
	MaxAnswer int64             // bytes; zero: DefaultMaxAnswer
	Transport http.RoundTripper // nil: one shared by all clients of the process
}

// Client exchanges messages with one service.
type Client struct {
	options Options
	http    *http.Client
}

// sharedTransport keeps enough idle connections for many streams to one host.
var sharedTransport = &http.Transport{
	DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
	MaxIdleConnsPerHost: idleConnectionsHost,
	IdleConnTimeout:     idleTimeout,
	DisableCompression:  true,
}

// New returns a client of the service at Options.Base.
func New(options Options) *Client {
	if options.Timeout == 0 {
		options.Timeout = DefaultTimeout
	}
	if options.MaxAnswer == 0 {
		options.MaxAnswer = DefaultMaxAnswer
	}
	if options.Transport == nil {
		options.Transport = sharedTransport
	}
	if options.Base != "" && !strings.Contains(options.Base, "://") {
		options.Base = "http://" + options.Base
	}
	return &Client{options: options, http: &http.Client{Transport: options.Transport, CheckRedirect: refuseRedirect}}
}

// refuseRedirect keeps a request from being sent a second time.
func refuseRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Request is one exchange.
type Request struct {
	Method string
	Path   string // below Base; a whole URL is taken as it is
	Query  url.Values
	Body   any // sent as JSON; []byte is sent as it is; nil sends none
}

// Call sends request and decodes the JSON answer into answer, which may be nil.
func (c *Client) Call(ctx context.Context, request Request, answer any) error {
	payload, err := c.Bytes(ctx, request)
	if err != nil || answer == nil {
		return err
	}
	if err := json.Unmarshal(payload, answer); err != nil {
		return c.unknown("unreadable answer: " + err.Error())
	}
	return nil
}

// Bytes sends request and returns the answer's body.
func (c *Client) Bytes(ctx context.Context, request Request) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, c.options.Timeout)
	defer cancel()
	response, err := c.Open(ctx, request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	payload, err := io.ReadAll(io.LimitReader(response.Body, c.options.MaxAnswer+1))
	if err != nil {
		return nil, c.unknown("the answer broke off: " + err.Error())
	}
	if int64(len(payload)) > c.options.MaxAnswer {
		return nil, fault.Newf(fault.TooLarge, "raise the client's limit", "the answer of the %s exceeds %d bytes",
			c.options.Service, c.options.MaxAnswer).WithRan(fault.RanYes)
	}
	return payload, nil
}

// Open sends request and returns the response of a successful exchange, whose
// body the caller closes. Only ctx bounds it in time.
func (c *Client) Open(ctx context.Context, request Request) (*http.Response, error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	message, err := c.build(httptrace.WithClientTrace(ctx, trace), request)
	if err != nil {
		return nil, fault.Newf(fault.Invalid, "correct the address or the request", "cannot build a request to the %s: %v", c.options.Service, err)
	}
	response, err := c.http.Do(message)
	if err != nil {
		return nil, c.transportFault(err, connected.Load())
	}
	if response.StatusCode/100 == 2 {
		return response, nil
	}
	defer response.Body.Close()
	return nil, c.statusFault(response)
}

func (c *Client) build(ctx context.Context, request Request) (*http.Request, error) {
	payload, kind, err := encodeBody(request.Body)
	if err != nil {
		return nil, err
	}
	target := request.Path
	if !strings.Contains(target, "://") {
		target = c.options.Base + target
	}
	if len(request.Query) > 0 {
		target += "?" + request.Query.Encode()
	}
	message, err := http.NewRequestWithContext(ctx, request.Method, target, bytes.NewReader(payload))
	if err != nil {
		return nil, err
	}
	if kind != "" {
		message.Header.Set(contentType, kind)
	}
	return message, nil
}

func encodeBody(body any) (payload []byte, kind string, err error) {
	switch typed := body.(type) {
	case nil:
		return nil, "", nil
	case []byte:
		return typed, "application/octet-stream", nil
	default:
		payload, err = json.Marshal(body)
		return payload, jsonType, err
	}
}

// transportFault classifies a failure without an answer. Without a connection
// nothing can have run.
func (c *Client) transportFault(err error, connected bool) error {
	if connected {
		return c.unknown("no answer: " + cause(err))
	}
	return fault.Newf(fault.Unavailable, "check that it runs and is reachable, then try again",
		"cannot reach the %s: %s", c.options.Service, cause(err))
}

func cause(err error) string {
	var wrapped *url.Error
	if errors.As(err, &wrapped) {
		return wrapped.Err.Error()
	}
	return err.Error()
}

func (c *Client) unknown(what string) *fault.Error {
	return fault.Newf(fault.Unavailable, "ask for the outcome before trying again",
		"the %s gave %s", c.options.Service, what).WithRan(fault.RanUnknown)
}
