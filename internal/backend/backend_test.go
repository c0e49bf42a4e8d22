package backend

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cloverwheel/cloverwheel/internal/fault"
	"github.com/cloverwheel/cloverwheel/internal/timing"
)

// newTestRegistry returns a registry of zone z with workers w0, w1 ... of service s. zones are the
// zones of the first workers; the others are in zone z.
func newTestRegistry(options Options, count int, zones ...string) *Registry {
	options.Zone = "z"
	if options.Dial == nil {
		options.Dial = func(context.Context, string) (net.Conn, error) { return nil, errors.New("no network") }
	}
	registry := NewRegistry(options)
	for index := range count {
		zone := "z"
		if index < len(zones) {
			zone = zones[index]
		}
		registry.Put(Record{ID: fmt.Sprintf("w%d", index), Service: "s", Address: fmt.Sprint(index), Zone: zone})
	}
	return registry
}

func (r *Registry) get(id string) *Worker {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.workers[id]
}

// choose returns the ID of the worker that is chosen for a request of service s.
func choose(t *testing.T, registry *Registry, query Query) string {
	t.Helper()
	query.Service = "s"
	worker, err := registry.Choose(query)
	require.NoError(t, err)
	return worker.Record().ID
}

// modelCall returns a model call whose prompt is mostly shared with other programs.
func modelCall(change func(*Query)) Query {
	query := Query{Key: "p", Prompt: 14_000, Shared: 12_000, Output: 500}
	if change != nil {
		change(&query)
	}
	return query
}

// Each case guards one rule by which Choose prefers or avoids workers.
func TestChoose(t *testing.T) {
	now := time.Now
	for name, test := range map[string]struct {
		zones  []string
		setup  func(*Registry)
		query  Query
		chosen string // empty: any except avoids
		avoids string
	}{
		"stays at the worker with the context":      {query: modelCall(func(q *Query) { q.Home = "w2" }), chosen: "w2"},
		"stays at a home in another zone":           {zones: []string{"y"}, query: modelCall(func(q *Query) { q.Home = "w0" }), chosen: "w0"},
		"stays at a home with more requests":        {setup: func(r *Registry) { r.get("w2").Begin() }, query: modelCall(func(q *Query) { q.Home = "w2" }), chosen: "w2"},
		"leaves a draining home":                    {setup: draining("w2"), query: modelCall(func(q *Query) { q.Home = "w2" }), avoids: "w2"},
		"leaves an unreachable home":                {setup: func(r *Registry) { r.get("w2").RecordUnreachable(now()) }, query: modelCall(func(q *Query) { q.Home = "w2" }), avoids: "w2"},
		"leaves a failing home":                     {setup: failing("w2", 3), query: modelCall(func(q *Query) { q.Home = "w2" }), avoids: "w2"},
		"first turns stay in the zone":              {zones: []string{"y", "y", "y"}, query: modelCall(nil), chosen: "w3"},
		"first turns leave the zone if it is full":  {zones: []string{"y", "y", "y"}, setup: func(r *Registry) { r.get("w3").RecordRefusal(now()) }, query: modelCall(nil), avoids: "w3"},
		"a slow worker gets no first turns":         {zones: []string{"y", "y", "y"}, setup: slowed("w3"), query: modelCall(nil), avoids: "w3"},
		"an excluded worker is not chosen":          {query: modelCall(func(q *Query) { q.Home, q.Exclude = "w1", []string{"w1"} }), avoids: "w1"},
		"only allowed workers are chosen":           {query: modelCall(func(q *Query) { q.Home, q.Only = "w1", []string{"w3"} }), chosen: "w3"},
		"an unreachable worker is better than none": {setup: func(r *Registry) { r.get("w1").RecordUnreachable(now()) }, query: modelCall(func(q *Query) { q.Only = []string{"w1"} }), chosen: "w1"},
	} {
		t.Run(name, func(t *testing.T) {
			registry := newTestRegistry(Options{}, 4, test.zones...)
			if test.setup != nil {
				test.setup(registry)
			}
			chosen := choose(t, registry, test.query)
			if test.chosen != "" {
				require.Equal(t, test.chosen, chosen)
			}
			require.NotEqual(t, test.avoids, chosen)
		})
	}
}

func draining(id string) func(*Registry) {
	return func(r *Registry) {
		record := r.get(id).Record()
		record.Draining = true
		r.Put(record)
	}
}

func failing(id string, times int) func(*Registry) {
	return func(r *Registry) {
		for range times {
			r.get(id).RecordFailure(time.Now())
		}
	}
}

// slowed makes one worker's tokens take five times as long as those of the others.
func slowed(id string) func(*Registry) {
	return func(r *Registry) {
		for _, worker := range []string{"w0", "w1", "w2", "w3"} {
			r.get(worker).RecordTokenTime(time.Millisecond)
		}
		for range 20 {
			r.get(id).RecordTokenTime(5 * time.Millisecond)
		}
	}
}

