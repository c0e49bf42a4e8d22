package timing

import (
	"sync"
	"time"
)

// LatencyEstimates holds an LatencyEstimate per key, such as the zone of a remote process. Keys are never
// removed. The zero value is ready to use. It is safe for concurrent use.
type LatencyEstimates struct {
	mutex     sync.Mutex
	estimates map[string]*LatencyEstimate
}

// Observe adds the duration of one operation under a key.
func (w *LatencyEstimates) Observe(key string, took time.Duration) { w.estimate(key).Observe(took) }

// Timeout returns the longest usual duration under a key, limited to the range from least
// to most. For a key without observations it returns least.
func (w *LatencyEstimates) Timeout(key string, least, most time.Duration) time.Duration {
	return w.estimate(key).Timeout(least, most)
}

// estimate returns the LatencyEstimate of a key and adds it if needed.
func (w *LatencyEstimates) estimate(key string) *LatencyEstimate {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	estimate, ok := w.estimates[key]
	if !ok {
		if w.estimates == nil {
			w.estimates = map[string]*LatencyEstimate{}
		}
		estimate = new(LatencyEstimate)
		w.estimates[key] = estimate
	}
	return estimate
}

// TimeoutFunc returns the timeout for a response of a process, limited to the range from least
// to most. A nil TimeoutFunc is valid; see Of.
type TimeoutFunc func(process string, least, most time.Duration) time.Duration

// For returns the timeout for a response of a process. For a nil TimeoutFunc it is least.
func (p TimeoutFunc) For(process string, least, most time.Duration) time.Duration {
	if p == nil {
		return least
	}
	return p(process, least, most)
}
