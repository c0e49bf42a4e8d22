package forward

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cloverwheel/cloverwheel/internal/fault"
	"github.com/cloverwheel/cloverwheel/internal/route"
	"github.com/cloverwheel/cloverwheel/internal/tenant"
)

var (
	safeRoute   = plainRoute(route.Safe, 2)
	streamRoute = plainRoute(route.Streaming, 2)
)

// fakeFreshness says what a test sets.
type fakeFreshness struct {
	age   time.Duration
	stale bool
}

func (f *fakeFreshness) Age() (time.Duration, bool) { return f.age, !f.stale }

// fakeLimits counts what is admitted.
type fakeLimits struct {
	admitted, returned int
	failure            error
}

func (l *fakeLimits) Admit(context.Context, LimitRequest) error {
	if l.failure != nil {
		return l.failure
	}
	l.admitted++
	return nil
}

func (l *fakeLimits) Return(string) { l.returned++ }

// keyed puts a configuration in force in which tenants hold keys of their own names.
func (f *fixture) keyed(version route.Version, names []string, routes ...route.Route) {
	var entries []tenant.Entry
	for _, name := range names {
		entries = append(entries, tenant.Entry{
			Tenant: tenant.Tenant{Name: name, Limit: tenant.Limit{PerSecond: 10}},
			Keys:   []tenant.Key{tenant.KeyOf("key of " + name)},
		})
	}
	services := []route.Service{{Name: "s", TokensPerEvent: 10}}
	f.forwarder.SetConfiguration(route.New(version, routes, services, route.Limits{}).WithTenants(tenant.NewRegistry(entries)))
}

func withKey(name string) func(*Request) {
	return func(r *Request) { r.Key = tenant.KeyOf("key of " + name) }
}

func TestRequestsNeedTheKeyOfATenant(t *testing.T) {
	f := newFixture(t)
	f.worker("w", answers(200, "done"))
	open := safeRoute
	open.PathPrefix, open.Open = "/open/", true
	f.keyed(1, []string{"stalls"}, safeRoute, open)
	for name, change := range map[string]func(*Request){
		"no key":        nil,
		"wrong key":     withKey("somebody"),
		"name as a key": func(r *Request) { r.Key = tenant.KeyOf("stalls") },
	} {
		got := f.serve(t.Context(), change)
		require.True(t, fault.Is(got.refusal, fault.Unauthorized), name)
		require.Equal(t, fault.RanNo, got.refusal.Ran)
	}
	require.Empty(t, f.sent())
	require.Equal(t, "done", f.serve(t.Context(), withKey("stalls")).body.String())
	require.Equal(t, "stalls", f.sent()[0].tenant)
	got := f.serve(t.Context(), func(r *Request) { r.Path = "/open/x" })
	require.Equal(t, "done", got.body.String(), "an open route needs no key")
	require.Empty(t, f.sent()[1].tenant)
}

func TestKeyThatWasTakenAwayIsToldSo(t *testing.T) {
	f := newFixture(t)
	f.keyed(1, []string{"stalls"}, safeRoute)
	before := f.forwarder.Configuration().Tenants
	f.keyed(4, []string{"cellars"}, safeRoute)
	f.forwarder.Configuration().Tenants.Follow(before, 4)
	got := f.serve(t.Context(), withKey("stalls"))
	require.ErrorContains(t, got.refusal, `this key of tenant "stalls" was taken away in version 4`)
}

func TestMissingRouteComesBeforeAMissingKey(t *testing.T) {
	f := newFixture(t)
	f.keyed(1, []string{"stalls"}, safeRoute)
	got := f.serve(t.Context(), func(r *Request) { r.Path = "/none" })
	require.True(t, fault.Is(got.refusal, fault.NotFound))
}

func TestStaleNodeLetsNoKeyInAndSaysNothingOfIt(t *testing.T) {
	f := newFixture(t)
	f.worker("w", answers(200, "done"))
	f.forwarder.options.Freshness = &fakeFreshness{age: 6 * time.Second, stale: true}
	f.keyed(1, []string{"stalls"}, safeRoute)
	for _, name := range []string{"stalls", "somebody"} {
		got := f.serve(t.Context(), withKey(name))
		require.True(t, fault.Is(got.refusal, fault.StaleConfiguration), name)
		require.Equal(t, fault.RanNo, got.refusal.Ran)
		require.Positive(t, got.refusal.RetryAfter)
	}
	require.Empty(t, f.sent())
}

