package dispatch

import (
	"context"
	"slices"
	"time"

	"github.com/cloverwheel/cloverwheel/internal/engine"
	"github.com/cloverwheel/cloverwheel/internal/fault"
	"github.com/cloverwheel/cloverwheel/internal/id"
	"github.com/cloverwheel/cloverwheel/internal/peer"
	"github.com/cloverwheel/cloverwheel/internal/timing"
	"github.com/cloverwheel/cloverwheel/internal/worker"
)

// repeatableShare divides the time for which the stream of a repeatable call is
// looked for, since running it again is the quicker way.
const repeatableShare = 5

// callersReturn is how long a new leader waits for callers that bring the text
// back which the former leader and the engine have lost.
const callersReturn = 250 * time.Millisecond

// recover finds out what became of an attempt that is recorded as started but
// that this goroutine does not follow.
func (m *modelCall) recover(ctx context.Context) verdict {
	request := id.NewRequest(m.program, m.call.Number, m.call.Attempt)
	if m.call.Position == m.leadership.position && !m.wasSent(request) {
		// The answer to our own Start was lost, so nothing has been sent.
		return verdict{problem: errNotSent, refused: true}
	}
	v := m.rejoin(ctx, errNoOutcome)
	v.inherited = m.call.Position != m.leadership.position
	if v.outcome == nil && v.inherited && m.call.Repeatable && m.stream().tokens() == 0 {
		_ = timing.Sleep(ctx, callersReturn)
	}
	return v
}

var errNotSent = fault.New(fault.Unavailable, "the attempt was not sent", "try again")

// rejoin looks for a started attempt at its worker until it has an outcome, is
// known to be lost, or the time for it is over.
func (m *modelCall) rejoin(ctx context.Context, cause *fault.Error) verdict {
	window := m.leadership.dispatcher.Rejoin
	if m.call.Repeatable {
		window /= repeatableShare
	}
	s := m.stream()
	waits := timing.NewBackoff(retryPause, maxRetryPause)
	until := time.Now().Add(window)
	for {
		had := s.tokens()
		v, settled := m.ask(ctx)
		if settled {
			return v
		}
		if s.tokens() > had {
			until = time.Now().Add(window)
			waits.Reset()
		}
		if !time.Now().Before(until) || timing.Sleep(ctx, waits.NextBackOff()) != nil {
			return verdict{problem: lost(cause)}
		}
	}
}

func lost(cause *fault.Error) *fault.Error {
	return fault.Newf(fault.OutcomeUnknown, "check the effect before you send it again with a fresh key",
		"nobody can say whether the call ran (%s)", cause.Message).WithRan(fault.RanUnknown)
}

// ask speaks once to the worker's owner. While there is none, or it cannot tell,
// it asks the engine itself through this node; only a request that is found
// there, or provably never runs, settles anything. It reports whether the attempt's fate is settled.
func (m *modelCall) ask(ctx context.Context) (verdict, bool) {
	d := m.leadership.dispatcher
	location, owned := d.Placer.Locate(m.call.Worker)
	if owned {
		v, settled := m.askAt(ctx, location, false)
		if settled {
			return v, true
		}
	}
	location = worker.Location{Worker: m.call.Worker, Owner: d.Self}
	v, settled := m.askAt(ctx, location, true)
	return v, settled && (v.outcome != nil || v.refused)
}

// askAt speaks once to the node at location.Owner. A verdict that is not settled
// may carry the problem that was met.
func (m *modelCall) askAt(ctx context.Context, location worker.Location, direct bool) (verdict, bool) {
	if !m.call.Repeatable {
		v, settled, running := m.lookUp(ctx, location, direct)
		if !running {
			return v, settled
		}
	}
	return m.resume(ctx, location, direct)
}

