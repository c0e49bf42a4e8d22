package forward

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cloverwheel/cloverwheel/internal/fault"
	"github.com/cloverwheel/cloverwheel/internal/route"
)

func plainRoute(kind route.Kind, attempts int) route.Route {
	return route.Route{Name: "r", Host: "h", PathPrefix: "/p/", Kind: kind, MaxAttempts: attempts,
		Timeout: 2 * time.Second, Objective: 100 * time.Millisecond, Targets: []route.Target{{Service: "s", Weight: 1}}}
}

func TestRefusalsBeforeAnyWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		got := f.serve(t.Context(), nil)
		require.Equal(t, fault.Unavailable, got.refusal.Code, "no configuration is no word on the route")
		require.Positive(t, got.refusal.RetryAfter)
		require.Equal(t, fault.RanNo, got.refusal.Ran)

		f = newFixture(t, plainRoute(route.Safe, 1))
		got = f.serve(t.Context(), func(r *Request) { r.Path = "/q/" })
		require.Equal(t, fault.NotFound, got.refusal.Code)

		got = f.serve(t.Context(), nil)
		require.Equal(t, fault.Unavailable, got.refusal.Code, "no workers")
		require.Positive(t, got.refusal.RetryAfter)
		require.Less(t, got.took, 100*time.Millisecond, "refused early")

		f.worker("full", declines)
		got = f.serve(t.Context(), nil)
		require.Equal(t, fault.Overloaded, got.refusal.Code)
		require.Equal(t, fault.RanNo, got.refusal.Ran)
		require.Positive(t, got.refusal.RetryAfter)
	})
}

func TestPlainRequests(t *testing.T) {
	type expectation struct {
		status int
		code   fault.Code
		ran    fault.Ran
		sends  int
	}
	for name, test := range map[string]struct {
		kind     route.Kind
		attempts int
		first    script // of whichever worker is asked first
		second   script
		want     expectation
	}{
		"a declined one goes elsewhere":              {route.Unsafe, 1, declines, answers(200, "ok"), expectation{status: 200, sends: 2}},
		"one that was not written goes elsewhere":    {route.Unsafe, 1, refuses, answers(200, "ok"), expectation{status: 200, sends: 2}},
		"one that found no place goes elsewhere":     {route.Unsafe, 1, crowded, answers(200, "ok"), expectation{status: 200, sends: 2}},
		"unsafe is never sent twice":                 {route.Unsafe, 3, resets, answers(200, "ok"), expectation{code: fault.EngineFailed, ran: fault.RanUnknown, sends: 1}},
		"an unsafe failure is passed on":             {route.Unsafe, 3, answers(500, "no"), answers(200, "ok"), expectation{status: 500, sends: 1}},
		"safe is sent again":                         {route.Safe, 2, resets, answers(200, "ok"), expectation{status: 200, sends: 2}},
		"safe is sent again after a failure":         {route.Safe, 2, answers(500, "no"), answers(200, "ok"), expectation{status: 200, sends: 2}},
		"safe stays within its workers":              {route.Safe, 1, answers(500, "no"), answers(200, "ok"), expectation{status: 500, sends: 1}},
		"a safe one bound to a worker is sent there": {route.Safe, 1, resetsOnce(), answers(200, "other"), expectation{status: 200, sends: 2}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t, plainRoute(test.kind, test.attempts))
				begun := ""
				either := func(id string) script {
					return func(ctx context.Context, call Call) (*Answer, error) {
						if begun == "" {
							begun = id
						}
						if begun == id {
							return test.first(ctx, call)
						}
						return test.second(ctx, call)
					}
				}
				f.worker("w1", either("w1"))
				f.worker("w2", either("w2"))
				got := f.serve(t.Context(), nil)
				require.Equal(t, 1, got.finals, "exactly one final answer")
				require.Equal(t, test.want.status, got.status)
				require.Len(t, f.sent(), test.want.sends)
				if test.want.code != "" {
					require.Equal(t, test.want.code, got.refusal.Code)
					require.Equal(t, test.want.ran, got.refusal.Ran)
				}
			})
		})
	}
}

// TestAnswerThatCannotBeWrittenIsNotServed: the request's line says that the client left.
func TestAnswerThatCannotBeWrittenIsNotServed(t *testing.T) {
	left := &client{failNext: true}
	x := &exchange{out: left}
	refusal := x.whole(answer(http.StatusOK, false, nil), []byte("ok"))
	require.Equal(t, fault.DeadlinePassed, refusal.Code)
	require.Equal(t, fault.RanYes, refusal.Ran)
	require.True(t, x.answered, "nothing more is written")
	require.Equal(t, 1, left.finals)
}

