package backend

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// startTime returns the start time of a worker's process that started at the given second.
func startTime(second int64) time.Time { return time.UnixMilli(1_700_000_000_000 + second*1000) }

// entryStartedAt returns an entry of worker w that started at the given second.
func entryStartedAt(second int64, revision uint64) Record {
	return Record{ID: "w", StartedAt: startTime(second), Service: "s", Address: "first", Zone: "z", Slots: 4, Revision: revision}
}

// newRestartRegistry returns a registry with one worker, and the number of dials by address.
func newRestartRegistry(record Record) (registry *Registry, dials map[string]int) {
	dials = map[string]int{}
	registry = NewRegistry(Options{Zone: "z", Dial: func(_ context.Context, address string) (net.Conn, error) {
		dials[address]++
		client, _ := net.Pipe()
		return client, nil
	}})
	registry.Put(record)
	return registry, dials
}

// single returns the only worker of a service.
func (r *Registry) single(t *testing.T, service string) *Worker {
	workers := r.Workers(service)
	require.Len(t, workers, 1)
	return workers[0]
}

// Guards against carrying state of the previous process over to a restarted worker: connections,
// running requests, failures, token times and cold start.
func TestRestartedWorkerStartsFresh(t *testing.T) {
	for name, change := range map[string]func(*Record){
		"at the same address": func(*Record) {},
		"at another address":  func(r *Record) { r.Address = "second" },
		"in another zone":     func(r *Record) { r.Zone = "y" },
		"for another service": func(r *Record) { r.Service = "t" },
		"cold":                func(r *Record) { r.ColdRemaining = time.Second },
		"while draining":      func(r *Record) { r.Revision = 3 },
	} {
		t.Run(name, func(t *testing.T) {
			registry, dials := newRestartRegistry(entryStartedAt(1, 1))
			old := registry.single(t, "s")
			require.NoError(t, old.Pool().Probe(t.Context()))
			old.Begin()
			old.RecordTokenTime(time.Minute)
			old.RecordUnreachable(time.Now())
			old.RecordServed(time.Now(), 0)
			if name == "while draining" {
				leaving := entryStartedAt(1, 2)
				leaving.Draining = true
				registry.Put(leaving)
			}
			next := entryStartedAt(2, 2)
			change(&next)
			require.True(t, registry.Put(next))
			restarted := registry.single(t, next.Service)
			require.NotSame(t, old, restarted)
			require.Equal(t, next, restarted.Record())
			require.NotEqual(t, old.Key(), restarted.Key())
			require.Zero(t, restarted.running)
			require.Zero(t, restarted.tokenTime)
			require.Zero(t, restarted.failureRate)
			require.Zero(t, restarted.avoidUntil)
			require.False(t, restarted.Overtaken(time.Now().Add(-time.Hour), 0))
			require.Equal(t, next.ColdRemaining, restarted.warmth.coldUntil.Sub(restarted.warmth.reportedAt))
			require.True(t, old.Replaced())
			require.False(t, restarted.Replaced())
			require.True(t, old.Leaving())
			require.NoError(t, restarted.Pool().Probe(t.Context()))
			require.Positive(t, dials[next.Address])
			require.False(t, registry.Usable(next.Service, old.Key()), "its cached context is lost")
			require.True(t, registry.Usable(next.Service, restarted.Key()))
			_, err := registry.Choose(Query{Service: next.Service, Key: "k", Only: []string{old.Key()}})
			require.Error(t, err)
			chosen, err := registry.Choose(Query{Service: next.Service, Key: "k", Home: old.Key(), Prompt: 100, Exclude: []string{old.Key()}})
			require.NoError(t, err)
			require.Same(t, restarted, chosen)
			registry.Remove("w")
			require.Empty(t, registry.IDs())
		})
	}
}

// Guards against a delayed write of an earlier process replacing the entry of the current one.
func TestEntryOfEarlierProcessIsIgnored(t *testing.T) {
	registry, _ := newRestartRegistry(entryStartedAt(1, 1))
	registry.Put(entryStartedAt(2, 2))
	current := registry.single(t, "s")
	late := entryStartedAt(1, 3)
	late.Draining, late.Address = true, "third"
	require.False(t, registry.Put(late))
	require.Same(t, current, registry.single(t, "s"))
	require.Equal(t, entryStartedAt(2, 2), current.Record())
	require.False(t, registry.Put(entryStartedAt(3, 1)), "an older revision is ignored even with a later start")
	require.Same(t, current, registry.single(t, "s"))
}

// Without a start time, address, service and zone distinguish processes, and a new entry is no proof
// that the previous process has ended.
func TestWorkerWithoutStartTime(t *testing.T) {
	unstamped := entryStartedAt(1, 1)
	unstamped.StartedAt = time.Time{}
	registry, dials := newRestartRegistry(unstamped)
	old := registry.single(t, "s")
	require.Equal(t, "w", old.Key())
	again := unstamped
	again.Slots, again.Revision = 8, 2
	require.True(t, registry.Put(again))
	require.Same(t, old, registry.single(t, "s"))
	moved := again
	moved.Address, moved.Revision = "second", 3
	require.True(t, registry.Put(moved))
	restarted := registry.single(t, "s")
	require.NotSame(t, old, restarted)
	require.False(t, old.Replaced())
	require.NoError(t, restarted.Pool().Probe(t.Context()))
	require.Equal(t, map[string]int{"second": 1}, dials)
	require.Equal(t, []string{"w"}, registry.IDs())
}

// A removed worker lingers, but one whose entry became unusable must not be used any more.
func TestUnusableEntryRemovesWorkerAtOnce(t *testing.T) {
	for end, lingers := range map[End]int{Removed: 1, Unusable: 0} {
		registry, _ := newRestartRegistry(entryStartedAt(1, 1))
		require.Equal(t, []bool{true, false}, registry.Apply([]Update{{Record: Record{ID: "w"}, End: end}, {Record: Record{ID: "x"}, End: end}}))
		require.Len(t, registry.Workers("s"), lingers)
		require.Empty(t, registry.IDs())
	}
}
