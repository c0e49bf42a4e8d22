package peer

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/cloverwheel/cloverwheel/internal/fault"
)

type question struct{ Text string }

type reply struct {
	Text  string
	Count int
}

// startServer serves handlers on a loopback address until the test ends.
func startServer(t testing.TB, options Options, handlers *Mux) Address {
	t.Helper()
	return serveOn(t, NewServer(options, handlers))
}

// serveOn runs server on a loopback address until the test ends.
func serveOn(t testing.TB, server *Server) Address {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	t.Cleanup(func() {
		_ = server.Close()
		assert.NoError(t, <-served)
	})
	return Address(listener.Addr().String())
}

func newClient(t testing.TB, options Options) *HTTPTransport {
	client := NewHTTPTransport(options)
	t.Cleanup(client.Close)
	return client
}

func echoMux() *Mux {
	handlers := NewMux()
	Handle(handlers, "echo", func(_ context.Context, q question) (reply, error) {
		return reply{Text: q.Text, Count: len(q.Text)}, nil
	})
	Handle(handlers, "fail", func(context.Context, question) (reply, error) {
		return reply{}, fault.New(fault.NotLeader, "not the leader", "ask the leader").WithHint("10.0.0.1:1").WithRetryAfter(time.Second)
	})
	Handle(handlers, "panic", func(context.Context, question) (reply, error) { panic("boom") })
	Handle(handlers, "deadline", func(ctx context.Context, _ question) (reply, error) {
		deadline, _ := ctx.Deadline()
		return reply{Count: int(time.Until(deadline).Seconds())}, nil
	})
	HandleStream(handlers, "count", func(_ context.Context, q question, send func(reply) error) error {
		for i := range len(q.Text) {
			if err := send(reply{Text: q.Text[:i+1], Count: i}); err != nil {
				return err
			}
		}
		if strings.HasSuffix(q.Text, "!") {
			return fault.New(fault.Fenced, "a newer term", "stop").WithRan(fault.RanYes)
		}
		return nil
	})
	return handlers
}

// TestHTTPReturnsResponsesAndTypedErrors: a typed error must arrive with all its fields, and a panic or an
// unknown method must be a typed error, too.
func TestHTTPReturnsResponsesAndTypedErrors(t *testing.T) {
	options := Options{Keys: NewKeys("secret")}
	address := startServer(t, options, echoMux())
	client := newClient(t, options)

	answer, err := Invoke[reply](t.Context(), client, address, "echo", question{Text: "mangoes"})
	require.NoError(t, err)
	assert.Equal(t, reply{Text: "mangoes", Count: 7}, answer)

	_, err = Invoke[reply](t.Context(), client, address, "fail", question{})
	want := fault.New(fault.NotLeader, "not the leader", "ask the leader").WithHint("10.0.0.1:1").WithRetryAfter(time.Second)
	assert.Equal(t, want, fault.From(err))

	_, err = Invoke[reply](t.Context(), client, address, "panic", question{})
	assert.Equal(t, fault.Internal, fault.CodeOf(err))
	assert.Equal(t, fault.RanUnknown, fault.From(err).Ran)

	_, err = Invoke[reply](t.Context(), client, address, "missing", question{})
	assert.Equal(t, fault.Invalid, fault.CodeOf(err))
}

// TestHTTPStreamsEveryItemAndTheOutcome: no item may be lost or reordered, and the handler's error must arrive.
func TestHTTPStreamsEveryItemAndTheOutcome(t *testing.T) {
	options := Options{Keys: NewKeys("secret")}
	address := startServer(t, options, echoMux())
	client := newClient(t, options)
	for text, code := range map[string]fault.Code{"": "", "abc": "", "ab!": fault.Fenced} {
		var counts []int
		err := InvokeStream(t.Context(), client, address, "count", question{Text: text}, func(item reply) error {
			assert.Equal(t, text[:item.Count+1], item.Text)
			counts = append(counts, item.Count)
			return nil
		})
		assert.Equal(t, code, fault.CodeOf(err), text)
		assert.Len(t, counts, len(text))
		assert.IsIncreasing(t, append([]int{-1}, counts...))
	}
}

// TestHTTPStreamCancelsHandlerWhenReceiverFails: a failed receiver must not leave the handler running.
func TestHTTPStreamCancelsHandlerWhenReceiverFails(t *testing.T) {
	options := Options{Keys: NewKeys("secret")}
	handlers := NewMux()
	ended := make(chan error, 1)
	HandleStream(handlers, "endless", func(ctx context.Context, _ question, send func(reply) error) error {
		if err := send(reply{}); err != nil {
			return err
		}
		<-ctx.Done()
		ended <- ctx.Err()
		return ctx.Err()
	})
	address := startServer(t, options, handlers)
	client := newClient(t, options)
	gone := errors.New("receiver is gone")
	err := InvokeStream(t.Context(), client, address, "endless", question{}, func(reply) error { return gone })
	assert.ErrorIs(t, err, gone)
	assert.ErrorIs(t, <-ended, context.Canceled)
}

