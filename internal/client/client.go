package client

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/rotisserie/eris"

	"github.com/cloverwheel/cloverwheel/internal/fault"
	"github.com/cloverwheel/cloverwheel/internal/gateway/wire"
	"github.com/cloverwheel/cloverwheel/internal/timing"
)

// The defaults of Options.
const (
	DefaultAttempts = 8
	firstDelay      = 20 * time.Millisecond
	maxDelay        = 2 * time.Second
	// maxErrorBody bounds what is read of an error's answer, in bytes.
	maxErrorBody = 1 << 20
)

// Options configure a Client.
type Options struct {
	// Addresses are host:port or http URLs of nodes. The client goes on to the
	// next when one can't be reached or says that it can't serve.
	Addresses []string
	Key       string // of a tenant or an operator
	// HTTP sends the requests; nil: http.DefaultClient.
	HTTP *http.Client
	// Attempts bounds the tries of one request; zero: DefaultAttempts.
	Attempts int
	// Observe hears of every attempt that failed; nil: nobody.
	Observe func(failure *fault.Error)
}

// Client sends requests to the nodes of one cluster.
type Client struct {
	options Options
	bases   []string
	current atomic.Uint64 // position in bases, modulo their number
}

// New returns a Client. It fails without addresses.
func New(options Options) (*Client, error) {
	if len(options.Addresses) == 0 {
		return nil, eris.New("no address of a node; give one as host:port")
	}
	if options.HTTP == nil {
		options.HTTP = http.DefaultClient
	}
	if options.Attempts == 0 {
		options.Attempts = DefaultAttempts
	}
	client := &Client{options: options}
	for _, address := range options.Addresses {
		if !strings.Contains(address, "://") {
			address = "http://" + address
		}
		client.bases = append(client.bases, strings.TrimRight(address, "/"))
	}
	return client, nil
}

// send describes one request.
type send struct {
	method string
	path   string
	query  url.Values
	header http.Header
	body   []byte
}

// jsonSend is a request with a JSON body.
func jsonSend(method, path string, body any) (send, error) {
	encoded, err := json.Marshal(body)
	if err != nil {
		return send{}, eris.Wrap(err, "encode request")
	}
	return send{method: method, path: path, body: encoded, header: http.Header{"Content-Type": {wire.MediaJSON}}}, nil
}

func (s send) with(name, value string) send {
	if s.header == nil {
		s.header = http.Header{}
	}
	if value != "" {
		s.header.Set(name, value)
	}
	return s
}

// read sends a request until it is answered and decodes a JSON answer.
func read[T any](ctx context.Context, c *Client, request send) (T, error) {
	var value T
	err := c.retry(ctx, func() error {
		answer, err := c.once(ctx, request)
		if err != nil {
			return err
		}
		defer closeBody(answer)
		if err := json.NewDecoder(answer.Body).Decode(&value); err != nil {
			return broken(err)
		}
		return nil
	})
	return value, err
}

// text is read for answers that aren't JSON.
func (c *Client) text(ctx context.Context, request send) (string, error) {
	var text []byte
	err := c.retry(ctx, func() error {
		answer, err := c.once(ctx, request)
		if err != nil {
			return err
		}
		defer closeBody(answer)
		text, err = io.ReadAll(answer.Body)
		if err != nil {
			return broken(err)
		}
		return nil
	})
	return string(text), err
}

// retry repeats attempt while its error says that it did not run and that
// trying again may help.
func (c *Client) retry(ctx context.Context, attempt func() error) error {
	delays := newDelays()
	for tries := 1; ; tries++ {
		err := attempt()
		if err == nil {
			return nil
		}
		failure := fault.From(err)
		if c.options.Observe != nil {
			c.options.Observe(failure)
		}
		if !worthRepeating(failure) || tries >= c.options.Attempts {
			return failure
		}
		if elsewhere(failure) {
			c.current.Add(1)
		}
		if timing.Sleep(ctx, max(delays.NextBackOff(), jittered(failure.RetryAfter))) != nil {
			return failure
		}
	}
}

// newDelays are the waits between the tries of one request.
func newDelays() *backoff.ExponentialBackOff {
	delays := backoff.NewExponentialBackOff()
	delays.InitialInterval, delays.MaxInterval = firstDelay, maxDelay
	return delays
}

// jittered spreads a wait by a quarter, so that refused clients don't come back
// all at once; it is never shorter than asked for.
func jittered(wait time.Duration) time.Duration {
	spread := backoff.NewExponentialBackOff()
	spread.InitialInterval, spread.RandomizationFactor = wait/4, 0.5
	if wait == 0 {
		return 0
	}
	return wait + spread.NextBackOff()
}

func worthRepeating(failure *fault.Error) bool {
	return failure.Ran == fault.RanNo && failure.RetryAfter > 0
}

// elsewhere reports whether another node may do better.
func elsewhere(failure *fault.Error) bool {
	return failure.Code == fault.Unavailable || failure.Code == fault.StaleConfiguration
}

// once sends a request to the current node. The caller closes the answer.
func (c *Client) once(ctx context.Context, request send) (*http.Response, error) {
	base := c.bases[c.current.Load()%uint64(len(c.bases))]
	target := base + request.path
	if len(request.query) > 0 {
		target += "?" + request.query.Encode()
	}
	sent, err := http.NewRequestWithContext(ctx, request.method, target, bytes.NewReader(request.body))
	if err != nil {
		return nil, eris.Wrap(err, "build request")
	}
	for name, values := range request.header {
		sent.Header[name] = values
	}
	sent.Header.Set("Authorization", "Bearer "+c.options.Key)
	answer, err := c.options.HTTP.Do(sent)
	if err != nil {
		return nil, unreachable(ctx, base, err)
	}
	if answer.StatusCode >= http.StatusBadRequest {
		defer closeBody(answer)
		return nil, failureOf(answer)
	}
	return answer, nil
}

// unreachable tells a connection that was never made from one that broke.
func unreachable(ctx context.Context, base string, err error) *fault.Error {
	var dial *net.OpError
	if errors.As(err, &dial) && dial.Op == "dial" && ctx.Err() == nil {
		return fault.Newf(fault.Unavailable, "try another node", "node at %s can't be reached: %v", base, err).
			WithRetryAfter(firstDelay)
	}
	return broken(err)
}

// broken is the error of an exchange that may have run.
func broken(err error) *fault.Error {
	return fault.Newf(fault.Unavailable, "fetch the answer by its idempotency key", "the connection broke: %v", err).
		WithRan(fault.RanUnknown)
}

func failureOf(answer *http.Response) *fault.Error {
	var body wire.ErrorAnswer
	err := json.NewDecoder(io.LimitReader(answer.Body, maxErrorBody)).Decode(&body)
	if err != nil || body.Error == nil {
		return fault.Newf(fault.Internal, "check that the address is a cloverwheel node's", "HTTP status %s without a typed error", answer.Status).
			WithRan(fault.RanUnknown)
	}
	return body.Error.Fault()
}

func closeBody(answer *http.Response) {
	_, _ = io.CopyN(io.Discard, answer.Body, maxErrorBody)
	_ = answer.Body.Close()
}
