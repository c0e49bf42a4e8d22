package worker

import (
	"slices"
	"time"

	"github.com/cloverwheel/cloverwheel/internal/engine"
	"github.com/cloverwheel/cloverwheel/internal/fault"
	"github.com/cloverwheel/cloverwheel/internal/id"
)

const (
	// expectedModelLoad and expectedAdapterLoad are what placement expects an
	// order to take.
	expectedModelLoad   = 30 * time.Second
	expectedAdapterLoad = 3 * time.Second
	// orderRetry is the wait after an order that failed.
	orderRetry = 5 * time.Second
	// orderTimeout is how long an accepted order may take.
	orderTimeout = 5 * time.Minute
)

// servingState is what the engine serves, as far as is known.
type servingState struct {
	known    bool
	models   []id.Model
	adapters []id.Adapter
	usedAt   map[id.Adapter]time.Time
	pending  *engine.Order
	ordered  time.Time // when pending was
	switched time.Time // last change of the model
	notUntil time.Time // no order before
}

func newServingState() servingState {
	return servingState{usedAt: map[id.Adapter]time.Time{}}
}

func (s *servingState) reported(models []id.Model, adapters []id.Adapter) {
	s.known = true
	s.models = models
	s.adapters = adapters
}

func (s *servingState) used(adapter id.Adapter, now time.Time) {
	if adapter != "" {
		s.usedAt[adapter] = now
	}
}

// serves reports whether the worker can serve the job's model at all.
func (c *Core) serves(job Job) bool {
	return len(c.options.Models) == 0 || slices.Contains(c.options.Models, job.Model) || slices.Contains(c.serving.models, job.Model)
}

// ready reports whether the job's model and adapter are loaded.
func (c *Core) ready(job Job) bool { return c.modelLoaded(job.Model) && c.adapterReady(job.Adapter) }

func (c *Core) modelLoaded(model id.Model) bool {
	if !c.serving.known {
		return c.options.Ready
	}
	return slices.Contains(c.serving.models, model)
}

func (c *Core) adapterReady(adapter id.Adapter) bool {
	if adapter == "" {
		return true
	}
	if !c.serving.known {
		return c.options.Ready
	}
	return slices.Contains(c.serving.adapters, adapter)
}

// loadTime is how long a call would wait for its model and adapter.
func (c *Core) loadTime(model id.Model, adapter id.Adapter) time.Duration {
	var total time.Duration
	if !c.modelLoaded(model) {
		total += expectedModelLoad
	}
	if !c.adapterReady(adapter) {
		total += expectedAdapterLoad
	}
	return total
}

// order asks for the model or adapter of the first queued job that lacks one;
// there is never more than one order under way.
func (c *Core) order(now time.Time) []Action {
	if c.serving.pending != nil || !c.serving.known || c.leaving || now.Before(c.serving.notUntil) {
		return nil
	}
	for _, queued := range c.queue {
		if c.ready(queued.job) {
			continue
		}
		if order, ok := c.orderFor(now, queued.job); ok {
			c.serving.pending = &order
			c.serving.ordered = now
			return []Action{{Kind: ActOrder, Order: order}}
		}
	}
	return nil
}

func (c *Core) orderFor(now time.Time, job Job) (engine.Order, bool) {
	if !c.modelLoaded(job.Model) {
		return engine.Order{Kind: engine.LoadModel, Model: job.Model}, c.maySwitch(now)
	}
	if len(c.serving.adapters) < c.options.MaxAdapters {
		return engine.Order{Kind: engine.LoadAdapter, Model: job.Model, Adapter: job.Adapter}, true
	}
	unused, ok := c.unusedAdapter(now)
	return engine.Order{Kind: engine.UnloadAdapter, Model: job.Model, Adapter: unused}, ok
}

// maySwitch reports whether the loaded model may be replaced: not while calls
// for it run or wait, and not again within the dwell time.
func (c *Core) maySwitch(now time.Time) bool {
	if len(c.serving.models) == 0 {
		return true
	}
	if len(c.running) > 0 || now.Sub(c.serving.switched) < c.options.SwitchDwell {
		return false
	}
	return !slices.ContainsFunc(c.queue, func(q *queuedJob) bool { return c.modelLoaded(q.job.Model) })
}

// unusedAdapter finds the adapter that was used longest ago, if nobody needs it.
func (c *Core) unusedAdapter(now time.Time) (id.Adapter, bool) {
	needed := map[id.Adapter]bool{}
	for _, queued := range c.queue {
		needed[queued.job.Adapter] = true
	}
	for _, running := range c.running {
		needed[running.job.Adapter] = true
	}
	var oldest id.Adapter
	found := false
	for _, adapter := range c.serving.adapters {
		used := c.serving.usedAt[adapter]
		if needed[adapter] || now.Sub(used) < c.options.SwitchDwell {
			continue
		}
		if !found || used.Before(c.serving.usedAt[oldest]) {
			oldest, found = adapter, true
		}
	}
	return oldest, found
}

// Ordered reports the end of an ActOrder. An order that the engine has accepted
// is still pending: a load report tells when it is done.
func (c *Core) Ordered(now time.Time, _ engine.Order, failed bool) []Action {
	if failed {
		c.serving.pending = nil
		c.serving.notUntil = now.Add(orderRetry)
	}
	return c.schedule(now)
}

// settle ends a pending order that a report shows as done, or that has taken
// too long.
func (c *Core) settle(now time.Time) {
	pending := c.serving.pending
	if pending == nil {
		return
	}
	switch {
	case c.serving.done(*pending):
		c.serving.pending = nil
		c.serving.used(pending.Adapter, now)
		if pending.Kind == engine.LoadModel {
			c.serving.switched = now
			c.residency.Lost()
		}
	case now.Sub(c.serving.ordered) > orderTimeout:
		c.serving.pending = nil
		c.serving.notUntil = now.Add(orderRetry)
	}
}

func (s *servingState) done(order engine.Order) bool {
	switch order.Kind {
	case engine.LoadModel:
		return slices.Contains(s.models, order.Model)
	case engine.LoadAdapter:
		return slices.Contains(s.adapters, order.Adapter)
	default:
		return !slices.Contains(s.adapters, order.Adapter)
	}
}

func programEnded() *fault.Error {
	return fault.New(fault.ProgramEnded, "the program has ended", "start another program")
}
