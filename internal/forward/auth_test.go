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

// fakeFreshness returns what the test sets.
type fakeFreshness struct {
	age   time.Duration
	stale bool
}

func (f *fakeFreshness) Age() (time.Duration, bool) { return f.age, !f.stale }

// fakeLimits counts what is admitted and returned.
type fakeLimits struct {
	admitted, returned int
	err                error
}

func (l *fakeLimits) Admit(context.Context, RateLimitRequest) error {
	if l.err != nil {
		return l.err
	}
	l.admitted++
	return nil
}

func (l *fakeLimits) Return(string) { l.returned++ }

// setTenants sets a configuration in which tenants hold keys derived from their names.
func (f *fixture) setTenants(version route.Version, names []string, routes ...route.Route) {
	var entries []tenant.Entry
	for _, name := range names {
		entries = append(entries, tenant.Entry{
			Tenant: tenant.Tenant{Name: name, Limit: tenant.Limit{PerSecond: 10}},
			Keys:   []tenant.Key{tenant.KeyOf("key of " + name)},
		})
	}
	services := []route.Service{{Name: "s", TokensPerEvent: 10}}
	f.forwarder.SetConfiguration(route.New(version, routes, services, route.Limits{}).SetTenants(tenant.NewRegistry(entries)))
}

func withKey(name string) func(*Request) {
	return func(r *Request) { r.Key = tenant.KeyOf("key of " + name) }
}

