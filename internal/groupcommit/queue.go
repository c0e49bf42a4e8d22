package groupcommit

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
	// A commit times out after commitTimeoutFactor times store.HedgeDelayAtLeast, the usual timeout of a
	// call, limited to minCommitTime and maxCommitTime. Its rows are then reported as failed to
	// their senders.
	commitTimeoutFactor = 4
	minCommitTime       = 100 * time.Millisecond
	maxCommitTime       = time.Second
	// splitPeriod is how long each partition is committed separately after a failed commit across
	// partitions, so that one unavailable partition does not block the others.
	splitPeriod = time.Second
)

// queue holds the rows that can share a commit: those of one partition, or of a whole group if the
// table accepts transactions across partitions. The committer's mutex guards it.
type queue struct {
	group     *group
	pending   []*pendingRequest
	rows      int
	running   bool      // a worker goroutine is running
	inFlight  bool      // a commit is in flight
	callStart time.Time // start of the last commit
	backoff   store.Backoff
	pause     time.Duration // backoff before the next commit after a throttled one; 0 means none
}

// due returns the earliest start of the next commit. It is when the batch delay of the first row
// ends, when the most urgent request has only the duration of a commit left, or at once if a full
// batch is pending. A backoff postpones it.
func (q *queue) due(batchDelay, call time.Duration) time.Time {
	var due time.Time
	if q.rows < maxBatchRows {
		first := slices.MinFunc(q.pending, func(a, b *pendingRequest) int { return a.arrived.Compare(b.arrived) })
		due = first.arrived.Add(batchDelay)
		for _, pending := range q.pending {
			if latest := pending.deadline.Add(-call); latest.Before(due) {
				due = latest
			}
		}
	}
	if paused := q.callStart.Add(q.pause); q.pause > 0 && paused.After(due) {
		return paused
	}
	return due
}

// add queues a request. The caller holds the mutex.
func (c *Committer) add(queue *queue, pending *pendingRequest) {
	queue.pending = append(queue.pending, pending)
	queue.rows += len(pending.rows)
	c.pendingBytes += pending.bytes
}

// release subtracts a request from the totals of pending rows. The caller holds the mutex.
func (c *Committer) release(queue *queue, request *pendingRequest) {
	queue.rows -= len(request.rows)
	c.pendingBytes -= request.bytes
}

// cancel removes a request that is still pending. A commit in flight is not affected.
func (c *Committer) cancel(queue *queue, request *pendingRequest) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if index := slices.Index(queue.pending, request); index >= 0 {
		queue.pending = slices.Delete(queue.pending, index, index+1)
		c.release(queue, request)
	}
}

// run is the worker of a queue: it commits one batch at a time until the queue is empty.
func (c *Committer) run(queue *queue) {
	for {
		due, more := c.nextCall(queue)
		if !more {
			return
		}
		time.Sleep(time.Until(due))
		if batch, split := c.takeBatch(queue); len(batch) > 0 {
			c.writeBatch(queue, batch, split)
		}
	}
}

// nextCall returns the earliest start of the queue's next commit. If nothing is pending, more is
// false and the worker counts as stopped.
func (c *Committer) nextCall(queue *queue) (due time.Time, more bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	queue.inFlight = false
	if len(queue.pending) == 0 {
		queue.running = false
		return time.Time{}, false
	}
	batchDelay := c.batchDelay(queue.group, time.Now())
	return queue.due(batchDelay, c.callTime.Timeout(minCallEstimate, maxCommitTime)), true
}

// takeBatch removes the next batch from the queue. split reports whether each partition needs a
// commit of its own.
func (c *Committer) takeBatch(queue *queue) (batch []*pendingRequest, split bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	now := time.Now()
	batch, queue.pending = selectBatch(queue.pending)
	for _, selected := range batch {
		c.release(queue, selected)
	}
	queue.callStart, queue.inFlight = now, len(batch) > 0
	return batch, now.Before(queue.group.splitUntil)
}

// writeBatch commits requests in one transaction. If that fails, it commits each partition
// separately, because only one may be unavailable. Throttled requests are queued again.
func (c *Committer) writeBatch(queue *queue, requests []*pendingRequest, split bool) {
	partitions := splitByPartition(requests)
	if !split || len(partitions) == 1 {
		err := c.commit(requests)
		if err == nil || errors.Is(err, store.ErrThrottled) || len(partitions) == 1 || c.options.TableUnreachable() {
			c.complete(queue, requests, err)
			return
		}
		c.splitPartitions(queue, err)
	}
	var group sync.WaitGroup
	for _, partition := range partitions {
		group.Go(func() { c.complete(queue, partition, c.commit(partition)) })
	}
	group.Wait()
}

// commit writes the rows of requests in one transaction, with a timeout.
func (c *Committer) commit(requests []*pendingRequest) error {
	transaction := buildTransaction(requests)
	limit := min(max(commitTimeoutFactor*store.HedgeDelayAtLeast(c.options.Store, 0), minCommitTime), maxCommitTime)
	bound := locality.WithContentRegions(context.Background(), locality.Regions{c.options.Region})
	ctx, cancel := context.WithTimeout(bound, limit)
	defer cancel()
	start := time.Now()
	_, err := store.CommitUnlessThrottled(ctx, c.options.Store, transaction)
	if err == nil {
		c.callTime.Observe(time.Since(start))
	}
	c.options.Metrics.RecordCommit(len(transaction.Put), err == nil)
	return err
}

// splitPartitions makes the group commit each partition separately for splitPeriod.
func (c *Committer) splitPartitions(queue *queue, err error) {
	c.mutex.Lock()
	queue.group.splitUntil = time.Now().Add(splitPeriod)
	c.mutex.Unlock()
	c.options.Logger.WithError(err).WithField("for_ms", splitPeriod.Milliseconds()).
		Warn("commit across partitions failed; committing each partition separately")
}

// complete reports the outcome of requests to their senders, or queues them again if they were
// throttled.
func (c *Committer) complete(queue *queue, requests []*pendingRequest, err error) {
	if errors.Is(err, store.ErrThrottled) {
		c.requeue(queue, requests)
		return
	}
	outcome := OutcomeFailed
	if err == nil {
		outcome = OutcomeStored
		c.resetBackoff(queue)
	}
	for _, done := range requests {
		done.outcome <- outcome
	}
}

// resetBackoff ends the backoff of a queue after a successful commit.
func (c *Committer) resetBackoff(queue *queue) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	queue.backoff.Reset()
	queue.pause = 0
}

// requeue queues throttled requests again, except expired ones, and starts a backoff.
func (c *Committer) requeue(queue *queue, requests []*pendingRequest) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	now := time.Now()
	queue.group.throttledAt, queue.pause = now, queue.backoff.Next()
	queue.group.share.onThrottled(now)
	for _, throttled := range requests {
		if now.Before(throttled.deadline) {
			c.add(queue, throttled)
		}
	}
}
