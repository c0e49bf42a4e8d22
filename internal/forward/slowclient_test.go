package forward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	dto "github.com/prometheus/client_model/go"
	"github.com/stretchr/testify/require"

	"github.com/cloverwheel/cloverwheel/internal/route"
)

// Guards against counting a worker failure, checking the worker or resending when the worker
// closes a stream because the client reads too slowly. The client must see the answer as
// incomplete.
func TestSlowClientIsNotAWorkerFailure(t *testing.T) {
	for name, change := range map[string]func(*route.Route){"resumable": resumable, "not resumable": nil} {
		for slow, blamed := range map[time.Duration]bool{3 * time.Second: false, 0: true} {
			t.Run(name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					r := turnRoute(change)
					r.Timeout = time.Minute
					f := newFixture(t, r)
					f.reachable = true
					f.worker("w", func(_ context.Context, call Call) (*Answer, error) {
						cut := readerFunc(func([]byte) (int, error) { return 0, io.ErrUnexpectedEOF })
						return answer(http.StatusOK, true, io.MultiReader(strings.NewReader(events(2)), cut)), nil
					})
					got := &client{begun: time.Now()}
					got.onEvent = func() { time.Sleep(slow) }
					request := &Request{ID: "r1", Method: http.MethodPost, Target: "/p/x", Host: "h", Path: "/p/x", Header: http.Header{}, Timeout: time.Minute}
					f.forwarder.Serve(t.Context(), request, got)
					require.False(t, got.ended)
					require.True(t, got.aborted)
					failed := counterValue(f.forwarder.options.Metrics.Failures)
					require.Equal(t, blamed, failed > 0)
					if !blamed {
						require.Len(t, f.sent(), 1)
						require.Zero(t, f.dialCount())
					}
				})
			})
		}
	}
}

// Guards against buffering answers beyond the reserved memory, truncating those that are relayed
// instead, and leaking reservations.
func TestAnswerBuffersStayWithinTheMemoryLimit(t *testing.T) {
	for name, test := range map[string]struct {
		free   int64 // memory that may be reserved
		length int64
		held   bool
	}{
		"enough memory":                     {100, 2, true},
		"not enough memory":                 {1, 2, false},
		"unknown length, enough memory":     {maxBufferedAnswer, -1, true},
		"unknown length, not enough memory": {maxBufferedAnswer - 1, -1, false},
		"longer than the buffer limit":      {1 << 30, maxBufferedAnswer + 1, false},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, plainRoute(route.Unsafe, 1))
			held, most := int64(0), int64(0)
			f.forwarder.options.ReserveMemory = func(bytes int64) (func(), bool) {
				if bytes > test.free {
					return nil, false
				}
				held, most = held+bytes, max(most, bytes)
				return func() { held -= bytes }, true
			}
			f.worker("w", func(context.Context, Call) (*Answer, error) {
				whole := answer(http.StatusOK, false, strings.NewReader("ok"))
				whole.Length = test.length
				return whole, nil
			})
			got := f.serve(t.Context(), nil)
			require.Equal(t, "ok", got.body.String())
			require.True(t, got.ended)
			require.Equal(t, test.held, most > 0)
			require.Zero(t, held)
		})
	}
}

// Guards against completing the client's answer when the worker's was truncated, buffered or
// relayed.
func TestTruncatedAnswerIsNeverComplete(t *testing.T) {
	for _, free := range []bool{true, false} {
		f := newFixture(t, plainRoute(route.Unsafe, 1))
		f.forwarder.options.ReserveMemory = func(int64) (func(), bool) { return func() {}, free }
		f.worker("w", func(context.Context, Call) (*Answer, error) {
			cut := readerFunc(func([]byte) (int, error) { return 0, errors.New("cut") })
			return answer(http.StatusOK, false, io.MultiReader(strings.NewReader("o"), cut)), nil
		})
		got := f.serve(t.Context(), nil)
		require.False(t, got.ended)
	}
}

// counterValue returns the value of a counter.
func counterValue(counter prometheus.Counter) float64 {
	var metric dto.Metric
	if err := counter.Write(&metric); err != nil {
		return -1
	}
	return metric.GetCounter().GetValue()
}
