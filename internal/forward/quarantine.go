package forward

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/apex/log"

	"github.com/cloverwheel/cloverwheel/internal/backend"
	"github.com/cloverwheel/cloverwheel/internal/eligibility"
	"github.com/cloverwheel/cloverwheel/internal/fault"
	"github.com/cloverwheel/cloverwheel/internal/httpconn"
	"github.com/cloverwheel/cloverwheel/internal/id"
	"github.com/cloverwheel/cloverwheel/internal/locality"
	"github.com/cloverwheel/cloverwheel/internal/quarantine"
	"github.com/cloverwheel/cloverwheel/internal/timing"
)

// maxShareWait is how long the final answer of a request under which a worker ended waits until other nodes know of it. The
// client's next try may reach one of them at once.
const maxShareWait = 250 * time.Millisecond

// endingTime is how long a process may take to end after it closed a connection, on a busy machine.
const endingTime = 30 * time.Millisecond

// maxClaimWait is how long suspected work waits until other nodes know at which worker it will run.
const maxClaimWait = 40 * time.Millisecond

// keys identify the request's work over all tries of its client. They are computed when they are first needed, since a large
// body takes some time to hash.
func (x *exchange) keys() quarantine.Keys {
	if x.workKeys == nil {
		work := quarantine.Work{
			Program:      x.request.Program,
			Method:       x.request.Method,
			Host:         x.request.Host,
			Target:       x.request.Target,
			Prompt:       x.request.Prompt,
			PreviousTurn: x.request.PreviousTurn,
			Body:         x.request.Body,
		}
		if x.tenant != nil {
			work.Tenant = x.tenant.Name
		}
		keys := quarantine.KeysOf(work)
		x.workKeys = &keys
	}
	return *x.workKeys
}

// workFields returns the fields by which log lines on the same work can be joined.
func (x *exchange) workFields() log.Fields {
	fields := log.Fields{"content": x.keys().Content.String()}
	if x.request.Program != "" {
		fields["program"] = x.request.Program
	}
	return fields
}

// checkQuarantine refuses work under which too many workers have ended. It runs before each send.
func (x *exchange) checkQuarantine() *fault.Error {
	x.evidence = quarantine.Evidence{}
	if x.options.Quarantine.Loading() {
		return x.withRan(fault.New(fault.Unavailable, "this node has just started and does not know yet which work ends workers",
			"retry after the delay in Retry-After").WithRetryAfter(noConfigRetryAfter))
	}
	x.options.Quarantine.AwaitCurrent(x.clientCtx)
	if x.options.Quarantine.Empty() {
		return nil
	}
	x.evidence = x.options.Quarantine.Evidence(x.keys())
	if x.evidence.Ends()+x.attempts.unresolved() >= quarantine.MaxEnds {
		x.resolveBreaks()
		x.evidence = x.options.Quarantine.Evidence(x.keys())
	}
	if !x.evidence.Quarantined() {
		return nil
	}
	return x.withRan(fault.Newf(fault.WorkQuarantined, "change the request, or ask the operator to release the key",
		"%d workers ended while they ran this work, and it is sent to no other one (key %s)", x.evidence.Ends(), x.evidence.Key()))
}

// recordSeen records what was known of the work when it was sent to a worker.
func (x *exchange) recordSeen(worker *backend.Worker) {
	if !x.evidence.Suspect() && x.options.Quarantine.Empty() {
		return
	}
	if x.seen == nil {
		x.seen = map[string]quarantine.Evidence{}
	}
	x.seen[worker.Key()] = x.evidence
}

// checkEnded finds out whether a worker that has closed the request's connection has ended.
func (x *exchange) checkEnded(ctx context.Context, worker *backend.Worker, err error) {
	if !httpconn.ClosedByPeer(err) {
		return
	}
	x.lastBreak = time.Now()
	if worker.Leaving() {
		x.plannedEnds = append(x.plannedEnds, worker.Key())
	}
	limited, cancel := context.WithTimeout(ctx, dialCheckTimeout)
	defer cancel()
	if x.attempts.processEnded(worker.Key(), worker.Pool().ProbeEnded(limited)) {
		x.dropAttempt(worker, observedEnded)
	}
}

// resolveBreaks finds out, before a failed request is answered or its work may be sent to one worker too many, which of the workers
// that closed its connection have ended. The first look may have come while a process was ending.
func (x *exchange) resolveBreaks() {
	ctx, cancel := context.WithTimeout(context.Background(), dialCheckTimeout)
	defer cancel()
	x.dropRestarted()
	for _, worker := range x.attempted {
		if !x.attempts.closedBy(worker.Key()) {
			continue
		}
		_ = timing.Sleep(ctx, endingTime-time.Since(x.lastBreak))
		if x.attempts.processEnded(worker.Key(), worker.Pool().ProbeEnded(ctx)) {
			x.dropAttempt(worker, observedEnded)
		}
	}
}

