package forward

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cloverwheel/cloverwheel/internal/fault"
	"github.com/cloverwheel/cloverwheel/internal/httpconn"
	"github.com/cloverwheel/cloverwheel/internal/route"
	"github.com/cloverwheel/cloverwheel/internal/timing"
)

// workersInOrder adds as many workers as there are scripts. The worker tried first runs the first
// script, and so on.
func (f *fixture) workersInOrder(does ...script) {
	tried := map[string]int{}
	for index := range does {
		id := fmt.Sprint("w", index)
		f.worker(id, func(ctx context.Context, call Call) (*Answer, error) {
			if _, ok := tried[id]; !ok {
				tried[id] = len(tried)
			}
			return does[tried[id]](ctx, call)
		})
	}
}

// triedWorkers returns the workers that were sent a call, each once, in order.
func (f *fixture) triedWorkers() (tried []string) {
	for _, call := range f.sent() {
		if len(tried) == 0 || tried[len(tried)-1] != call.worker {
			tried = append(tried, call.worker)
		}
	}
	return tried
}

// twoEventsThen is a worker that sends two events and then runs a function.
func twoEventsThen(then func() error) script {
	return func(ctx context.Context, _ Call) (*Answer, error) {
		rest := readerFunc(func([]byte) (int, error) {
			if err := then(); err != nil {
				return 0, err
			}
			<-ctx.Done()
			return 0, ctx.Err()
		})
		return answer(http.StatusOK, true, io.MultiReader(strings.NewReader(events(2)), rest)), nil
	}
}

type readerFunc func([]byte) (int, error)

func (f readerFunc) Read(buffer []byte) (int, error) { return f(buffer) }

// staysSilent sends nothing more and keeps the connection open.
func staysSilent() error { return nil }

// Guards against dropping a silent worker from the attempts because connections to it fail: it
// may be paused and still run the request. Another worker is tried only if the route allows two.
func TestUnreachableSilentWorkerStillCounts(t *testing.T) {
	for name, test := range map[string]struct {
		route   route.Route
		silent  script
		other   script
		workers int
		served  bool
	}{
		"safe, one worker allowed":               {plainRoute(route.Safe, 1), hangs, answers(http.StatusOK, "ok"), 1, false},
		"safe, two workers allowed":              {plainRoute(route.Safe, 2), hangs, answers(http.StatusOK, "ok"), 2, true},
		"safe, two workers allowed, both silent": {plainRoute(route.Safe, 2), hangs, hangs, 2, false},
		"a stream before its head":               {turnRoute(resumable), hangs, streams(3, 0), 1, false},
		"a stream, two workers allowed": {turnRoute(func(r *route.Route) { r.Resumable, r.MaxAttempts = true, 2 }),
			twoEventsThen(staysSilent), streams(3, 0), 2, true},
	} {
		for cause, dialError := range map[string]error{"dials time out": nil, "dials are refused": syscall.ECONNREFUSED} {
			t.Run(name+", "+cause, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := newFixture(t, test.route)
					f.dialError = dialError
					f.workersInOrder(test.silent, test.other, test.other)
					got := f.serve(t.Context(), nil)
					require.Len(t, f.triedWorkers(), test.workers)
					require.Equal(t, test.served, got.ended)
					require.Equal(t, 1, got.finalAnswers)
					if !test.served && !got.aborted {
						require.Equal(t, fault.RanUnknown, got.refusal.Ran)
					}
					require.Less(t, got.took, time.Duration(test.workers)*time.Second)
				})
			})
		}
	}
}

// Guards against canceling a started answer because its worker is silent, when no other worker
// may continue it.
func TestStartedAnswerWaitsForSilentWorker(t *testing.T) {
	const limit = 3*time.Second - deadlineMargin
	for name, change := range map[string]func(*route.Route){"resumable": resumable, "not resumable": nil} {
		for pause, whole := range map[time.Duration]bool{time.Second: true, time.Hour: false} {
			t.Run(fmt.Sprintf("%s, silent for %v", name, pause), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := newFixture(t, turnRoute(change))
					f.workersInOrder(func(ctx context.Context, _ Call) (*Answer, error) {
						pauses := readerFunc(func([]byte) (int, error) {
							return 0, cmp.Or(timing.Sleep(ctx, pause), io.EOF)
						})
						return answer(http.StatusOK, true, io.MultiReader(strings.NewReader(events(2)), pauses, strings.NewReader(event(3)))), nil
					}, streams(3, 0))
					got := f.serve(t.Context(), nil)
					require.Equal(t, whole, got.ended)
					require.Equal(t, !whole, got.aborted)
					require.Len(t, f.triedWorkers(), 1)
					require.Equal(t, min(pause, limit), got.took)
				})
			})
		}
	}
}

// Guards against resending a stream before its worker is known to have ended: it must have closed
// the connection, and its address must refuse new ones.
func TestEndedWorkerNoLongerCounts(t *testing.T) {
	closes := func() error { return io.ErrUnexpectedEOF }
	// then is the error of connections to the first worker after its answer broke.
	for name, test := range map[string]struct {
		breaks func() error
		then   error
		moves  bool
	}{
		"closed, then refused":        {closes, syscall.ECONNREFUSED, true},
		"reset, then refused":         {func() error { return syscall.ECONNRESET }, syscall.ECONNREFUSED, true},
		"closed, then dials time out": {closes, context.DeadlineExceeded, false},
		"answer to another request":   {func() error { return ErrAnswerMismatch }, syscall.ECONNREFUSED, false},
		"connection timed out":        {func() error { return syscall.ETIMEDOUT }, syscall.ECONNREFUSED, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t, turnRoute(resumable))
				calls := 0
				f.workersInOrder(func(ctx context.Context, call Call) (*Answer, error) {
					if calls++; calls > 1 {
						return nil, errors.Join(httpconn.ErrNotWritten, test.then)
					}
					return twoEventsThen(test.breaks)(ctx, call)
				}, streams(5, 0))
				got := f.serve(t.Context(), nil)
				require.Equal(t, test.moves, got.ended)
				if test.moves {
					require.Equal(t, events(5), got.body.String(), "resumed within the same answer")
				} else {
					require.Len(t, f.triedWorkers(), 1)
				}
			})
		})
	}
}

// Guards against giving up a worker after a single failed check, as when a packet is lost.
func TestOnlyConsecutiveFailedChecksCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, plainRoute(route.Safe, 1))
		f.reachable, f.missEvery = true, 2
		f.worker("w", func(ctx context.Context, _ Call) (*Answer, error) {
			if err := timing.Sleep(ctx, 7*safeIdleTimeout/2); err != nil {
				return nil, err
			}
			return answer(http.StatusOK, false, strings.NewReader("ok")), nil
		})
		got := f.serve(t.Context(), nil)
		require.Equal(t, http.StatusOK, got.status)
		require.Len(t, f.sent(), 1)
		require.Equal(t, 5, f.dialCount(), "two checks failed and were repeated at once")
	})
}
