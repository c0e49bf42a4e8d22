package standin

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/cloverwheel/cloverwheel/internal/chat"
	"github.com/cloverwheel/cloverwheel/internal/engine"
	"github.com/cloverwheel/cloverwheel/internal/enginemodel"
	"github.com/cloverwheel/cloverwheel/internal/fault"
	"github.com/cloverwheel/cloverwheel/internal/id"
)

// job is what an engine knows of a request.
type job struct {
	request  id.Request
	plan     plan
	tokens   int // made so far
	epoch    uint64
	usage    chat.Usage
	state    engine.RequestState
	outcome  engine.Outcome
	failure  error
	ended    time.Time // real
	deadline *time.Timer
	watchers []chan struct{}
}

// notify tells the streams of j that it has changed.
func (j *job) notify() {
	for _, watcher := range j.watchers {
		select {
		case watcher <- struct{}{}:
		default:
		}
	}
}

// Generate implements engine.Client. A known request is not run again.
func (e *Engine) Generate(ctx context.Context, request engine.GenerateRequest, receive func(engine.Chunk) error) (engine.Outcome, error) {
	err := e.write(ctx, engineService, func() error { return e.submit(request) })
	if err != nil {
		return engine.Outcome{}, err
	}
	return e.follow(ctx, request.Request, request.Partial.Tokens, receive)
}

// Resume implements engine.Client.
func (e *Engine) Resume(ctx context.Context, request id.Request, offset int, receive func(engine.Chunk) error) (engine.Outcome, error) {
	err := e.read(ctx, engineService, func() error {
		e.mutex.Lock()
		defer e.mutex.Unlock()
		_, err := e.find(request)
		return err
	})
	if err != nil {
		return engine.Outcome{}, err
	}
	return e.follow(ctx, request, offset, receive)
}

func (e *Engine) submit(request engine.GenerateRequest) error {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if err := e.admitCommand(request.Fence); err != nil {
		return err
	}
	e.forgetOld()
	if _, known := e.jobs[request.Request]; known {
		return nil
	}
	if !request.Deadline.IsZero() && !time.Now().Before(request.Deadline) {
		return fault.Newf(fault.DeadlinePassed, "send it earlier or with a later deadline", "request %q came after its deadline", request.Request)
	}
	if request.MaxTokens > e.options.Model.MemoryTokens {
		return refusal(request, enginemodel.ErrTooLarge)
	}
	j := &job{request: request.Request, plan: planAnswer(request), state: engine.RequestRunning}
	j.tokens = j.plan.partial.Tokens
	j.epoch = request.Fence.Epoch
	if err := e.model.Submit(e.advance(), modelRequest(request, j.plan)); err != nil {
		return refusal(request, err)
	}
	e.jobs[request.Request] = j
	e.started(request)
	if !request.Deadline.IsZero() {
		j.deadline = time.AfterFunc(time.Until(request.Deadline), func() { e.expire(j) })
	}
	e.wakeUp()
	return nil
}

func modelRequest(request engine.GenerateRequest, planned plan) enginemodel.Request {
	prefix := chat.Prefix{}.Extend(request.Messages...)
	answer := prefix.Extend(planned.message(request.Request, planned.tokens))
	return enginemodel.Request{
		ID:            request.Request,
		Program:       request.Program,
		Model:         request.Model,
		Adapter:       request.Adapter,
		Prefix:        prefix,
		PartialTokens: planned.partial.Tokens,
		OutputTokens:  planned.tokens - planned.partial.Tokens,
		Priority:      request.Priority,
		Answer:        answer[len(answer)-1],
	}
}

// refusal types an error of the model; nothing has run.
func refusal(request engine.GenerateRequest, err error) error {
	switch {
	case errors.Is(err, enginemodel.ErrNoModel):
		return fault.Newf(fault.UnknownModel, "order it to be loaded", "model %q with adapter %q is not loaded", request.Model, request.Adapter)
	case errors.Is(err, enginemodel.ErrTooLarge):
		return fault.Newf(fault.TooLarge, "shorten the history", "request %q does not fit: %v", request.Request, err)
	}
	return fault.Newf(fault.EngineFailed, "try another engine", "request %q was refused: %v", request.Request, err)
}

// follow streams a job from offset until it ends.
func (e *Engine) follow(ctx context.Context, request id.Request, offset int, receive func(engine.Chunk) error) (engine.Outcome, error) {
	watcher := make(chan struct{}, 1)
	j, err := e.watch(request, watcher)
	if err != nil {
		return engine.Outcome{}, err
	}
	defer e.unwatch(j, watcher)
	for {
		view := e.view(j)
		if view.broken {
			return engine.Outcome{}, lostAnswer(engineService)
		}
		if view.tokens > offset {
			if err := e.send(j, offset, view, receive); err != nil {
				return engine.Outcome{}, err
			}
			offset = view.tokens
			continue
		}
		if view.state != engine.RequestRunning {
			return e.result(j)
		}
		select {
		case <-watcher:
		case <-ctx.Done():
			return engine.Outcome{}, lostAnswer(engineService)
		}
	}
}

// jobView is what a stream needs of a job.
type jobView struct {
	tokens int
	state  engine.RequestState
	broken bool // the stream must break here
	twice  bool // everything is sent twice
}

func (e *Engine) view(j *job) jobView {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	view := jobView{tokens: j.tokens, state: j.state, twice: e.faults.AnswerTwice}
	view.broken = e.faults.Dead || j.state == engine.RequestUnknown || e.takeBreak(j.tokens)
	return view
}

