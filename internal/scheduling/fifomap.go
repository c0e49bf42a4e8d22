package scheduling

// fifoMap is a bounded map that evicts the entry added first.
type fifoMap[K comparable, V any] struct {
	capacity int
	entries  map[K]*V
	order    []K // ring of keys in order of insertion
	oldest   int // index in order of the entry to evict next, once full
}

func newFIFOMap[K comparable, V any](capacity int) fifoMap[K, V] {
	return fifoMap[K, V]{capacity: capacity, entries: map[K]*V{}}
}

// get returns the value of a key, or nil if there is none.
func (m *fifoMap[K, V]) get(key K) *V { return m.entries[key] }

// add adds a zero value under a new key and returns it. The key must not be present.
func (m *fifoMap[K, V]) add(key K) *V {
	value := new(V)
	if len(m.order) < m.capacity {
		m.order = append(m.order, key)
	} else {
		delete(m.entries, m.order[m.oldest])
		m.order[m.oldest] = key
		m.oldest = (m.oldest + 1) % m.capacity
	}
	m.entries[key] = value
	return value
}
