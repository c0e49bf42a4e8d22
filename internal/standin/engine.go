package standin

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/cloverwheel/cloverwheel/internal/engine"
	"github.com/cloverwheel/cloverwheel/internal/enginemodel"
	"github.com/cloverwheel/cloverwheel/internal/id"
	"github.com/cloverwheel/cloverwheel/internal/outside"
)

// Defaults of EngineOptions.
const (
	DefaultRetention = 10 * time.Minute
	DefaultLag       = 250 * time.Millisecond
)

const (
	engineService = "engine"
	// eventCapacity is how many cache events are kept to be asked for.
	eventCapacity = 8192
	// idleWait is how long the driver sleeps when nothing is planned.
	idleWait = time.Hour
)

// EngineOptions configure a stand-in engine.
type EngineOptions struct {
	Name string // tells exports of engines apart
	// Model holds virtual times, but for HoldLimit, which is real.
	Model enginemodel.Options
	// Speed is how many times faster than real time the model runs; zero: 1.
	// All times at the interface are real.
	Speed float64
	// Retention is how long results of ended requests and exports are kept;
	// zero: DefaultRetention.
	Retention time.Duration
	Lag       time.Duration // of cache events and load reports; zero: DefaultLag
	// EventGap loses one cache event in so many; zero: none.
	EventGap int
	// Store takes exports, and is shared by engines that exchange them; nil: one
	// of its own.
	Store outside.Objects
	// Weights is where models and adapters are loaded from; nil: no limit.
	Weights *WeightStore
}

// Engine is a model engine in memory. It implements engine.Client, and Run
// drives it. A stream that its reader leaves goes on until it is cancelled.
type Engine struct {
	Switch
	options EngineOptions
	start   time.Time     // real and virtual time agree at the start
	wake    chan struct{} // tells the driver that plans have changed

	mutex  sync.Mutex
	model  *enginemodel.Engine
	faults EngineFaults
	epoch  uint64 // highest seen
	deaths int
	// forgotten is the highest epoch of the requests forgotten since the last death.
	forgotten uint64
	jobs      map[id.Request]*job
	ended     []*job // oldest first
	events    []timedEvent
	reports   [2]engine.LoadReport // older and newer
	record    map[id.Request]*Run
	order     []id.Request // of record
	orders    []engine.Order
	exports   int // made so far; names the next
}

// NewEngine returns an idle engine. It does nothing unless Run drives it.
func NewEngine(options EngineOptions) *Engine {
	options = options.withDefaults()
	e := &Engine{
		options: options,
		start:   time.Now(),
		wake:    make(chan struct{}, 1),
		model:   enginemodel.New(options.Model),
		jobs:    map[id.Request]*job{},
		record:  map[id.Request]*Run{},
	}
	e.model.Advance(e.start)
	e.takeReport()
	e.takeReport()
	return e
}

func (o EngineOptions) withDefaults() EngineOptions {
	if o.Speed == 0 {
		o.Speed = 1
	}
	if o.Retention == 0 {
		o.Retention = DefaultRetention
	}
	if o.Lag == 0 {
		o.Lag = DefaultLag
	}
	if o.Store == nil {
		o.Store = NewMemoryObjects()
	}
	if o.Model.MemoryTokens == 0 {
		o.Model.MemoryTokens = enginemodel.DefaultOptions.MemoryTokens
	}
	if o.Model.ModelLoad == 0 {
		o.Model.ModelLoad = enginemodel.DefaultOptions.ModelLoad
	}
	if o.Model.AdapterLoad == 0 {
		o.Model.AdapterLoad = enginemodel.DefaultOptions.AdapterLoad
	}
	if o.Model.HoldLimit == 0 {
		o.Model.HoldLimit = enginemodel.DefaultOptions.HoldLimit
	}
	o.Model.HoldLimit = time.Duration(float64(o.Model.HoldLimit) * o.Speed)
	o.Model.Progress = true
	return o
}

// Run drives the engine until ctx ends.
func (e *Engine) Run(ctx context.Context) error {
	reports := time.NewTicker(e.options.Lag)
	defer reports.Stop()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
		case <-e.wake:
		case <-reports.C:
			e.locked(e.takeReport)
		}
		timer.Reset(e.drive())
	}
}

// drive advances the model and returns how long nothing will happen.
func (e *Engine) drive() time.Duration {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.advance()
	next, planned := e.model.Next()
	if !planned || e.faults.Dead {
		return idleWait
	}
	return max(time.Until(e.real(next)), time.Nanosecond)
}

func (e *Engine) locked(do func()) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	do()
}

// wakeUp makes the driver look at the plans again.
func (e *Engine) wakeUp() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// virtual turns a real time into the model's.
func (e *Engine) virtual(real time.Time) time.Time {
	return e.start.Add(time.Duration(float64(real.Sub(e.start)) * e.options.Speed))
}

// real turns a time of the model into a real one.
func (e *Engine) real(virtual time.Time) time.Time {
	return e.start.Add(e.realSpan(virtual.Sub(e.start)))
}

// realSpan rounds up, so that the driver never wakes just before its time.
func (e *Engine) realSpan(virtual time.Duration) time.Duration {
	return time.Duration(math.Ceil(float64(virtual) / e.options.Speed))
}

// advance brings the model to the present and takes in what happened. It
// returns the model's present. The caller holds the mutex.
func (e *Engine) advance() time.Time {
	now := e.virtual(time.Now())
	for _, event := range e.model.Advance(now) {
		e.take(event)
	}
	return now
}

func (e *Engine) take(event enginemodel.Event) {
	switch event.Kind {
	case enginemodel.FirstToken, enginemodel.Progress:
		e.progress(event)
	case enginemodel.Finished:
		e.finish(event)
	case enginemodel.Cache:
		e.keepEvent(event.Cache, e.real(event.Time))
	case enginemodel.Loaded:
		if event.Adapter == "" {
			e.failLost()
		}
	case enginemodel.Preemption, enginemodel.Imported:
	}
}