// TestHTTPRejectsUnknownKeysAndVersions: requests without an accepted key or version must not run.
func TestHTTPRejectsUnknownKeysAndVersions(t *testing.T) {
	accepted := NewKeys("new", "old")
	address := startServer(t, Options{Keys: accepted}, echoMux())
	call := func(key string) error {
		_, err := Invoke[reply](t.Context(), newClient(t, Options{Keys: NewKeys(key)}), address, "echo", question{Text: "x"})
		return err
	}
	assert.NoError(t, call("new"))
	assert.NoError(t, call("old"))
	for _, key := range []string{"", "ne", "newer", "old "} {
		err := call(key)
		assert.Equal(t, fault.Unauthorized, fault.CodeOf(err), key)
		assert.Equal(t, fault.RanNo, fault.From(err).Ran)
	}
	accepted.Set("new")
	assert.Equal(t, fault.Unauthorized, fault.CodeOf(call("old")), "a removed key is rejected at once")

	client := newClient(t, Options{Keys: accepted})
	request := client.newRequest(t.Context(), address, pathCall+"echo", []byte{1}, &requestBody{})
	request.Header[headerVersion] = []string{"0"}
	response, err := client.nodeTransportFor(address).active().transport.RoundTrip(request)
	require.NoError(t, err)
	defer response.Body.Close()
	assert.Equal(t, http.StatusUpgradeRequired, response.StatusCode)
}

// TestHTTPEnforcesSizes: both sides must reject messages over their size limits.
func TestHTTPEnforcesSizes(t *testing.T) {
	keys := NewKeys("secret")
	small := Options{Keys: keys, MaxRequest: 256, MaxResponse: 256, MaxItem: 256}
	large := Options{Keys: keys}
	payload := question{Text: strings.Repeat("x", 300)}
	for name, sides := range map[string][2]Options{"client refuses": {small, large}, "server refuses": {large, small}} {
		t.Run(name, func(t *testing.T) {
			handlers := echoMux()
			handled := false
			Handle(handlers, "note", func(context.Context, question) (reply, error) {
				handled = true
				return reply{}, nil
			})
			Handle(handlers, "inflate", func(context.Context, question) (reply, error) { return reply{Text: payload.Text}, nil })
			HandleStream(handlers, "inflate", func(_ context.Context, _ question, send func(reply) error) error {
				return send(reply{Text: payload.Text})
			})
			client := newClient(t, sides[0])
			address := startServer(t, sides[1], handlers)

			_, err := Invoke[reply](t.Context(), client, address, "note", payload)
			assert.Equal(t, fault.TooLarge, fault.CodeOf(err))
			assert.Equal(t, fault.RanNo, fault.From(err).Ran)
			assert.False(t, handled)

			_, err = Invoke[reply](t.Context(), client, address, "inflate", question{})
			assert.Equal(t, fault.TooLarge, fault.CodeOf(err))
			assert.Equal(t, fault.RanYes, fault.From(err).Ran)

			err = InvokeStream(t.Context(), client, address, "inflate", question{}, func(reply) error { return nil })
			assert.Equal(t, fault.TooLarge, fault.CodeOf(err))
			assert.NotEqual(t, fault.RanNo, fault.From(err).Ran)
		})
	}
}

// TestHTTPCapsAndPassesDeadlines: the handler must get the caller's deadline, capped by MaxCallDuration.
func TestHTTPCapsAndPassesDeadlines(t *testing.T) {
	options := Options{Keys: NewKeys("secret"), MaxCallDuration: 20 * time.Second}
	address := startServer(t, options, echoMux())
	client := newClient(t, options)
	for timeout, most := range map[time.Duration]int{10 * time.Second: 9, time.Hour: 19} {
		ctx, cancel := context.WithTimeout(t.Context(), timeout)
		answer, err := Invoke[reply](ctx, client, address, "deadline", question{})
		cancel()
		require.NoError(t, err)
		assert.LessOrEqual(t, answer.Count, most)
		assert.Positive(t, answer.Count)
	}
}

