package sim

import (
	"container/heap"
	"time"
)

// epoch is when every run starts. It is not zero, because a zero time means
// "none" to the code under test.
var epoch = time.Unix(1_800_000_000, 0).UTC()

// event is a function to run at a time.
type event struct {
	at       time.Time
	sequence uint64
	run      func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].sequence < q[j].sequence
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	old[len(old)-1] = event{}
	*q = old[:len(old)-1]
	return last
}

// clock runs events in order of time, and at the same time in the order in
// which they were scheduled.
type clock struct {
	now      time.Time
	sequence uint64
	queue    eventQueue
}

func newClock() *clock { return &clock{now: epoch} }

// at schedules run; a time in the past means now.
func (c *clock) at(when time.Time, run func()) {
	if when.Before(c.now) {
		when = c.now
	}
	c.sequence++
	heap.Push(&c.queue, event{at: when, sequence: c.sequence, run: run})
}

// after schedules run in wait.
func (c *clock) after(wait time.Duration, run func()) { c.at(c.now.Add(wait), run) }

// elapsed is the virtual time since the start.
func (c *clock) elapsed() time.Duration { return c.now.Sub(epoch) }

// step runs the next event and reports whether there was one.
func (c *clock) step() bool {
	if len(c.queue) == 0 {
		return false
	}
	next := heap.Pop(&c.queue).(event)
	c.now = next.at
	next.run()
	return true
}
