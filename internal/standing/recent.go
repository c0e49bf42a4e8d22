package standing

// recent is a bounded map that forgets what was put in first.
type recent[K comparable, V any] struct {
	most    int
	entries map[K]*V
	order   []K
	oldest  int
}

func newRecent[K comparable, V any](most int) recent[K, V] {
	return recent[K, V]{most: most, entries: map[K]*V{}}
}

// of is the value of a key; nil if there is none.
func (r *recent[K, V]) of(key K) *V { return r.entries[key] }

// put adds an empty value under a key that is not there.
func (r *recent[K, V]) put(key K) *V {
	value := new(V)
	if len(r.order) < r.most {
		r.order = append(r.order, key)
	} else {
		delete(r.entries, r.order[r.oldest])
		r.order[r.oldest] = key
		r.oldest = (r.oldest + 1) % r.most
	}
	r.entries[key] = value
	return value
}