// TestHTTPReportsWhetherTheRequestRan: RanNo must be reported only if the request certainly did not run.
func TestHTTPReportsWhetherTheRequestRan(t *testing.T) {
	options := Options{Keys: NewKeys("secret")}
	handlers := NewMux()
	arrived := make(chan struct{}, 1)
	Handle(handlers, "hang", func(ctx context.Context, _ question) (reply, error) {
		arrived <- struct{}{}
		<-ctx.Done()
		return reply{}, ctx.Err()
	})
	address := startServer(t, options, handlers)
	client := newClient(t, options)

	closed, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, closed.Close())
	_, err = Invoke[reply](t.Context(), client, Address(closed.Addr().String()), "hang", question{})
	assert.Equal(t, fault.RanNo, fault.From(err).Ran, "nothing listens")
	assert.Equal(t, HintRefused, fault.From(err).Hint)
	_, err = Invoke[reply](t.Context(), client, "127.0.0.1:99999", "hang", question{})
	assert.Equal(t, fault.RanNo, fault.From(err).Ran, "the address is invalid")
	assert.Empty(t, fault.From(err).Hint, "no machine refused the connection")

	over, cancel := context.WithCancel(t.Context())
	cancel()
	_, err = Invoke[reply](over, client, address, "hang", question{})
	assert.Equal(t, fault.RanNo, fault.From(err).Ran, "canceled before it was sent")

	during, cancel := context.WithCancel(t.Context())
	go func() {
		<-arrived
		cancel()
	}()
	_, err = Invoke[reply](during, client, address, "hang", question{})
	assert.Equal(t, fault.Unavailable, fault.CodeOf(err))
	assert.Equal(t, fault.RanUnknown, fault.From(err).Ran, "canceled while it ran")
}

// TestHTTPRejectsOverloadAsNotRun: a call over the limit must be rejected as not run, and its slot released.
func TestHTTPRejectsOverloadAsNotRun(t *testing.T) {
	server := Options{Keys: NewKeys("secret"), MaxCalls: 1}
	handlers := echoMux()
	arrived := make(chan struct{})
	release := make(chan struct{})
	Handle(handlers, "wait", func(context.Context, question) (reply, error) {
		close(arrived)
		<-release
		return reply{}, nil
	})
	address := startServer(t, server, handlers)
	client := newClient(t, Options{Keys: server.Keys})
	done := make(chan error, 1)
	go func() {
		_, err := Invoke[reply](t.Context(), client, address, "wait", question{})
		done <- err
	}()
	<-arrived
	_, err := Invoke[reply](t.Context(), client, address, "echo", question{})
	assert.Equal(t, fault.Overloaded, fault.CodeOf(err))
	assert.Equal(t, fault.RanNo, fault.From(err).Ran)
	assert.Positive(t, fault.From(err).RetryAfter)
	close(release)
	require.NoError(t, <-done)
	_, err = Invoke[reply](t.Context(), client, address, "echo", question{})
	assert.NoError(t, err, "the slot is released")
}

// FuzzReadFrame: the frame reader must not exceed its limit, and accepted frames must
// survive a round trip through appendFrame.
func FuzzReadFrame(f *testing.F) {
	f.Add(appendFrame(nil, frameItem, []byte("item")))
	f.Add(appendFrame(nil, frameEnd, nil))
	f.Add([]byte{1, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x01})
	f.Add([]byte{1, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff})
	f.Add([]byte{1, 200})
	f.Add([]byte{3, 0xff, 0x7f, 0})
	f.Fuzz(func(t *testing.T, input []byte) {
		const limit = 100
		kind, payload, err := readFrame(bufio.NewReader(bytes.NewReader(input)), limit)
		if err != nil {
			return
		}
		if kind != frameFault {
			assert.LessOrEqual(t, len(payload), limit)
		}
		again, copied, err := readFrame(bufio.NewReader(bytes.NewReader(appendFrame(nil, kind, payload))), limit)
		require.NoError(t, err)
		assert.Equal(t, kind, again)
		assert.Equal(t, payload, copied)
	})
}

// BenchmarkCall measures the time, allocations and CPU time of a call.
func BenchmarkCall(b *testing.B) {
	options := Options{Keys: NewKeys("secret")}
	address := startServer(b, options, echoMux())
	client := newClient(b, options)
	for _, parallelism := range []int{1, 16} {
		b.Run(fmt.Sprintf("parallel=%d", parallelism), func(b *testing.B) {
			b.ReportAllocs()
			b.SetParallelism(parallelism)
			before := cpuTime(b)
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					if _, err := Invoke[reply](b.Context(), client, address, "echo", question{Text: "sukuma"}); err != nil {
						b.Error(err)
						return
					}
				}
			})
			b.ReportMetric(float64(cpuTime(b)-before)/float64(b.N), "cpu-ns/op")
		})
	}
}

// BenchmarkStreamItem measures the cost of one stream item.
func BenchmarkStreamItem(b *testing.B) {
	options := Options{Keys: NewKeys("secret")}
	handlers := NewMux()
	HandleStream(handlers, "items", func(_ context.Context, q reply, send func(reply) error) error {
		for i := range q.Count {
			if err := send(reply{Text: "token", Count: i}); err != nil {
				return err
			}
		}
		return nil
	})
	address := startServer(b, options, handlers)
	client := newClient(b, options)
	b.ReportAllocs()
	before := cpuTime(b)
	received := 0
	err := InvokeStream(b.Context(), client, address, "items", reply{Count: b.N}, func(reply) error {
		received++
		return nil
	})
	require.NoError(b, err)
	require.Equal(b, b.N, received)
	b.ReportMetric(float64(cpuTime(b)-before)/float64(b.N), "cpu-ns/op")
}