// lookUp asks for the outcome of a call that must not be sent again.
func (m *modelCall) lookUp(ctx context.Context, location worker.Location, direct bool) (v verdict, settled, running bool) {
	request := worker.LookupRequest{Worker: location.Worker, Request: m.request(), Direct: direct}
	status, err := peer.Invoke[engine.RequestStatus](ctx, m.leadership.dispatcher.Transport, location.Owner, worker.MethodLookup, request)
	if err != nil {
		return verdict{problem: fault.From(err)}, false, false
	}
	switch status.State {
	case engine.RequestFinished:
		return verdict{outcome: &status.Outcome}, true, false
	case engine.RequestRunning:
		return v, false, true
	case engine.RequestFailed:
		return verdict{problem: failedAtEngine}, true, false
	}
	if status.NeverRuns(m.call.Fence) {
		return verdict{problem: errNeverRuns, refused: true}, true, false
	}
	// The owner that the attempt was sent to may yet start it, or a newer one may
	// prove that it never runs.
	return verdict{problem: lost(errForgotten)}, !status.MayBeProven(m.call.Fence), false
}

var (
	errNeverRuns = fault.New(fault.Unavailable, "the call was lost before it reached its engine, which refuses it from now on", "try again")

	failedAtEngine    = fault.New(fault.EngineFailed, "the engine failed while it ran the call", "try again with a fresh key").WithRan(fault.RanYes)
	forgottenByEngine = fault.New(fault.EngineFailed, "the engine no longer knows the call", "send it again with the same key").WithRan(fault.RanUnknown)
	errForgotten      = fault.New(fault.NotFound, "the engine does not know the request", "try again")
)

// resume joins the attempt's stream where the buffer ends.
func (m *modelCall) resume(ctx context.Context, location worker.Location, direct bool) (verdict, bool) {
	s := m.stream()
	s.begin(m.call.Attempt)
	request := worker.ResumeRequest{Worker: location.Worker, Request: m.request(), Offset: s.tokens(), Direct: direct}
	outcome, err := m.receive(func(receive func(worker.Event) error) error {
		return peer.InvokeStream(ctx, m.leadership.dispatcher.Transport, location.Owner, worker.MethodResume, request, receive)
	})
	if err == nil {
		return verdict{outcome: outcome}, true
	}
	problem := fault.From(err)
	switch {
	case problem.Code == fault.NotFound:
		return verdict{problem: forgottenByEngine}, true
	case problem.Ran == fault.RanYes:
		return verdict{problem: problem}, true
	}
	return verdict{problem: problem}, false
}

func (m *modelCall) request() id.Request {
	return id.NewRequest(m.program, m.call.Number, m.call.Attempt)
}

// passing lists the faults after which another worker may do better.
var passing = []fault.Code{
	fault.Overloaded, fault.Unavailable, fault.RateLimited, fault.Fenced, fault.NotLeader,
	fault.EngineFailed, fault.NotFound, fault.OutcomeUnknown, fault.Internal,
}

// mayRetry returns nil when the call may be attempted again, and otherwise the
// fault that it ends with.
func (m *modelCall) mayRetry(last verdict) *fault.Error {
	d := m.leadership.dispatcher
	if !m.call.Repeatable && !last.refused && !d.mutant.resendAny {
		return unknownOutcome(last.problem)
	}
	if last.ownerMoved() && m.owners.mayGoOn(d.Patience) {
		return nil
	}
	attempts := m.call.Attempt - m.owners.refusals
	if !slices.Contains(passing, last.problem.Code) || attempts >= max(1, m.effective.Limits.Attempts) {
		return last.problem
	}
	if m.stream().stuck() {
		return cannotContinue
	}
	if !last.inherited && !d.tenants.mayRetry(m.view.Tenant) {
		return last.problem
	}
	return nil
}

var cannotContinue = fault.New(fault.EngineFailed, "the engine failed within a tool call, after text that was sent already",
	"send the call again with a fresh key").WithRan(fault.RanYes)

// unknownOutcome is the end of a call that must not be sent again. A known
// failure stays what it is.
func unknownOutcome(problem *fault.Error) *fault.Error {
	if problem.Ran == fault.RanYes || problem.Code == fault.OutcomeUnknown {
		return problem
	}
	return lost(problem)
}
