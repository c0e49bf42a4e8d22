package forward

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cloverwheel/cloverwheel/internal/route"
)

// piecewiseBody is the body of an answer that arrives in pieces, one after each pause, until ctx ends.
type piecewiseBody struct {
	ctx   context.Context
	rest  []byte
	piece int
	pause time.Duration
}

// Read implements io.Reader.
func (b *piecewiseBody) Read(buffer []byte) (int, error) {
	select {
	case <-b.ctx.Done():
		return 0, context.Cause(b.ctx)
	case <-time.After(b.pause):
	}
	reader := bytes.NewReader(b.rest[:min(b.piece, len(b.rest))])
	count, err := reader.Read(buffer)
	b.rest = b.rest[count:]
	return count, err
}

// TestLongAnswerIsRelayedWhole guards against an answer that is cut while its worker sends it, only because the whole of it takes longer
// than a silent worker is waited for.
func TestLongAnswerIsRelayedWhole(t *testing.T) {
	const pieces = 40
	for name, size := range map[string]int{"relayed as it arrives": 600_000, "read before it is passed on": 200_000} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t, route.Route{Host: "h", PathPrefix: "/p/", Kind: route.Safe, Timeout: 3 * time.Second, Objective: 100 * time.Millisecond, MaxAttempts: 2, Targets: []route.Target{{Service: "s", Weight: 1}}})
				f.reachable = true
				body := bytes.Repeat([]byte("0123456789"), size/10)
				f.worker("w", func(ctx context.Context, _ Call) (*Answer, error) {
					return answer(http.StatusOK, false, &piecewiseBody{ctx: ctx, rest: body, piece: size / pieces, pause: 50 * time.Millisecond}), nil
				})
				got := f.serve(t.Context(), nil)
				require.True(t, got.ended, "the answer is complete")
				require.Equal(t, len(body), got.body.Len())
				require.Len(t, f.sent(), 1)
			})
		})
	}
}

// TestLongAnswerThatIsNoStreamIsPassedOnWhole guards against a worker's long answer that is cut but looks complete: the route streams,
// and the answer is not a stream.
func TestLongAnswerThatIsNoStreamIsPassedOnWhole(t *testing.T) {
	f := newFixture(t, route.Route{Host: "h", PathPrefix: "/p/", Kind: route.Streaming, Timeout: 3 * time.Second, Objective: 100 * time.Millisecond, MaxAttempts: 2, Targets: []route.Target{{Service: "s", Weight: 1}}})
	body := strings.Repeat("0123456789", 60_000)
	f.worker("w", answers(http.StatusOK, body))
	got := f.serve(t.Context(), nil)
	require.True(t, got.ended)
	require.Equal(t, len(body), got.body.Len())
}

// TestConnectionOfLongRefusalIsNotReused guards against taking what is left of a refusal for the answer to the next request: its
// connection may be reused only if the whole refusal was read.
func TestConnectionOfLongRefusalIsNotReused(t *testing.T) {
	for name, c := range map[string]struct {
		body  io.Reader
		reuse bool
	}{
		"short":   {strings.NewReader("full"), true},
		"long":    {strings.NewReader(strings.Repeat("0", 2*maxBufferedAnswer)), false},
		"cut off": {iotest.ErrReader(io.ErrUnexpectedEOF), false},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, route.Route{Host: "h", PathPrefix: "/p/", Kind: route.Unsafe, Timeout: 3 * time.Second, Objective: 40 * time.Millisecond, MaxAttempts: 2, Targets: []route.Target{{Service: "s", Weight: 1}}})
			var reused []bool
			f.worker("w", func(context.Context, Call) (*Answer, error) {
				if len(reused) > 0 {
					return answer(http.StatusOK, false, strings.NewReader("ok")), nil
				}
				refusal := answer(http.StatusServiceUnavailable, false, c.body)
				refusal.Declined, refusal.Close = true, func(whole bool) { reused = append(reused, whole) }
				return refusal, nil
			})
			require.Equal(t, http.StatusOK, f.serve(t.Context(), nil).status)
			require.Equal(t, c.reuse, reused[0])
		})
	}
}

// TestSilentWorkerKeepsUnrepeatableStream guards against a stream that is cut because its worker is silent for a while: no other worker may
// take it over, and the client still waits.
func TestSilentWorkerKeepsUnrepeatableStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, route.Route{Host: "h", PathPrefix: "/p/", Kind: route.Streaming, Timeout: 5 * time.Second, Objective: 200 * time.Millisecond, MaxAttempts: 2, Targets: []route.Target{{Service: "s", Weight: 1}}})
		f.reachable = true
		f.worker("w", func(ctx context.Context, _ Call) (*Answer, error) {
			silence := &piecewiseBody{ctx: ctx, rest: []byte(event(2)), piece: 1000, pause: 2300 * time.Millisecond}
			return answer(http.StatusOK, true, io.MultiReader(strings.NewReader(event(1)), silence)), nil
		})
		got := f.serve(t.Context(), func(r *Request) { r.Timeout = 5 * time.Second })
		require.True(t, got.ended)
		require.Equal(t, events(2), got.body.String())
	})
}

// Guards against a long answer that its worker cuts off while it is passed on, and that looks complete to the client (MIXED), on each kind of
// route.
func TestLongAnswerThatIsCutDoesNotLookWhole(t *testing.T) {
	for name, served := range map[string]route.Route{
		"safe":    {Host: "h", PathPrefix: "/p/", Kind: route.Safe, MaxAttempts: 2, Targets: []route.Target{{Service: "s", Weight: 1}}},
		"unsafe":  {Host: "h", PathPrefix: "/p/", Kind: route.Unsafe, MaxAttempts: 1, Targets: []route.Target{{Service: "s", Weight: 1}}},
		"stream":  {Host: "h", PathPrefix: "/p/", Kind: route.Streaming, Resumable: true, MaxAttempts: 2, Targets: []route.Target{{Service: "s", Weight: 1}}},
		"program": storedRoute(),
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, served)
			cut := func(context.Context, Call) (*Answer, error) {
				body := io.MultiReader(strings.NewReader(strings.Repeat("x", 2*maxBufferedAnswer)), iotest.ErrReader(io.ErrUnexpectedEOF))
				return answer(http.StatusOK, false, body), nil
			}
			f.worker("w1", cut)
			f.worker("w2", cut)
			got := f.serve(t.Context(), nil)
			require.False(t, got.ended)
			require.True(t, got.aborted)
			require.Equal(t, 1, got.finalAnswers)
		})
	}
}