// TestKeyIsCheckedBeforeEverySend: a key that is taken away, or a proof that grows too old,
// while a request waits or after a worker has failed ends the request.
func TestKeyIsCheckedBeforeEverySend(t *testing.T) {
	for name, happen := range map[string]func(*fixture, *fakeFreshness){
		"the key is taken away":   func(f *fixture, _ *fakeFreshness) { f.keyed(2, []string{"cellars"}, safeRoute) },
		"the key goes to another": func(f *fixture, _ *fakeFreshness) { f.rekeyed(2, "cellars", "stalls") },
		"the proof grows old":     func(_ *fixture, fresh *fakeFreshness) { fresh.stale = true },
		"nobody needs a key": func(f *fixture, _ *fakeFreshness) {
			f.forwarder.SetConfiguration(route.New(2, []route.Route{safeRoute}, nil, route.Limits{}))
		},
		"the tenants lose all keys":    func(f *fixture, _ *fakeFreshness) { f.keyed(2, nil, safeRoute) },
		"both, the key and its tenant": func(f *fixture, fresh *fakeFreshness) { f.keyed(2, nil, safeRoute); fresh.stale = true },
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			fresh := &fakeFreshness{}
			f.forwarder.options.Freshness = fresh
			f.keyed(1, []string{"stalls"}, safeRoute)
			breaks := func(ctx context.Context, call Call) (*Answer, error) {
				happen(f, fresh)
				return resets(ctx, call)
			}
			f.worker("w1", breaks)
			f.worker("w2", breaks)
			got := f.serve(t.Context(), withKey("stalls"))
			require.Len(t, f.sent(), 1)
			require.NotNil(t, got.refusal)
			require.Equal(t, fault.RanUnknown, got.refusal.Ran, "the first worker may have run it")
		})
	}
}

// rekeyed gives the key of one tenant to another.
func (f *fixture) rekeyed(version route.Version, to, keyOf string) {
	entries := []tenant.Entry{{Tenant: tenant.Tenant{Name: to}, Keys: []tenant.Key{tenant.KeyOf("key of " + keyOf)}}}
	services := []route.Service{{Name: "s", TokensPerEvent: 10}}
	f.forwarder.SetConfiguration(route.New(version, []route.Route{safeRoute}, services, route.Limits{}).WithTenants(tenant.NewRegistry(entries)))
}

func TestTenantsTurnsAreTheirOwn(t *testing.T) {
	retained := streamRoute
	retained.Retain, retained.Retention = true, time.Minute
	f := newFixture(t)
	f.worker("w", streams(2, 0))
	f.keyed(1, []string{"stalls", "cellars"}, retained)
	turn := func(name, id, previous string) *client {
		return f.serve(t.Context(), func(r *Request) {
			withKey(name)(r)
			r.ID, r.Continue, r.Program, r.Budget, r.Output = id, previous, "p", 100, 20
		})
	}
	require.True(t, turn("stalls", "t1", "").ended)
	require.True(t, turn("stalls", "t2", "t1").ended)
	got := turn("cellars", "t3", "t1")
	require.True(t, fault.Is(got.refusal, fault.NotFound), "another tenant's turn is none")
	// Both call their program "p"; neither's tokens count against the other's budget.
	for number := range 4 {
		require.True(t, turn("cellars", "c"+string(rune('0'+number)), "").ended, number)
	}
}

func TestLimitsCountWhatWorkersMayRun(t *testing.T) {
	f := newFixture(t)
	limits := &fakeLimits{}
	f.forwarder.options.Limits = limits
	f.keyed(1, []string{"stalls"}, safeRoute)
	f.worker("w", answers(200, "done"))
	f.serve(t.Context(), withKey("stalls"))
	require.Equal(t, []int{1, 0}, []int{limits.admitted, limits.returned})
	f.scripts["w"] = declines
	f.serve(t.Context(), withKey("stalls"))
	require.Equal(t, []int{2, 1}, []int{limits.admitted, limits.returned}, "no worker ran the second one")
}

func TestRequestBeyondTheLimitIsRefusedUnrun(t *testing.T) {
	for _, kind := range []route.Route{safeRoute, streamRoute} {
		f := newFixture(t)
		limited := fault.New(fault.RateLimited, "enough", "come back").WithRetryAfter(time.Second)
		f.forwarder.options.Limits = &fakeLimits{failure: limited}
		f.keyed(1, []string{"stalls"}, kind)
		f.worker("w", answers(200, "done"))
		got := f.serve(t.Context(), withKey("stalls"))
		require.True(t, fault.Is(got.refusal, fault.RateLimited))
		require.Equal(t, fault.RanNo, got.refusal.Ran)
		require.Equal(t, time.Second, got.refusal.RetryAfter)
		require.Empty(t, f.sent())
	}
}
