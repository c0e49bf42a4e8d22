package groupcommit

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/cloverwheel/cloverwheel/internal/store"
	"github.com/cloverwheel/cloverwheel/internal/timing"
)

const (
	// maxQueueRows bounds the pending rows of a queue to what a few commits take.
	maxQueueRows = 5 * maxBatchRows
	// throttledPeriod is how long the table counts as near its limit after it throttled a commit.
	throttledPeriod = 3 * time.Second
	// maxBackoff is the longest mean delay after throttled commits. It is shorter than for other
	// writers, whose commits carry fewer rows.
	maxBackoff = 160 * time.Millisecond
	// minCallEstimate is the lower bound of the estimated duration of a commit.
	minCallEstimate = 20 * time.Millisecond
)

// CommitterOptions configures a Committer.
type CommitterOptions struct {
	// Process is the name of this process. Owns reports whether it owns the slot of a group.
	Process string
	Owns    func(group int) bool
	// Store is the table, reached directly or through relays. TableUnreachable
	// reports that the table is currently unreachable by every route.
	Store            store.Store
	TableUnreachable func() bool
	// Region is the region of this node. Received rows may be relayed only through nodes of this
	// region.
	Region string
	Limit  CommitLimit
	// MaxPendingBytes bounds the pending rows of all groups together.
	MaxPendingBytes int
	Metrics         Metrics
	Logger          log.Interface
}

// Metrics records the activity of a Committer and a Writer. It must be safe for concurrent use.
type Metrics interface {
	// RecordCommit records a commit: its number of rows, and whether the table accepted it.
	RecordCommit(rows int, taken bool)
	// RecordWait records how long the committer held the rows of a request.
	RecordWait(waited time.Duration)
	// RecordForward records the outcome of rows that this node sent to an owner.
	RecordForward(outcome Outcome)
}

// Committer writes the rows of the groups whose slots this process owns.
type Committer struct {
	options  CommitterOptions
	callTime timing.LatencyEstimate // duration of commits

	mutex        sync.Mutex
	pendingBytes int // size of all pending rows
	groups       [Groups]group
}

// group is the state of a group of partitions.
type group struct {
	rate        rate
	nearLimit   bool
	splitUntil  time.Time // until when each partition is committed separately
	throttledAt time.Time // when the table last throttled a commit
	share       writeShare
	queues      map[string]*queue
}

// NewCommitter returns a committer with empty queues.
func NewCommitter(options CommitterOptions) *Committer {
	committer := &Committer{options: options}
	for number := range committer.groups {
		committer.groups[number] = group{rate: rate{window: groupRateWindow}, queues: map[string]*queue{}}
	}
	return committer
}

// Answer queues the rows of a request and commits them together with those of others. It returns
// once the rows are in the table, or when the sender's timeout or ctx ends.
func (c *Committer) Answer(ctx context.Context, request Request) Answer {
	if request.Process != c.options.Process || request.Group < 0 || request.Group >= Groups || !c.options.Owns(request.Group) {
		return Answer{}
	}
	if len(request.Rows) == 0 || len(request.Rows) > maxBatchRows {
		return c.buildAnswer(request.Group, nil, OutcomeFailed)
	}
	if c.options.TableUnreachable() {
		return c.buildAnswer(request.Group, nil, OutcomeFailed)
	}
	queue, pending := c.enqueue(request)
	if pending == nil {
		return c.buildAnswer(request.Group, queue, OutcomeFull)
	}
	timer := time.NewTimer(request.Within)
	defer timer.Stop()
	outcome := OutcomeLate
	select {
	case outcome = <-pending.outcome:
	case <-timer.C:
	case <-ctx.Done():
	}
	if outcome == OutcomeLate {
		c.cancel(queue, pending)
	}
	answer := c.buildAnswer(request.Group, queue, outcome)
	answer.Took = time.Since(pending.arrived)
	c.options.Metrics.RecordWait(answer.Took)
	return answer
}

// enqueue adds the rows to their queue and starts the queue's worker if it is idle. pending is nil
// if the queue or the memory limit is full.
func (c *Committer) enqueue(request Request) (queue *queue, pending *pendingRequest) {
	size, now := request.size(), time.Now()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	group := &c.groups[request.Group]
	if !request.Again {
		group.rate.add(len(request.Rows), now)
	}
	queue = c.queueFor(group, request.Rows[0].Part)
	if queue == nil || queue.rows+len(request.Rows) > maxQueueRows || c.pendingBytes+size > c.options.MaxPendingBytes {
		return queue, nil
	}
	pending = &pendingRequest{rows: request.Rows, bytes: size, arrived: now, deadline: now.Add(request.Within), outcome: make(chan Outcome, 1)}
	c.add(queue, pending)
	if !queue.running {
		queue.running = true
		go c.run(queue)
	}
	return queue, pending
}

// queueFor returns the queue of a partition, or that of its whole group if the table accepts
// transactions across partitions. It is nil once a group already has queues for as many partitions
// as it can have. The caller holds the mutex.
func (c *Committer) queueFor(group *group, partition string) *queue {
	if c.options.Limit.CrossPartition {
		partition = ""
	}
	existing, ok := group.queues[partition]
	if !ok && len(group.queues) < partitionsPerGroup {
		existing = &queue{group: group, backoff: store.Backoff{MaxPause: maxBackoff}}
		group.queues[partition] = existing
	}
	return existing
}

// buildAnswer combines an outcome with the state of its group, and logs when the group reaches or
// leaves its commit limit. queue may be nil.
func (c *Committer) buildAnswer(number int, queue *queue, outcome Outcome) Answer {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	group, now := &c.groups[number], time.Now()
	rate := group.rate.at(now)
	throttled := !group.throttledAt.IsZero() && now.Sub(group.throttledAt) < throttledPeriod
	nearLimit := throttled || c.options.Limit.GroupNearLimit(rate, group.nearLimit)
	if nearLimit != group.nearLimit {
		group.nearLimit = nearLimit
		c.options.Logger.WithField("short", nearLimit).WithField("group", number).WithField("rows_per_s", int(rate)).
			WithField("writes_per_s", int(c.options.Limit.PerSecond)).WithField("throttled", throttled).
			WithField("bytes", c.pendingBytes).Info("nearness to the table's commit limit changed; senders forward rows to this owner while short is true")
	}
	answer := Answer{Owner: true, Outcome: outcome, Short: nearLimit}
	if queue != nil {
		answer.Throttled = queue.pause > 0
		answer.Expect = c.estimateWait(queue, rate, now)
	}
	return answer
}

// estimateWait estimates the time to write rows that arrive now: the commit in flight, the batch
// delay or backoff, their own commit, and further ones if more rows are pending than fit in one.
// The caller holds the mutex.
func (c *Committer) estimateWait(queue *queue, rate float64, now time.Time) time.Duration {
	call := c.callTime.Timeout(minCallEstimate, maxCommitTime)
	if queue.inFlight {
		call = max(call, min(now.Sub(queue.callStart), maxCommitTime))
	}
	calls := time.Duration(2 + queue.rows/maxBatchRows)
	return calls*call + max(c.batchDelay(queue.group, now), queue.pause)
}

// batchDelay returns how long the first row of a commit currently waits for more rows. The caller
// holds the mutex.
func (c *Committer) batchDelay(group *group, now time.Time) time.Duration {
	return c.options.Limit.BatchDelay(group.rate.at(now), group.share.at(now))
}
