package dispatch

import (
	"context"

	"github.com/cloverwheel/cloverwheel/internal/fault"
	"github.com/cloverwheel/cloverwheel/internal/id"
	"github.com/cloverwheel/cloverwheel/internal/program"
	"github.com/cloverwheel/cloverwheel/internal/template"
)

// commit accepts a new call. Where its turn is immediate and a worker and its
// budget are found quickly, it is accepted and started by one entry.
func (r *runner) commit(ctx context.Context, accept *program.Accept, effective *template.Effective, view program.View) (program.Result, error) {
	only := program.Command{Accept: accept}
	if accept.Tool != nil || !r.free(accept) || !r.claim() {
		return r.leadership.propose(ctx, only)
	}
	m := &modelCall{runner: r, call: provisional(accept, view), view: view, effective: effective}
	work := r.workOf(accept, view)
	p, outcome, problem := m.prepareQuickly(work)
	switch outcome {
	case refusedQuickly:
		r.release()
		return program.Result{Fault: problem}, nil
	case notReady:
		defer r.release()
		return r.leadership.propose(ctx, only)
	}
	return m.begin(ctx, accept, p)
}

// readiness is how a quick preparation ended.
type readiness uint8

const (
	ready readiness = iota
	notReady
	refusedQuickly
)

// prepareQuickly prepares the first attempt of a call that is not yet accepted.
func (m *modelCall) prepareQuickly(work program.Work) (plan, readiness, *fault.Error) {
	ctx, cancel := context.WithTimeout(m.leadership.ctx, m.leadership.dispatcher.BeginWindow)
	defer cancel()
	p, problem := m.prepare(ctx, work)
	switch {
	case problem == nil:
		return p, ready, nil
	case ctx.Err() != nil:
		return p, notReady, nil
	}
	return p, refusedQuickly, problem
}

// begin commits the acceptance and the start, and goes on with the attempt in
// the background.
func (m *modelCall) begin(ctx context.Context, accept *program.Accept, p plan) (program.Result, error) {
	l := m.leadership
	if l.dispatcher.mutant.submitBeforeStart {
		m.submit(ctx, p, m.workOf(accept, m.view))
	}
	result, err := l.propose(ctx, program.Command{Begin: &program.Begin{
		Accept: *accept,
		Start: program.Start{
			Call: m.call.Number, Attempt: p.attempt, Worker: p.location.Worker,
			Reservation: p.reserved, Position: l.position, Fence: p.location.Fence,
		},
	}})
	if err != nil || result.Work == nil {
		m.release()
		return result, err
	}
	m.call = result.Call
	l.dispatcher.spawn(func() {
		m.carryOn(p, *result.Work)
		m.runner.run()
	})
	return result, nil
}

// carryOn brings a begun call to its outcome.
func (m *modelCall) carryOn(p plan, work program.Work) {
	ctx, cancel := m.attemptContext(m.view)
	defer cancel()
	m.run(ctx, m.submit(ctx, p, work))
	m.endAtDeadline(ctx)
}

// release gives the claimed goroutine back, and starts it if there is work.
func (r *runner) release() {
	r.mutex.Lock()
	r.active = false
	r.mutex.Unlock()
	r.leadership.kick(r.program)
}

func (r *runner) free(accept *program.Accept) bool {
	free := false
	r.leadership.peek(func(m *program.Machine) { free = m.Free(r.program, accept.Number) })
	return free
}

// provisional is the call as it will be, if nothing comes in between.
func provisional(accept *program.Accept, view program.View) program.Call {
	return program.Call{
		Number: view.Turn, Key: accept.Key, State: program.Accepted, Messages: accept.Messages,
		Model: accept.Model, Adapter: accept.Adapter, MaxTokens: accept.MaxTokens,
		Repeatable: accept.Repeatable, Arrived: accept.Arrived,
	}
}

// workOf is the context that the call will have.
func (r *runner) workOf(accept *program.Accept, view program.View) program.Work {
	var work program.Work
	r.leadership.peek(func(m *program.Machine) {
		history, prefix := m.History(r.program)
		work = program.Work{
			Request:  id.NewRequest(r.program, view.Turn, view.Attempt),
			Messages: history,
			Prefix:   prefix.Extend(accept.Messages...),
			Attained: m.AttainedBy(r.program),
		}
	})
	return work
}
