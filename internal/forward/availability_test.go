package forward

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cloverwheel/cloverwheel/internal/budget"
	"github.com/cloverwheel/cloverwheel/internal/evacuation"
	"github.com/cloverwheel/cloverwheel/internal/fault"
	"github.com/cloverwheel/cloverwheel/internal/history"
	"github.com/cloverwheel/cloverwheel/internal/locality"
	"github.com/cloverwheel/cloverwheel/internal/route"
	"github.com/cloverwheel/cloverwheel/internal/store"
	"github.com/cloverwheel/cloverwheel/internal/tenant"
)

func (f *fixture) evacuate(revision store.Version, zones ...string) {
	for _, zone := range zones {
		f.tracker.Apply(evacuation.Word{Zone: zone, Evacuated: true, Revision: revision}, evacuation.FromStore)
	}
}

// Guards against sending to an evacuated zone, and against avoiding it after the evacuation.
func TestEvacuatedZoneGetsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, plainRoute(route.Safe, 1))
		f.worker("near", answers(http.StatusOK, "near"))
		f.workerAt("away", "y", answers(http.StatusOK, "away"))
		f.evacuate(1, "z")
		require.Equal(t, "away", f.serve(t.Context(), nil).body.String())
		f.tracker.Apply(evacuation.Word{Zone: "z", Revision: 2}, evacuation.FromStore)
		require.Equal(t, "near", f.serve(t.Context(), nil).body.String(), "the evacuation has ended")
	})
}

// Guards against holding a request that can get no worker, against an error without the zones and
// the remedy, and against charging tokens for it.
func TestRequestIsRefusedAtOnceWhenAllZonesAreEvacuated(t *testing.T) {
	for name, kind := range map[string]route.Route{"plain": plainRoute(route.Unsafe, 1), "turn": turnRoute(retained)} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t, kind)
				f.worker("near", answers(http.StatusOK, "near"))
				f.workerAt("away", "y", answers(http.StatusOK, "away"))
				f.evacuate(1, "z", "y")
				got := f.serve(t.Context(), func(r *Request) { r.Program, r.TokenBudget, r.MaxOutputTokens = "p", 100, 10 })
				require.Equal(t, fault.ZoneEvacuated, got.refusal.Code)
				require.Equal(t, fault.RanNo, got.refusal.Ran)
				require.GreaterOrEqual(t, got.refusal.RetryAfter, time.Second)
				require.Contains(t, got.refusal.Message, "(y, z); retry once the operator")
				require.Zero(t, got.took)
				require.Empty(t, f.sent())
			})
		})
	}
}

// Guards against sending to a zone that was evacuated while another worker had the request.
func TestEvacuationIsCheckedBeforeEverySend(t *testing.T) {
	for name, c := range map[string]struct {
		route route.Route
		first script
		ran   fault.Ran
	}{
		"after a decline":          {plainRoute(route.Unsafe, 1), declines, fault.RanNo},
		"after a break":            {plainRoute(route.Safe, 2), resets, fault.RanUnknown},
		"to the same worker":       {plainRoute(route.Safe, 1), resets, fault.RanUnknown},
		"when a stream is resumed": {turnRoute(resumable), streams(4, 2), fault.RanUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t, c.route)
				does := func(ctx context.Context, call Call) (*Answer, error) {
					f.evacuate(1, "z")
					return c.first(ctx, call)
				}
				f.worker("w1", does)
				f.worker("w2", does)
				got := f.serve(t.Context(), nil)
				require.Len(t, f.sent(), 1)
				if got.aborted {
					return // the started answer is aborted
				}
				require.Equal(t, fault.ZoneEvacuated, got.refusal.Code)
				require.Equal(t, c.ran, got.refusal.Ran)
			})
		})
	}
}

// Guards against sending to a zone that was evacuated after the worker was chosen.
func TestEvacuationBetweenChoiceAndSend(t *testing.T) {
	f := newFixture(t, plainRoute(route.Safe, 1))
	f.worker("w1", answers(http.StatusOK, "in"))
	x := &exchange{Forwarder: f.forwarder, clientCtx: t.Context(), route: &route.Route{}, request: &Request{}}
	worker := f.workers.Workers("s")[0]
	cleared, refusal := x.clear(t.Context(), worker)
	require.Nil(t, refusal)
	require.True(t, cleared)
	f.evacuate(1, "z")
	cleared, refusal = x.clear(t.Context(), worker)
	require.Nil(t, refusal)
	require.False(t, cleared)
	require.Contains(t, x.sendFailures, "w1:evacuated")
}

