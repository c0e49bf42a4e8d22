package forward

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cloverwheel/cloverwheel/internal/backend"
	"github.com/cloverwheel/cloverwheel/internal/fault"
	"github.com/cloverwheel/cloverwheel/internal/route"
	"github.com/cloverwheel/cloverwheel/internal/timing"
)

// fakeLimiter issues permits by a function and records the requests.
type fakeLimiter struct {
	acquire  func(WarmupRequest) WarmupPermit
	requests []WarmupRequest
}

// Acquire implements WarmupLimiter.
func (l *fakeLimiter) Acquire(_ context.Context, request WarmupRequest) WarmupPermit {
	l.requests = append(l.requests, request)
	time.Sleep(2 * time.Millisecond)
	return l.acquire(request)
}

// permitsFor issues permits that are valid for a time; a negative time issues expired ones.
func permitsFor(within time.Duration) func(WarmupRequest) WarmupPermit {
	return func(WarmupRequest) WarmupPermit {
		return WarmupPermit{ExpiresAt: time.Now().Add(within), RetryAfter: 300 * time.Millisecond}
	}
}

func refusesPermits(WarmupRequest) WarmupPermit {
	return WarmupPermit{RetryAfter: 300 * time.Millisecond}
}

// coldFixture has a cold worker for each name and a safe route to them.
func coldFixture(t *testing.T, acquire func(WarmupRequest) WarmupPermit, cold ...string) (*fixture, *fakeLimiter) {
	f := newFixture(t, route.Route{
		Host: "h", PathPrefix: "/p/", Kind: route.Safe, Timeout: time.Second, Objective: 100 * time.Millisecond, MaxAttempts: 2,
		Targets: []route.Target{{Service: "s", Weight: 1}},
	})
	f.workers = backend.NewRegistry(backend.Options{Zone: "z", Zones: testPlaces, Dial: f.dial, Cold: func(string) (bool, time.Duration) { return true, time.Second }})
	limiter := &fakeLimiter{acquire: acquire}
	f.forwarder.options.Workers, f.forwarder.options.WarmupLimiter = f.workers, limiter
	for _, name := range cold {
		f.scripts[name] = answers(http.StatusOK, "from "+name)
		f.workers.Put(backend.Record{ID: name, Service: "s", Address: name, Zone: "z", Slots: 4, ColdRemaining: time.Minute})
	}
	return f, limiter
}

// Guards against refusing a cold worker although a permit was issued.
func TestColdWorkerGetsRequestWithAPermit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, limiter := coldFixture(t, permitsFor(100*time.Millisecond), "c")
		require.Equal(t, http.StatusOK, f.serve(t.Context(), nil).status)
		require.Equal(t, []WarmupRequest{{Worker: "c", Zone: "z", Service: "s", FirstTurn: true}}, limiter.requests)
	})
}

// Guards against asking for permits for warm workers.
func TestWarmWorkerNeedsNoPermit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, limiter := coldFixture(t, refusesPermits)
		f.worker("warm", answers(http.StatusOK, "well"))
		require.Equal(t, http.StatusOK, f.serve(t.Context(), nil).status)
		require.Empty(t, limiter.requests)
	})
}

// Guards against spending the request's time on asking for permits for many cold workers.
func TestRequestWithoutAPermitGoesToAWarmWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, limiter := coldFixture(t, refusesPermits, strings.Split("abcdefgh", "")...)
		f.worker("warm", answers(http.StatusOK, "well"))
		f.workers.Workers("s")[len(f.workers.Workers("s"))-1].RecordRefusal(time.Now()) // so that cold workers are tried first
		require.Equal(t, http.StatusOK, f.serve(t.Context(), nil).status)
		require.Equal(t, "warm", f.sent()[0].worker)
		require.Len(t, limiter.requests, maxColdAttempts, "it stops asking for permits")
	})
}

// Guards against sending to a cold worker after its permit has expired.
func TestExpiredPermitIsNotUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, _ := coldFixture(t, permitsFor(-time.Millisecond), "c")
		require.NotNil(t, f.serve(t.Context(), nil).refusal)
		require.Empty(t, f.sent())
	})
}

