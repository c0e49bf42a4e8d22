package forward

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/cloverwheel/cloverwheel/internal/backend"
	"github.com/cloverwheel/cloverwheel/internal/eligibility"
	"github.com/cloverwheel/cloverwheel/internal/fault"
	"github.com/cloverwheel/cloverwheel/internal/id"
	"github.com/cloverwheel/cloverwheel/internal/locality"
)

// maxClaimWait is how long suspected work waits until other nodes know at which worker it will run.
const maxClaimWait = 40 * time.Millisecond

// chooseForSuspect chooses the worker of suspected work, or refuses it; nil: any worker may be chosen. All nodes choose the same
// worker for the same work, so that concurrent requests for it end no more than one, and other workers for other suspected work, so that
// work that ran beside fatal work is not sent to the next worker with it.
func (x *exchange) chooseForSuspect(ctx context.Context) (*backend.Worker, *fault.Error) {
	if !x.suspicion.evidence.Suspect() {
		return nil, nil
	}
	usable := x.usableWorkers()
	if x.suspicion.evidence.LastTrial() && len(usable) == 1 && x.options.Workers.Count(x.service) > 1 {
		return nil, x.withRan(fault.Newf(fault.Unavailable, "retry after the delay in Retry-After",
			"%d workers ended while they ran this work, and service %q has one usable worker left", x.suspicion.evidence.Ends(), x.service).
			WithRetryAfter(jitteredRetryAfter()))
	}
	ordered := slices.DeleteFunc(sortByScore(usable, x.suspicion.evidence.Key().String()), func(worker *backend.Worker) bool {
		return slices.Contains(x.excluded, worker.Key())
	})
	if worker := x.claimFirst(ctx, ordered); worker != nil || len(ordered) == 0 {
		return worker, nil
	}
	if x.suspicion.evidence.LastTrial() {
		return nil, x.withRan(fault.Newf(fault.Unavailable, "retry after the delay in Retry-After",
			"%d workers ended while they ran this work, and other such work runs at all usable workers of service %q", x.suspicion.evidence.Ends(), x.service).
			WithRetryAfter(jitteredRetryAfter()))
	}
	return ordered[0], nil
}

// claimFirst claims the first worker that no other suspected work has claimed; nil: none could be claimed.
func (x *exchange) claimFirst(ctx context.Context, workers []*backend.Worker) *backend.Worker {
	ctx, cancel := context.WithTimeout(ctx, maxClaimWait)
	defer cancel()
	key := x.suspicion.evidence.Key()
	for _, worker := range workers {
		if x.options.Quarantine.Claimed(key, worker.Key()) {
			continue
		}
		if x.options.Quarantine.Claim(ctx, key, worker.Key()) {
			x.suspicion.claimedKey, x.suspicion.claimedWorker = key, worker.Key()
			return worker
		}
		x.options.Quarantine.EndClaim(key, worker.Key())
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