// recordEnd records that a worker has ended while it ran the request. The end of one that was leaving is not the request's fault.
func (x *exchange) recordEnd(worker *backend.Worker, observed string) {
	if slices.Contains(x.plannedEnds, worker.Key()) {
		return
	}
	seen := x.seen[worker.Key()]
	if x.ended > 0 { // the sends of one request follow each other, whatever was known of their ends
		seen = x.options.Quarantine.Evidence(x.keys())
	}
	x.ended++
	since := x.options.Quarantine.RecordEnd(x.keys(), seen)
	x.options.Metrics.WorkersEnded.Inc()
	entry := x.options.Logger.WithFields(log.Fields{
		"request":  x.request.ID,
		"worker":   worker.Key(),
		"observed": observed,
		"ends":     since.Ends(),
		"key":      since.Key().String(),
	}).WithFields(x.workFields())
	if since.Quarantined() {
		entry.Warn("a worker ended while it ran the request; its work is quarantined and refused from now on")
		return
	}
	entry.Warn("a worker ended while it ran the request; its work is suspected until a worker answers it")
}

// recordHarmless records that a worker has answered the request completely.
func (x *exchange) recordHarmless() {
	if x.options.Quarantine.Empty() || !x.options.Quarantine.RecordAnswer(x.keys()) {
		return
	}
	x.options.Logger.WithField("request", x.request.ID).WithField("worker", x.lastWorker).WithFields(x.workFields()).
		Info("a worker answered suspected work; it is no longer suspected")
}

// awaitEndsShared waits until other nodes know of the ends under this request.
func (x *exchange) awaitEndsShared() {
	if x.ended == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), maxShareWait)
	defer cancel()
	x.options.Quarantine.Flush(ctx)
}

// chooseForSuspect chooses the worker of suspected work, or refuses it; nil: any worker may be chosen. All nodes choose the same
// worker for the same work, so that concurrent requests for it end no more than one, and other workers for other suspected work, so that
// work that ran beside fatal work is not sent to the next worker with it.
func (x *exchange) chooseForSuspect(ctx context.Context) (*backend.Worker, *fault.Error) {
	if !x.evidence.Suspect() {
		return nil, nil
	}
	usable := x.usableWorkers()
	if x.evidence.LastTrial() && len(usable) == 1 && x.options.Workers.Count(x.service) > 1 {
		return nil, x.withRan(fault.Newf(fault.Unavailable, "retry after the delay in Retry-After",
			"%d workers ended while they ran this work, and service %q has one usable worker left", x.evidence.Ends(), x.service).
			WithRetryAfter(jitteredRetryAfter()))
	}
	ordered := slices.DeleteFunc(sortByScore(usable, x.evidence.Key().String()), func(worker *backend.Worker) bool {
		return slices.Contains(x.excluded, worker.Key())
	})
	if worker := x.claimFirst(ctx, ordered); worker != nil || len(ordered) == 0 {
		return worker, nil
	}
	if x.evidence.LastTrial() {
		return nil, x.withRan(fault.Newf(fault.Unavailable, "retry after the delay in Retry-After",
			"%d workers ended while they ran this work, and other such work runs at all usable workers of service %q", x.evidence.Ends(), x.service).
			WithRetryAfter(jitteredRetryAfter()))
	}
	return ordered[0], nil
}

// claimFirst claims the first worker that no other suspected work has claimed; nil: none could be claimed.
func (x *exchange) claimFirst(ctx context.Context, workers []*backend.Worker) *backend.Worker {
	ctx, cancel := context.WithTimeout(ctx, maxClaimWait)
	defer cancel()
	key := x.evidence.Key()
	for _, worker := range workers {
		if x.options.Quarantine.Claimed(key, worker.Key()) {
			continue
		}
		if x.options.Quarantine.Claim(ctx, key, worker.Key()) {
			x.claimedKey, x.claimedWorker = key, worker.Key()
			return worker
		}
		x.options.Quarantine.EndClaim(key, worker.Key())
	}
	return nil
}

// releaseWorker releases what the request holds at the worker that it was sent to.
func (x *exchange) releaseWorker() {
	x.releaseSlot()
	if x.claimedWorker != "" {
		x.options.Quarantine.EndClaim(x.claimedKey, x.claimedWorker)
		x.claimedWorker = ""
	}
}

// sortByScore sorts workers by the hash of their keys and seed (rendezvous hashing): all nodes that list the same workers compute the
// same order, and one that is missing does not change the order of the others.
func sortByScore(workers []*backend.Worker, seed string) []*backend.Worker {
	slices.SortFunc(workers, func(a, b *backend.Worker) int {
		return cmp.Compare(id.Score(seed, b.Key()), id.Score(seed, a.Key()))
	})
	return workers
}

// usableWorkers returns the warm workers of the service that may get the request and have not failed at this node lately. Those of
// other regions are left out unless there are no others.
func (x *exchange) usableWorkers() []*backend.Worker {
	query, now := x.placementQuery(nil), time.Now()
	var near, far []*backend.Worker
	for _, worker := range x.options.Workers.Workers(x.service) {
		if x.options.Workers.Check(worker, x.restrictions()) != eligibility.Allowed || worker.Leaving() || worker.Avoided(now) {
			continue
		}
		if distance, _ := x.options.Workers.Distance(worker, query); distance == locality.OtherRegion {
			far = append(far, worker)
			continue
		}
		near = append(near, worker)
	}
	if len(near) > 0 {
		return near
	}
	return far
}
