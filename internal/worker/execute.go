package worker

import (
	"context"
	"time"

	"github.com/cloverwheel/cloverwheel/internal/engine"
	"github.com/cloverwheel/cloverwheel/internal/fault"
	"github.com/cloverwheel/cloverwheel/internal/timing"
)

// do carries a Core's actions out. The caller holds the mutex.
func (o *owner) do(actions []Action) {
	for _, action := range actions {
		switch action.Kind {
		case ActStart:
			o.start(action)
		case ActRefuse:
			o.refuse(action)
		default:
			o.queueAction(action)
		}
	}
}

func (o *owner) refuse(action Action) {
	o.service.metrics.refused.WithLabelValues(string(action.Fault.Code)).Inc()
	if open, ok := o.streams[action.Request]; ok {
		open.end(nil, action.Fault)
		// The request never ran, so it may come again under the same identifier.
		delete(o.streams, action.Request)
	}
}

func (o *owner) queueAction(action Action) {
	select {
	case o.actions <- action:
	default:
		o.service.metrics.commandsLost.Inc()
	}
}

// start sends a job to the engine in its own goroutine.
func (o *owner) start(action Action) {
	open := o.streams[action.Request]
	ctx, fence := o.ctx, engine.Fence{Epoch: o.epoch}
	o.retries.earn()
	o.group.Add(1)
	go func() {
		defer o.group.Done()
		outcome, err := o.generate(ctx, action, fence, open)
		o.finish(action, open, outcome, err)
	}()
}

// generate runs a job and finds out what became of it if its stream breaks.
func (o *owner) generate(ctx context.Context, action Action, fence engine.Fence, open *stream) (engine.Outcome, error) {
	job := action.Job
	if job.Fence != (engine.Fence{}) {
		fence = job.Fence
	}
	if !job.Profile.Deadline.IsZero() {
		limited, cancel := context.WithDeadline(ctx, job.Profile.Deadline)
		defer cancel()
		ctx = limited
	}
	if action.Import.Key != "" {
		o.importContext(ctx, action.Import, fence)
	}
	request := engine.GenerateRequest{
		Request:   job.Request,
		Program:   job.Program,
		Model:     job.Model,
		Adapter:   job.Adapter,
		Messages:  job.Messages,
		MaxTokens: job.MaxTokens,
		Priority:  action.Priority,
		Fence:     fence,
		Deadline:  job.Profile.Deadline,
		Partial:   job.Partial,
	}
	outcome, err := o.watch(ctx, func(ctx context.Context, receive func(engine.Chunk) error) (engine.Outcome, error) {
		return o.client.Generate(ctx, request, receive)
	}, open)
	if err == nil || fault.From(err).Ran != fault.RanUnknown {
		return outcome, err
	}
	return o.rejoin(ctx, job, open, err)
}

// importContext brings exported context in; without it the engine prefills.
func (o *owner) importContext(ctx context.Context, copied Import, fence engine.Fence) {
	ctx, cancel := context.WithTimeout(ctx, o.service.options.Timeout)
	defer cancel()
	if err := o.client.Import(ctx, copied.Key, fence); err != nil {
		o.log.WithError(err).Warn("import failed")
	}
}

// generation is Generate or Resume with its request bound.
type generation func(ctx context.Context, receive func(engine.Chunk) error) (engine.Outcome, error)

// watch runs a generation, passes its chunks on and cuts it when the engine
// makes no token for too long.
func (o *owner) watch(ctx context.Context, run generation, open *stream) (engine.Outcome, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stalled := time.AfterFunc(o.service.options.Stall, cancel)
	defer stalled.Stop()
	return run(ctx, func(chunk engine.Chunk) error {
		stalled.Reset(o.service.options.Stall)
		tokens := open.add(chunk)
		o.with(func(now time.Time, core *Core) []Action { return core.Progress(now, open.request, tokens) })
		return nil
	})
}

// rejoin follows a request whose stream broke until its outcome is known, the
// engine has forgotten it, or the retry budget is used up.
func (o *owner) rejoin(ctx context.Context, job *Job, open *stream, cause error) (engine.Outcome, error) {
	for pauses := timing.NewBackoff(firstPause, longestPause); o.retries.spend(); {
		if timing.Sleep(ctx, pauses.NextBackOff()) != nil {
			break
		}
		o.service.metrics.retries.Inc()
		outcome, err := o.watch(ctx, func(ctx context.Context, receive func(engine.Chunk) error) (engine.Outcome, error) {
			return o.client.Resume(ctx, job.Request, open.offset(), receive)
		}, open)
		if err == nil {
			return outcome, nil
		}
		cause = err
		if known := fault.From(err); known.Code == fault.NotFound || known.Ran == fault.RanYes {
			break
		}
	}
	return engine.Outcome{}, fault.From(cause).WithRan(ranOf(cause))
}

