package timing

import (
	"sync"
	"time"
)

// LatencyEstimates holds a LatencyEstimate per key, such as the zone of a remote process. Keys are never
// removed. The zero value is ready to use. It is safe for concurrent use.
type LatencyEstimates struct {
	mutex     sync.Mutex
	estimates map[string]*LatencyEstimate
}

// Observe adds the duration of one operation under a key.
func (e *LatencyEstimates) Observe(key string, took time.Duration) { e.estimate(key).Observe(took) }

// Timeout returns the longest usual duration under a key, limited to the range from least
// to most. For a key without observations it returns least.
func (e *LatencyEstimates) Timeout(key string, least, most time.Duration) time.Duration {
	return e.estimate(key).Timeout(least, most)
}

// estimate returns the LatencyEstimate of a key and adds it if needed.
func (e *LatencyEstimates) estimate(key string) *LatencyEstimate {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	estimate, ok := e.estimates[key]
	if !ok {
		if e.estimates == nil {
			e.estimates = map[string]*LatencyEstimate{}
		}
		estimate = new(LatencyEstimate)
		e.estimates[key] = estimate
	}
	return estimate
}

// TimeoutFunc returns the timeout for a response of a process, limited to the range from least
// to most. A nil TimeoutFunc is valid; see For.
type TimeoutFunc func(process string, least, most time.Duration) time.Duration

// For returns the timeout for a response of a process. For a nil TimeoutFunc it is least.
func (f TimeoutFunc) For(process string, least, most time.Duration) time.Duration {
	if f == nil {
		return least
	}
	return f(process, least, most)
}
