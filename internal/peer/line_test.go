package peer

import (
	"context"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cloverwheel/cloverwheel/internal/silence"
)

// silentProxy passes bytes on to a node until its open connections are made silent: they stay
// open and carry nothing, while new ones work.
type silentProxy struct {
	address Address
	mutex   sync.Mutex
	gates   []*gate
	dials   int
}

// gate is a connection of the proxy's, which carries bytes until it is silent.
type gate struct {
	client *net.TCPConn
	silent atomic.Bool
}

// silentBuffer is what the kernel takes in on a silent connection, in bytes, beside the 64 KiB for
// which a new one has room.
const silentBuffer = 4 << 10

// long does not fit into what the kernel takes in on a silent connection, and takes no time on one
// that works.
var long = strings.Repeat("x", 512<<10)

func newSilentProxy(t *testing.T, to Address) *silentProxy {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { listener.Close() })
	p := &silentProxy{address: Address(listener.Addr().String())}
	go func() {
		for {
			client, err := listener.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { client.Close() })
			node, err := net.Dial("tcp", string(to))
			if err != nil {
				return
			}
			t.Cleanup(func() { node.Close() })
			opened := &gate{client: client.(*net.TCPConn)}
			p.mutex.Lock()
			p.gates = append(p.gates, opened)
			p.dials++
			p.mutex.Unlock()
			go pass(node, client, &opened.silent)
			go pass(client, node, &opened.silent)
		}
	}()
	return p
}

// pass copies until the connection is silent, and then reads nothing more.
func pass(to, from net.Conn, silent *atomic.Bool) {
	buffer := make([]byte, 32<<10)
	for {
		count, err := from.Read(buffer)
		if err != nil {
			return
		}
		if silent.Load() {
			return
		}
		if _, err := to.Write(buffer[:count]); err != nil {
			return
		}
	}
}

func (p *silentProxy) silence() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, opened := range p.gates {
		opened.silent.Store(true)
		_ = opened.client.SetReadBuffer(silentBuffer)
	}
	p.gates = nil
}

func (p *silentProxy) dialed() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.dials
}

const (
	quietFor = 20 * time.Millisecond // before the connections of these tests are doubted
	callTime = 50 * time.Millisecond
)

func silentOptions(givenUp *atomic.Int64) Options {
	return Options{Keys: NewKeys("secret"), DialTimeout: time.Minute, QuietTime: quietFor, Guard: silence.Guard{GivenUp: func() { givenUp.Add(1) }}}
}

// sound makes a call over the proxy.
func sound(t *testing.T, client *HTTPTransport, proxy *silentProxy) {
	t.Helper()
	require.NoError(t, echo(t.Context(), client, proxy.address, "a"))
}

func echo(ctx context.Context, client *HTTPTransport, to Address, text string) error {
	_, err := Invoke[reply](ctx, client, to, "echo", question{Text: text})
	return err
}

// TestSilentConnectionIsLeftForANewOne: a few calls that end late are enough; no ping of
// seconds is waited for.
func TestSilentConnectionIsLeftForANewOne(t *testing.T) {
	var givenUp atomic.Int64
	options := silentOptions(&givenUp)
	proxy := newSilentProxy(t, startServer(t, options, echoMux()))
	client := newClient(t, options)
	sound(t, client, proxy)
	proxy.silence()
	require.Eventually(t, func() bool {
		ctx, cancel := context.WithTimeout(t.Context(), callTime)
		defer cancel()
		return echo(ctx, client, proxy.address, "b") == nil
	}, pingAfterSilence/2, time.Millisecond)
	require.Greater(t, proxy.dialed(), 1)
	require.EqualValues(t, 1, givenUp.Load())
}

// TestRepeatableCallIsMadeOnceMore: within its own time, on a new connection, when the old
// one does not even take in what is written.
func TestRepeatableCallIsMadeOnceMore(t *testing.T) {
	var givenUp atomic.Int64
	options := silentOptions(&givenUp)
	proxy := newSilentProxy(t, startServer(t, options, echoMux()))
	client := newClient(t, options)
	sound(t, client, proxy)
	proxy.silence()
	ctx, cancel := context.WithTimeout(t.Context(), pingAfterSilence/2)
	defer cancel()
	require.NoError(t, echo(Repeatable(ctx), client, proxy.address, long))
	require.EqualValues(t, 1, givenUp.Load())
}

