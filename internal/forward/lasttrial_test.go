package forward

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cloverwheel/cloverwheel/internal/route"
)

// Guards against work on its last trial that is refused, while a worker is idle, for the sake of workers that will not take over what that
// one does: they drain or are in an evacuated zone, and for the sake of the last worker where there are others in another region.
func TestWorkOnItsLastTrialIsNotRefusedForWorkersThatLeave(t *testing.T) {
	for name, leave := range map[string]func(f *fixture){
		"the other one drains":               func(f *fixture) { f.drain("w1") },
		"the other one's zone is evacuated":  func(f *fixture) { f.evacuate(1, "y") },
		"the other one is in another region": func(f *fixture) { f.workers.Remove("w1"); f.workerAt("w2", "x", answers(http.StatusOK, "ok")) },
		"two of three drain":                 func(f *fixture) { f.workerAt("w2", "y", resets); f.drain("w1"); f.drain("w2") },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t, plainRoute(route.Safe, 1))
				f.worker("w0", answers(http.StatusOK, "ok"))
				f.workerAt("w1", "y", resets)
				leave(f)
				f.endUnder("in", maxEnded-1)
				got := f.serve(t.Context(), nil)
				require.True(t, got.ended)
				require.Equal(t, "w0", f.sent()[0].worker)
			})
		})
	}
}

// Guards against works that lost the same workers and are refused because they find each other at the only worker that is left, and against
// two of them that run there at once: if the worker ended, the harmless one would be refused with the other.
func TestWorksOnTheirLastTrialWaitForEachOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, plainRoute(route.Safe, 1))
		var running, most atomic.Int32
		f.worker("w0", func(ctx context.Context, call Call) (*Answer, error) {
			most.Store(max(most.Load(), running.Add(1)))
			defer running.Add(-1)
			time.Sleep(200 * time.Millisecond)
			return answers(http.StatusOK, "ok")(ctx, call)
		})
		const works = 4
		for index := range works {
			f.endUnder(fmt.Sprint(index), maxEnded-1)
		}
		var served atomic.Int32
		var clients sync.WaitGroup
		for index := range works {
			clients.Go(func() {
				if f.serve(t.Context(), func(r *Request) { r.Body = []byte(fmt.Sprint(index)) }).ended {
					served.Add(1)
				}
			})
		}
		clients.Wait()
		require.EqualValues(t, works, served.Load())
		require.EqualValues(t, 1, most.Load())
	})
}
