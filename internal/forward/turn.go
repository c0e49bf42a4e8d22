package forward

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/cloverwheel/cloverwheel/internal/budget"
	"github.com/cloverwheel/cloverwheel/internal/fault"
	"github.com/cloverwheel/cloverwheel/internal/history"
	"github.com/cloverwheel/cloverwheel/internal/locality"
	"github.com/cloverwheel/cloverwheel/internal/route"
)

// A turn waits for the store for a share of its remaining time, and is then refused early enough
// for the client to retry within its deadline. The retry delay is a share of the time left then.
const (
	storeWaitShare  = 0.38
	maxStoreWait    = 900 * time.Millisecond
	storeRetryShare = 0.3
	maxStoreRetry   = 900 * time.Millisecond
	// isolatedWait is the wait of an isolated node, which can reach only nodes of its own zone.
	isolatedWait = 100 * time.Millisecond
)

// serveTurn serves a request whose answer is a stream of events.
func (x *exchange) serveTurn(ctx context.Context, configuration *route.Configuration) *fault.Error {
	refusal := x.runTurn(ctx, configuration)
	x.reportTurn(configuration, refusal != nil)
	if refusal != nil {
		return refusal
	}
	x.out.End()
	return nil
}

// runTurn prepares a turn, relays its answer and stores it. It does not complete the client's
// answer.
func (x *exchange) runTurn(ctx context.Context, configuration *route.Configuration) *fault.Error {
	if refusal := x.resume(ctx); refusal != nil {
		return refusal
	}
	if refusal := x.restoreOutput(ctx); refusal != nil {
		return refusal
	}
	if x.startsRetainedProgram() && x.version == nil {
		x.service = x.chooseService()
		if refusal := x.admitProgram(ctx, configuration, 1); refusal != nil {
			return refusal
		}
	}
	x.clock.enter(stepPrepare, time.Now())
	reservation, chain, refusal := x.prepareTurn(ctx)
	if refusal != nil {
		return refusal
	}
	defer x.settle(configuration, reservation) // also if the rest panics
	x.clock.enter(stepPlace, time.Now())
	x.body = history.InputParts(chain, x.request.Body)
	if len(chain) > 0 && x.home == "" {
		x.home = chain[len(chain)-1].Worker
	}
	if reservation != nil && x.home == "" {
		x.home = reservation.LastWorker
	}
	x.lookUpWorkers(ctx)
	if x.version == nil && (x.service == "" || x.home != "") {
		x.service = x.chooseService()
	}
	perEvent := configuration.Services[x.service].TokensPerEvent
	x.clock.enter(stepAdmit, time.Now())
	if !x.program.known {
		refusal = x.admitProgram(ctx, configuration, x.turnNumber(len(chain)))
	}
	if refusal == nil {
		refusal = x.takeFromLimit(ctx)
	}
	if refusal == nil {
		refusal = x.serveStream(ctx, perEvent)
	}
	x.settle(configuration, reservation)
	if refusal != nil {
		return refusal
	}
	if refusal = x.storeTurn(ctx, chain); refusal != nil {
		return refusal
	}
	if x.route.StoreTurns && reservation != nil {
		x.recordRun(reservation.Holders)
	}
	return nil
}

// settle returns the tokens that the turn has not used, once; a nil reservation has none.
func (x *exchange) settle(configuration *route.Configuration, reservation *budget.Reservation) {
	if reservation == nil {
		return
	}
	x.budgetDrawn, x.budgetHandedOver, x.budgetLocated = reservation.Drawn, reservation.HandedOver, reservation.LocatorUsed
	x.budgetGranted = reservation.Granted
	reservation.Settle(x.events*configuration.Services[x.service].TokensPerEvent, x.homeAfter())
}

// startsRetainedProgram reports whether the turn is known to have no history before anything is
// loaded or reserved for it. Admission can then refuse it at no cost.
func (x *exchange) startsRetainedProgram() bool {
	return x.route.StoreTurns && x.request.PreviousTurn == ""
}

// homeAfter returns the worker that holds the program's context after the turn; empty: no event
// was relayed.
func (x *exchange) homeAfter() string {
	if x.events == 0 {
		return ""
	}
	return x.lastWorker
}

