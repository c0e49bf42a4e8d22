package forward

import (
	"context"
	"errors"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/cloverwheel/cloverwheel/internal/budget"
	"github.com/cloverwheel/cloverwheel/internal/fault"
	"github.com/cloverwheel/cloverwheel/internal/history"
	"github.com/cloverwheel/cloverwheel/internal/locality"
	"github.com/cloverwheel/cloverwheel/internal/route"
)

// A turn waits for the table for a share of the time that it has, and is then
// refused with enough time left to come back. No client waits longer than a
// third of its time before it does.
const (
	tableWaitShare    = 0.38
	longestTableWait  = 900 * time.Millisecond
	tableRetryShare   = 0.3
	longestTableRetry = 900 * time.Millisecond
	// isolatedWait is what some questions to nodes of the own zone take.
	isolatedWait = 100 * time.Millisecond
)

// turn serves a request that is answered by a stream of events.
func (x *exchange) turn(ctx context.Context, configuration *route.Configuration) *fault.Error {
	refusal := x.runTurn(ctx, configuration)
	x.leave(configuration, refusal != nil)
	if refusal != nil {
		return refusal
	}
	x.out.End()
	return nil
}

// runTurn passes a turn's answer on, up to its end, and keeps it.
func (x *exchange) runTurn(ctx context.Context, configuration *route.Configuration) *fault.Error {
	if x.beginsKept() {
		x.service = x.serviceOfTurn()
		if refusal := x.enter(ctx, configuration, 1); refusal != nil {
			return refusal
		}
	}
	x.clock.enter(stepPrepare, time.Now())
	reservation, chain, refusal := x.prepare(ctx)
	if refusal != nil {
		return refusal
	}
	x.clock.enter(stepPlace, time.Now())
	x.body = history.Join(chain, x.request.Body)
	if len(chain) > 0 {
		x.home = chain[len(chain)-1].Worker
	}
	if reservation != nil && x.home == "" {
		x.home = reservation.Home
	}
	x.findWorkers(ctx)
	if x.service == "" || x.home != "" {
		x.service = x.serviceOfTurn()
	}
	perEvent := configuration.Services[x.service].TokensPerEvent
	x.clock.enter(stepAdmit, time.Now())
	if !x.standing.known {
		refusal = x.enter(ctx, configuration, x.placeOf(len(chain)))
	}
	if refusal == nil {
		refusal = x.admit(ctx)
	}
	if refusal == nil {
		refusal = x.stream(ctx, perEvent)
	}
	if reservation != nil {
		x.drawn, x.handed, x.located = reservation.Drawn, reservation.Handed, reservation.Located
		x.granted = reservation.Granted
		reservation.Settle(x.events*perEvent, x.homeAfter())
	}
	if refusal != nil {
		return refusal
	}
	if refusal = x.keep(ctx, chain); refusal != nil {
		return refusal
	}
	if x.route.Retain && reservation != nil {
		x.noteRan(reservation.Others)
	}
	return nil
}

// beginsKept reports whether the turn is known to go on from nothing before anything is read or
// reserved for it: a refusal costs nobody a call then.
func (x *exchange) beginsKept() bool { return x.route.Retain && x.request.Continue == "" }

// homeAfter is where the program's context lies after the turn.
func (x *exchange) homeAfter() string {
	if x.events == 0 {
		return ""
	}
	return x.worker
}

