package tenant

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against lookups that miss a tenant or match an unknown key or name.
func TestLookupByKeyAndName(t *testing.T) {
	registry := NewRegistry([]Entry{
		{Tenant: Tenant{Name: "stalls"}, Keys: []Key{KeyOf("a"), KeyOf("b")}},
		{Tenant: Tenant{Name: "cellars"}, Keys: []Key{KeyOf("c")}},
		{Tenant: Tenant{Name: "keyless"}},
	})
	require.Equal(t, "stalls", registry.ByKey(KeyOf("a")).Name)
	require.Equal(t, "stalls", registry.ByKey(KeyOf("b")).Name)
	require.Equal(t, "cellars", registry.ByKey(KeyOf("c")).Name)
	require.Equal(t, "keyless", registry.ByName("keyless").Name)
	require.Nil(t, registry.ByKey(KeyOf("d")))
	require.Nil(t, registry.ByKey(KeyOf("")), "an empty key matches no tenant")
	require.Nil(t, registry.ByName("none"))
	require.Equal(t, 3, registry.Len())
}

// Guards against attributing a request to the wrong tenant when several list its key.
func TestSharedKeyMatchesNoTenant(t *testing.T) {
	registry := NewRegistry([]Entry{
		{Tenant: Tenant{Name: "one"}, Keys: []Key{KeyOf("shared"), KeyOf("own"), KeyOf("own")}},
		{Tenant: Tenant{Name: "two"}, Keys: []Key{KeyOf("shared")}},
		{Tenant: Tenant{Name: "three"}, Keys: []Key{KeyOf("shared")}},
	})
	require.Nil(t, registry.ByKey(KeyOf("shared")))
	require.Equal(t, "one", registry.ByKey(KeyOf("own")).Name, "a key listed twice by its tenant stays valid")
	require.Equal(t, 1, registry.SharedKeys())
}

// Guards against losing a removed key over several configurations, and keeping one that was added again.
func TestRecordRemovedKeys(t *testing.T) {
	entry := func(name string, keys ...string) Entry {
		e := Entry{Tenant: Tenant{Name: name}}
		for _, key := range keys {
			e.Keys = append(e.Keys, KeyOf(key))
		}
		return e
	}
	first := NewRegistry([]Entry{entry("stalls", "a", "b")})
	second := NewRegistry([]Entry{entry("stalls", "b", "c")})
	removed, added := second.RecordRemovedKeys(first, 2)
	require.Equal(t, []int{1, 1}, []int{removed, added})
	third := NewRegistry([]Entry{entry("stalls", "c")})
	third.RecordRemovedKeys(second, 5)
	for key, version := range map[string]int64{"a": 2, "b": 5} {
		removedKey, ok := third.RemovedKey(KeyOf(key))
		require.True(t, ok)
		require.Equal(t, RemovedKey{Tenant: "stalls", Version: version}, removedKey)
	}
	fourth := NewRegistry([]Entry{entry("stalls", "a", "c")})
	fourth.RecordRemovedKeys(third, 6)
	_, ok := fourth.RemovedKey(KeyOf("a"))
	require.False(t, ok, "the key was added again")
}

// Guards against admitting a request without a key because a tenant lists an empty one.
func TestEmptyKeyMatchesNoTenant(t *testing.T) {
	registry := NewRegistry([]Entry{{Tenant: Tenant{Name: "one"}, Keys: []Key{KeyOf("")}}})
	require.Nil(t, registry.ByKey(Key{}))
}

// Guards against equal scoped names of different tenants, for any header value.
func TestScopedNamesAreUnique(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		headerValue := rapid.StringMatching(`[ -~]{1,6}`)
		tenants := rapid.SampledFrom([]*Tenant{nil, {Name: "a"}, {Name: "a/b"}, {Name: "b"}, {Name: "a\x1fb"}})
		first, second := tenants.Draw(t, "first"), tenants.Draw(t, "second")
		one, other := headerValue.Draw(t, "one"), headerValue.Draw(t, "other")
		same := first == second && one == other
		require.Equal(t, same, first.Scope(one) == second.Scope(other))
	})
	require.Empty(t, (&Tenant{Name: "a"}).Scope(""), "an empty name stays empty")
}

// manyEntries returns 10,000 tenants with 3 keys each.
func manyEntries() []Entry {
	const tenants, keys = 10_000, 3
	entries := make([]Entry, tenants)
	for index := range entries {
		entries[index].Name = fmt.Sprintf("tenant-%d", index)
		for key := range keys {
			entries[index].Keys = append(entries[index].Keys, KeyOf(fmt.Sprintf("%d-%d", index, key)))
		}
	}
	return entries
}

// Guards against a registry of 10,000 tenants that needs more than 6 MiB.
func TestRegistryMemoryOfManyTenants(t *testing.T) {
	const most = 6 << 20
	entries := manyEntries()
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	registry := NewRegistry(entries)
	runtime.GC()
	runtime.ReadMemStats(&after)
	require.Less(t, int64(after.HeapAlloc)-int64(before.HeapAlloc), int64(most))
	require.Equal(t, "tenant-9999", registry.ByKey(KeyOf("9999-2")).Name)
	runtime.KeepAlive(entries)
}

// BenchmarkNewRegistryManyTenants indexes a configuration of 10,000 tenants.
func BenchmarkNewRegistryManyTenants(b *testing.B) {
	entries := manyEntries()
	for b.Loop() {
		NewRegistry(entries)
	}
}
