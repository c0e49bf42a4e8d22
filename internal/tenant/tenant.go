// Package tenant maps API keys to the tenants of a configuration. A Registry holds the
// tenants, the digests of their keys and their rate limits. It is immutable once it is in
// use.
package tenant

import (
	"crypto/sha256"

	"github.com/cloverwheel/cloverwheel/internal/locality"
)

// Key is the digest of an API key. Only digests are kept: they suffice to look up a key, but
// not to authenticate. The zero Key means no key.
type Key [keyBytes]byte

// keyBytes is the length of the truncated SHA-256 digest; collisions are infeasible.
const keyBytes = 16

// KeyOf returns the digest of an API key as a caller sends it; the zero Key if secret is empty.
func KeyOf(secret string) Key {
	if secret == "" {
		return Key{}
	}
	sum := sha256.Sum256([]byte(secret))
	return Key(sum[:keyBytes])
}

// IsZero reports whether k means no key.
func (k Key) IsZero() bool { return k == Key{} }

// Limit is a tenant's rate limit over all nodes together. In any window of time the tenant may
// send PerSecond times the length of the window, plus Burst.
type Limit struct {
	PerSecond float64 // requests per second; 0: no limit
	Burst     float64 // requests
}

// Unlimited reports whether there is no limit.
func (l Limit) Unlimited() bool { return l.PerSecond <= 0 }

// Tenant is a customer with its own keys, limit and regions.
type Tenant struct {
	Name     string
	Priority int // 0 is the highest; takes precedence over a route's priority
	Limit    Limit
	Regions  locality.Regions // where its requests may be served, relayed and stored
}

// scopeSeparator separates the tenant's name from the scoped name. Header values cannot
// contain it, so two scoped names are equal only if both parts are.
const scopeSeparator = "\x1f"

// Scope returns the name qualified with the tenant's name. An empty name stays empty, and a
// nil tenant returns name unchanged, so that rows without tenants keep their keys.
func (t *Tenant) Scope(name string) string {
	if t == nil || name == "" {
		return name
	}
	return t.Name + scopeSeparator + name
}

// Registry looks up tenants by key and by name. A nil Registry is that of a configuration
// without tenants, where requests need no key.
type Registry struct {
	tenants     []Tenant
	byKey       map[Key]int32 // index of the tenant, or sharedKey
	byName      map[string]int32
	sharedKeys  int                // keys that several tenants list
	removedKeys map[Key]RemovedKey // keys removed since earlier configurations
}

// RemovedKey describes a key that is no longer in the configuration.
type RemovedKey struct {
	Tenant  string // that held it
	Version int64  // of the first configuration without it
}

// maxRemovedKeys bounds the removed keys that are kept for error messages.
const maxRemovedKeys = 10_000

// Entry is a tenant and its keys.
type Entry struct {
	Tenant
	Keys []Key
}

// NewRegistry indexes tenants by their keys. A key that several tenants list matches none of
// them, so that no request is attributed to the wrong tenant; SharedKeys counts such keys.
func NewRegistry(entries []Entry) *Registry {
	registry := &Registry{
		tenants: make([]Tenant, 0, len(entries)),
		byKey:   make(map[Key]int32, len(entries)),
		byName:  make(map[string]int32, len(entries)),
	}
	const sharedKey = -1
	for index, entry := range entries {
		registry.tenants = append(registry.tenants, entry.Tenant)
		registry.byName[entry.Name] = int32(index)
		for _, key := range entry.Keys {
			owner, exists := registry.byKey[key]
			switch {
			case key.IsZero():
			case !exists:
				registry.byKey[key] = int32(index)
			case owner != sharedKey && owner != int32(index):
				registry.byKey[key] = sharedKey
				registry.sharedKeys++
			}
		}
	}
	return registry
}

// RecordRemovedKeys records the keys of an earlier registry that this one lacks, with the version of this
// one. It returns how many keys were removed and how many were added. It must be called before
// the registry is used concurrently.
func (r *Registry) RecordRemovedKeys(earlier *Registry, version int64) (removed, added int) {
	if r == nil || earlier == nil {
		return 0, 0
	}
	r.removedKeys = make(map[Key]RemovedKey, len(earlier.removedKeys))
	for key, known := range earlier.removedKeys {
		if _, present := r.byKey[key]; !present {
			r.removedKeys[key] = known
		}
	}
	for key, index := range earlier.byKey {
		if _, present := r.byKey[key]; present {
			continue
		}
		removed++
		if index >= 0 && len(r.removedKeys) < maxRemovedKeys {
			r.removedKeys[key] = RemovedKey{Tenant: earlier.tenants[index].Name, Version: version}
		}
	}
	for key := range r.byKey {
		if _, present := earlier.byKey[key]; !present {
			added++
		}
	}
	return removed, added
}

// RemovedKey returns which tenant held a removed key, and since which version the key is gone.
func (r *Registry) RemovedKey(key Key) (RemovedKey, bool) {
	if r == nil {
		return RemovedKey{}, false
	}
	known, ok := r.removedKeys[key]
	return known, ok
}

// SharedKeys returns the number of keys that several tenants list.
func (r *Registry) SharedKeys() int {
	if r == nil {
		return 0
	}
	return r.sharedKeys
}

// ByKey returns the tenant with a key; nil if no tenant, or more than one, lists it.
func (r *Registry) ByKey(key Key) *Tenant {
	index, ok := r.byKey[key]
	if !ok || index < 0 {
		return nil
	}
	return &r.tenants[index]
}

// ByName returns the tenant with a name; nil if there is none.
func (r *Registry) ByName(name string) *Tenant {
	if r == nil {
		return nil
	}
	index, ok := r.byName[name]
	if !ok {
		return nil
	}
	return &r.tenants[index]
}

// Len returns the number of tenants.
func (r *Registry) Len() int {
	if r == nil {
		return 0
	}
	return len(r.tenants)
}