// prepare reserves the turn's tokens and reads what was said before, at the
// same time. Nothing stays reserved if it fails.
func (x *exchange) prepare(ctx context.Context) (*budget.Reservation, []*history.Turn, *fault.Error) {
	var reservation *budget.Reservation
	var chain []*history.Turn
	waiting, cancel := context.WithTimeout(ctx, x.tableWait(ctx))
	defer cancel()
	group, waiting := errgroup.WithContext(waiting)
	holders := make(chan []budget.Holder, 1)
	name := func(others []budget.Holder) {
		select {
		case holders <- others:
		default: // they were named before
		}
	}
	if x.request.Budget > 0 && x.request.Program != "" {
		group.Go(func() (err error) {
			reservation, err = x.options.Budgets.Reserve(waiting, budget.Claim{
				Program:   x.tenant.Scope(x.request.Program),
				Budget:    x.request.Budget,
				Tokens:    x.request.Output,
				Continues: x.request.Continue != "",
				Kept:      x.route.Retain,
				Named:     name,
			})
			if err == nil {
				name(reservation.Others)
			}
			return err
		})
	}
	if x.request.Budget <= 0 || x.request.Program == "" {
		close(holders)
	}
	if x.route.Retain && x.request.Continue != "" {
		group.Go(func() (err error) {
			chain, err = x.chain(locality.WithContent(waiting, x.regions()), holders)
			return err
		})
	}
	err := group.Wait()
	if err == nil {
		return reservation, chain, nil
	}
	if reservation != nil {
		reservation.Settle(0, "")
	}
	return nil, nil, x.notPrepared(ctx, err)
}

// tableWait is how long the turn waits for its tokens and for what was said before. Only
// nodes of its zone can help a node that is isolated, and they answer at once.
func (x *exchange) tableWait(ctx context.Context) time.Duration {
	if x.options.Isolated != nil && x.options.Isolated() {
		return isolatedWait
	}
	return shareOfLeft(ctx, tableWaitShare, longestTableWait)
}

func (x *exchange) notPrepared(ctx context.Context, err error) *fault.Error {
	if errors.Is(err, history.ErrNoTurn) {
		return fault.Newf(fault.NotFound, "start a new program", "there is no turn %q", x.request.Continue)
	}
	if ctx.Err() != nil {
		return x.ended(ctx)
	}
	if fault.Is(err, fault.BudgetExhausted) || fault.Is(err, fault.RateLimited) {
		return fault.From(err)
	}
	retry := shareOfLeft(ctx, tableRetryShare, longestTableRetry)
	if typed := new(fault.Error); errors.As(err, &typed) {
		if typed.RetryAfter > 0 {
			return typed
		}
		return typed.WithRetryAfter(retry)
	}
	return fault.Newf(fault.Unavailable, "come back after the time given",
		"the turn's history cannot be read now: %v", err).WithRetryAfter(retry)
}

// shareOfLeft is a share of the time that ctx leaves, at most longest.
func shareOfLeft(ctx context.Context, share float64, longest time.Duration) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return longest
	}
	return min(longest, time.Duration(share*float64(time.Until(deadline))))
}

// serviceOfTurn stays with the service that holds the context, if the route
// still leads there.
func (x *exchange) serviceOfTurn() string {
	if x.home != "" {
		for _, target := range x.route.Targets {
			if target.Weight > 0 && x.options.Workers.Has(target.Service, x.home) {
				return target.Service
			}
		}
	}
	return x.route.Service(x.route.Draw())
}

// keep makes a turn durable. Until it is, its answer must not end as complete.
func (x *exchange) keep(ctx context.Context, chain []*history.Turn) *fault.Error {
	if !x.route.Retain {
		return nil
	}
	x.clock.enter(stepKeep, time.Now())
	turn := &history.Turn{
		ID:     x.tenant.Scope(x.request.ID),
		Input:  x.request.Body,
		Output: x.output,
		Worker: x.worker,
	}
	for _, earlier := range chain {
		turn.Ancestors = append(turn.Ancestors, earlier.ID)
	}
	if err := x.options.History.Keep(locality.WithContent(ctx, x.regions()), turn, chain, x.route.Retention); err != nil {
		x.options.Metrics.Unkept.Inc()
		return fault.Newf(fault.Unavailable, "send the turn again", "the turn could not be kept: %v", err).WithRan(fault.RanYes)
	}
	return nil
}
