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
	if !x.suspicion.evidence.LastTrial() {
		ordered := x.suspectOrder(x.suspectWorkers())
		if worker := x.claimFirst(ctx, ordered); worker != nil || len(ordered) == 0 {
			return worker, nil
		}
		return ordered[0], nil
	}
	return x.chooseForLastTrial(ctx)
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