func (e *Engine) send(j *job, offset int, view jobView, receive func(engine.Chunk) error) error {
	chunk := engine.Chunk{
		Offset: offset,
		Tokens: view.tokens - offset,
		Text:   j.plan.text(j.request, offset, view.tokens),
	}
	if view.twice {
		if err := receive(chunk); err != nil {
			return err
		}
	}
	return receive(chunk)
}

func (e *Engine) result(j *job) (engine.Outcome, error) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.takeOutcomeLoss() {
		return engine.Outcome{}, lostAnswer(engineService)
	}
	return j.outcome, j.failure
}

// find returns a known job. The caller holds the mutex.
func (e *Engine) find(request id.Request) (*job, error) {
	if e.faults.Dead {
		return nil, lostAnswer(engineService)
	}
	e.advance()
	j, known := e.jobs[request]
	if !known {
		return nil, fault.Newf(fault.NotFound, "it was never sent here, or has been forgotten", "request %q is not known", request)
	}
	return j, nil
}

func (e *Engine) watch(request id.Request, watcher chan struct{}) (*job, error) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	j, err := e.find(request)
	if err == nil {
		j.watchers = append(j.watchers, watcher)
	}
	return j, err
}

func (e *Engine) unwatch(j *job, watcher chan struct{}) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	j.watchers = slices.DeleteFunc(j.watchers, func(other chan struct{}) bool { return other == watcher })
}

// Lookup implements engine.Client.
func (e *Engine) Lookup(ctx context.Context, request id.Request) (engine.RequestStatus, error) {
	var status engine.RequestStatus
	err := e.read(ctx, engineService, func() error {
		e.mutex.Lock()
		defer e.mutex.Unlock()
		j, err := e.find(request)
		if fault.Is(err, fault.NotFound) {
			status.State = engine.RequestUnknown
			err = nil
		} else if err == nil {
			status = engine.RequestStatus{State: j.state, Outcome: j.outcome, Tokens: j.tokens}
		}
		status.Fence = engine.Fence{Epoch: e.epoch, Instance: e.instance()}
		status.Forgotten = e.forgotten
		return err
	})
	if err != nil {
		return engine.RequestStatus{}, err
	}
	return status, nil
}

// Cancel implements engine.Client. A request that has ended stays as it is.
func (e *Engine) Cancel(ctx context.Context, request id.Request, fence engine.Fence) error {
	return e.command(ctx, fence, func(now time.Time) error {
		j, err := e.find(request)
		if err != nil || j.state != engine.RequestRunning {
			return err
		}
		e.model.Cancel(now, request)
		e.end(j, engine.RequestFinished, finishCancelled, nil)
		return nil
	})
}

// expire ends a job whose deadline has passed.
func (e *Engine) expire(j *job) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	now := e.advance()
	if j.state != engine.RequestRunning {
		return
	}
	e.model.Cancel(now, j.request)
	passed := fault.Newf(fault.DeadlinePassed, "send it earlier or with a later deadline", "request %q ran past its deadline", j.request)
	e.end(j, engine.RequestFailed, finishCancelled, passed.WithRan(fault.RanYes))
	e.wakeUp()
}

func (e *Engine) progress(event enginemodel.Event) {
	j := e.jobs[event.Request]
	if j == nil || j.state != engine.RequestRunning {
		return
	}
	j.made(event)
	j.notify()
}

// made takes in what the model has generated. Where the partial answer was
// complete already, the model's one token is its end.
func (j *job) made(event enginemodel.Event) {
	j.tokens = min(j.plan.partial.Tokens+event.Tokens, j.plan.tokens)
	j.usage = event.Usage
}

func (e *Engine) finish(event enginemodel.Event) {
	j := e.jobs[event.Request]
	if j == nil || j.state != engine.RequestRunning {
		return
	}
	j.made(event)
	e.end(j, engine.RequestFinished, j.plan.reason, nil)
}

// end settles a running job.
func (e *Engine) end(j *job, state engine.RequestState, reason string, failure error) {
	j.state = state
	j.failure = failure
	j.usage.OutputTokens = j.tokens
	if failure == nil {
		j.outcome = engine.Outcome{Message: j.plan.message(j.request, j.tokens), FinishReason: reason, Usage: j.usage}
	}
	j.ended = time.Now()
	if j.deadline != nil {
		j.deadline.Stop()
	}
	if state != engine.RequestUnknown {
		e.ended = append(e.ended, j)
	}
	e.settled(j, reason)
	j.notify()
}

// failLost ends the jobs that a change of the model threw out.
func (e *Engine) failLost() {
	known := e.model.Load().Requests
	for _, j := range e.jobs {
		if j.state == engine.RequestRunning && !slices.Contains(known, j.request) {
			lost := fault.Newf(fault.EngineFailed, "run it again elsewhere", "the engine changed its model under request %q", j.request)
			e.end(j, engine.RequestFailed, finishCancelled, lost.WithRan(fault.RanYes))
		}
	}
}

// forgetOld lets results go whose retention is over.
func (e *Engine) forgetOld() {
	horizon := time.Now().Add(-e.options.Retention)
	for len(e.ended) > 0 && e.ended[0].ended.Before(horizon) {
		delete(e.jobs, e.ended[0].request)
		e.forgotten = max(e.forgotten, e.ended[0].epoch)
		e.ended = e.ended[1:]
	}
}
