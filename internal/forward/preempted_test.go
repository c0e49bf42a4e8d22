package forward

import (
	"context"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cloverwheel/cloverwheel/internal/backend"
	"github.com/cloverwheel/cloverwheel/internal/route"
	"github.com/cloverwheel/cloverwheel/internal/timing"
)

// preempts is a worker that preempts a stream after an event for some time, while it answers requests that were sent later.
func (f *fixture) preempts(id string, after, last int, pause time.Duration) script {
	return func(ctx context.Context, _ Call) (*Answer, error) {
		reader, writer := io.Pipe()
		context.AfterFunc(ctx, func() { reader.CloseWithError(context.Cause(ctx)); writer.CloseWithError(context.Cause(ctx)) })
		go func() {
			defer writer.Close()
			for number := 1; number <= last; number++ {
				if number == after+1 {
					_ = timing.Sleep(ctx, pause/2)
					worker, _ := f.workers.WorkerByKey(id)
					worker.RecordServed(time.Now(), backend.Priorities-1)
					_ = timing.Sleep(ctx, pause/2)
				}
				if _, err := io.WriteString(writer, event(number)); err != nil {
					return
				}
			}
		}()
		return answer(http.StatusOK, true, reader), nil
	}
}

// Guards against a stream that runs at two workers: one that was preempted goes on at its worker, and is sent on only if that worker stays
// silent for about as long as clients wait.
func TestPreemptedStreamStaysAtItsWorker(t *testing.T) {
	for name, c := range map[string]struct {
		pause time.Duration
		sends int
	}{
		"it goes on":            {1500 * time.Millisecond, 1},
		"it is silent for good": {time.Minute, 2},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t, route.Route{Host: "h", PathPrefix: "/p/", Kind: route.Streaming, Resumable: true, MaxAttempts: 2, Targets: []route.Target{{Service: "s", Weight: 1}}})
				f.reachable = true
				f.worker("first", func(ctx context.Context, call Call) (*Answer, error) {
					f.worker("second", streams(5, 0))
					return f.preempts("first", 3, 5, c.pause)(ctx, call)
				})
				got := f.serve(t.Context(), nil)
				require.True(t, got.ended)
				require.Equal(t, events(5), got.body.String())
				require.Len(t, f.sent(), c.sends)
				require.Less(t, got.took, 2300*time.Millisecond)
			})
		})
	}
}
