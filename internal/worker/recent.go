package worker

import "sync"

// recentLimit bounds one generation of a recent map.
const recentLimit = 1 << 15

// recent is a map that forgets what was not used for long: it keeps two
// generations and drops the older one when the younger is full.
type recent[K comparable, V any] struct {
	mutex sync.Mutex
	young map[K]V
	old   map[K]V
}

func newRecent[K comparable, V any]() *recent[K, V] {
	return &recent[K, V]{young: map[K]V{}}
}

func (r *recent[K, V]) get(key K) (V, bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if value, ok := r.young[key]; ok {
		return value, true
	}
	value, ok := r.old[key]
	if ok {
		r.keep(key, value)
	}
	return value, ok
}

func (r *recent[K, V]) put(key K, value V) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.keep(key, value)
}

func (r *recent[K, V]) keep(key K, value V) {
	if len(r.young) >= recentLimit {
		r.old, r.young = r.young, map[K]V{}
	}
	r.young[key] = value
}
