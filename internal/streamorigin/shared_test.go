package streamorigin

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cloverwheel/cloverwheel/internal/route"
)

// streamRoute returns a route with resumable streams to services with equal weights.
func streamRoute(prefix string, services ...string) route.Route {
	one := route.Route{Host: "h", PathPrefix: prefix, Kind: route.Streaming, Resumable: true}
	for _, service := range services {
		one.Targets = append(one.Targets, route.Target{Service: service, Weight: 1})
	}
	return one
}

// TestServicesThatShareRoutes guards against taking the service of a route for the one at which its earlier streams began.
func TestServicesThatShareRoutes(t *testing.T) {
	weightless, notResumable := streamRoute("/a/", "x", "y"), streamRoute("/a/", "x", "y")
	weightless.Targets[1].Weight = 0
	notResumable.Resumable = false
	for name, test := range map[string]struct {
		before, after []route.Route
		lately        []string // shared just after the change
		always        []string // shared long after it
	}{
		"one service":                   {before: []route.Route{streamRoute("/a/", "x")}, after: []route.Route{streamRoute("/a/", "x")}},
		"a split route":                 {after: []route.Route{streamRoute("/a/", "x", "y")}, lately: []string{"x", "y"}, always: []string{"x", "y"}},
		"a service without weight":      {after: []route.Route{weightless}},
		"streams that cannot go on":     {after: []route.Route{notResumable}},
		"a route moves":                 {before: []route.Route{streamRoute("/a/", "x")}, after: []route.Route{streamRoute("/a/", "y")}, lately: []string{"x", "y"}},
		"a route becomes split":         {before: []route.Route{streamRoute("/a/", "x")}, after: []route.Route{streamRoute("/a/", "x", "y")}, lately: []string{"x", "y"}, always: []string{"x", "y"}},
		"a route is no longer split":    {before: []route.Route{streamRoute("/a/", "x", "y")}, after: []route.Route{streamRoute("/a/", "x")}, lately: []string{"x", "y"}},
		"a longer prefix is added":      {before: []route.Route{streamRoute("/", "x")}, after: []route.Route{streamRoute("/", "x"), streamRoute("/a/", "y")}, lately: []string{"x", "y"}},
		"a longer prefix is removed":    {before: []route.Route{streamRoute("/", "x"), streamRoute("/a/", "y")}, after: []route.Route{streamRoute("/", "x")}, lately: []string{"x", "y"}},
		"a route of another path comes": {before: []route.Route{streamRoute("/a/", "x")}, after: []route.Route{streamRoute("/a/", "x"), streamRoute("/b/", "y")}},
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Now()
			shared := settledServices(now, test.before...)
			known := namesIn(shared, now)
			added := shared.Apply(route.New(2, test.after, nil, route.Limits{}), now)
			require.ElementsMatch(t, test.lately, namesIn(shared, now))
			require.ElementsMatch(t, test.lately, append(known, added...), "only services that were not shared are returned")
			require.ElementsMatch(t, test.always, namesIn(shared, now.Add(sharedTTL)))
		})
	}
}

// TestOlderConfigurationChangesNoSharedServices guards against a late, older configuration that hides a split route.
func TestOlderConfigurationChangesNoSharedServices(t *testing.T) {
	now := time.Now()
	shared := settledServices(now)
	shared.Apply(route.New(3, []route.Route{streamRoute("/a/", "x", "y")}, nil, route.Limits{}), now)
	require.Empty(t, shared.Apply(route.New(2, []route.Route{streamRoute("/a/", "x")}, nil, route.Limits{}), now))
	require.True(t, shared.MayContain("x", now.Add(2*sharedTTL)))
}

// TestStartedNodeKnowsNoEarlierRoutes guards against a node that has just started and takes the services of its routes for those
// at which all streams began.
func TestStartedNodeKnowsNoEarlierRoutes(t *testing.T) {
	now := time.Now()
	started := NewSharedServices()
	require.True(t, started.MayContain("x", now), "without a configuration")
	started.Apply(route.New(2, []route.Route{streamRoute("/a/", "x")}, nil, route.Limits{}), now)
	require.True(t, started.MayContain("x", now.Add(settleTime-1)))
	require.Equal(t, RouteHistory{}, started.History(now.Add(settleTime-1)), "a node that does not know must not say so")
	require.False(t, started.MayContain("x", now.Add(settleTime)))
	require.Equal(t, RouteHistory{Version: 2}, started.History(now.Add(settleTime)))
}

// TestStartedNodeLearnsOfEarlierRoutes guards against refusing streams after the start of one node, and against believing a node
// that has an older configuration.
func TestStartedNodeLearnsOfEarlierRoutes(t *testing.T) {
	now := time.Now()
	for name, test := range map[string]struct {
		history RouteHistory
		x, y    bool // shared
	}{
		"nothing is shared":         {RouteHistory{Version: 2}, false, false},
		"one is shared":             {RouteHistory{Version: 3, Shared: []string{"y"}}, false, true},
		"an older configuration":    {RouteHistory{Version: 1}, true, true},
		"a node that does not know": {RouteHistory{}, true, true},
	} {
		t.Run(name, func(t *testing.T) {
			started := NewSharedServices()
			started.Apply(route.New(2, []route.Route{streamRoute("/a/", "x"), streamRoute("/b/", "y")}, nil, route.Limits{}), now)
			started.Learn(test.history, now)
			require.Equal(t, test.x, started.MayContain("x", now))
			require.Equal(t, test.y, started.MayContain("y", now))
		})
	}
}

// TestLateNodeLearnsOfNewerRoutes guards against a node with a late configuration that takes the service of a route for the one
// at which all streams began.
func TestLateNodeLearnsOfNewerRoutes(t *testing.T) {
	now := time.Now()
	late := settledServices(now, streamRoute("/a/", "x"))
	late.Learn(RouteHistory{Version: 1, Shared: []string{"x"}}, now)
	require.False(t, late.MayContain("x", now), "it knows all changes up to its own configuration")
	late.Learn(RouteHistory{Version: 2, Shared: []string{"x"}}, now)
	require.True(t, late.MayContain("x", now))
}

// settledServices returns what a node knows that has had routes for long.
func settledServices(now time.Time, routes ...route.Route) *SharedServices {
	shared := NewSharedServices()
	shared.Apply(route.New(1, routes, nil, route.Limits{}), now.Add(-settleTime))
	return shared
}

func namesIn(shared *SharedServices, now time.Time) (names []string) {
	for _, service := range []string{"x", "y"} {
		if shared.MayContain(service, now) {
			names = append(names, service)
		}
	}
	return names
}
