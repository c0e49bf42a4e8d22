package standin

import (
	"slices"
	"sync"
	"time"
)

// WeightStore is the rate-limited store of models and adapters, shared by
// engines: so many loads at once, the others wait. The nil store has no limit.
type WeightStore struct {
	mutex sync.Mutex
	free  []time.Time // when each place becomes free
}

// NewWeightStore returns a store that serves so many loads at once.
func NewWeightStore(places int) *WeightStore {
	return &WeightStore{free: make([]time.Time, max(places, 1))}
}

// reserve takes the place that is free first, for a time, and returns how long
// to wait for it.
func (s *WeightStore) reserve(now time.Time, span time.Duration) time.Duration {
	if s == nil {
		return 0
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	first := slices.MinFunc(s.free, time.Time.Compare)
	begin := now
	if first.After(now) {
		begin = first
	}
	s.free[slices.Index(s.free, first)] = begin.Add(span)
	return begin.Sub(now)
}
