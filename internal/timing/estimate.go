package timing

import (
	"sync"
	"time"
)

// Smoothing gains of the mean and of the deviation, and the number of deviations above
// the mean that are still usual, as in the retransmission timer of RFC 6298, section 2.
const (
	meanGain        = 1.0 / 8
	deviationGain   = 1.0 / 4
	deviationFactor = 4
)

// LatencyEstimate tracks the mean and the deviation of an operation's duration and derives
// a timeout from them. The zero value is ready to use. It is safe for concurrent use.
type LatencyEstimate struct {
	mutex     sync.Mutex
	observed  bool
	mean      time.Duration
	deviation time.Duration
}

// Observe adds the duration of one operation.
func (e *LatencyEstimate) Observe(took time.Duration) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if !e.observed {
		e.observed, e.mean, e.deviation = true, took, took/2
		return
	}
	off := (took - e.mean).Abs()
	e.deviation += time.Duration(deviationGain * float64(off-e.deviation))
	e.mean += time.Duration(meanGain * float64(took-e.mean))
}

// Timeout returns the longest usual duration, the mean plus four deviations, limited
// to the range from least to most. Without observations it returns least.
func (e *LatencyEstimate) Timeout(least, most time.Duration) time.Duration {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return min(max(e.mean+deviationFactor*e.deviation, least), most)
}