// TestSilenceIsLookedForAgain: a call whose first look comes too early, before it has waited
// for long enough, is not left to the silence.
func TestSilenceIsLookedForAgain(t *testing.T) {
	var givenUp atomic.Int64
	options := silentOptions(&givenUp)
	proxy := newSilentProxy(t, startServer(t, options, echoMux()))
	client := newClient(t, options)
	sound(t, client, proxy)
	proxy.silence()
	payload, err := Encode(question{Text: long})
	require.NoError(t, err)
	ctx, cancel := context.WithTimeout(Repeatable(t.Context()), pingAfterSilence/2)
	defer cancel()
	response, err := client.roundTrip(ctx, proxy.address, func(ctx context.Context) *http.Request {
		time.Sleep(3 * quietFor) // past the first look
		return client.newRequest(ctx, proxy.address, pathCall+"echo", payload, &requestBody{})
	})
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	require.EqualValues(t, 1, givenUp.Load())
}

// TestCallThatMayNotBeRepeatedIsMadeOnce: it ends late, in doubt.
func TestCallThatMayNotBeRepeatedIsMadeOnce(t *testing.T) {
	var givenUp, handled atomic.Int64
	options := silentOptions(&givenUp)
	handlers := echoMux()
	Handle(handlers, "count once", func(_ context.Context, q question) (reply, error) {
		handled.Add(1)
		return reply{}, nil
	})
	proxy := newSilentProxy(t, startServer(t, options, handlers))
	client := newClient(t, options)
	sound(t, client, proxy)
	proxy.silence()
	ctx, cancel := context.WithTimeout(t.Context(), 2*callTime)
	defer cancel()
	_, err := Invoke[reply](ctx, client, proxy.address, "count once", question{Text: long})
	require.Error(t, err)
	require.Zero(t, handled.Load())
}

// TestPatientCallLeavesTheLineToOthers: a call that may not be repeated and waits for long on a
// silent connection keeps no later one there.
func TestPatientCallLeavesTheLineToOthers(t *testing.T) {
	var givenUp atomic.Int64
	options := silentOptions(&givenUp)
	proxy := newSilentProxy(t, startServer(t, options, echoMux()))
	client := newClient(t, options)
	sound(t, client, proxy)
	proxy.silence()
	patient, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- echo(patient, client, proxy.address, long) }()
	require.Eventually(t, func() bool { return givenUp.Load() == 1 }, pingAfterSilence/2, time.Millisecond)
	later, stop := context.WithTimeout(t.Context(), pingAfterSilence/2)
	defer stop()
	require.NoError(t, echo(later, client, proxy.address, "b"))
	cancel()
	require.Error(t, <-ended)
}

// TestSlowNodeKeepsItsConnection: its kernel takes in what is written, and it answers others.
func TestSlowNodeKeepsItsConnection(t *testing.T) {
	var givenUp atomic.Int64
	options := silentOptions(&givenUp)
	handlers := echoMux()
	release := make(chan struct{})
	var slow atomic.Int64
	Handle(handlers, "slow", func(ctx context.Context, q question) (reply, error) {
		slow.Add(1)
		select {
		case <-ctx.Done():
		case <-release:
		}
		return reply{}, nil
	})
	proxy := newSilentProxy(t, startServer(t, options, handlers))
	client := newClient(t, options)
	sound(t, client, proxy)
	used := client.lineTo(proxy.address).generation()
	ended := make(chan error, 1)
	go func() {
		_, err := Invoke[reply](Repeatable(t.Context()), client, proxy.address, "slow", question{})
		ended <- err
	}()
	require.Eventually(t, func() bool { return slow.Load() == 1 }, 5*time.Second, time.Millisecond)
	time.Sleep(5 * quietFor)
	close(release)
	require.NoError(t, <-ended)
	require.EqualValues(t, 1, slow.Load(), "sent once")
	require.Same(t, used, client.lineTo(proxy.address).generation(), "later calls go over it, too")
	require.Zero(t, givenUp.Load())
}

// TestWhatTellsOfSilence: late calls of a connection on which nothing is heard any more.
func TestWhatTellsOfSilence(t *testing.T) {
	fresh := func() *generation { return &generation{after: time.Second, began: time.Now().Add(-time.Hour)} }
	old := int64(time.Hour - 2*time.Second) // two seconds ago

	g := fresh()
	g.asked.Store(old)
	g.lates.Store(5)
	require.False(t, g.late(), "one that never worked: the node may be gone")

	g.hear()
	g.asked.Store(old)
	require.False(t, g.late(), "one call alone may be slow")
	require.True(t, g.late())

	g.hear()
	g.ask()
	g.lates.Store(5)
	require.False(t, g.late(), "the silence is short")

	g.asked.Store(old)
	g.hear()
	require.False(t, g.late(), "it was heard since")
}
