package forward

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"

	"github.com/cloverwheel/cloverwheel/internal/fault"
	"github.com/cloverwheel/cloverwheel/internal/route"
)

// endsUnframed is a worker whose answers end with their connection. If it is killed, its answer is a part of what it does otherwise.
func (f *fixture) endsUnframed(id string, killed bool, does script) script {
	return func(ctx context.Context, call Call) (*Answer, error) {
		got, err := does(ctx, call)
		if err == nil {
			got.EndsWithConnection = true
			f.mutex.Lock()
			f.ended[id] = killed
			f.mutex.Unlock()
		}
		return got, err
	}
}

// Guards against answers that look whole because the kernel of a killed worker closed their connections, and against whole answers that
// count as broken.
func TestAnswerWithoutALengthIsWholeOnlyIfItsWorkerLives(t *testing.T) {
	stream := route.Route{Host: "h", PathPrefix: "/p/", Kind: route.Streaming, Resumable: true, MaxAttempts: 2, Targets: []route.Target{{Service: "s", Weight: 1}}}
	once := stream
	once.Resumable, once.MaxAttempts = false, 1
	long := strings.Repeat("0123456789", 2*maxBufferedAnswer/10)
	for name, c := range map[string]struct {
		route   route.Route
		part    script // of the worker that is killed
		whole   script
		body    string // that a client gets; empty: none, or no whole one
		aborted bool
	}{
		"resumable stream":        {stream, streams(3, 0), streams(10, 0), events(10), false},
		"stream without a resume": {once, streams(3, 0), streams(10, 0), "", true},
		"safe request":            {plainRoute(route.Safe, 2), answers(http.StatusOK, "rec"), answers(http.StatusOK, "receipt"), "receipt", false},
		"unsafe request":          {plainRoute(route.Unsafe, 1), answers(http.StatusOK, "rec"), answers(http.StatusOK, "receipt"), "", false},
		"long answer":             {plainRoute(route.Unsafe, 1), answers(http.StatusOK, long), answers(http.StatusOK, long+"end"), "", true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t, c.route)
				f.reachable = true
				f.worker("killed", f.endsUnframed("killed", true, func(ctx context.Context, call Call) (*Answer, error) {
					f.worker("other", f.endsUnframed("other", false, c.whole))
					return c.part(ctx, call)
				}))
				got := f.serve(t.Context(), nil)
				require.Equal(t, c.body != "", got.ended)
				require.Equal(t, c.aborted, got.aborted)
				if c.body != "" {
					require.Equal(t, c.body, got.body.String())
				} else if !c.aborted {
					require.Equal(t, fault.RanUnknown, got.refusal.Ran)
				}
			})
		})
	}
	t.Run("worker lives", func(t *testing.T) {
		f := newFixture(t, plainRoute(route.Unsafe, 1))
		f.reachable = true
		f.worker("w", f.endsUnframed("w", false, answers(http.StatusOK, "receipt")))
		got := f.serve(t.Context(), nil)
		require.True(t, got.ended)
		require.Equal(t, "receipt", got.body.String())
	})
}
