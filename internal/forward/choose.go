package forward

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cloverwheel/cloverwheel/internal/backend"
	"github.com/cloverwheel/cloverwheel/internal/fault"
	"github.com/cloverwheel/cloverwheel/internal/route"
	"github.com/cloverwheel/cloverwheel/internal/timing"
)

// chooseWorker selects a worker, and waits a short time for one to become available.
func (x *exchange) chooseWorker(ctx context.Context) (*backend.Worker, *fault.Error) {
	maxWait := min(x.route.Objective/selectWaitDivisor, maxSelectWait)
	for {
		x.acceptsDraining = false
		x.dropRestarted()
		x.restrictVersions()
		if refusal := x.checkQuarantine(); refusal != nil {
			return nil, refusal
		}
		var only []string
		if !x.mayRunElsewhere() {
			only = x.attempts.counted
		}
		if len(only) == 0 {
			worker, refusal := x.chooseForSuspect(ctx)
			if refusal != nil {
				return nil, refusal
			}
			if worker != nil {
				x.takeSlot(worker)
				return worker, nil
			}
		}
		if worker, ok := x.options.Workers.TakeTrial(x.placementQuery(only)); ok {
			x.takeSlot(worker)
			return worker, nil
		}
		if worker := x.findCapacity(ctx, only); worker != nil {
			return worker, nil
		}
		worker, err := x.options.Workers.Choose(x.placementQuery(only))
		if draining := x.chooseDraining(only, worker); draining != nil {
			x.takeSlot(draining)
			return draining, nil
		}
		if err == nil {
			x.takeSlot(worker)
			return worker, nil
		}
		if refusal := x.checkServiceOpen(x.service, only); refusal != nil {
			return nil, refusal
		}
		if refusal := x.checkVersionServed(); refusal != nil {
			return nil, refusal
		}
		left := maxWait - time.Since(x.startTime)
		hopeless := x.declines == 0 && x.coldRetryAfter > left // no warm worker can become available, and no cold one in time
		if ctx.Err() != nil || left <= 0 || hopeless {
			return nil, x.noWorkerError(err)
		}
		x.excluded, x.coldAttempts, x.coldRetryAfter = nil, 0, 0
		_ = timing.Sleep(ctx, selectPollInterval)
	}
}

// placementQuery describes the request for worker selection. If only is not empty, no other
// worker may be chosen.
func (x *exchange) placementQuery(only []string) backend.Query {
	return backend.Query{
		Only:          only,
		Service:       x.service,
		Home:          x.home,
		Key:           x.affinityKey(),
		SameObject:    x.request.Object != "",
		Prompt:        x.request.PromptTokens,
		Shared:        x.request.SharedTokens,
		PrefixWorkers: x.prefixWorkers,
		Output:        x.request.MaxOutputTokens,
		Regions:       x.allowedRegions(),
		Versions:      x.versions,
		Retryable:     x.mayMove(""),
		FirstTurn:     x.isFirstTurn(),
		WarmOnly:      x.coldAttempts >= maxColdAttempts,
		Exclude:       x.excluded,
	}
}

// isFirstTurn reports whether the request starts a program and cannot have run anywhere.
func (x *exchange) isFirstTurn() bool {
	return x.route.Kind == route.Streaming && x.home == "" && x.request.PreviousTurn == "" && !x.attempts.any()
}

func (x *exchange) noWorkerError(err error) *fault.Error {
	if x.options.Finder != nil {
		x.options.Finder.RecordNoCapacity()
	}
	refusal := fault.From(err)
	if x.declines > 0 {
		refusal = fault.Newf(fault.Overloaded, "retry after the delay in Retry-After", "all workers of service %q are at capacity", x.service)
	}
	if x.coldRetryAfter > 0 {
		refusal = fault.Newf(fault.Overloaded, "retry after the delay in Retry-After",
			"service %q has no warm worker with free capacity, and its cold workers are at their warm-up limit", x.service)
	}
	if x.attempts.any() {
		return refusal.WithRan(fault.RanUnknown)
	}
	if x.coldRetryAfter > 0 {
		return refusal.WithRetryAfter(x.coldRetryAfter + rand.N(retryAfter))
	}
	return refusal.WithRetryAfter(jitteredRetryAfter())
}

// affinityKey returns the key by which related requests are sent to the same worker: of the
// object, else the program, else the request.
func (x *exchange) affinityKey() string {
	switch {
	case x.request.Object != "":
		return x.request.Object
	case x.request.Program != "" && x.route.Kind == route.Streaming:
		return x.tenant.Scope(x.request.Program)
	default:
		return x.request.ID
	}
}