// Guards against holding a request that can get no worker, and against losing the limiter's retry
// delay.
func TestColdWorkersWithoutPermitsRefuseAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, _ := coldFixture(t, refusesPermits, "a", "b")
		got := f.serve(t.Context(), nil)
		require.Equal(t, fault.Overloaded, got.refusal.Code)
		require.Equal(t, fault.RanNo, got.refusal.Ran)
		require.GreaterOrEqual(t, got.refusal.RetryAfter, 300*time.Millisecond)
		require.Less(t, got.took, 10*time.Millisecond)
		require.Empty(t, f.sent())
	})
}

// Guards against resending a request to a cold worker without a second permit.
func TestEachRetryNeedsAPermit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, limiter := coldFixture(t, permitsFor(100*time.Millisecond), "a", "b")
		for name := range f.scripts {
			f.scripts[name] = resets
		}
		f.serve(t.Context(), nil)
		require.Len(t, limiter.requests, len(f.sent()))
		require.Greater(t, len(f.sent()), 1)
	})
}

// Guards against sending to cold workers without any limit.
func TestNodeWithoutWarmupLimiterSendsNothingToColdWorkers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, _ := coldFixture(t, refusesPermits, "c")
		f.forwarder.options.WarmupLimiter = nil
		require.NotNil(t, f.serve(t.Context(), nil).refusal)
		require.Empty(t, f.sent())
	})
}

// fakeProber reports the same warm-up time for all workers.
type fakeProber struct {
	left     time.Duration
	err      error
	takes    time.Duration // response time
	requests int
}

// WarmupLeft implements Prober.
func (p *fakeProber) WarmupLeft(ctx context.Context, _ *backend.Worker, _ string) (time.Duration, error) {
	p.requests++
	if err := timing.Sleep(ctx, p.takes); err != nil {
		return 0, err
	}
	return p.left, p.err
}

// outdatedFixture has a worker whose entry in the worker list is outdated, and no permits.
func outdatedFixture(t *testing.T, prober *fakeProber) *fixture {
	return outdatedFixtureAt(t, "z", prober)
}

func outdatedFixtureAt(t *testing.T, zone string, prober *fakeProber) *fixture {
	f, _ := coldFixture(t, refusesPermits)
	f.workerAt("w", zone, answers(http.StatusOK, "well"))
	f.forwarder.options.Prober = prober
	configuration := *f.forwarder.Configuration()
	configuration.Version++
	configuration.Services = map[string]route.Service{"s": {Name: "s", HealthPath: "/health"}}
	f.forwarder.SetConfiguration(&configuration)
	time.Sleep(time.Minute)
	return f
}

// Guards against avoiding a worker whose warmth is unknown, and against a health query for each
// request.
func TestWorkerOfUnknownWarmthIsProbedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		prober := &fakeProber{}
		f := outdatedFixture(t, prober)
		require.Equal(t, http.StatusOK, f.serve(t.Context(), nil).status)
		require.Equal(t, http.StatusOK, f.serve(t.Context(), nil).status)
		require.Equal(t, 1, prober.requests, "the first result is cached")
	})
}

// Guards against a health timeout that is shorter than the round trips to another region.
func TestHealthTimeoutAllowsForRoundTrips(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := outdatedFixtureAt(t, "x", &fakeProber{takes: 2*20*time.Millisecond + 10*time.Millisecond})
		require.Equal(t, http.StatusOK, f.serve(t.Context(), nil).status)
	})
}

// Guards against sending to a worker that reported itself cold.
func TestWorkerProbedColdGetsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := outdatedFixture(t, &fakeProber{left: time.Second})
		require.NotNil(t, f.serve(t.Context(), nil).refusal)
		require.Empty(t, f.sent())
	})
}

// Guards against treating a failed health query as warm.
func TestWorkerThatFailsTheProbeGetsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := outdatedFixture(t, &fakeProber{err: errReset})
		require.NotNil(t, f.serve(t.Context(), nil).refusal)
		require.Empty(t, f.sent())
	})
}

// Guards against refusing a request at once when a warm worker may soon have capacity again.
func TestWarmWorkerThatDeclinedIsWaitedFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, _ := coldFixture(t, refusesPermits, "a")
		first := true
		f.worker("warm", func(ctx context.Context, call Call) (*Answer, error) {
			if first {
				first = false
				return declines(ctx, call)
			}
			return answers(http.StatusOK, "well")(ctx, call)
		})
		require.Equal(t, http.StatusOK, f.serve(t.Context(), nil).status)
	})
}