// Guards against serving requests without a valid key, and against asking for one on an open
// route.
func TestRequestsNeedATenantKey(t *testing.T) {
	f := newFixture(t)
	f.worker("w", answers(200, "done"))
	open := safeRoute
	open.PathPrefix, open.NoAPIKey = "/open/", true
	f.setTenants(1, []string{"stalls"}, safeRoute, open)
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

// Guards against reporting a revoked key as merely unknown.
func TestRevokedKeyIsReportedAsRevoked(t *testing.T) {
	f := newFixture(t)
	f.setTenants(1, []string{"stalls"}, safeRoute)
	before := f.forwarder.Configuration().Tenants
	f.setTenants(4, []string{"cellars"}, safeRoute)
	f.forwarder.Configuration().Tenants.RecordRemovedKeys(before, 4)
	got := f.serve(t.Context(), withKey("stalls"))
	require.ErrorContains(t, got.refusal, `this key of tenant "stalls" was revoked in configuration version 4`)
}

// Guards against an authentication error for a path that does not exist.
func TestMissingRouteIsReportedBeforeAMissingKey(t *testing.T) {
	f := newFixture(t)
	f.setTenants(1, []string{"stalls"}, safeRoute)
	got := f.serve(t.Context(), func(r *Request) { r.Path = "/none" })
	require.True(t, fault.Is(got.refusal, fault.NotFound))
}

// Guards against accepting keys by an outdated configuration, and against revealing which keys it
// holds.
func TestStaleConfigurationRefusesAllKeysAlike(t *testing.T) {
	f := newFixture(t)
	f.worker("w", answers(200, "done"))
	f.forwarder.options.ConfigFreshness = &fakeFreshness{age: 6 * time.Second, stale: true}
	f.setTenants(1, []string{"stalls"}, safeRoute)
	for _, name := range []string{"stalls", "somebody"} {
		got := f.serve(t.Context(), withKey(name))
		require.True(t, fault.Is(got.refusal, fault.StaleConfiguration), name)
		require.Equal(t, fault.RanNo, got.refusal.Ran)
		require.Positive(t, got.refusal.RetryAfter)
	}
	require.Empty(t, f.sent())
}

// Guards against resending a request after its key was revoked, or after the configuration became
// too old to validate it.
func TestKeyIsCheckedBeforeEverySend(t *testing.T) {
	for name, happen := range map[string]func(*fixture, *fakeFreshness){
		"the key is revoked":              func(f *fixture, _ *fakeFreshness) { f.setTenants(2, []string{"cellars"}, safeRoute) },
		"the key is reassigned":           func(f *fixture, _ *fakeFreshness) { f.reassignKey(2, "cellars", "stalls") },
		"the configuration becomes stale": func(_ *fixture, fresh *fakeFreshness) { fresh.stale = true },
		"no keys are needed": func(f *fixture, _ *fakeFreshness) {
			f.forwarder.SetConfiguration(route.New(2, []route.Route{safeRoute}, nil, route.Limits{}))
		},
		"the tenants lose all keys":                        func(f *fixture, _ *fakeFreshness) { f.setTenants(2, nil, safeRoute) },
		"all keys are lost and the configuration is stale": func(f *fixture, fresh *fakeFreshness) { f.setTenants(2, nil, safeRoute); fresh.stale = true },
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			fresh := &fakeFreshness{}
			f.forwarder.options.ConfigFreshness = fresh
			f.setTenants(1, []string{"stalls"}, safeRoute)
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

// reassignKey gives the key of one tenant to another.
func (f *fixture) reassignKey(version route.Version, to, keyOf string) {
	entries := []tenant.Entry{{Tenant: tenant.Tenant{Name: to}, Keys: []tenant.Key{tenant.KeyOf("key of " + keyOf)}}}
	services := []route.Service{{Name: "s", TokensPerEvent: 10}}
	f.forwarder.SetConfiguration(route.New(version, []route.Route{safeRoute}, services, route.Limits{}).SetTenants(tenant.NewRegistry(entries)))
}

// Guards against reading another tenant's turns or using its budgets.
func TestTenantsDoNotShareTurns(t *testing.T) {
	retained := streamRoute
	retained.StoreTurns, retained.Retention = true, time.Minute
	f := newFixture(t)
	f.worker("w", streams(2, 0))
	f.setTenants(1, []string{"stalls", "cellars"}, retained)
	turn := func(name, id, previous string) *client {
		return f.serve(t.Context(), func(r *Request) {
			withKey(name)(r)
			r.ID, r.PreviousTurn, r.Program, r.TokenBudget, r.MaxOutputTokens = id, previous, "p", 100, 20
		})
	}
	require.True(t, turn("stalls", "t1", "").ended)
	require.True(t, turn("stalls", "t2", "t1").ended)
	got := turn("cellars", "t3", "t1")
	require.True(t, fault.Is(got.refusal, fault.NotFound), "another tenant's turn is not found")
	// Both tenants use the program ID "p"; their budgets are separate.
	for number := range 4 {
		require.True(t, turn("cellars", "c"+string(rune('0'+number)), "").ended, number)
	}
}

// Guards against counting requests that did not run against the rate limit.
func TestLimitCountsOnlyRequestsThatMayHaveRun(t *testing.T) {
	f := newFixture(t)
	limits := &fakeLimits{}
	f.forwarder.options.RateLimiter = limits
	f.setTenants(1, []string{"stalls"}, safeRoute)
	f.worker("w", answers(200, "done"))
	f.serve(t.Context(), withKey("stalls"))
	require.Equal(t, []int{1, 0}, []int{limits.admitted, limits.returned})
	f.scripts["w"] = declines
	f.serve(t.Context(), withKey("stalls"))
	require.Equal(t, []int{2, 1}, []int{limits.admitted, limits.returned}, "no worker ran the second one")
}

// Guards against running requests over the rate limit, and against losing its retry delay.
func TestRequestOverTheLimitIsRefused(t *testing.T) {
	for _, kind := range []route.Route{safeRoute, streamRoute} {
		f := newFixture(t)
		limited := fault.New(fault.RateLimited, "rate limit reached", "retry later").WithRetryAfter(time.Second)
		f.forwarder.options.RateLimiter = &fakeLimits{err: limited}
		f.setTenants(1, []string{"stalls"}, kind)
		f.worker("w", answers(200, "done"))
		got := f.serve(t.Context(), withKey("stalls"))
		require.True(t, fault.Is(got.refusal, fault.RateLimited))
		require.Equal(t, fault.RanNo, got.refusal.Ran)
		require.Equal(t, time.Second, got.refusal.RetryAfter)
		require.Empty(t, f.sent())
	}
}
