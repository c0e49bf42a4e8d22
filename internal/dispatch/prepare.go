package dispatch

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/cloverwheel/cloverwheel/internal/fault"
	"github.com/cloverwheel/cloverwheel/internal/id"
	"github.com/cloverwheel/cloverwheel/internal/ledger"
	"github.com/cloverwheel/cloverwheel/internal/peer"
	"github.com/cloverwheel/cloverwheel/internal/program"
	"github.com/cloverwheel/cloverwheel/internal/timing"
	"github.com/cloverwheel/cloverwheel/internal/worker"
)

// plan is what an attempt needs before it can start.
type plan struct {
	location  worker.Location
	attempt   int
	reserved  int64
	maxTokens int
}

// unplacedRetryAfter is when a caller whose call found no worker comes back.
const unplacedRetryAfter = time.Second

// prepare has a worker chosen and the budget reserved, side by side.
func (m *modelCall) prepare(ctx context.Context, work program.Work) (plan, *fault.Error) {
	p := plan{attempt: m.nextAttempt(), maxTokens: m.largestAnswer(work)}
	group, together := errgroup.WithContext(ctx)
	group.Go(func() error {
		location, err := m.place(together, work, p.maxTokens)
		p.location = location
		return err
	})
	need := int64(work.Prefix.Tokens() + p.maxTokens)
	group.Go(func() error {
		attempt, reserved, err := m.reserve(together, p.attempt, need)
		p.attempt, p.reserved = attempt, reserved
		return err
	})
	err := group.Wait()
	if err == nil {
		return p, nil
	}
	if ctx.Err() != nil {
		return p, fault.New(fault.Unavailable, "no worker or budget was found for the call in time", "try again later").
			WithRetryAfter(unplacedRetryAfter)
	}
	return p, fault.From(err).WithRan(fault.RanNo)
}

// nextAttempt is the lowest number that the machine takes for an attempt.
func (m *modelCall) nextAttempt() int {
	attempt := 1
	m.leadership.peek(func(machine *program.Machine) {
		view, _ := machine.View(m.program, "")
		attempt = view.Attempt
	})
	return attempt
}

// largestAnswer narrows the call's tokens to what the history limit leaves.
func (m *modelCall) largestAnswer(work program.Work) int {
	limit := m.view.Limits.Tokens
	if limit <= 0 {
		return m.call.MaxTokens
	}
	return max(1, min(m.call.MaxTokens, limit-work.Prefix.Tokens()))
}

// place asks for a worker until there is one, or until waiting does not help.
func (m *modelCall) place(ctx context.Context, work program.Work, maxTokens int) (worker.Location, error) {
	d := m.leadership.dispatcher
	query := worker.ProbeRequest{
		Program: m.program,
		Model:   m.call.Model, Adapter: m.call.Adapter, Prefix: work.Prefix,
		MaxTokens: maxTokens, Profile: m.profile(work),
	}
	waits := timing.NewBackoff(retryPause, maxRetryPause)
	for {
		location, err := d.Placer.Place(ctx, query, m.exclude)
		if err == nil {
			return location, nil
		}
		problem := fault.From(err)
		if !m.worthWaiting(problem) {
			return location, problem
		}
		m.exclude = nil // the one that failed may be the only one
		if timing.Sleep(ctx, waits.NextBackOff()) != nil {
			return location, problem
		}
	}
}

// worthWaiting tells a passing lack of workers from a final refusal. Under
// overload, first calls are refused at once and later turns wait.
func (m *modelCall) worthWaiting(problem *fault.Error) bool {
	switch problem.Code {
	case fault.Unavailable:
		return true
	case fault.Overloaded, fault.RateLimited:
		return m.call.Number > 1
	}
	return false
}

// attemptsProbed bounds how many earlier reservations are skipped.
const attemptsProbed = 8

// reserve sets the worst case aside at the tenant's ledger. A reservation that
// an earlier try made for less is skipped; the start gives it back.
func (m *modelCall) reserve(ctx context.Context, attempt int, need int64) (int, int64, error) {
	for range attemptsProbed {
		reservation, err := m.reserveOnce(ctx, id.NewRequest(m.program, m.call.Number, attempt), need)
		if err != nil && !fault.Is(err, fault.Conflict) {
			return attempt, 0, err
		}
		if err == nil && reservation.Tokens >= need {
			return attempt, reservation.Tokens, nil
		}
		attempt++
	}
	return attempt, 0, fault.New(fault.Unavailable, "the ledger holds only older reservations of this call", "try again").
		WithRetryAfter(unplacedRetryAfter)
}

func (m *modelCall) reserveOnce(ctx context.Context, request id.Request, need int64) (ledger.Reservation, error) {
	d := m.leadership.dispatcher
	message := ledger.ReserveRequest{
		Tenant: m.view.Tenant, Request: request, Tokens: need,
		Budget: m.effective.Budget, Version: m.effective.Version,
	}
	var reservation ledger.Reservation
	err := d.Locator.Do(ctx, id.ShardOfTenant(m.view.Tenant, d.Shards), func(ctx context.Context, address peer.Address) error {
		var err error
		reservation, err = peer.Invoke[ledger.Reservation](ctx, d.Transport, address, ledger.MethodReserve, message)
		return err
	})
	return reservation, err
}
