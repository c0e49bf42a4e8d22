package forward

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cloverwheel/cloverwheel/internal/backend"
	"github.com/cloverwheel/cloverwheel/internal/fault"
	"github.com/cloverwheel/cloverwheel/internal/route"
)

// startProcess registers a process of worker w0 that started at the given second.
func (f *fixture) startProcess(second int64, revision uint64) {
	f.workers.Put(backend.Record{
		ID: "w0", StartedAt: time.UnixMilli(second * 1000), Service: "s", Address: "w0", Zone: "z", Slots: 4, Revision: revision,
	})
}

// Guards against failing a request whose worker restarted while it ran: the old process has
// ended, so a repeatable request is resent to the new one. Requests that may not run twice are
// not.
func TestWorkerRestartDuringARequest(t *testing.T) {
	for name, test := range map[string]struct {
		route  route.Route
		begins string // start of the answer, before the first process ends
		sends  int
		whole  bool
	}{
		"a resumable stream":               {turnRoute(resumable), events(2), 2, true},
		"a stream that may not be resumed": {turnRoute(nil), events(2), 1, false},
		"a stream before its head":         {turnRoute(resumable), "", 2, true},
		"a safe request":                   {plainRoute(route.Safe, 1), "", 2, true},
		"an unsafe request":                {plainRoute(route.Unsafe, 1), "", 1, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t, test.route)
				f.startProcess(1, 1)
				stream := test.route.Kind == route.Streaming
				f.scripts["w0"] = func(ctx context.Context, call Call) (*Answer, error) {
					if len(f.sent()) > 1 {
						if stream {
							return streams(3, 0)(ctx, call)
						}
						return answers(http.StatusOK, "ok")(ctx, call)
					}
					f.startProcess(2, 2)
					if test.begins == "" {
						return nil, io.ErrUnexpectedEOF
					}
					broken := io.MultiReader(strings.NewReader(test.begins), strings.NewReader("id"))
					return answer(http.StatusOK, true, broken), nil
				}
				got := f.serve(t.Context(), nil)
				require.Len(t, f.sent(), test.sends)
				require.Equal(t, test.whole, got.ended)
				if test.whole && stream {
					require.Equal(t, events(3), got.body.String())
				}
				if got.refusal != nil {
					require.Equal(t, fault.RanUnknown, got.refusal.Ran)
				}
			})
		})
	}
}

// TestSilentWorkerThatRestartedStillCounts guards against a second worker for a request that the restarted process of the first one
// runs: the send, under the entry of the earlier process, may have reached the new one.
func TestSilentWorkerThatRestartedStillCounts(t *testing.T) {
	for name, one := range map[string]route.Route{"a stream": turnRoute(resumable), "a safe request": plainRoute(route.Safe, 1)} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t, one)
				f.startProcess(1, 1)
				f.scripts["w0"] = func(ctx context.Context, call Call) (*Answer, error) {
					if len(f.sent()) == 1 {
						f.startProcess(2, 2)
						f.workers.Put(backend.Record{ID: "w0", StartedAt: time.UnixMilli(2000), Service: "s", Address: "w0", Zone: "z", Slots: 4, Revision: 3, Draining: true})
						f.worker("w1", streams(3, 0))
					}
					return hangs(ctx, call)
				}
				got := f.serve(t.Context(), nil)
				require.Equal(t, []string{"w0"}, f.triedWorkers())
				require.Equal(t, fault.RanUnknown, got.refusal.Ran)
			})
		})
	}
}

// Guards against reporting a request as not run because the restarted worker declined it: the old
// process may have run it.
func TestDeclineByARestartedWorkerLeavesRunUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, plainRoute(route.Safe, 1))
		f.startProcess(1, 1)
		f.scripts["w0"] = func(ctx context.Context, call Call) (*Answer, error) {
			if len(f.sent()) > 1 {
				return declines(ctx, call)
			}
			f.startProcess(2, 2)
			return nil, io.ErrUnexpectedEOF
		}
		got := f.serve(t.Context(), nil)
		require.NotNil(t, got.refusal)
		require.Equal(t, fault.RanUnknown, got.refusal.Ran)
	})
}
