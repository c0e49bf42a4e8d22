package dispatch

import (
	"context"
	"time"

	"github.com/cloverwheel/cloverwheel/internal/engine"
	"github.com/cloverwheel/cloverwheel/internal/fault"
	"github.com/cloverwheel/cloverwheel/internal/id"
	"github.com/cloverwheel/cloverwheel/internal/peer"
	"github.com/cloverwheel/cloverwheel/internal/program"
	"github.com/cloverwheel/cloverwheel/internal/template"
	"github.com/cloverwheel/cloverwheel/internal/worker"
)

// verdict is what became of one attempt.
type verdict struct {
	outcome *engine.Outcome // set: answered
	problem *fault.Error    // otherwise
	refused bool            // the attempt provably did not run
	// inherited says that an earlier leadership started the attempt.
	inherited bool
}

// modelCall is the work on one call at a model.
type modelCall struct {
	*runner
	call      program.Call
	view      program.View
	effective *template.Effective
	exclude   []id.Worker
	owners    ownerSearch
	// continued counts the tokens of earlier attempts that the present one goes on
	// after. They were charged with those attempts.
	continued int
}

// runCall brings a call to its outcome. It returns false when the state must be
// read again after a pause.
func (r *runner) runCall(call program.Call, view program.View) bool {
	effective, err := r.leadership.dispatcher.effective(view)
	if err != nil && call.State == program.Accepted {
		return r.fail(call, fault.From(err), false, 0)
	}
	ctx, cancel := r.attemptContext(view)
	defer cancel()
	var done bool
	if call.Tool != nil {
		done = r.runTool(ctx, call, effective)
	} else {
		m := &modelCall{runner: r, call: call, view: view, effective: effective}
		done = m.run(ctx, m.taken(ctx))
	}
	return r.endAtDeadline(ctx) || done
}

// endAtDeadline ends the program if that is what ended ctx.
func (r *runner) endAtDeadline(ctx context.Context) bool {
	if r.leadership.ctx.Err() != nil || ctx.Err() != context.DeadlineExceeded {
		return false
	}
	return r.conclude(program.Command{Expire: &program.Expire{Time: time.Now()}})
}

// effective resolves a program's template; a program whose template was taken
// away gets no further attempts.
func (d *Dispatcher) effective(view program.View) (*template.Effective, error) {
	effective, err := d.Resolve(d.Config.Current(), view.Tenant, view.Template, view.Parameters)
	if err != nil {
		return &template.Effective{Tenant: view.Tenant, Template: view.Template}, err
	}
	return effective, nil
}

// attemptContext ends with the leadership, the program and its deadline.
func (r *runner) attemptContext(view program.View) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(r.leadership.ctx)
	if !view.Deadline.IsZero() {
		ctx, cancel = context.WithDeadline(r.leadership.ctx, view.Deadline)
	}
	r.mutex.Lock()
	r.cancel = cancel
	r.mutex.Unlock()
	return ctx, cancel
}

// taken returns what became of an attempt that was started before.
func (m *modelCall) taken(ctx context.Context) verdict {
	if m.call.State != program.Started {
		return verdict{}
	}
	return m.recover(ctx)
}

// run makes attempts until one settles the call; last is what became of the one
// that is started already.
func (m *modelCall) run(ctx context.Context, last verdict) bool {
	for ctx.Err() == nil {
		if m.call.State == program.Started {
			if last.outcome != nil {
				return m.finish(*last.outcome)
			}
			if problem := m.mayRetry(last); problem != nil {
				return m.fail(m.call, problem, last.refused, m.spentBy(last))
			}
			m.leaveWorker(ctx, last)
		}
		plan, problem := m.prepareInTime(ctx)
		if problem != nil {
			return ctx.Err() == nil && m.fail(m.call, problem, last.refused, m.spentBy(last))
		}
		work, ok := m.start(ctx, plan, last)
		if !ok {
			return false
		}
		last = m.submit(ctx, plan, work)
	}
	return false
}

// leaveWorker gives an attempt up, so that another worker can run the next one.
func (m *modelCall) leaveWorker(ctx context.Context, last verdict) {
	m.leadership.dispatcher.metrics.retries.Inc()
	if last.ownerMoved() {
		m.owners.wait(ctx)
		return
	}
	m.exclude = append(m.exclude, m.call.Worker)
	if !last.refused {
		m.leadership.cancelAttempt(program.Outcome{Program: m.program, Call: m.call})
	}
}

// prepareInTime prepares an attempt of an accepted call.
func (m *modelCall) prepareInTime(ctx context.Context) (plan, *fault.Error) {
	ctx, cancel := context.WithTimeout(ctx, m.leadership.dispatcher.Patience)
	defer cancel()
	return m.prepare(ctx, m.work())
}

// spentBy is charged for an attempt without an answer: all that was reserved,
// because it may still be running somewhere.
func (m *modelCall) spentBy(v verdict) int64 {
	if v.refused {
		return 0
	}
	return m.call.Reservation
}