// Guards against sending a request outside its route's regions.
func TestRequestStaysWithinItsRegions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		bound := plainRoute(route.Safe, 1)
		bound.Regions = locality.Regions{"other"}
		f := newFixture(t, bound)
		f.worker("near", answers(http.StatusOK, "near"))
		got := f.serve(t.Context(), nil)
		require.Equal(t, fault.OutsideRegions, got.refusal.Code)
		require.Equal(t, fault.RanNo, got.refusal.Ran)
		require.Zero(t, got.refusal.RetryAfter, "retrying does not help")
		require.Contains(t, got.refusal.Message, "(other); ask the operator to add workers there")
		require.Zero(t, got.took)
		f.workerAt("away", "x", answers(http.StatusOK, "away"))
		require.Equal(t, "away", f.serve(t.Context(), nil).body.String())
	})
}

// Guards against applying only the route's or only the tenant's regions.
func TestRouteAndTenantRegionsBothApply(t *testing.T) {
	for name, c := range map[string]struct {
		route, tenant locality.Regions
		served        bool
	}{
		"both allow it":                {locality.Regions{"one", "other"}, locality.Regions{"other"}, true},
		"the route does not allow it":  {locality.Regions{"one"}, nil, false},
		"the tenant does not allow it": {nil, locality.Regions{"one"}, false},
		"nothing in common":            {locality.Regions{"other"}, locality.Regions{"one"}, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t)
				bound := plainRoute(route.Safe, 1)
				bound.Regions = c.route
				holder := tenant.Entry{Tenant: tenant.Tenant{Name: "stalls", Regions: c.tenant}, Keys: []tenant.Key{tenant.KeyOf("key of stalls")}}
				configuration := route.New(1, []route.Route{bound}, nil, route.Limits{})
				f.forwarder.SetConfiguration(configuration.SetTenants(tenant.NewRegistry([]tenant.Entry{holder})))
				f.workerAt("away", "x", answers(http.StatusOK, "away"))
				got := f.serve(t.Context(), withKey("stalls"))
				require.Equal(t, c.served, got.refusal == nil)
				require.Len(t, f.sent(), map[bool]int{true: 1}[c.served])
			})
		})
	}
}

// regionStore records the regions in the context of each call.
type regionStore struct {
	store.Store
	bound []locality.Regions
}

// Commit implements store.Store.
func (s *regionStore) Commit(ctx context.Context, transaction store.Transaction) (store.Version, error) {
	s.bound = append(s.bound, locality.ContentRegions(ctx))
	return s.Store.Commit(ctx, transaction)
}

// Range implements store.Store.
func (s *regionStore) Range(ctx context.Context, table, part, from, to string, limit int) (store.Page, error) {
	s.bound = append(s.bound, locality.ContentRegions(ctx))
	return s.Store.Range(ctx, table, part, from, to, limit)
}

// Guards against storing, reading or fetching turns without the regions to which their content is
// restricted.
func TestCallsForTurnsCarryTheirRegions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		bound := turnRoute(retained)
		bound.Regions = locality.Regions{"one"}
		f := newFixture(t, bound)
		f.worker("w", streams(2, 0))
		table := &regionStore{Store: f.table}
		f.forwarder.options.History = newHistory(table)
		f.serve(t.Context(), func(r *Request) { r.ID = "t1" })
		f.forwarder.options.History = newHistory(table) // a node without a cache
		asked := &regionPeer{}
		f.forwarder.options.HistoryPeers = asked
		f.serve(t.Context(), func(r *Request) {
			r.ID, r.PreviousTurn, r.Program, r.TokenBudget, r.MaxOutputTokens = "t2", "t1", "p", 1000, 20
		})
		require.Len(t, f.sent(), 2)
		require.GreaterOrEqual(t, len(table.bound), 3, "one read and two writes")
		for _, regions := range append(table.bound, asked.bound...) {
			require.Equal(t, bound.Regions, regions)
		}
	})
}

// regionPeer is a node without cached history that records the regions in the context of each
// call.
type regionPeer struct{ bound []locality.Regions }

// History implements HistoryPeers.
func (b *regionPeer) History(ctx context.Context, _ budget.Holder, _ string) ([]*history.Turn, error) {
	b.bound = append(b.bound, locality.ContentRegions(ctx))
	return nil, nil
}
