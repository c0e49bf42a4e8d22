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

// Guards against a wrong code or a missing retry delay when a request is refused without running.
func TestRefusalsBeforeAnyWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		got := f.serve(t.Context(), nil)
		require.Equal(t, fault.Unavailable, got.refusal.Code, "without a configuration the route is unknown")
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

// Guards against resending requests that may not run twice, and against failing those that may.
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
		first    script // of the worker that is tried first
		second   script
		want     expectation
	}{
		"a declined request goes to another worker":                        {route.Unsafe, 1, declines, answers(200, "ok"), expectation{status: 200, sends: 2}},
		"an unwritten request goes to another worker":                      {route.Unsafe, 1, refusesConnections, answers(200, "ok"), expectation{status: 200, sends: 2}},
		"a request over the connection limit goes to another worker":       {route.Unsafe, 1, atConnectionLimit, answers(200, "ok"), expectation{status: 200, sends: 2}},
		"an unsafe request is never sent twice":                            {route.Unsafe, 3, resets, answers(200, "ok"), expectation{code: fault.EngineFailed, ran: fault.RanUnknown, sends: 1}},
		"a worker's error to an unsafe request is passed on":               {route.Unsafe, 3, answers(500, "no"), answers(200, "ok"), expectation{status: 500, sends: 1}},
		"a safe request is sent again after a reset":                       {route.Safe, 2, resets, answers(200, "ok"), expectation{status: 200, sends: 2}},
		"a safe request is sent again after an error":                      {route.Safe, 2, answers(500, "no"), answers(200, "ok"), expectation{status: 200, sends: 2}},
		"a safe request stays within its attempts":                         {route.Safe, 1, answers(500, "no"), answers(200, "ok"), expectation{status: 500, sends: 1}},
		"a safe request at its attempt limit is resent to the same worker": {route.Safe, 1, resetsOnce(), answers(200, "other"), expectation{status: 200, sends: 2}},
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
				require.Equal(t, 1, got.finalAnswers, "exactly one final answer")
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

// Guards against logging a request as served when its answer could not be written.
func TestFailedAnswerWriteIsNotReportedAsServed(t *testing.T) {
	left := &client{failWrites: true}
	x := &exchange{out: left}
	refusal := x.writeAnswer(answer(http.StatusOK, false, nil), []byte("ok"))
	require.Equal(t, fault.DeadlinePassed, refusal.Code)
	require.Equal(t, fault.RanYes, refusal.Ran)
	require.True(t, x.answered, "nothing more is written")
	require.Equal(t, 1, left.finalAnswers)
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

// Guards against a request without a final answer at its time limit.
func TestTimeLimitGivesAFinalAnswer(t *testing.T) {
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
				got := f.serve(t.Context(), func(r *Request) { r.Timeout = test.deadline })
				require.Equal(t, fault.DeadlinePassed, got.refusal.Code)
				require.Equal(t, fault.RanUnknown, got.refusal.Ran, "the worker may have run it")
				require.InDelta(t, test.limit, got.took, float64(50*time.Millisecond))
				require.LessOrEqual(t, f.sent()[0].left, test.limit, "the worker receives the remaining time")
			})
		})
	}
}

// Guards against work for a client that has disconnected.
func TestClientDisconnectCancelsTheWorkerCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, plainRoute(route.Safe, 3))
		var canceledAt time.Time
		f.worker("w", func(ctx context.Context, _ Call) (*Answer, error) {
			<-ctx.Done()
			canceledAt = time.Now()
			return nil, ctx.Err()
		})
		ctx, cancel := context.WithCancel(t.Context())
		disconnectAt := time.Now().Add(30 * time.Millisecond)
		time.AfterFunc(30*time.Millisecond, cancel)
		f.serve(ctx, nil)
		require.Equal(t, disconnectAt, canceledAt)
		require.Len(t, f.sent(), 1)
	})
}

// Guards against sending a request after its client disconnected, in any phase before the send.
func TestNothingIsSentAfterTheClientDisconnects(t *testing.T) {
	for name, leaves := range map[string]struct {
		route route.Route
		does  script
		sends int
		after time.Duration
	}{
		"before a plain request is sent":    {plainRoute(route.Safe, 3), answers(200, "ok"), 0, 0},
		"before a turn is sent":             {turnRoute(nil), streams(3, 0), 0, 0},
		"while all workers are at capacity": {plainRoute(route.Unsafe, 3), declines, 1, selectPollInterval / 2},
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

// Guards against replacing the configuration with one that is not newer.
func TestConfigurationNeverGoesBack(t *testing.T) {
	f := newFixture(t, plainRoute(route.Safe, 1))
	require.False(t, f.forwarder.SetConfiguration(route.New(1, nil, nil, route.Limits{})))
	require.False(t, f.forwarder.SetConfiguration(route.New(0, nil, nil, route.Limits{})))
	require.Equal(t, 1, f.forwarder.Configuration().RouteCount())
	require.True(t, f.forwarder.SetConfiguration(route.New(9, nil, nil, route.Limits{})))
	require.Zero(t, f.forwarder.Configuration().RouteCount())
}

// Guards against opening a test connection for each request to a service that usually answers
// slowly.
func TestUsuallySlowServiceIsNotCheckedEachTime(t *testing.T) {
	for name, test := range map[string]struct {
		route route.Route
		usual time.Duration
		does  func(usual time.Duration) script
	}{
		"safe": {plainRoute(route.Safe, 2), 2 * safeIdleTimeout, func(usual time.Duration) script {
			return func(context.Context, Call) (*Answer, error) {
				time.Sleep(usual)
				return answer(http.StatusOK, false, strings.NewReader("ok")), nil
			}
		}},
		"streaming": {turnRoute(nil), 2 * streamIdleTimeout, func(usual time.Duration) script {
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
				before := f.dialCount()
				for range 20 {
					require.Nil(t, f.serve(t.Context(), nil).refusal)
				}
				require.LessOrEqual(t, f.dialCount(), before+1)
			})
		})
	}
}
