package wait

import (
	"sync"
	"time"
)

// Ways holds an Estimate per key, such as the zone of a remote process. Keys are never
// removed. The zero value is ready to use. It is safe for concurrent use.
type Ways struct {
	mutex     sync.Mutex
	estimates map[string]*Estimate
}

// Observe adds the duration of one operation under a key.
func (w *Ways) Observe(key string, took time.Duration) { w.estimate(key).Observe(took) }

// Longest returns the longest usual duration under a key, limited to the range from least
// to most. For a key without observations it returns least.
func (w *Ways) Longest(key string, least, most time.Duration) time.Duration {
	return w.estimate(key).Longest(least, most)
}

// estimate returns the Estimate of a key and adds it if needed.
func (w *Ways) estimate(key string) *Estimate {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	estimate, ok := w.estimates[key]
	if !ok {
		if w.estimates == nil {
			w.estimates = map[string]*Estimate{}
		}
		estimate = new(Estimate)
		w.estimates[key] = estimate
	}
	return estimate
}

// Patience returns the timeout for a response of a process, limited to the range from least
// to most. A nil Patience is valid; see Of.
type Patience func(process string, least, most time.Duration) time.Duration

// Of returns the timeout for a response of a process. For a nil Patience it is least.
func (p Patience) Of(process string, least, most time.Duration) time.Duration {
	if p == nil {
		return least
	}
	return p(process, least, most)
}
