package forward

import (
	"context"
	"slices"
	"time"

	"github.com/apex/log"

	"github.com/cloverwheel/cloverwheel/internal/backend"
	"github.com/cloverwheel/cloverwheel/internal/capacity"
	"github.com/cloverwheel/cloverwheel/internal/scheduling"
)

// Capacity finds workers with free capacity.
type Capacity interface {
	// Reserve reserves a slot at a worker if capacity is short, and waits until one is free. The
	// result has no Reservation if capacity is not short or no slot was found; the caller then chooses
	// a worker by local information.
	Reserve(ctx context.Context, wanted capacity.PlacementRequest) capacity.Placement
	// Begin counts a request at a worker; nil if the worker's capacity is not tracked.
	Begin(service, worker string, tokens int) *capacity.Reservation
}

const (
	// A request waits for a slot for a share of its remaining time, at most maxCapacityWait.
	// After that it queues at a worker.
	capacityWaitShare = 0.35
	maxCapacityWait   = 900 * time.Millisecond
)

// findCapacity reserves a slot for the request while capacity is short, and returns its worker;
// nil: a worker must be chosen by local information. A request that is restricted to the workers in
// only, or to those of one software version of several, goes to them whatever their load.
func (x *exchange) findCapacity(ctx context.Context, only []string) *backend.Worker {
	if x.options.Capacity == nil || len(only) > 0 || x.homeAccepts() || x.isBoundToVersion() {
		return nil
	}
	longest := shareOfDeadline(ctx, capacityWaitShare, maxCapacityWait) - x.capacityWait
	begun := time.Now()
	x.placement = x.options.Capacity.Reserve(ctx, x.capacityRequest(longest))
	x.capacityWait += time.Since(begun)
	reservation := x.placement.Reservation
	if reservation == nil {
		return nil
	}
	worker, ok := x.options.Workers.WorkerByKey(reservation.WorkerKey())
	if !ok || x.options.Workers.Check(worker, x.restrictions()).Refused() {
		reservation.Release()
		return nil
	}
	x.releaseSlot()
	x.slot = reservation
	return worker
}

// homeAccepts reports whether the request goes to the worker that holds its context, however many
// requests that worker has. It does not if the worker has just failed or declined a request.
// Loading the context at another worker would evict other programs' contexts there, which then
// have to be loaded elsewhere in turn.
func (x *exchange) homeAccepts() bool {
	if x.home == "" || slices.Contains(x.excluded, x.home) {
		return false
	}
	worker, ok := x.options.Workers.WorkerByKey(x.home)
	return ok && !worker.Avoided(time.Now()) && !x.options.Workers.Check(worker, x.restrictions()).Refused()
}

// capacityRequest describes the request for the capacity search, which may take as long as
// longest.
func (x *exchange) capacityRequest(longest time.Duration) capacity.PlacementRequest {
	return capacity.PlacementRequest{
		Service: x.service,
		Key:     x.affinityKey(),
		Home:    x.home,
		Fresh:   x.request.PromptTokens - x.request.SharedTokens,
		Tokens:  x.request.PromptTokens + x.request.MaxOutputTokens,
		Exclude: x.excluded,
		Program: x.currentProgram(),
		MaxWait: longest,
		Allows:  x.options.Workers.ZoneFilter(x.allowedRegions()),
	}
}

// currentProgram describes the state of the request's program.
func (x *exchange) currentProgram() scheduling.Program {
	program := scheduling.Program{
		Key:     x.request.Program,
		Urgency: x.route.Priority,
		Begins:  x.home == "",
		Timed:   x.request.HasFinish,
		Finish:  x.request.TimeToFinish - time.Since(x.startTime),
	}
	if x.tenant != nil {
		program.Key, program.Tenant = x.tenant.Scope(x.request.Program), x.tenant.Name
	}
	return program
}

// takeSlot counts the request at a worker that this node has chosen.
func (x *exchange) takeSlot(worker *backend.Worker) {
	if x.options.Capacity == nil {
		return
	}
	x.releaseSlot()
	x.slot = x.options.Capacity.Begin(x.service, worker.Key(), x.request.PromptTokens+x.request.MaxOutputTokens)
}

// releaseSlot releases the request's slot, if it holds one.
func (x *exchange) releaseSlot() {
	x.slot.Release()
	x.slot = nil
}

// addCapacityFields adds to the request's log line how its worker was found.
func (x *exchange) addCapacityFields(fields log.Fields) {
	found := x.placement
	if found.Source == "" || found.Source == capacity.SourceUntracked {
		return
	}
	fields["room"] = string(found.Source)
	fields["room_group"] = found.Group.String()
	fields["room_busy"] = float64(int(100*found.Utilization)) / 100
	if found.Source == capacity.SourceLocal {
		fields["room_age_ms"] = found.Age.Milliseconds()
		return
	}
	fields["room_ms"] = x.capacityWait.Milliseconds()
	fields["room_keeper"] = found.Coordinator
	fields["room_reason"] = string(found.Reason)
}