// start commits that an attempt may leave this node.
func (m *modelCall) start(ctx context.Context, p plan, last verdict) (program.Work, bool) {
	command := program.Command{Start: &program.Start{
		Time: time.Now(), Program: m.program, Call: m.call.Number, Attempt: p.attempt,
		Worker: p.location.Worker, Reservation: p.reserved, Position: m.leadership.position,
		Fence: p.location.Fence, PreviousRefused: last.refused, PreviousSpent: m.spentBy(last),
	}}
	if m.leadership.dispatcher.mutant.submitBeforeStart {
		m.submit(ctx, p, m.work())
	}
	result, err := m.leadership.propose(ctx, command)
	if err == nil && result.Fault != nil && result.Fault.Code == fault.OutcomeUnknown {
		m.fail(m.call, result.Fault, false, m.spentBy(last))
	}
	if err != nil || result.Work == nil {
		return program.Work{}, false
	}
	m.call = result.Call
	return *result.Work, true
}

// submit sends a started attempt to the worker's owner and follows its stream.
func (m *modelCall) submit(ctx context.Context, p plan, work program.Work) verdict {
	d := m.leadership.dispatcher
	job := worker.Job{
		Worker: p.location.Worker, Request: work.Request, Program: m.program, Tenant: m.view.Tenant,
		Model: m.call.Model, Adapter: m.call.Adapter, Messages: work.Messages, Prefix: work.Prefix,
		MaxTokens: p.maxTokens, Repeatable: m.call.Repeatable, Profile: m.profile(work), Import: p.location.Import,
		Fence: p.location.Fence,
	}
	m.markSent(work.Request)
	job.Partial = m.stream().begin(m.call.Attempt)
	m.continued = job.Partial.Tokens
	m.log(m.call).WithField("worker", p.location.Worker).WithField("prompt_tokens", work.Prefix.Tokens()).
		WithField("partial_tokens", m.continued).Debug("call started")
	outcome, err := m.receive(func(receive func(worker.Event) error) error {
		return peer.InvokeStream(ctx, d.Transport, p.location.Owner, worker.MethodSubmit, job, receive)
	})
	if err == nil {
		return verdict{outcome: outcome}
	}
	problem := fault.From(err)
	switch {
	case problem.Ran == fault.RanNo:
		return verdict{problem: problem, refused: true}
	case problem.Ran == fault.RanYes:
		return verdict{problem: problem}
	}
	return m.rejoin(ctx, problem)
}

// errNoOutcome ends a stream that closed without an outcome.
var errNoOutcome = fault.New(fault.Unavailable, "the stream ended without an outcome", "try again").WithRan(fault.RanUnknown)

// receive passes a worker's stream on to the callers and returns its outcome.
func (m *modelCall) receive(open func(func(worker.Event) error) error) (*engine.Outcome, error) {
	s := m.stream()
	s.begin(m.call.Attempt)
	var outcome *engine.Outcome
	err := open(func(event worker.Event) error {
		if event.Chunk != nil {
			s.add(m.call.Attempt, *event.Chunk)
		}
		if event.Outcome != nil {
			outcome = event.Outcome
		}
		return nil
	})
	if outcome != nil {
		return outcome, nil
	}
	if err == nil {
		err = errNoOutcome
	}
	return nil, err
}

// stream is where the call's answer is passed on.
func (m *modelCall) stream() *stream {
	return m.leadership.stream(streamKey{m.program, m.call.Number, m.call.Key})
}

// finish commits the answer.
func (m *modelCall) finish(outcome engine.Outcome) bool {
	usage := outcome.Usage
	m.leadership.dispatcher.metrics.observe(m.call.Arrived)
	recorded := m.conclude(program.Command{Finish: &program.Finish{
		Time: time.Now(), Program: m.program, Call: m.call.Number, Attempt: m.call.Attempt,
		Message: outcome.Message, FinishReason: outcome.FinishReason, Usage: usage,
		Spent: int64(usage.PromptTokens + usage.OutputTokens - m.continued), Position: m.leadership.position,
	}})
	if recorded {
		m.log(m.call).WithField("prompt_tokens", usage.PromptTokens).WithField("cached_tokens", usage.CachedTokens).
			WithField("output_tokens", usage.OutputTokens).Info("call finished")
		m.notifyPause()
	}
	return recorded
}

// work is the present context of the call.
func (m *modelCall) work() program.Work {
	var work program.Work
	m.leadership.peek(func(machine *program.Machine) {
		work, _ = machine.Context(m.program, m.call.Number)
	})
	return work
}

func (m *modelCall) profile(work program.Work) worker.Profile {
	d := m.leadership.dispatcher
	return worker.Profile{
		Priority: m.effective.Priority, Attained: work.Attained,
		Remaining: d.learned.remaining(m.view.Template, work.Attained),
		Turn:      int(m.call.Number), Started: m.view.Created, Arrived: m.call.Arrived, Deadline: m.view.Deadline,
		ExpectedPause: m.expectedPause(),
	}
}
