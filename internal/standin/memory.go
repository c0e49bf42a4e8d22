package standin

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"time"

	"github.com/cloverwheel/cloverwheel/internal/engine"
	"github.com/cloverwheel/cloverwheel/internal/enginemodel"
	"github.com/cloverwheel/cloverwheel/internal/fault"
	"github.com/cloverwheel/cloverwheel/internal/id"
)

// exportPrefix starts the keys of exported context.
const exportPrefix = "kv/"

// timedEvent is a cache event and the real time when it happened.
type timedEvent struct {
	at    time.Time
	event engine.CacheEvent
}

// command runs a fenced command under the faults in force.
func (e *Engine) command(ctx context.Context, fence engine.Fence, run func(now time.Time) error) error {
	return e.write(ctx, engineService, func() error {
		e.mutex.Lock()
		defer e.mutex.Unlock()
		if err := e.admitCommand(fence); err != nil {
			return err
		}
		defer e.wakeUp()
		return run(e.advance())
	})
}

// admitCommand refuses the commands of a former owner.
func (e *Engine) admitCommand(fence engine.Fence) error {
	if e.faults.Dead {
		return lostAnswer(engineService)
	}
	if fence.Instance != "" && fence.Instance != e.instance() {
		return fault.Newf(fault.Unavailable, "place the call anew", "the engine has been restarted since it was looked at as %s", fence.Instance)
	}
	if fence.Epoch < e.epoch {
		return fault.Newf(fault.Fenced, "give the engine up to its owner", "epoch %d is older than %d", fence.Epoch, e.epoch).
			WithHint(strconv.FormatUint(e.epoch, 10))
	}
	e.epoch = fence.Epoch
	return nil
}

// instance names the engine's present start.
func (e *Engine) instance() string {
	return fmt.Sprintf("%s-%d-%d", e.options.Name, e.start.UnixNano(), e.deaths)
}

// Hold implements engine.Client.
func (e *Engine) Hold(ctx context.Context, hold engine.Hold) error {
	return e.command(ctx, hold.Fence, func(now time.Time) error {
		_, err := e.model.Hold(now, hold.Program, hold.Segment, e.virtual(hold.Until))
		return memoryFault(err)
	})
}

// Release implements engine.Client; releasing what is not held succeeds.
func (e *Engine) Release(ctx context.Context, program id.Program, fence engine.Fence) error {
	return e.command(ctx, fence, func(now time.Time) error {
		e.model.Release(now, program)
		return nil
	})
}

// Drop implements engine.Client; dropping what is not cached succeeds.
func (e *Engine) Drop(ctx context.Context, segment uint64, fence engine.Fence) error {
	return e.command(ctx, fence, func(now time.Time) error {
		e.model.Drop(now, segment)
		return nil
	})
}

// Export implements engine.Client. The copy is forgotten after the retention time.
func (e *Engine) Export(ctx context.Context, program id.Program, segment uint64, fence engine.Fence) (string, error) {
	var image enginemodel.Image
	var transfer time.Duration
	var key string
	err := e.command(ctx, fence, func(now time.Time) error {
		var err error
		image, transfer, err = e.model.Export(now, program, segment)
		e.exports++
		key = exportPrefix + e.options.Name + "/" + strconv.Itoa(e.exports)
		return memoryFault(err)
	})
	if err != nil {
		return "", err
	}
	encoded, err := json.Marshal(image)
	if err != nil {
		return "", fault.From(err)
	}
	if err := e.transfer(ctx, transfer); err != nil {
		return "", err
	}
	if err := e.options.Store.Put(ctx, key, encoded); err != nil {
		return "", err
	}
	time.AfterFunc(e.options.Retention, func() { _ = e.options.Store.Delete(context.Background(), key) })
	return key, nil
}

// Import implements engine.Client. It returns once the context is cached.
func (e *Engine) Import(ctx context.Context, key string, fence engine.Fence) error {
	encoded, err := e.options.Store.Get(ctx, key)
	if err != nil {
		return err
	}
	var image enginemodel.Image
	if err := json.Unmarshal(encoded, &image); err != nil {
		return fault.Newf(fault.Invalid, "use a key that Export returned", "unreadable export %q: %v", key, err)
	}
	var transfer time.Duration
	err = e.command(ctx, fence, func(now time.Time) error {
		var err error
		transfer, err = e.model.Import(now, image)
		return memoryFault(err)
	})
	if err != nil {
		return err
	}
	return e.transfer(ctx, transfer)
}

