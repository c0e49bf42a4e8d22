package template

import (
	"crypto/sha256"
	"encoding/hex"
	"iter"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/cloverwheel/cloverwheel/internal/id"
)

const (
	// entriesPerBucket is the mean size at which an index doubles its buckets.
	entriesPerBucket = 32
	smallestIndex    = 16
)

// index is a persistent hash table: a changed copy shares all buckets but one
// with its origin. The zero value is empty.
type index[V any] struct {
	buckets [][]indexEntry[V] // power of two in number
	count   int
}

type indexEntry[V any] struct {
	key   string
	value V
}

func (x index[V]) slot(key string) int {
	return int(xxhash.Sum64String(key) & uint64(len(x.buckets)-1))
}

func (x index[V]) get(key string) (V, bool) {
	if len(x.buckets) > 0 {
		for _, entry := range x.buckets[x.slot(key)] {
			if entry.key == key {
				return entry.value, true
			}
		}
	}
	var none V
	return none, false
}

// with returns a copy in which key has value.
func (x index[V]) with(key string, value V) index[V] {
	if x.count >= len(x.buckets)*entriesPerBucket {
		x = x.grown()
	} else {
		x.buckets = slices.Clone(x.buckets)
	}
	x.replace(key, indexEntry[V]{key, value})
	return x
}

// without returns a copy that lacks key.
func (x index[V]) without(key string) index[V] {
	if _, ok := x.get(key); !ok {
		return x
	}
	x.buckets = slices.Clone(x.buckets)
	x.replace(key)
	return x
}

// replace puts entries in place of key in a copy of its bucket; x must own its
// directory of buckets.
func (x *index[V]) replace(key string, entries ...indexEntry[V]) {
	slot := x.slot(key)
	old := x.buckets[slot]
	kept := make([]indexEntry[V], 0, len(old)+len(entries))
	for _, entry := range old {
		if entry.key != key {
			kept = append(kept, entry)
		}
	}
	x.buckets[slot] = append(kept, entries...)
	x.count += len(x.buckets[slot]) - len(old)
}

// put adds a key in place; only for an index that nobody shares yet.
func (x *index[V]) put(key string, value V) {
	if x.count >= len(x.buckets)*entriesPerBucket {
		*x = x.grown()
	}
	slot := x.slot(key)
	x.buckets[slot] = append(x.buckets[slot], indexEntry[V]{key, value})
	x.count++
}

// grown returns a copy with twice the buckets and nothing shared.
func (x index[V]) grown() index[V] {
	larger := index[V]{buckets: make([][]indexEntry[V], max(smallestIndex, 2*len(x.buckets)))}
	for key, value := range x.all() {
		slot := larger.slot(key)
		larger.buckets[slot] = append(larger.buckets[slot], indexEntry[V]{key, value})
	}
	larger.count = x.count
	return larger
}

func (x index[V]) all() iter.Seq2[string, V] {
	return func(yield func(string, V) bool) {
		for _, bucket := range x.buckets {
			for _, entry := range bucket {
				if !yield(entry.key, entry.value) {
					return
				}
			}
		}
	}
}

// indexes find everything in a configuration in constant time.
type indexes struct {
	templates index[*Template]
	tenants   index[*compactTenant]
	keys      index[*compactTenant] // by raw SHA-256 of a caller's key
}

// indexed returns the indexes, which a literal configuration builds at first use.
func (c *Configuration) indexed() *indexes {
	c.once.Do(func() {
		for name, template := range c.Templates {
			c.indexes.templates.put(string(name), template)
		}
		for _, tenant := range c.Tenants {
			c.indexes.insert(tenant)
		}
	})
	return &c.indexes
}

// insert adds a tenant in place, with its version.
func (x *indexes) insert(tenant *Tenant) {
	kept := compact(tenant, tenant.Version)
	x.tenants.put(string(kept.name), kept)
	for _, key := range kept.keys {
		x.keys.put(key, kept)
	}
}

// Template returns a template by name.
func (c *Configuration) Template(name id.Template) (*Template, bool) {
	return c.indexed().templates.get(string(name))
}

// Tenant returns a copy of a tenant by name.
func (c *Configuration) Tenant(name id.Tenant) (*Tenant, bool) {
	kept, ok := c.indexed().tenants.get(string(name))
	if !ok {
		return nil, false
	}
	return kept.expand(), true
}

// AllTemplates yields every template in no order.
func (c *Configuration) AllTemplates() iter.Seq[*Template] {
	return func(yield func(*Template) bool) {
		for _, found := range c.indexed().templates.all() {
			if !yield(found) {
				return
			}
		}
	}
}

// AllTenants yields a copy of every tenant in no order.
func (c *Configuration) AllTenants() iter.Seq[*Tenant] {
	return func(yield func(*Tenant) bool) {
		for _, kept := range c.indexed().tenants.all() {
			if !yield(kept.expand()) {
				return
			}
		}
	}
}

// Size returns the numbers of templates and tenants.
func (c *Configuration) Size() (templates, tenants int) {
	return c.indexed().templates.count, c.indexed().tenants.count
}

// HashKey returns the form in which a caller's key is kept: hex SHA-256.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Authenticate finds the tenant of a caller's key.
func (c *Configuration) Authenticate(key string) (id.Tenant, bool) {
	sum := sha256.Sum256([]byte(key))
	tenant, ok := c.indexed().keys.get(string(sum[:]))
	if !ok {
		return "", false
	}
	return tenant.name, true
}
