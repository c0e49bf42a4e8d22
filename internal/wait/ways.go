package wait

import (
	"sync"
	"time"
)

// Ways holds an Estimate for each of several network paths or other keys. It grows with
// the number of keys. The zero value is ready to use. It is safe for concurrent use.
type Ways struct {
	mutex     sync.Mutex
	estimates map[string]*Estimate
}

// Observe adds the duration of one operation over a path.
func (w *Ways) Observe(path string, took time.Duration) { w.estimate(path).Observe(took) }

// Longest returns the longest usual duration over a path, limited to the range from least
// to most. For a path without observations it returns least.
func (w *Ways) Longest(path string, least, most time.Duration) time.Duration {
	return w.estimate(path).Longest(least, most)
}

// estimate returns the Estimate of a path and adds it if needed.
func (w *Ways) estimate(path string) *Estimate {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	estimate, ok := w.estimates[path]
	if !ok {
		if w.estimates == nil {
			w.estimates = map[string]*Estimate{}
		}
		estimate = new(Estimate)
		w.estimates[path] = estimate
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
