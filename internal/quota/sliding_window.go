package quota

import "time"

// SlidingWindow counts events in the last window of time. The times passed to its methods must
// not decrease. It is not safe for concurrent use.
type SlidingWindow struct {
	counter windowCounter
	origin  time.Time
	length  time.Duration
}

// NewSlidingWindow returns an empty window of the given length that starts now.
func NewSlidingWindow(length time.Duration, now time.Time) *SlidingWindow {
	return &SlidingWindow{origin: now, length: length}
}

// Add records count events at the time now.
func (w *SlidingWindow) Add(count int, now time.Time) {
	w.counter.advance(stepOf(w.origin, now, w.length))
	for range count {
		w.counter.add(0)
	}
}

// Total returns the count of the window that ends now.
func (w *SlidingWindow) Total(now time.Time) int {
	w.counter.advance(stepOf(w.origin, now, w.length))
	return w.counter.total
}

// UntilFree returns how long it takes until count of the counted events have left the window.
func (w *SlidingWindow) UntilFree(count int, now time.Time) time.Duration {
	w.counter.advance(stepOf(w.origin, now, w.length))
	return time.Duration(w.counter.untilFree(count)) * w.length / steps
}
