package capacity

import (
	"slices"
	"time"
)

const (
	// reportDelayBusy and reportDelayNormal are the minimum times from the last report until one
	// without a query, at high and at low load. reportDelayGranted is used after a query has ended,
	// unless reportDelayBusy applies; it has to be well below grantTTL, the lifetime of an
	// unreported grant.
	reportDelayBusy    = 10 * time.Millisecond
	reportDelayGranted = 150 * time.Millisecond
	reportDelayNormal  = 400 * time.Millisecond
	// renewInterval is the time after which an unchanged report is repeated, and reportTTL how long a
	// report counts. Two consecutive reports may be lost.
	renewInterval = 300 * time.Millisecond
	reportTTL     = 900 * time.Millisecond
	// decideLocallyBelow is the utilization below which a node chooses workers without the
	// coordinator: most of them have capacity then.
	decideLocallyBelow = 0.5
	// A utilization received from the coordinator is valid for utilizationTTL, or for
	// idleUtilizationTTL if it is below idleBelow.
	utilizationTTL     = time.Second
	idleBelow          = 0.25
	idleUtilizationTTL = 10 * time.Second
	// maxDeclined limits Report.Declined.
	maxDeclined = 16
)

// NodeLoad is the load of one node in a group, and the utilization that the group's coordinator last
// reported. It reads no clock; callers pass the time.
type NodeLoad struct {
	group          Group
	sequence       uint64
	running        map[string]workerLoad // by worker key
	pendingQueries []uint64              // sequences of the queries that the node waits for
	ended          int                   // requests ended since the last report
	held           time.Duration         // total time that these occupied their workers
	declined       []string
	changed        bool // changes since the last report that the coordinator has not received
	granted        bool // queries ended since the last report; the coordinator already counts its grants
	reportedAt     time.Time
	utilization    float64
	utilizationAt  time.Time // when utilization was received; zero: never
}

// NewNodeLoad returns the load of a node without running requests.
func NewNodeLoad(group Group) *NodeLoad {
	return &NodeLoad{group: group, running: map[string]workerLoad{}}
}

// Begin counts a request at a worker chosen by this node.
func (l *NodeLoad) Begin(worker string, tokens int) {
	l.add(worker, 1, tokens)
	l.changed = true
}

// BeginGranted counts a request at a worker assigned by the coordinator.
func (l *NodeLoad) BeginGranted(worker string, tokens int) {
	l.add(worker, 1, tokens)
	l.granted = true
}

// End removes a request that occupied the worker for held.
func (l *NodeLoad) End(worker string, tokens int, held time.Duration) {
	l.add(worker, -1, -tokens)
	l.changed = true
	l.ended++
	l.held += held
}

func (l *NodeLoad) add(worker string, requests, tokens int) {
	current := l.running[worker]
	current.requests += requests
	current.tokens += tokens
	if current.requests <= 0 {
		delete(l.running, worker)
		return
	}
	l.running[worker] = current
}

// Declined records that a worker declined a request because it is full.
func (l *NodeLoad) Declined(worker string) {
	if len(l.declined) < maxDeclined && !slices.Contains(l.declined, worker) {
		l.declined = append(l.declined, worker)
	}
	l.changed = true
}

// Report returns the next report to the coordinator and resets the changes.
func (l *NodeLoad) Report(from string, now time.Time) Report {
	l.sequence++
	report := Report{
		From: from, Sequence: l.sequence, Group: l.group, Lasts: reportTTL,
		Pending: slices.Clone(l.pendingQueries), Ended: l.ended, Held: l.held, Declined: l.declined,
	}
	for worker, current := range l.running {
		report.Running = append(report.Running, Running{Worker: worker, Requests: current.requests, Tokens: current.tokens})
	}
	l.ended, l.held, l.declined, l.changed, l.granted, l.reportedAt = 0, 0, nil, false, false, now
	return report
}

// QuerySent records that the node waits for the answer to the query sent with a report.
func (l *NodeLoad) QuerySent(sequence uint64) { l.pendingQueries = append(l.pendingQueries, sequence) }

// QueryDone records that the node does not wait for a query any more. The caller has to count a
// granted request before the next report.
func (l *NodeLoad) QueryDone(sequence uint64) {
	l.pendingQueries = slices.DeleteFunc(l.pendingQueries, func(other uint64) bool { return other == sequence })
	l.granted = true
}

// ReportLost records that the last report did not reach the coordinator, so that it is repeated.
func (l *NodeLoad) ReportLost(now time.Time) { l.changed, l.reportedAt = true, now }

// SetUtilization records the utilization that the coordinator reported.
func (l *NodeLoad) SetUtilization(utilization float64, now time.Time) {
	l.utilization, l.utilizationAt = utilization, now
}

// Utilization returns the utilization that the coordinator last reported, and its age.
func (l *NodeLoad) Utilization(now time.Time) (utilization float64, age time.Duration, known bool) {
	return l.utilization, now.Sub(l.utilizationAt), !l.utilizationAt.IsZero()
}

// CanDecideLocally reports whether the node may choose a worker without the coordinator: the last
// utilization is recent and low, or none was ever received.
func (l *NodeLoad) CanDecideLocally(now time.Time) bool {
	age := now.Sub(l.utilizationAt)
	switch {
	case l.utilizationAt.IsZero():
		return true
	case l.utilization < idleBelow:
		return age <= idleUtilizationTTL
	default:
		return l.utilization < decideLocallyBelow && age <= utilizationTTL
	}
}

// NextReport returns when the next report is due. ok is false if there is nothing to report.
func (l *NodeLoad) NextReport() (at time.Time, ok bool) {
	switch {
	case l.changed && l.utilization >= decideLocallyBelow:
		return l.reportedAt.Add(reportDelayBusy), true
	case l.granted:
		return l.reportedAt.Add(reportDelayGranted), true
	case l.changed:
		return l.reportedAt.Add(reportDelayNormal), true
	case len(l.running) > 0:
		return l.reportedAt.Add(renewInterval), true
	default:
		return time.Time{}, false
	}
}

// Idle reports whether nothing is running, pending or unreported, and the last utilization has
// expired.
func (l *NodeLoad) Idle(now time.Time) bool {
	return len(l.running) == 0 && len(l.pendingQueries) == 0 && !l.changed && !l.granted && now.Sub(l.utilizationAt) > idleUtilizationTTL
}
