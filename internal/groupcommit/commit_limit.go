package groupcommit

import "time"

const (
	// groupCommitShare is the share of the table's commit rate for group commit. Accounts, slots
	// and direct writes of nodes use the rest.
	groupCommitShare = 0.7
	// targetUtilization is the part of the share that batch delays aim for. Rates are estimates,
	// and an estimate that is too low costs more commits than one that is too high saves.
	targetUtilization = 0.97
	// maxBatchDelay bounds how long rows wait for more rows to share their commit.
	maxBatchDelay = 250 * time.Millisecond
	// The table counts as near its limit from when the row rate reaches nearLimitEnter of the
	// allowed commit rate until it falls below nearLimitLeave. The gap keeps nodes from switching
	// back and forth.
	nearLimitEnter = 0.8
	nearLimitLeave = 0.5
)

// CommitLimit computes batch delays from the table's commit limit.
type CommitLimit struct {
	// PerSecond is the number of commits per second that the table accepts from all nodes; 0 means
	// unknown.
	PerSecond float64
	// Groups is the number of groups in all regions. They share the commit rate evenly.
	Groups int
	// CrossPartition reports that the table accepts transactions across partitions.
	CrossPartition bool
}

// queues returns the number of queues of a group. Rows that may share a commit share a queue.
func (l CommitLimit) queues() int {
	if l.CrossPartition {
		return 1
	}
	return partitionsPerGroup
}

// groupCalls returns the commit rate allowed to one group, per second; 0 means unknown.
func (l CommitLimit) groupCalls() float64 {
	return groupCommitShare * l.PerSecond / float64(max(1, l.Groups))
}

// BatchDelay returns how long the first row of a commit waits for more rows. rate is the group's
// rows per second; share is the part of the group's commit rate that is currently usable, from 0
// to 1. The delay keeps the group within that rate, up to maxBatchDelay. It is 0 while the row
// rate does not exceed the commit rate.
func (l CommitLimit) BatchDelay(rate, share float64) time.Duration {
	calls := share * l.groupCalls()
	if calls <= 0 || rate <= calls {
		return 0
	}
	queues := float64(l.queues())
	delay := queues/(targetUtilization*calls) - queues/rate // a queue's commit interval is the wait for its first row plus the delay
	return min(time.Duration(delay*float64(time.Second)), maxBatchDelay)
}

// GroupNearLimit reports whether the row rate of one group, in rows per second, is near the
// group's share of the commit limit. was is the previous result.
func (l CommitLimit) GroupNearLimit(rate float64, was bool) bool {
	calls := l.groupCalls()
	switch {
	case calls <= 0:
		return false
	case was:
		return rate >= nearLimitLeave*calls
	default:
		return rate >= nearLimitEnter*calls
	}
}

// ClusterNearLimit is GroupNearLimit for the row rate of all nodes together.
func (l CommitLimit) ClusterNearLimit(rate float64, was bool) bool {
	return l.GroupNearLimit(rate/float64(max(1, l.Groups)), was)
}

// Window lengths of the rate estimates: long enough to contain some rows, and short enough to
// detect a burst as it starts. A single node has fewer rows than a group and needs the longer one.
const (
	groupRateWindow = time.Second
	nodeRateWindow  = 2 * time.Second
)

// rate estimates events per second by a sliding window: the count of the current window plus that
// of the previous one, weighted by the part that is still within the window.
type rate struct {
	window            time.Duration
	windowStart       time.Time // start of the current window
	previous, current int
}

// add counts rows that arrive at now.
func (r *rate) add(rows int, now time.Time) {
	r.advance(now)
	r.current += rows
}

// at returns the estimated rate at now, per second.
func (r *rate) at(now time.Time) float64 {
	r.advance(now)
	weight := 1 - float64(now.Sub(r.windowStart))/float64(r.window)
	return (float64(r.current) + weight*float64(r.previous)) / r.window.Seconds()
}

func (r *rate) advance(now time.Time) {
	switch elapsed := now.Sub(r.windowStart); {
	case elapsed < r.window:
	case elapsed < 2*r.window:
		r.windowStart, r.previous, r.current = r.windowStart.Add(r.window), r.current, 0
	default:
		r.windowStart, r.previous, r.current = now, 0, 0
	}
}
