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

// starts puts an entry of a process of w0 on the list, which started at a second.
func (f *fixture) starts(second int64, revision uint64) {
	f.workers.Put(backend.Record{
		ID: "w0", Born: time.UnixMilli(second * 1000), Service: "s", Address: "w0", Zone: "z", Slots: 4, Revision: revision,
	})
}

// TestWorkerThatStartsAgainWhileItServes: its process that began to work on a request has ended,
// so that a request which may run at one worker goes on at the process that has started since,
// where it may run more than once, and nowhere else.
func TestWorkerThatStartsAgainWhileItServes(t *testing.T) {
	for name, test := range map[string]struct {
		route  route.Route
		begins string // of its answer, before the first process ends
		sends  int
		whole  bool
	}{
		"a stream that may be resumed": {turnRoute(resumable), events(2), 2, true},
		"a stream that may not":        {turnRoute(nil), events(2), 1, false},
		"a stream before its head":     {turnRoute(resumable), "", 2, true},
		"a safe request":               {plainRoute(route.Safe, 1), "", 2, true},
		"an unsafe request":            {plainRoute(route.Unsafe, 1), "", 1, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t, test.route)
				f.starts(1, 1)
				stream := test.route.Kind == route.Streaming
				f.scripts["w0"] = func(ctx context.Context, call Call) (*Answer, error) {
					if len(f.sent()) > 1 {
						if stream {
							return streams(3, 0)(ctx, call)
						}
						return answers(http.StatusOK, "ok")(ctx, call)
					}
					f.starts(2, 2)
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

// TestWordOfTheNextProcess says nothing of what the one before has run: a request that this one
// may have run is not told to be one that did not run.
func TestWordOfTheNextProcess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, plainRoute(route.Safe, 1))
		f.starts(1, 1)
		f.scripts["w0"] = func(ctx context.Context, call Call) (*Answer, error) {
			if len(f.sent()) > 1 {
				return declines(ctx, call)
			}
			f.starts(2, 2)
			return nil, io.ErrUnexpectedEOF
		}
		got := f.serve(t.Context(), nil)
		require.NotNil(t, got.refusal)
		require.Equal(t, fault.RanUnknown, got.refusal.Ran)
	})
}
