package capacity

import (
	"slices"
	"time"
)

const (
	// settleTime is how long a new GroupLoad collects reports before it answers queries. By then every
	// node has detected that the previous coordinator fails to answer its renewed reports.
	settleTime = renewInterval + reportTimeout + 100*time.Millisecond
	// reportGapTimeout is the time without any report after which the load has to settle again.
	reportGapTimeout = time.Second
	// grantTTL is how long a grant counts if no report covers it.
	grantTTL = 400 * time.Millisecond
	// declineBackoff is how long a worker that declined a request gets no further one.
	declineBackoff = 60 * time.Millisecond
	// maxReportTTL caps Report.Lasts.
	maxReportTTL = 2 * time.Second
	// maxNodes limits the tracked nodes, and maxGrantsPerNode the outstanding grants of each.
	maxNodes         = 2048
	maxGrantsPerNode = 64
	// sweepInterval is the minimum time between two removals of expired state.
	sweepInterval = 20 * time.Millisecond
	// holdTimeGain is the weight of a new sample in the moving average of hold times.
	holdTimeGain = 1.0 / 8
)

// Member is a worker of a group that may receive requests.
type Member struct {
	Worker      string // worker key
	Concurrency int    // concurrency limit: requests that it runs at once
	Memory      int    // tokens that fit into its memory; 0: unknown
}

// GroupLoad is the load of a group's workers, summed over the reports of all nodes. It reads no clock;
// callers pass the time. The zero value is not usable.
type GroupLoad struct {
	members       []Member
	settlingSince time.Time // start of the current settling period
	lastReport    time.Time // arrival of the latest report of any node
	nodes         map[string]*nodeState
	loads         map[string]workerLoad // by worker key
	declined      map[string]time.Time  // by worker key: until when it gets no request
	lastSweep     time.Time
	holdTime      time.Duration // average time that a request occupies a worker; 0: unknown
}

// workerLoad is the number of requests and tokens at a worker.
type workerLoad struct {
	requests, tokens int
}

// nodeState is what a node last reported and the grants that it holds.
type nodeState struct {
	sequence uint64
	expires  time.Time
	running  []Running
	grants   []grant
}

// grant is a request assigned to a worker in answer to a query and not covered by a report yet.
type grant struct {
	sequence uint64 // of the query
	worker   string
	tokens   int
	expires  time.Time
}

// NewGroupLoad returns a GroupLoad without members or reports.
func NewGroupLoad() *GroupLoad {
	return &GroupLoad{nodes: map[string]*nodeState{}, loads: map[string]workerLoad{}, declined: map[string]time.Time{}}
}

// SetMembers replaces the workers that may receive requests.
func (l *GroupLoad) SetMembers(members []Member) { l.members = members }

// ApplyReport replaces what the reporting node had running, unless the report is older than the node's
// latest one.
func (l *GroupLoad) ApplyReport(report Report, now time.Time) {
	if l.lastReport.IsZero() || now.Sub(l.lastReport) > reportGapTimeout {
		l.settlingSince = now
	}
	l.lastReport = now
	l.sweep(now)
	node, ok := l.nodes[report.From]
	if !ok {
		if len(l.nodes) >= maxNodes {
			return
		}
		node = &nodeState{}
		l.nodes[report.From] = node
	}
	for _, worker := range report.Declined {
		l.declined[worker] = now.Add(declineBackoff)
	}
	l.updateHoldTime(report)
	if report.Sequence <= node.sequence {
		return
	}
	node.sequence = report.Sequence
	node.expires = now.Add(min(report.Lasts, maxReportTTL))
	l.replaceRunning(node, report.Running)
	l.dropCoveredGrants(node, report)
}

// updateHoldTime adds a report's finished requests to the average hold time.
func (l *GroupLoad) updateHoldTime(report Report) {
	if report.Ended <= 0 || report.Held <= 0 {
		return
	}
	sample := report.Held / time.Duration(report.Ended)
	if l.holdTime == 0 {
		l.holdTime = sample
		return
	}
	l.holdTime += time.Duration(holdTimeGain * float64(sample-l.holdTime))
}

