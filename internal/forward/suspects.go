package forward

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/apex/log"

	"github.com/cloverwheel/cloverwheel/internal/backend"
	"github.com/cloverwheel/cloverwheel/internal/eligibility"
	"github.com/cloverwheel/cloverwheel/internal/fault"
	"github.com/cloverwheel/cloverwheel/internal/id"
	"github.com/cloverwheel/cloverwheel/internal/locality"
	"github.com/cloverwheel/cloverwheel/internal/quarantine"
	"github.com/cloverwheel/cloverwheel/internal/timing"
)

const (
	// maxClaimWait is how long suspected work waits until other nodes know at which worker it will run.
	maxClaimWait = 40 * time.Millisecond
	// lastTrialDelay is how long after the last end under it work on its last trial leaves the only usable worker of a service alone. Most
	// workers that this node avoids are back or gone by then.
	lastTrialDelay = 2 * time.Second
	// Work on its last trial waits for a worker at which no other suspected work runs for a share of its remaining time, at most maxTrialWait:
	// clients give a stream up that sends nothing for some seconds. It looks every minTrialPoll to maxTrialPoll, at random, so that works of
	// several nodes do not go on claiming a worker at the same time.
	trialWaitShare = 0.5
	maxTrialWait   = 1500 * time.Millisecond
	minTrialPoll   = 5 * time.Millisecond
	maxTrialPoll   = 30 * time.Millisecond
)

// chooseForSuspect chooses the worker of suspected work, or refuses it; nil: any worker may be chosen. All nodes choose the same
// worker for the same work, so that concurrent requests for it end no more than one, and other workers for other suspected work, so that
// work that ran beside fatal work is not sent to the next worker with it.
func (x *exchange) chooseForSuspect(ctx context.Context) (*backend.Worker, *fault.Error) {
	if !x.suspicion.evidence.Suspect() {
		return nil, nil
	}
	if !x.suspicion.evidence.LastTrial() {
		ordered := x.suspectOrder(x.suspectWorkers())
		if worker := x.claimFirst(ctx, ordered); worker != nil || len(ordered) == 0 {
			return worker, nil
		}
		return ordered[0], nil
	}
	return x.chooseForLastTrial(ctx)
}

// chooseForLastTrial chooses the worker of work that is quarantined if one more worker ends under it. It waits until no other suspected
// work runs there.
func (x *exchange) chooseForLastTrial(ctx context.Context) (*backend.Worker, *fault.Error) {
	begun := time.Now()
	longest := shareOfDeadline(ctx, trialWaitShare, maxTrialWait)
	for {
		workers := x.suspectWorkers()
		if delay := workers.delay(x.suspicion.evidence); delay > 0 {
			return nil, x.refuseTrial(fmt.Sprintf("service %q has one usable worker left", x.service), delay)
		}
		ordered := x.suspectOrder(workers)
		if len(ordered) == 0 {
			return nil, nil
		}
		if worker := x.claimFirst(ctx, ordered); worker != nil {
			x.logLastTrial(worker, workers, time.Since(begun))
			return worker, nil
		}
		if time.Since(begun) >= longest {
			return nil, x.refuseTrial(fmt.Sprintf("other such work runs at all usable workers of service %q", x.service), 0)
		}
		if timing.Sleep(ctx, minTrialPoll+rand.N(maxTrialPoll-minTrialPoll)) != nil {
			return nil, x.endedError(ctx)
		}
	}
}

// refuseTrial refuses work on its last trial, which may be tried after a delay.
func (x *exchange) refuseTrial(reason string, delay time.Duration) *fault.Error {
	refusal := fault.Newf(fault.Unavailable, "retry after the delay in Retry-After", "%d workers ended while they ran this work, and %s", x.suspicion.evidence.Ends(), reason)
	return x.withRan(refusal.WithRetryAfter(max(delay, retryAfter) + rand.N(retryAfter)))
}

// logLastTrial logs which worker gets work that is quarantined if the worker ends, too.
func (x *exchange) logLastTrial(worker *backend.Worker, workers suspectWorkers, waited time.Duration) {
	x.options.Logger.WithFields(log.Fields{
		"request":     x.request.ID,
		"worker":      worker.Key(),
		"ends":        x.suspicion.evidence.Ends(),
		"last_end_ms": x.suspicion.evidence.SinceLastEnd().Milliseconds(),
		"usable":      len(workers.usable) + workers.elsewhere,
		"returning":   workers.returning,
		"waited_ms":   waited.Milliseconds(),
	}).WithFields(x.workFields()).Info("suspected work gets its last trial at a worker; it is quarantined if that worker ends, too")
}

// suspectOrder returns the order in which the request's suspected work tries workers.
func (x *exchange) suspectOrder(workers suspectWorkers) []*backend.Worker {
	return slices.DeleteFunc(sortByScore(workers.usable, x.suspicion.evidence.Key().String()), func(worker *backend.Worker) bool {
		return slices.Contains(x.excluded, worker.Key())
	})
}

// claimFirst claims the first worker that no other suspected work has claimed; nil: none could be claimed.
func (x *exchange) claimFirst(ctx context.Context, workers []*backend.Worker) *backend.Worker {
	ctx, cancel := context.WithTimeout(ctx, maxClaimWait)
	defer cancel()
	key := x.suspicion.evidence.Key()
	for _, worker := range workers {
		if x.options.Quarantine.Claim(ctx, key, worker.Key()) {
			x.suspicion.claimedKey, x.suspicion.claimedWorker = key, worker.Key()
			return worker
		}
	}
	return nil
}

// releaseWorker releases what the request holds at the worker that it was sent to.
func (x *exchange) releaseWorker() {
	x.releaseSlot()
	if x.suspicion.claimedWorker != "" {
		x.options.Quarantine.EndClaim(x.suspicion.claimedKey, x.suspicion.claimedWorker)
		x.suspicion.claimedWorker = ""
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

// suspectWorkers are the workers of a service as they count for suspected work.
type suspectWorkers struct {
	// usable are the warm workers that may get the request and have not failed at this node lately. Those of other regions are left out
	// unless there are no others.
	usable    []*backend.Worker
	elsewhere int // usable workers that were left out
	returning int // workers that may get the request, and that are cold or avoided by this node at present
}

// delay returns how long work on its last trial leaves the service's only usable worker alone; 0: it may be sent now. Workers that leave
// do not take over the work of the others, so they do not count: waiting for them would be in vain.
func (w suspectWorkers) delay(evidence quarantine.Evidence) time.Duration {
	if len(w.usable)+w.elsewhere != 1 || w.returning == 0 {
		return 0
	}
	return max(0, lastTrialDelay-evidence.SinceLastEnd())
}

// suspectWorkers returns the workers of the request's service.
func (x *exchange) suspectWorkers() (workers suspectWorkers) {
	query, now := x.placementQuery(nil), time.Now()
	var near, far []*backend.Worker
	for _, worker := range x.options.Workers.Workers(x.service) {
		verdict := x.options.Workers.Check(worker, x.restrictions())
		if verdict.Refused() || worker.Leaving() {
			continue
		}
		distance, _ := x.options.Workers.Distance(worker, query)
		switch {
		case verdict != eligibility.Allowed || worker.Avoided(now):
			workers.returning++
		case distance == locality.OtherRegion:
			far = append(far, worker)
		default:
			near = append(near, worker)
		}
	}
	if len(near) == 0 {
		workers.usable = far
		return workers
	}
	workers.usable, workers.elsewhere = near, len(far)
	return workers
}
