package backend

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// born is when a process of a worker started.
func born(second int64) time.Time { return time.UnixMilli(1_700_000_000_000 + second*1000) }

// entryOf is an entry of worker w that started at a second.
func entryOf(second int64, revision uint64) Record {
	return Record{ID: "w", Born: born(second), Service: "s", Address: "first", Zone: "z", Slots: 4, Revision: revision}
}

// rebornRegistry has one worker, whose connections are counted by address.
func rebornRegistry(record Record) (registry *Registry, dialled map[string]int) {
	dialled = map[string]int{}
	registry = NewRegistry(Options{Zone: "z", Dial: func(_ context.Context, address string) (net.Conn, error) {
		dialled[address]++
		ours, _ := net.Pipe()
		return ours, nil
	}})
	registry.Put(record)
	return registry, dialled
}

// single is the only worker of a service.
func (r *Registry) single(t *testing.T, service string) *Worker {
	workers := r.Of(service)
	require.Len(t, workers, 1)
	return workers[0]
}

// TestWorkerThatStartsAgainUnderItsID holds nothing of before: neither its connections nor what
// was noted of its running requests, failures, pace and cold time.
func TestWorkerThatStartsAgainUnderItsID(t *testing.T) {
	for name, change := range map[string]func(*Record){
		"at the same address":  func(*Record) {},
		"at another address":   func(r *Record) { r.Address = "second" },
		"in another zone":      func(r *Record) { r.Zone = "y" },
		"for another service":  func(r *Record) { r.Service = "t" },
		"cold":                 func(r *Record) { r.ColdLeft = time.Second },
		"while it was leaving": func(r *Record) { r.Revision = 3 },
	} {
		t.Run(name, func(t *testing.T) {
			registry, dialled := rebornRegistry(entryOf(1, 1))
			old := registry.single(t, "s")
			require.NoError(t, old.Pool().Reach(t.Context()))
			old.Begin()
			old.Paced(time.Minute)
			old.Unreachable(time.Now())
			old.Serves(time.Now(), 0)
			if name == "while it was leaving" {
				leaving := entryOf(1, 2)
				leaving.Draining = true
				registry.Put(leaving)
			}
			next := entryOf(2, 2)
			change(&next)
			require.True(t, registry.Put(next))
			reborn := registry.single(t, next.Service)
			require.NotSame(t, old, reborn)
			require.Equal(t, next, reborn.Record())
			require.NotEqual(t, old.Key(), reborn.Key())
			require.Zero(t, reborn.running)
			require.Zero(t, reborn.step)
			require.Zero(t, reborn.failures)
			require.Zero(t, reborn.avoidUntil)
			require.False(t, reborn.Overtaken(time.Now().Add(-time.Hour), 0))
			require.Equal(t, next.ColdLeft, reborn.warmth.until.Sub(reborn.warmth.learnt))
			require.True(t, old.Succeeded())
			require.False(t, reborn.Succeeded())
			require.True(t, old.Leaving())
			require.NoError(t, reborn.Pool().Reach(t.Context()))
			require.Positive(t, dialled[next.Address])
			require.False(t, registry.Has(next.Service, old.Key()), "what is known there is gone")
			require.True(t, registry.Has(next.Service, reborn.Key()))
			_, err := registry.Choose(Query{Service: next.Service, Key: "k", Only: []string{old.Key()}})
			require.Error(t, err)
			chosen, err := registry.Choose(Query{Service: next.Service, Key: "k", Home: old.Key(), Prompt: 100, Exclude: []string{old.Key()}})
			require.NoError(t, err)
			require.Same(t, reborn, chosen)
			registry.Remove("w")
			require.Empty(t, registry.IDs())
		})
	}
}

// TestEntryOfAnEarlierProcessChangesNothing: it may arrive after that of the process that started
// since, as a write that acts late.
func TestEntryOfAnEarlierProcessChangesNothing(t *testing.T) {
	registry, _ := rebornRegistry(entryOf(1, 1))
	registry.Put(entryOf(2, 2))
	present := registry.single(t, "s")
	late := entryOf(1, 3)
	late.Draining, late.Address = true, "third"
	require.False(t, registry.Put(late))
	require.Same(t, present, registry.single(t, "s"))
	require.Equal(t, entryOf(2, 2), present.Record())
	require.False(t, registry.Put(entryOf(3, 1)), "an older revision is older, whatever it says")
	require.Same(t, present, registry.single(t, "s"))
}

// TestWorkerThatDoesNotSayWhenItStarted is known by its place, and nobody takes it to have ended
// because another entry came under its ID.
func TestWorkerThatDoesNotSayWhenItStarted(t *testing.T) {
	silent := entryOf(1, 1)
	silent.Born = time.Time{}
	registry, dialled := rebornRegistry(silent)
	old := registry.single(t, "s")
	require.Equal(t, "w", old.Key())
	again := silent
	again.Slots, again.Revision = 8, 2
	require.True(t, registry.Put(again))
	require.Same(t, old, registry.single(t, "s"))
	moved := again
	moved.Address, moved.Revision = "second", 3
	require.True(t, registry.Put(moved))
	reborn := registry.single(t, "s")
	require.NotSame(t, old, reborn)
	require.False(t, old.Succeeded())
	require.NoError(t, reborn.Pool().Reach(t.Context()))
	require.Equal(t, map[string]int{"second": 1}, dialled)
	require.Equal(t, []string{"w"}, registry.IDs())
}

// TestEntryThatNamesNoWorkerAnyMore ends the worker at once: it does not linger, as one does whose
// entry is gone.
func TestEntryThatNamesNoWorkerAnyMore(t *testing.T) {
	for end, lingers := range map[End]int{Removed: 1, Unusable: 0} {
		registry, _ := rebornRegistry(entryOf(1, 1))
		require.Equal(t, []bool{true, false}, registry.Apply([]Update{{Record: Record{ID: "w"}, End: end}, {Record: Record{ID: "x"}, End: end}}))
		require.Len(t, registry.Of("s"), lingers)
		require.Empty(t, registry.IDs())
	}
}