// ranOf keeps a failed run a failed run; anything else after a broken stream is
// unknown, also when the engine has forgotten the request.
func ranOf(err error) fault.Ran {
	if fault.From(err).Ran == fault.RanYes {
		return fault.RanYes
	}
	return fault.RanUnknown
}

// finish reports a job's end to the Core, the breaker and the stream.
func (o *owner) finish(action Action, open *stream, outcome engine.Outcome, err error) {
	o.breaker.record(time.Now(), err)
	if fault.Is(err, fault.Fenced) {
		o.lostEpoch()
	}
	o.reportEnd(action, outcome, err)
	o.answer(open, outcome, err)
}

// answer ends the stream of a call that was sent to the engine.
func (o *owner) answer(open *stream, outcome engine.Outcome, err error) {
	if err == nil {
		open.end(&outcome, nil)
		o.service.metrics.observe(outcome)
		return
	}
	o.log.WithField("request", string(open.request)).WithError(err).Warn("call failed")
	open.end(nil, err)
}

// reportEnd tells the Core that a job is over. Its caller learns that only
// afterwards: a pause that it then reports must not be overtaken by the end.
func (o *owner) reportEnd(action Action, outcome engine.Outcome, err error) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if err != nil && fault.From(err).Ran == fault.RanNo {
		delete(o.streams, action.Request)
	}
	o.do(o.core.Finished(time.Now(), action.Request, outcome, err != nil))
}

// command sends the Core's other actions to the engine, one after the other.
func (o *owner) command(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case action := <-o.actions:
			o.send(ctx, action)
		}
	}
}

func (o *owner) send(ctx context.Context, action Action) {
	if action.Kind == ActOrder {
		o.sendOrder(ctx, action.Order)
		return
	}
	limited, cancel := context.WithTimeout(ctx, o.service.options.Timeout)
	defer cancel()
	err := o.sendCommand(limited, action, o.fence())
	if err == nil || ctx.Err() != nil {
		return
	}
	if fault.Is(err, fault.Fenced) {
		o.lostEpoch()
		return
	}
	if action.Kind == ActHold {
		o.with(func(now time.Time, core *Core) []Action { return core.HoldRefused(now, action.Program) })
	}
	o.log.WithField("command", string(action.Kind)).WithField("program", string(action.Program)).WithError(err).Debug("command failed")
}

func (o *owner) sendCommand(ctx context.Context, action Action, fence engine.Fence) error {
	switch action.Kind {
	case ActCancel:
		return o.client.Cancel(ctx, action.Request, fence)
	case ActHold:
		return o.client.Hold(ctx, engine.Hold{Program: action.Program, Segment: action.Segment, Until: action.Until, Fence: fence})
	case ActRelease:
		return o.client.Release(ctx, action.Program, fence)
	case ActDrop:
		return o.client.Drop(ctx, action.Segment, fence)
	case ActExport:
		key, err := o.client.Export(ctx, action.Program, action.Segment, fence)
		o.with(func(now time.Time, core *Core) []Action {
			return core.Exported(now, action.Program, action.Segment, key)
		})
		return err
	}
	return nil
}

// sendOrder carries out an order of its own pace, so that it does not hold the
// other commands up, within the weight store's rate.
func (o *owner) sendOrder(ctx context.Context, order engine.Order) {
	o.group.Add(1)
	go func() {
		defer o.group.Done()
		err := o.service.weights.Wait(ctx)
		if err == nil {
			order.Fence = o.fence()
			err = o.client.Order(ctx, order)
		}
		if err != nil {
			o.log.WithField("order", string(order.Kind)).WithError(err).Warn("order failed")
		} else {
			o.log.WithField("order", string(order.Kind)).WithField("model", string(order.Model)).WithField("adapter", string(order.Adapter)).Info("order carried out")
		}
		o.with(func(now time.Time, core *Core) []Action { return core.Ordered(now, order, err != nil) })
	}()
}

const (
	firstPause   = 50 * time.Millisecond
	longestPause = 2 * time.Second
)