// replaceRunning replaces the running requests of a node.
func (l *GroupLoad) replaceRunning(node *nodeState, running []Running) {
	for _, previous := range node.running {
		l.add(previous.Worker, -previous.Requests, -previous.Tokens)
	}
	node.running = running
	for _, current := range running {
		l.add(current.Worker, current.Requests, current.Tokens)
	}
}

// dropCoveredGrants removes the grants that a report covers: those of earlier queries that the node
// does not wait for any more.
func (l *GroupLoad) dropCoveredGrants(node *nodeState, report Report) {
	node.grants = slices.DeleteFunc(node.grants, func(granted grant) bool {
		covered := granted.sequence < report.Sequence && !slices.Contains(report.Pending, granted.sequence)
		if covered {
			l.add(granted.worker, -1, -granted.tokens)
		}
		return covered
	})
}

// add adds to the load of a worker; negative numbers subtract.
func (l *GroupLoad) add(worker string, requests, tokens int) {
	current := l.loads[worker]
	current.requests += requests
	current.tokens += tokens
	if current.requests <= 0 {
		delete(l.loads, worker)
		return
	}
	l.loads[worker] = current
}

// sweep removes expired reports, grants and declines.
func (l *GroupLoad) sweep(now time.Time) {
	if now.Sub(l.lastSweep) < sweepInterval {
		return
	}
	l.lastSweep = now
	for process, node := range l.nodes {
		l.dropExpiredGrants(node, now)
		if now.Before(node.expires) {
			continue
		}
		l.replaceRunning(node, nil)
		if len(node.grants) == 0 && now.Sub(node.expires) > maxReportTTL {
			delete(l.nodes, process)
		}
	}
	for worker, until := range l.declined {
		if !now.Before(until) {
			delete(l.declined, worker)
		}
	}
}

// dropExpiredGrants removes the grants that no report covered in time.
func (l *GroupLoad) dropExpiredGrants(node *nodeState, now time.Time) {
	node.grants = slices.DeleteFunc(node.grants, func(granted grant) bool {
		expired := !now.Before(granted.expires)
		if expired {
			l.add(granted.worker, -1, -granted.tokens)
		}
		return expired
	})
}

// addGrant records that a query of a node was answered with a worker.
func (l *GroupLoad) addGrant(process string, sequence uint64, worker string, tokens int, now time.Time) {
	node, ok := l.nodes[process]
	if !ok || len(node.grants) >= maxGrantsPerNode {
		return
	}
	node.grants = append(node.grants, grant{sequence: sequence, worker: worker, tokens: tokens, expires: now.Add(grantTTL)})
	l.add(worker, 1, tokens)
}

// Settled reports whether all nodes have had time to report.
func (l *GroupLoad) Settled(now time.Time) bool {
	return !l.lastReport.IsZero() && now.Sub(l.settlingSince) >= settleTime && now.Sub(l.lastReport) <= reportGapTimeout
}

// Utilization returns the utilization of the members: running requests as a share of their concurrency
// limits. It is above 1 if requests queue at workers.
func (l *GroupLoad) Utilization() float64 {
	capacity, running := 0, 0
	for _, member := range l.members {
		capacity += member.Concurrency
		running += l.loads[member.Worker].requests
	}
	if capacity == 0 {
		return 0
	}
	return float64(running) / float64(capacity)
}

// totalCapacity returns the sum of the members' concurrency limits.
func (l *GroupLoad) totalCapacity() (total int) {
	for _, member := range l.members {
		total += member.Concurrency
	}
	return total
}

// anyCapacity reports whether a member can take one more request, overcommit included.
func (l *GroupLoad) anyCapacity() bool {
	return slices.ContainsFunc(l.members, func(member Member) bool {
		return l.loads[member.Worker].requests < member.Concurrency+overcommit
	})
}
