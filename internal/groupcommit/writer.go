package groupcommit

import (
	"context"
	"errors"
	"maps"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/cloverwheel/cloverwheel/internal/budget"
	"github.com/cloverwheel/cloverwheel/internal/directory"
	"github.com/cloverwheel/cloverwheel/internal/fault"
	"github.com/cloverwheel/cloverwheel/internal/store"
	"github.com/cloverwheel/cloverwheel/internal/timing"
)

const (
	// The sender waits ownerTimeoutFactor times the owner's last estimate, limited to
	// minOwnerTimeout and maxOwnerTimeout, plus the network round trip. The factor allows for an
	// outdated estimate.
	ownerTimeoutFactor = 2
	minOwnerTimeout    = 60 * time.Millisecond
	maxOwnerTimeout    = time.Second
	// Bounds of the network round trip.
	minRoundTrip = 30 * time.Millisecond
	maxRoundTrip = 150 * time.Millisecond
	// ownerTimeShare is the largest part of the caller's remaining time that is spent on owners.
	// The rest is left for a direct write.
	ownerTimeShare = 0.5
	// maxPutTime bounds the total time of Put, with retries while the table throttles.
	maxPutTime = 5 * time.Second
	// maxLateAttempts bounds the attempts with an owner that answers OutcomeLate. Such an owner is
	// alive, and its answer carries a newer estimate.
	maxLateAttempts = 3
	// retryDelay is the delay before a retry.
	retryDelay = 40 * time.Millisecond
	// minUsefulTimeout is the shortest timeout with which a request is sent.
	minUsefulTimeout = 30 * time.Millisecond
	// nearLimitPeriod is how long throttling, or an owner's report, counts as a sign that the
	// table is near its limit.
	nearLimitPeriod = 3 * time.Second
	// unsupportedPeriod is how long a node that does not support the request is skipped.
	unsupportedPeriod = 10 * time.Second
	// maxRequestBytes bounds the rows sent to an owner. Larger rows gain little from sharing a
	// commit.
	maxRequestBytes = 200 << 10
)

// Owners looks up the owners of directory slots and tracks whether they respond.
type Owners interface {
	// Owner returns the owner of a slot. The result is false if the owner is
	// unknown or has recently failed to answer.
	Owner(slot int) (budget.Holder, bool)
	// RecordAnswer records that the owner of a slot answered; RecordNoAnswer records that it did not.
	RecordAnswer(slot int)
	RecordNoAnswer(slot int, asked budget.Holder)
}

// Peers sends requests to other nodes.
type Peers interface {
	// ForwardRows sends a request to the owner of a group. It returns ErrRegionNotAllowed if the rows may
	// not pass to the owner's region.
	ForwardRows(ctx context.Context, owner budget.Holder, request Request) (Answer, error)
}

// ErrRegionNotAllowed means that the rows are restricted to regions other than the owner's.
var ErrRegionNotAllowed = errors.New("the slot owner is outside the regions that the rows are restricted to; write them to the table directly")

// WriterOptions configures a Writer.
type WriterOptions struct {
	Process string // name of this process
	Slots   Slots
	Owners  Owners
	Peers   Peers
	// ResponseTimes estimates the response times of other nodes; nil means unknown.
	ResponseTimes timing.TimeoutFunc
	Committer     *Committer // this process's own
	// ThrottledSince reports whether the table has throttled a commit of this node since the given
	// time.
	ThrottledSince func(moment time.Time) bool
	// Limit covers all groups. Nodes returns the number of nodes that write about as much as this
	// one, from which the rate of all nodes is estimated.
	Limit   CommitLimit
	Nodes   func() int
	Metrics Metrics
	Logger  log.Interface
}

// Slots maps groups to the directory slots of the local region.
type Slots struct {
	Layout directory.Layout
	Region string
}

// slotFor returns the slot of a group.
func (s Slots) slotFor(group int) int { return s.Layout.SlotIn(s.Region, slotHash(group)) }

// Groups returns the number of groups in all regions.
func (s Slots) Groups() int { return s.Layout.RegionCount() * Groups }

// OwnsGroup converts a check of slot ownership into one of group ownership.
func (s Slots) OwnsGroup(owns func(slot int) bool) func(group int) bool {
	return func(group int) bool { return owns(s.slotFor(group)) }
}

// Writer sends rows to the owners of their groups while the table is near its commit limit. It is
// safe for concurrent use.
type Writer struct {
	options WriterOptions

	mutex            sync.Mutex
	forwarding       bool
	reportedAt       time.Time // when an owner last reported that the table is near its limit
	rate             rate      // rows of this node
	nearLimit        bool      // the estimated rate of all nodes is near the limit
	nodes            int       // cached result of WriterOptions.Nodes
	nodesCheckedAt   time.Time
	expectedWait     [Groups]time.Duration
	unsupportedUntil map[string]time.Time // by process; it gets no requests until then
}

// NewWriter returns a writer that assumes spare capacity at the table.
func NewWriter(options WriterOptions) *Writer {
	return &Writer{options: options, unsupportedUntil: map[string]time.Time{}, rate: rate{window: nodeRateWindow}}
}