// transfer waits for a copy that takes a virtual time.
func (e *Engine) transfer(ctx context.Context, virtual time.Duration) error {
	timer := time.NewTimer(e.realSpan(virtual))
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return lostAnswer(engineService)
	}
}

func memoryFault(err error) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, enginemodel.ErrNotCached):
		return fault.New(fault.NotFound, "the context is not cached", "compute it again")
	case errors.Is(err, enginemodel.ErrNoModel):
		return fault.New(fault.UnknownModel, "the context is of another model", "import it where that model runs")
	}
	return fault.Newf(fault.Overloaded, "release or drop something first", "the engine has no room: %v", err)
}

// Order implements engine.Client. Loading goes on after it returns; load
// reports tell when it is over.
func (e *Engine) Order(ctx context.Context, order engine.Order) error {
	return e.command(ctx, order.Fence, func(now time.Time) error {
		e.orders = append(e.orders, order)
		switch order.Kind {
		case engine.LoadModel:
			e.load(e.options.Model.ModelLoad, func(now time.Time) { e.model.LoadModel(now, order.Model) })
		case engine.LoadAdapter:
			e.load(e.options.Model.AdapterLoad, func(now time.Time) { e.model.LoadAdapter(now, order.Adapter) })
		case engine.UnloadAdapter:
			e.model.UnloadAdapter(now, order.Adapter)
		case engine.SetRole:
		default:
			return fault.Newf(fault.Invalid, "use a known kind of order", "unknown order %q", order.Kind)
		}
		return nil
	})
}

// load starts loading when the weight store has a free place.
func (e *Engine) load(virtual time.Duration, begin func(now time.Time)) {
	wait := e.options.Weights.reserve(time.Now(), e.realSpan(virtual))
	if wait == 0 {
		begin(e.advance())
		return
	}
	time.AfterFunc(wait, func() {
		e.locked(func() { begin(e.advance()) })
		e.wakeUp()
	})
}

// keepEvent queues a cache event, unless it is one to lose.
func (e *Engine) keepEvent(event engine.CacheEvent, at time.Time) {
	if e.options.EventGap > 0 && event.Sequence%uint64(e.options.EventGap) == 0 {
		return
	}
	if len(e.events) == eventCapacity {
		e.events = slices.Clone(e.events[eventCapacity/2:])
	}
	e.events = append(e.events, timedEvent{at: at, event: event})
}

// Events implements engine.Client. Events come late; what is too old is a gap.
func (e *Engine) Events(ctx context.Context, after uint64) ([]engine.CacheEvent, error) {
	var found []engine.CacheEvent
	err := e.read(ctx, engineService, func() error {
		e.mutex.Lock()
		defer e.mutex.Unlock()
		if e.faults.Dead {
			return lostAnswer(engineService)
		}
		e.advance()
		horizon := time.Now().Add(-e.options.Lag)
		first, _ := slices.BinarySearchFunc(e.events, after+1, func(t timedEvent, sequence uint64) int {
			return int(t.event.Sequence) - int(sequence)
		})
		for _, kept := range e.events[first:] {
			if kept.at.After(horizon) {
				break
			}
			found = append(found, kept.event)
		}
		return nil
	})
	if err != nil {
		return nil, err
	}
	return found, nil
}

// Load implements engine.Client; the report is between one and two lags old.
func (e *Engine) Load(ctx context.Context) (engine.LoadReport, error) {
	var report engine.LoadReport
	err := e.read(ctx, engineService, func() error {
		e.mutex.Lock()
		defer e.mutex.Unlock()
		if e.faults.Dead {
			return lostAnswer(engineService)
		}
		report = e.reports[0]
		return nil
	})
	if err != nil {
		return engine.LoadReport{}, err
	}
	return report, nil
}

// models returns what is loaded now.
func (e *Engine) models() []id.Model {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.advance()
	return e.model.Load().Models
}

// takeReport publishes the report before the last and takes a new one.
func (e *Engine) takeReport() {
	e.advance()
	report := e.model.Load()
	report.Taken = e.real(report.Taken)
	report.StepTime = e.realSpan(report.StepTime)
	report.PrefillTokens = int(float64(report.PrefillTokens) * e.options.Speed)
	report.HighestEpoch = e.epoch
	report.Instance = e.instance()
	e.reports[0], e.reports[1] = e.reports[1], report
}