// Nodes must choose the same worker for a program without communicating, and spread programs evenly.
func TestNodesChooseTheSameWorker(t *testing.T) {
	one, other := newTestRegistry(Options{}, 9), newTestRegistry(Options{}, 9)
	seen := map[string]int{}
	for program := range 900 {
		query := modelCall(func(q *Query) { q.Key = fmt.Sprint(program) })
		chosen := choose(t, one, query)
		require.Equal(t, chosen, choose(t, other, query))
		seen[chosen]++
	}
	for worker, count := range seen {
		require.InDelta(t, 100, count, 40, worker)
	}
}

// Guards against shortlists that leave out most workers of a large service or the program's home.
func TestShortlistCoversManyWorkers(t *testing.T) {
	registry := newTestRegistry(Options{}, 500)
	seen := map[string]int{}
	for program := range 2000 {
		seen[choose(t, registry, modelCall(func(q *Query) { q.Key = fmt.Sprint(program) }))]++
	}
	require.Greater(t, len(seen), 400)
	require.Equal(t, "w77", choose(t, registry, modelCall(func(q *Query) { q.Home = "w77" })))
}

// A caller may only retry safely if the error says that the request did not run.
func TestChooseWithoutWorkersReportsNotRun(t *testing.T) {
	registry := newTestRegistry(Options{}, 1)
	draining("w0")(registry)
	_, err := registry.Choose(Query{Service: "s"})
	require.True(t, fault.Is(err, fault.Unavailable))
	require.Equal(t, fault.RanNo, fault.From(err).Ran)
	_, err = registry.Choose(Query{Service: "unknown"})
	require.True(t, fault.Is(err, fault.Unavailable))
}

// Guards against failing requests when all entries of a service disappear for a moment, and against
// using removed workers otherwise.
func TestRemovedWorkerIsUsedOnlyAsLastResort(t *testing.T) {
	now := time.Now()
	registry := newTestRegistry(Options{Now: func() time.Time { return now }}, 2)
	registry.Remove("w0")
	require.Equal(t, "w1", choose(t, registry, Query{Home: "w0"}))
	registry.Remove("w1")
	choose(t, registry, Query{})
	now = now.Add(lingerPeriod)
	_, err := registry.Choose(Query{Service: "s"})
	require.Error(t, err)

	registry = newTestRegistry(Options{Now: func() time.Time { return now }}, 1)
	draining("w0")(registry)
	registry.Remove("w0")
	_, err = registry.Choose(Query{Service: "s"})
	require.Error(t, err, "a draining worker does not linger")
}

// Guards against avoiding a worker forever after a single failure.
func TestFailureRateDecays(t *testing.T) {
	now := time.Now()
	registry := newTestRegistry(Options{Now: func() time.Time { return now }}, 2)
	registry.get("w0").RecordFailure(now)
	require.Equal(t, "w1", choose(t, registry, Query{Key: "a"}))
	now = now.Add(time.Minute)
	seen := map[string]bool{}
	for key := range 50 {
		seen[choose(t, registry, Query{Key: fmt.Sprint(key)})] = true
	}
	require.Len(t, seen, 2)
}

// Guards against choosing an unreachable worker before a connection to it could be opened again,
// however long that takes.
func TestUnreachableWorkerIsAvoidedUntilReconnected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var reachable atomic.Bool
		registry := newTestRegistry(Options{Dial: func(context.Context, string) (net.Conn, error) {
			if !reachable.Load() {
				return nil, errors.New("unreachable")
			}
			connection, _ := net.Pipe()
			return connection, nil
		}}, 2)
		ctx, cancel := context.WithCancel(t.Context())
		go registry.Run(ctx)
		registry.get("w0").RecordUnreachable(time.Now())
		for range 100 {
			require.Equal(t, "w1", choose(t, registry, modelCall(func(q *Query) { q.Home = "w0" })))
			time.Sleep(100 * time.Millisecond)
		}
		reachable.Store(true)
		time.Sleep(time.Second)
		require.Equal(t, "w0", choose(t, registry, modelCall(func(q *Query) { q.Home = "w0" })))
		cancel()
		synctest.Wait()
	})
}

// Guards against avoiding a worker long after it is reachable again, even with slow connections.
func TestReconnectedWorkerIsUsedAgain(t *testing.T) {
	for _, dialTime := range []time.Duration{time.Millisecond, 30 * time.Millisecond, 100 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			var unresponsive atomic.Bool
			unresponsive.Store(true)
			registry := newTestRegistry(Options{Dial: func(ctx context.Context, _ string) (net.Conn, error) {
				if unresponsive.Load() {
					<-ctx.Done()
					return nil, ctx.Err()
				}
				if err := timing.Sleep(ctx, dialTime); err != nil {
					return nil, err
				}
				connection, _ := net.Pipe()
				return connection, nil
			}}, 2)
			ctx, cancel := context.WithCancel(t.Context())
			go registry.Run(ctx)
			registry.get("w0").RecordUnreachable(time.Now())
			time.Sleep(4500 * time.Millisecond)
			unresponsive.Store(false)
			time.Sleep(2 * time.Second)
			require.Equal(t, "w0", choose(t, registry, modelCall(func(q *Query) { q.Home = "w0" })), dialTime)
			cancel()
			synctest.Wait()
		})
	}
}