// Put sends rows of one partition to the group's owner and reports whether they are certainly in
// the table. If not, the caller must write them itself. Put returns false at once while the table
// has spare capacity.
func (w *Writer) Put(ctx context.Context, partition int, rows []store.Row) (stored bool) {
	if !w.shouldForward(len(rows), time.Now()) {
		return false
	}
	request := Request{Group: groupOf(partition), Rows: rows}
	if len(rows) > maxBatchRows || request.size() > maxRequestBytes {
		return false
	}
	deadline := w.deadline(ctx, time.Now())
	for attempt := 1; ; attempt++ {
		request.Within = min(w.ownerTimeout(request.Group), time.Until(deadline))
		if request.Within < minUsefulTimeout {
			return false
		}
		request.Again = attempt > 1
		outcome, retry := w.sendToOwner(ctx, request)
		if outcome != "" {
			w.options.Metrics.RecordForward(outcome)
		}
		if outcome == OutcomeStored {
			return true
		}
		if outcome == OutcomeLate && attempt < maxLateAttempts {
			continue
		}
		if !retry || timing.Sleep(ctx, retryDelay) != nil {
			return false
		}
	}
}

// deadline returns when Put gives up so that the caller can write directly.
func (w *Writer) deadline(ctx context.Context, now time.Time) time.Time {
	if end, bounded := ctx.Deadline(); bounded {
		return now.Add(min(maxPutTime, time.Duration(ownerTimeShare*float64(end.Sub(now)))))
	}
	return now.Add(maxPutTime)
}

// shouldForward counts rows, reports whether they are to be sent to an owner, and logs when that
// changes.
func (w *Writer) shouldForward(rows int, now time.Time) bool {
	throttled := w.options.ThrottledSince(now.Add(-nearLimitPeriod))
	w.mutex.Lock()
	defer w.mutex.Unlock()
	reported := !w.reportedAt.IsZero() && now.Sub(w.reportedAt) < nearLimitPeriod
	clusterRate := w.clusterRate(rows, now)
	w.nearLimit = w.options.Limit.ClusterNearLimit(clusterRate, w.nearLimit)
	if forwarding := throttled || reported || w.nearLimit; forwarding != w.forwarding {
		w.forwarding = forwarding
		w.options.Logger.WithField("engaged", forwarding).WithField("throttled", throttled).
			WithField("told", reported).WithField("told_ms", now.Sub(w.reportedAt).Milliseconds()).
			WithField("near", w.nearLimit).WithField("rows_per_s", int(clusterRate)).WithField("nodes", w.nodes).
			WithField("writes_per_s", int(w.options.Limit.PerSecond)).
			Info("forwarding of rows to group owners changed; this node writes rows itself while engaged is false")
	}
	return w.forwarding
}

// clusterRate counts rows and estimates the row rate of all nodes from this node's. The caller
// holds the mutex.
func (w *Writer) clusterRate(rows int, now time.Time) float64 {
	w.rate.add(rows, now)
	if now.Sub(w.nodesCheckedAt) >= nodeRateWindow {
		w.nodes, w.nodesCheckedAt = w.options.Nodes(), now
	}
	return w.rate.at(now) * float64(max(1, w.nodes))
}

// ownerTimeout returns the timeout for the group's owner, from its last estimate.
func (w *Writer) ownerTimeout(group int) time.Duration {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return min(max(ownerTimeoutFactor*w.expectedWait[group], minOwnerTimeout), maxOwnerTimeout)
}

// sendToOwner sends a request to the owner of the group's slot. outcome is empty if no request was
// sent or the rows may not pass to the owner. retry reports that the owner is working and the
// table throttles commits.
func (w *Writer) sendToOwner(ctx context.Context, request Request) (outcome Outcome, retry bool) {
	slot := w.options.Slots.slotFor(request.Group)
	owner, ok := w.options.Owners.Owner(slot)
	if !ok || w.isUnsupported(owner.Process) {
		return "", false
	}
	request.Process = owner.Process
	if owner.Process == w.options.Process {
		return w.recordAnswer(request.Group, w.options.Committer.Answer(ctx, request))
	}
	limited, cancel := context.WithTimeout(ctx, request.Within+w.options.ResponseTimes.For(owner.Process, minRoundTrip, maxRoundTrip))
	defer cancel()
	answer, err := w.options.Peers.ForwardRows(limited, owner, request)
	switch {
	case err == nil && answer.Owner:
		w.options.Owners.RecordAnswer(slot)
		return w.recordAnswer(request.Group, answer)
	case err == nil:
		w.options.Owners.RecordNoAnswer(slot, owner)
		return OutcomeNotOwner, false
	case errors.Is(err, ErrRegionNotAllowed):
		return "", false
	case fault.Is(err, fault.Invalid):
		w.markUnsupported(owner.Process)
		return OutcomeUnsupported, false
	case ctx.Err() == nil:
		w.options.Owners.RecordNoAnswer(slot, owner)
	}
	return OutcomeNoAnswer, false
}

// recordAnswer stores the state in an owner's answer. retry is as in sendToOwner.
func (w *Writer) recordAnswer(group int, answer Answer) (outcome Outcome, retry bool) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if !answer.Owner {
		return OutcomeNotOwner, false
	}
	w.expectedWait[group] = answer.Expect
	if answer.Short {
		w.reportedAt = time.Now()
	}
	return answer.Outcome, answer.Throttled && (answer.Outcome == OutcomeLate || answer.Outcome == OutcomeFull)
}

// isUnsupported reports whether a process recently did not support the request.
func (w *Writer) isUnsupported(process string) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return time.Now().Before(w.unsupportedUntil[process])
}

// markUnsupported records a process that does not support the request, and removes expired
// records.
func (w *Writer) markUnsupported(process string) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	now := time.Now()
	maps.DeleteFunc(w.unsupportedUntil, func(_ string, until time.Time) bool { return !now.Before(until) })
	w.unsupportedUntil[process] = now.Add(unsupportedPeriod)
}
