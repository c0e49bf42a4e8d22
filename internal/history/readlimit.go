package history

import (
	"container/heap"
	"context"
	"sync"
	"time"
)

const (
	// A node makes startReads reads of turns at the same time, then between 1 and maxReads: one more with each round of reads that were
	// answered, and half as many when the table throttles one.
	startReads = 16
	maxReads   = 64
	// shrinkPause is the least time between two reductions: reads that are under way at one are throttled with it.
	shrinkPause = 50 * time.Millisecond
)

// readLimiter bounds the reads of turns that a node makes at the same time. If they have to wait, those of the conversation that came first go
// first, so that work beyond the table's capacity waits instead of delaying all. It is safe for concurrent use.
type readLimiter struct {
	mutex    sync.Mutex
	allowed  float64
	inUse    int
	shrunkAt time.Time
	waiting  waitingReads
}

// waitingRead is a read that waits.
type waitingRead struct {
	order   uint64        // of its conversation's arrival
	granted chan struct{} // closed when it may begin
	index   int           // in the heap; -1: not in it
}

func newReadLimiter() *readLimiter { return &readLimiter{allowed: startReads} }

// acquire waits until a read may begin, in the order of the conversations. release must be called after the read unless it fails, with the
// error of ctx.
func (l *readLimiter) acquire(ctx context.Context, order uint64) error {
	l.mutex.Lock()
	read := &waitingRead{order: order, granted: make(chan struct{})}
	heap.Push(&l.waiting, read)
	l.grant()
	l.mutex.Unlock()
	select {
	case <-read.granted:
		return nil
	case <-ctx.Done():
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if read.index < 0 { // granted at the same moment
		l.inUse--
		l.grant()
		return ctx.Err()
	}
	heap.Remove(&l.waiting, read.index)
	return ctx.Err()
}

// release ends a read.
func (l *readLimiter) release() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.inUse--
	l.grant()
}

// answered records that the table has answered a read.
func (l *readLimiter) answered() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.inUse >= int(l.allowed) { // else the bound has no effect and shows nothing
		l.allowed = min(l.allowed+1/l.allowed, maxReads)
	}
}

// throttled records that the table has throttled a read.
func (l *readLimiter) throttled(now time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if now.Sub(l.shrunkAt) < shrinkPause {
		return
	}
	l.shrunkAt = now
	l.allowed = max(l.allowed/2, 1)
}

// limit returns the number of reads that may be made at the same time.
func (l *readLimiter) limit() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return int(l.allowed)
}

// grant lets waiting reads begin. The caller holds the mutex.
func (l *readLimiter) grant() {
	for l.inUse < int(l.allowed) && l.waiting.Len() > 0 {
		next := heap.Pop(&l.waiting).(*waitingRead)
		l.inUse++
		close(next.granted)
	}
}

// waitingReads is a heap of reads, the conversation that came first on top.
type waitingReads []*waitingRead

// Len implements heap.Interface.
func (w waitingReads) Len() int { return len(w) }

// Less implements heap.Interface.
func (w waitingReads) Less(a, b int) bool { return w[a].order < w[b].order }

// Swap implements heap.Interface.
func (w waitingReads) Swap(a, b int) {
	w[a], w[b] = w[b], w[a]
	w[a].index, w[b].index = a, b
}

// Push implements heap.Interface.
func (w *waitingReads) Push(read any) {
	added := read.(*waitingRead)
	added.index = len(*w)
	*w = append(*w, added)
}

// Pop implements heap.Interface.
func (w *waitingReads) Pop() any {
	last := len(*w) - 1
	removed := (*w)[last]
	removed.index = -1
	(*w)[last] = nil
	*w = (*w)[:last]
	return removed
}
