package forward

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	dto "github.com/prometheus/client_model/go"
	"github.com/stretchr/testify/require"

	"github.com/cloverwheel/cloverwheel/internal/memory"
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

// Guards against outputs of turns and long events that exceed the memory, and against memory that stays reserved (FAULT).
func TestStreamsStayWithinTheMemoryLimit(t *testing.T) {
	long := "id: 1\ndata: " + strings.Repeat("x", 2*freeOutputBytes) + "\n\n"
	many := ""
	for id := range 2 * freeOutputBytes / 1000 {
		many += fmt.Sprintf("id: %d\ndata: %s\n\n", id+1, strings.Repeat("x", 1000))
	}
	for name, test := range map[string]struct {
		change func(*route.Route)
		stream string
		free   int64
		whole  bool
	}{
		"a long event":                         {nil, long, 1 << 20, true},
		"a long event, no memory":              {nil, long, 1 << 10, false},
		"a long output":                        {retained, many, 1 << 20, true},
		"a long output, no memory":             {retained, many, 1 << 10, false},
		"a long output that is not stored":     {nil, many, 1 << 10, true},
		"a long output, resumable, no memory":  {func(r *route.Route) { r.Resumable, r.StoreTurns = true, true }, many, 1 << 10, false},
		"a short event and output, no memory":  {retained, event(1), 0, true},
		"a long event, resumable, no memory":   {resumable, long, 1 << 10, false},
		"an event after the memory is used up": {retained, many + long, 80 << 10, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t, turnRoute(test.change))
				free := memory.NewBudget(test.free)
				f.forwarder.options.ReserveMemory = free.Reserve
				f.worker("w", func(context.Context, Call) (*Answer, error) {
					return answer(http.StatusOK, true, strings.NewReader(test.stream)), nil
				})
				got := f.serve(t.Context(), nil)
				require.Equal(t, test.whole, got.ended)
				require.Equal(t, test.whole, got.body.String() == test.stream)
				require.True(t, strings.HasPrefix(test.stream, got.body.String()))
				require.Len(t, f.sent(), 1, "another worker would need the same memory")
				require.Zero(t, free.Used())
			})
		})
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
