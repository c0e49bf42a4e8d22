package forward

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cloverwheel/cloverwheel/internal/backend"
	"github.com/cloverwheel/cloverwheel/internal/fault"
	"github.com/cloverwheel/cloverwheel/internal/route"
)

// newDrainFixture returns a fixture whose workers serve for two seconds after they are listed as draining.
func newDrainFixture(t *testing.T, one route.Route) *fixture {
	f := newFixture(t, one)
	f.workers = backend.NewRegistry(backend.Options{Zone: "z", Dial: f.dial, Zones: testPlaces, Evacuated: f.tracker.Evacuated, Drain: backend.DrainOptions{
		Period:          2 * time.Second,
		NotListedBefore: func(uint64) (time.Time, bool) { return time.Now(), true },
	}})
	f.forwarder.options.Workers = f.workers
	return f
}

// drain lists a worker as draining.
func (f *fixture) drain(id string) {
	worker, ok := f.workers.WorkerByKey(id)
	require.True(f.t, ok)
	record := worker.Record()
	record.Draining, record.Revision = true, record.Revision+1
	f.workers.Put(record)
}

// Guards against requests that are refused while a draining worker, the only one that can serve them, still serves; against draining workers
// that get other requests; and against requests that reach them too late.
func TestDrainingWorkersServeWhatNoOtherWorkerCan(t *testing.T) {
	safe, unsafe := plainRoute(route.Safe, 2), plainRoute(route.Unsafe, 1)
	for name, c := range map[string]struct {
		route   route.Route
		prepare func(f *fixture)
		after   time.Duration // from the drain to the request
		worker  string        // that serves; empty: the request is refused
	}{
		"the only worker":                    {safe, nil, time.Second, "draining"},
		"the only worker, too late":          {safe, nil, 2 * time.Second, ""},
		"the only worker, sent once at most": {unsafe, nil, 0, ""},
		"another is ready":                   {safe, func(f *fixture) { f.worker("ready", answers(http.StatusOK, "ok")) }, 0, "ready"},
		"another is ready and cannot be reached": {safe, func(f *fixture) {
			f.worker("lost", refusesConnections)
		}, 0, "draining"},
		"another is at capacity": {safe, func(f *fixture) { f.worker("full", declines) }, 0, "draining"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newDrainFixture(t, c.route)
				f.worker("draining", answers(http.StatusOK, "ok"))
				f.drain("draining")
				if c.prepare != nil {
					c.prepare(f)
				}
				time.Sleep(c.after)
				got := f.serve(context.Background(), nil)
				if c.worker == "" {
					require.Empty(t, f.sent())
					require.Equal(t, fault.RanNo, got.refusal.Ran)
					return
				}
				require.True(t, got.ended)
				sent := f.sent()
				require.Equal(t, c.worker, sent[len(sent)-1].worker)
			})
		})
	}
}

// Guards against a stream that is cut off because its worker broke while the rest of its software version drains.
func TestBrokenStreamGoesOnAtADrainingWorkerOfItsVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newDrainFixture(t, route.Route{Host: "h", PathPrefix: "/p/", Kind: route.Streaming, Resumable: true, MaxAttempts: 3, Targets: []route.Target{{Service: "s", Weight: 1}}})
		f.workerOf("old-1", "v1", func(ctx context.Context, call Call) (*Answer, error) {
			f.workerOf("new", "v2", streams(3, 0))
			f.workerOf("old-2", "v1", streams(3, 0))
			f.drain("old-2")
			return streams(3, 1)(ctx, call)
		})
		got := f.serve(context.Background(), nil)
		require.True(t, got.ended)
		require.Equal(t, events(3), got.body.String())
		require.Equal(t, "old-2", f.sent()[len(f.sent())-1].worker)
	})
}

// Guards against a stream that may run at no further worker and is refused by the one that ran it because that one drains meanwhile.
func TestStreamGoesBackToItsDrainingWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newDrainFixture(t, route.Route{Host: "h", PathPrefix: "/p/", Kind: route.Streaming, Resumable: true, MaxAttempts: 1, Targets: []route.Target{{Service: "s", Weight: 1}}})
		for _, id := range []string{"a", "b"} {
			f.worker(id, func(ctx context.Context, call Call) (*Answer, error) {
				if call.LastEventID == "" {
					f.drain(id)
					return streams(3, 1)(ctx, call)
				}
				return streams(3, 0)(ctx, call)
			})
		}
		got := f.serve(context.Background(), nil)
		require.True(t, got.ended)
		require.Equal(t, events(3), got.body.String())
		require.Len(t, f.triedWorkers(), 1)
	})
}

// Guards against fatal work that ends more workers than it may because those that drain do not count: one that ends before its time has not
// ended as planned.
func TestEndsOfServingDrainingWorkersCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newDrainFixture(t, plainRoute(route.Safe, 1))
		f.reachable = true
		for _, id := range []string{"a", "b", "c", "d", "e"} {
			f.worker(id, f.ends(id))
			f.drain(id)
		}
		for range 6 {
			f.serve(context.Background(), nil)
			time.Sleep(100 * time.Millisecond)
		}
		require.Len(t, f.ended, maxEnded)
	})
}