// resetsOnce breaks the first call and answers the next.
func resetsOnce() script {
	calls := 0
	return func(ctx context.Context, call Call) (*Answer, error) {
		if calls++; calls == 1 {
			return resets(ctx, call)
		}
		return answers(http.StatusOK, "same")(ctx, call)
	}
}

func TestTimeLimitEndsWithAFinalAnswerAtOnce(t *testing.T) {
	for name, test := range map[string]struct {
		deadline time.Duration
		limit    time.Duration
	}{
		"the route's":  {5 * time.Second, 2 * time.Second},
		"the client's": {time.Second, time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t, plainRoute(route.Unsafe, 1))
				f.worker("w", hangs)
				got := f.serve(t.Context(), func(r *Request) { r.Deadline = test.deadline })
				require.Equal(t, fault.DeadlinePassed, got.refusal.Code)
				require.Equal(t, fault.RanUnknown, got.refusal.Ran, "no promise")
				require.InDelta(t, test.limit, got.took, float64(50*time.Millisecond))
				require.LessOrEqual(t, f.sent()[0].left, test.limit, "the worker is told what is left")
			})
		})
	}
}

func TestWorkerIsLeftWhenTheClientLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, plainRoute(route.Safe, 3))
		var left time.Time
		f.worker("w", func(ctx context.Context, _ Call) (*Answer, error) {
			<-ctx.Done()
			left = time.Now()
			return nil, ctx.Err()
		})
		ctx, cancel := context.WithCancel(t.Context())
		leaves := time.Now().Add(30 * time.Millisecond)
		time.AfterFunc(30*time.Millisecond, cancel)
		f.serve(ctx, nil)
		require.Equal(t, leaves, left)
		require.Len(t, f.sent(), 1)
	})
}

// TestNothingIsSentForAClientThatLeft: whatever was waited for when it did.
func TestNothingIsSentForAClientThatLeft(t *testing.T) {
	for name, leaves := range map[string]struct {
		route route.Route
		does  script
		sends int
		after time.Duration
	}{
		"before a plain request is sent": {plainRoute(route.Safe, 3), answers(200, "ok"), 0, 0},
		"before a turn is sent":          {turnRoute(nil), streams(3, 0), 0, 0},
		"while no worker has room":       {plainRoute(route.Unsafe, 3), declines, 1, holdPause / 2},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t, leaves.route)
				f.worker("w", leaves.does)
				ctx, cancel := context.WithTimeout(t.Context(), leaves.after)
				defer cancel()
				got := f.serve(ctx, nil)
				require.Equal(t, fault.RanNo, got.refusal.Ran)
				require.Len(t, f.sent(), leaves.sends)
			})
		})
	}
}

func TestConfigurationNeverGoesBack(t *testing.T) {
	f := newFixture(t, plainRoute(route.Safe, 1))
	require.False(t, f.forwarder.SetConfiguration(route.New(1, nil, nil, route.Limits{})))
	require.False(t, f.forwarder.SetConfiguration(route.New(0, nil, nil, route.Limits{})))
	require.Equal(t, 1, f.forwarder.Configuration().Len())
	require.True(t, f.forwarder.SetConfiguration(route.New(9, nil, nil, route.Limits{})))
	require.Zero(t, f.forwarder.Configuration().Len())
}

// TestSlowServiceIsNotLookedForEachTime: where an answer usually takes long, its
// worker's silence is no reason to open a connection to it.
func TestSlowServiceIsNotLookedForEachTime(t *testing.T) {
	for name, test := range map[string]struct {
		route route.Route
		usual time.Duration
		does  func(usual time.Duration) script
	}{
		"safe": {plainRoute(route.Safe, 2), 2 * safeStall, func(usual time.Duration) script {
			return func(context.Context, Call) (*Answer, error) {
				time.Sleep(usual)
				return answer(http.StatusOK, false, strings.NewReader("ok")), nil
			}
		}},
		"streaming": {turnRoute(nil), 2 * streamStall, func(usual time.Duration) script {
			return func(ctx context.Context, call Call) (*Answer, error) {
				time.Sleep(usual)
				return streams(3, 0)(ctx, call)
			}
		}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t, test.route)
				f.reachable = true
				f.worker("w", test.does(test.usual))
				for range 10 {
					require.Nil(t, f.serve(t.Context(), nil).refusal)
				}
				before := f.looks()
				for range 20 {
					require.Nil(t, f.serve(t.Context(), nil).refusal)
				}
				require.LessOrEqual(t, f.looks(), before+1)
			})
		})
	}
}