// prepareTurn reserves the turn's tokens and loads its history concurrently. If it fails, nothing
// stays reserved.
func (x *exchange) prepareTurn(ctx context.Context) (*budget.Reservation, []*history.Turn, *fault.Error) {
	var reservation *budget.Reservation
	var chain []*history.Turn
	waiting, cancel := context.WithTimeout(ctx, x.prepareTimeout(ctx))
	defer cancel()
	group, waiting := errgroup.WithContext(waiting)
	holders := make(chan []budget.Holder, 1)
	publishHolders := func(others []budget.Holder) {
		select {
		case holders <- others:
		default: // already published
		}
	}
	if x.request.TokenBudget > 0 && x.request.Program != "" {
		group.Go(func() (err error) {
			reservation, err = x.options.Budgets.Reserve(waiting, budget.Claim{
				Program:     x.tenant.Scope(x.request.Program),
				Budget:      x.request.TokenBudget,
				Tokens:      x.request.MaxOutputTokens,
				Continues:   x.request.PreviousTurn != "",
				MustPersist: x.route.StoreTurns,
				OnHolders:   publishHolders,
			})
			if err == nil {
				publishHolders(reservation.Holders)
			}
			return err
		})
	}
	if x.request.TokenBudget <= 0 || x.request.Program == "" {
		close(holders)
	}
	if x.route.StoreTurns && x.request.PreviousTurn != "" {
		group.Go(func() (err error) {
			chain, err = x.loadHistory(locality.WithContentRegions(waiting, x.allowedRegions()), holders)
			return err
		})
	}
	err := group.Wait()
	if err == nil && x.route.StoreTurns {
		err = x.turnMemory.add(storedInputMemory * int64(len(x.request.Body)))
	}
	if err == nil {
		return reservation, chain, nil
	}
	if reservation != nil {
		reservation.Settle(0, "")
	}
	return nil, nil, x.prepareError(ctx, err)
}

// prepareTimeout returns how long the turn waits for its tokens and its history. An isolated node
// waits less, because only nearby nodes can respond.
func (x *exchange) prepareTimeout(ctx context.Context) time.Duration {
	if x.options.Isolated != nil && x.options.Isolated() {
		return isolatedWait
	}
	return shareOfDeadline(ctx, storeWaitShare, maxStoreWait)
}

func (x *exchange) prepareError(ctx context.Context, err error) *fault.Error {
	if errors.Is(err, errNoTurnMemory) || errors.Is(err, history.ErrNoMemory) {
		return noTurnMemoryError()
	}
	if busy := new(history.BusyError); errors.As(err, &busy) && x.clientCtx.Err() == nil {
		return busyHistoryError(busy)
	}
	if errors.Is(err, history.ErrNoTurn) {
		return fault.Newf(fault.NotFound, "start a new program", "turn %q does not exist or has expired", x.request.PreviousTurn)
	}
	if ctx.Err() != nil {
		return x.endedError(ctx)
	}
	if fault.Is(err, fault.BudgetExhausted) || fault.Is(err, fault.RateLimited) {
		return fault.From(err)
	}
	retry := shareOfDeadline(ctx, storeRetryShare, maxStoreRetry)
	if typed := new(fault.Error); errors.As(err, &typed) {
		if typed.RetryAfter > 0 {
			return typed
		}
		return typed.WithRetryAfter(retry)
	}
	return fault.Newf(fault.Unavailable, "retry after the delay in Retry-After",
		"the turn's history cannot be read: %v", err).WithRetryAfter(retry)
}

// busyHistoryError returns the refusal of a turn whose history waits to be read. Its client is to come back once it has probably been read.
func busyHistoryError(busy *history.BusyError) *fault.Error {
	retry := max(busy.RetryAfter, retryAfter)
	return fault.Newf(fault.Unavailable, "retry after the delay in Retry-After", "the turn's history has not been read yet: %v", busy).
		WithRetryAfter(retry + rand.N(retry/retryJitterDivisor))
}

// retryJitterDivisor sets the part of a retry delay that is added at most, at random, so that clients do not all come back at once.
const retryJitterDivisor = 4

// shareOfDeadline returns a share of the time until the deadline of ctx, at most longest.
func shareOfDeadline(ctx context.Context, share float64, longest time.Duration) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return longest
	}
	return min(longest, time.Duration(share*float64(time.Until(deadline))))
}

// chooseService returns the service whose worker holds the program's context, if the route still
// uses it. Otherwise it draws a service by weight.
func (x *exchange) chooseService() string {
	if x.home != "" {
		for _, target := range x.route.Targets {
			if target.Weight > 0 && x.options.Workers.Usable(target.Service, x.home) {
				return target.Service
			}
		}
	}
	return x.route.Service(x.route.Draw())
}

// storeTurn writes the turn to the store. The client's answer must not be completed before that.
func (x *exchange) storeTurn(ctx context.Context, chain []*history.Turn) *fault.Error {
	if !x.route.StoreTurns {
		return nil
	}
	x.clock.enter(stepStore, time.Now())
	turn := &history.Turn{
		ID:     x.tenant.Scope(x.request.ID),
		Input:  x.request.Body,
		Output: x.output,
		Worker: x.lastWorker,
	}
	for _, earlier := range chain {
		turn.Ancestors = append(turn.Ancestors, earlier.ID)
	}
	if err := x.options.History.Write(locality.WithContentRegions(ctx, x.allowedRegions()), turn, chain, x.route.Retention); err != nil {
		x.options.Metrics.UnsavedTurns.Inc()
		return fault.Newf(fault.Unavailable, "send the turn again", "the turn could not be stored: %v", err).WithRan(fault.RanYes)
	}
	return nil
}
