package gather

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/cloverwheel/cloverwheel/internal/locality"
	"github.com/cloverwheel/cloverwheel/internal/store"
)

const (
	// callPatiences is for how many times the usual patience a call is waited for, within two
	// bounds, before its rows are given back to those who sent them.
	callPatiences = 4
	shortestCall  = 100 * time.Millisecond
	longestCall   = time.Second
	// apartFor is for how long each part has calls of its own after a call across parts that
	// failed: one part that is down must not hold up the others.
	apartFor = time.Second
)

// queue is what waits to be written in one call: rows of a part, or of a whole group where the
// table takes calls across parts. The gatherer's mutex guards it.
type queue struct {
	group   *group
	waiting []*item
	rows    int
	running bool      // somebody writes
	calling bool      // a call is under way
	begun   time.Time // when the last call began
	backoff store.Backoff
	pause   time.Duration // before the next call, after a refused one
}

// due is when the next call may begin: once the first row has waited for others, or the most
// urgent has no more time than a call takes, or a whole call waits; but not within a pause.
func (q *queue) due(gathering, call time.Duration) time.Time {
	var due time.Time
	if q.rows < callRows {
		first := slices.MinFunc(q.waiting, func(a, b *item) int { return a.arrived.Compare(b.arrived) })
		due = first.arrived.Add(gathering)
		for _, waiting := range q.waiting {
			if latest := waiting.deadline.Add(-call); latest.Before(due) {
				due = latest
			}
		}
	}
	if paused := q.begun.Add(q.pause); q.pause > 0 && paused.After(due) {
		return paused
	}
	return due
}

// add lets an item wait. The caller holds the mutex.
func (g *Gatherer) add(queue *queue, waiting *item) {
	queue.waiting = append(queue.waiting, waiting)
	queue.rows += len(waiting.rows)
	g.bytes += waiting.bytes
}

// forget takes an item out of the account of what waits. The caller holds the mutex.
func (g *Gatherer) forget(queue *queue, gone *item) {
	queue.rows -= len(gone.rows)
	g.bytes -= gone.bytes
}

// leave takes back rows that wait; those of a call under way are written.
func (g *Gatherer) leave(queue *queue, gone *item) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if index := slices.Index(queue.waiting, gone); index >= 0 {
		queue.waiting = slices.Delete(queue.waiting, index, index+1)
		g.forget(queue, gone)
	}
}

// run writes what waits in a queue, one call at a time, until nothing does.
func (g *Gatherer) run(queue *queue) {
	for {
		due, more := g.next(queue)
		if !more {
			return
		}
		time.Sleep(time.Until(due))
		if picked, apart := g.take(queue); len(picked) > 0 {
			g.write(queue, picked, apart)
		}
	}
}

// next is when the next call of a queue may begin. more is false if nothing waits; nobody
// writes then.
func (g *Gatherer) next(queue *queue) (due time.Time, more bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	queue.calling = false
	if len(queue.waiting) == 0 {
		queue.running = false
		return time.Time{}, false
	}
	gathering := g.gathering(queue.group, time.Now())
	return queue.due(gathering, g.way.Longest(firstExpect, longestCall)), true
}

// take takes what goes in the next call out of what waits. apart tells whether each part is to
// have a call of its own.
func (g *Gatherer) take(queue *queue) (picked []*item, apart bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	now := time.Now()
	picked, queue.waiting = pick(queue.waiting)
	for _, taken := range picked {
		g.forget(queue, taken)
	}
	queue.begun, queue.calling = now, len(picked) > 0
	return picked, now.Before(queue.group.apart)
}

// write writes items in one call, or each part apart if that fails: one may be down. What the
// table refuses for the number of calls waits again.
func (g *Gatherer) write(queue *queue, items []*item, apart bool) {
	divided := byPart(items)
	if !apart || len(divided) == 1 {
		err := g.commit(items)
		if err == nil || errors.Is(err, store.ErrThrottled) || len(divided) == 1 || g.options.Lost() {
			g.note(queue, items, err)
			return
		}
		g.separate(queue, err)
	}
	var group sync.WaitGroup
	for _, some := range divided {
		group.Go(func() { g.note(queue, some, g.commit(some)) })
	}
	group.Wait()
}

// commit makes one call, and bounds its time.
func (g *Gatherer) commit(items []*item) error {
	transaction := transactionOf(items)
	limit := min(max(callPatiences*store.PatienceWith(g.options.Store, 0), shortestCall), longestCall)
	bound := locality.WithContent(context.Background(), locality.Regions{g.options.Region})
	ctx, cancel := context.WithTimeout(bound, limit)
	defer cancel()
	begun := time.Now()
	_, err := store.CommitUnlessThrottled(ctx, g.options.Store, transaction)
	if err == nil {
		g.way.Observe(time.Since(begun))
	}
	g.options.Meter.GatherCall(len(transaction.Put), err == nil)
	return err
}

// separate lets the parts of a group have calls of their own for a while.
func (g *Gatherer) separate(queue *queue, err error) {
	g.mutex.Lock()
	queue.group.apart = time.Now().Add(apartFor)
	g.mutex.Unlock()
	g.options.Logger.WithError(err).WithField("for_ms", apartFor.Milliseconds()).
		Warn("turns of several parts not written together, writing each part apart")
}

// note tells those who sent items what came of them, or lets these wait again.
func (g *Gatherer) note(queue *queue, items []*item, err error) {
	if errors.Is(err, store.ErrThrottled) {
		g.again(queue, items)
		return
	}
	outcome := OutcomeFailed
	if err == nil {
		outcome = OutcomeKept
		g.taken(queue)
	}
	for _, done := range items {
		done.outcome <- outcome
	}
}

// taken notes that the table took a call of a queue.
func (g *Gatherer) taken(queue *queue) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	queue.backoff.Reset()
	queue.pause = 0
}

// again lets items wait again whose askers still listen, after a pause.
func (g *Gatherer) again(queue *queue, items []*item) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	now := time.Now()
	queue.group.throttled, queue.pause = now, queue.backoff.Next()
	queue.group.allowance.refused(now)
	for _, refused := range items {
		if now.Before(refused.deadline) {
			g.add(queue, refused)
		}
	}
}
