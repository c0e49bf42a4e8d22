package sim

import (
	"slices"
	"strconv"
	"time"

	"github.com/cloverwheel/cloverwheel/internal/engine"
	"github.com/cloverwheel/cloverwheel/internal/enginemodel"
	"github.com/cloverwheel/cloverwheel/internal/fault"
	"github.com/cloverwheel/cloverwheel/internal/id"
	"github.com/cloverwheel/cloverwheel/internal/worker"
)

const (
	// tickEvery is how often an owner's Tick and Progress run, as in a node.
	tickEvery = 100 * time.Millisecond
	// reportEvery is how often an engine reports its load, and reportLag how
	// late the report comes.
	reportEvery = time.Second
	reportLag   = 500 * time.Millisecond
	// eventLag is how late cache events come.
	eventLag = 150 * time.Millisecond
	// eventGap is the share of event batches that get lost.
	eventGap = 0.002
)

// backend is one worker: an engine, its owner and what runs there.
type backend struct {
	simulation *simulation
	name       id.Worker
	zone       string
	engine     *enginemodel.Engine
	owner      owner
	jobs       map[id.Request]*attempt
	running    []id.Request // sent to the engine and not over, in that order
	wakeAt     time.Time    // of the earliest wake that is scheduled
	pending    []engine.CacheEvent
	flushing   bool
	down       bool      // the engine refuses everything
	ownerDown  bool      // the owner does not answer either
	downSince  time.Time // of the latest fault
	life       int       // counts deaths, so that what was under way is told apart
}

// enqueue hands an attempt to the owner.
func (b *backend) enqueue(a *attempt) {
	if b.ownerDown {
		b.simulation.clock.after(failureDetection, func() { a.failed(nil) })
		return
	}
	b.jobs[a.request] = a
	b.do(b.owner.Enqueue(b.now(), a.job()))
	b.pump()
}

func (b *backend) now() time.Time { return b.simulation.clock.now }

// pump lets the engine do what is due and schedules the next time.
func (b *backend) pump() {
	now := b.now()
	for {
		events := b.engine.Advance(now)
		if len(events) == 0 {
			break
		}
		for _, event := range events {
			b.engineEvent(event)
		}
	}
	b.wake()
}

func (b *backend) wake() {
	next, ok := b.engine.Next()
	if !ok || !b.wakeAt.IsZero() && !b.wakeAt.After(next) {
		return
	}
	b.wakeAt = next
	b.simulation.clock.at(next, func() {
		if !b.wakeAt.Equal(next) {
			return
		}
		b.wakeAt = time.Time{}
		b.pump()
	})
}

// heartbeat is the owner's regular round: progress of streams and Tick.
func (b *backend) heartbeat() {
	if !b.ownerDown {
		b.pump()
		for _, request := range slices.Clone(b.running) {
			if tokens := b.engine.Output(request); tokens > 0 {
				b.do(b.owner.Progress(b.now(), request, tokens))
			}
		}
		b.do(b.owner.Tick(b.now()))
		b.pump()
	}
	b.simulation.clock.after(tickEvery, b.heartbeat)
}

// report sends the engine's load report, late.
func (b *backend) report() {
	if !b.down {
		load := b.engine.Load()
		load.Taken = b.now()
		life := b.life
		b.simulation.clock.after(reportLag, func() {
			if b.ownerDown || b.life != life {
				return
			}
			b.do(b.owner.Load(b.now(), load))
			b.pump()
		})
	}
	b.simulation.clock.after(reportEvery, b.report)
}

func (b *backend) engineEvent(event enginemodel.Event) {
	switch event.Kind {
	case enginemodel.FirstToken:
		b.do(b.owner.Progress(b.now(), event.Request, event.Tokens))
	case enginemodel.Finished:
		b.finished(event)
	case enginemodel.Aborted:
		b.ended(event.Request, engine.Outcome{}, true)
	case enginemodel.Cache:
		b.cacheEvent(event.Cache)
	}
}

func (b *backend) finished(event enginemodel.Event) {
	outcome := engine.Outcome{FinishReason: "stop", Usage: event.Usage}
	b.ended(event.Request, outcome, false)
}

// ended tells the owner and the program's leader that an attempt is over.
func (b *backend) ended(request id.Request, outcome engine.Outcome, failed bool) {
	b.forgetRunning(request)
	a, ok := b.jobs[request]
	delete(b.jobs, request)
	if b.ownerDown {
		return
	}
	b.do(b.owner.Finished(b.now(), request, outcome, failed))
	if !ok {
		return
	}
	if failed {
		a.failed(nil)
		return
	}
	a.finished(outcome.Usage)
}

func (b *backend) forgetRunning(request id.Request) {
	for i, other := range b.running {
		if other == request {
			b.running = append(b.running[:i], b.running[i+1:]...)
			return
		}
	}
}

// cacheEvent passes events on in batches, late and sometimes not at all.
func (b *backend) cacheEvent(event engine.CacheEvent) {
	b.pending = append(b.pending, event)
	if b.flushing {
		return
	}
	b.flushing = true
	b.simulation.clock.after(eventLag, func() {
		batch := b.pending
		b.pending = nil
		b.flushing = false
		if b.ownerDown || b.simulation.random.Float64() < eventGap {
			return
		}
		b.owner.CacheEvents(b.now(), batch)
	})
}

// do carries out an owner's actions.
func (b *backend) do(actions []worker.Action) {
	for _, action := range actions {
		b.act(action)
	}
}

func (b *backend) act(action worker.Action) {
	now := b.now()
	switch action.Kind {
	case worker.ActStart:
		b.start(action)
	case worker.ActRefuse:
		b.refuse(action.Request, action.Fault)
	case worker.ActCancel:
		if b.engine.Cancel(now, action.Request) {
			b.ended(action.Request, engine.Outcome{FinishReason: "cancelled"}, true)
		}
	case worker.ActHold:
		_, _ = b.engine.Hold(now, action.Program, action.Segment, action.Until)
	case worker.ActRelease:
		b.engine.Release(now, action.Program)
	case worker.ActExport:
		b.export(action)
	case worker.ActDrop:
		b.engine.Drop(now, action.Segment)
	case worker.ActOrder:
	}
}

// start sends a job to the engine, after the import of its context if there is one.
func (b *backend) start(action worker.Action) {
	a, ok := b.jobs[action.Request]
	if !ok {
		return
	}
	if image, found := b.simulation.images[action.Import.Key]; found && !b.down {
		if wait, err := b.engine.Import(b.now(), image); err == nil {
			life := b.life
			b.simulation.clock.after(wait, func() {
				if b.life == life {
					b.submit(a, action.Priority)
					b.pump()
				}
			})
			return
		}
	}
	b.submit(a, action.Priority)
}

func (b *backend) submit(a *attempt, priority int) {
	b.running = append(b.running, a.request)
	err := enginemodel.ErrNoModel
	if !b.down {
		err = b.engine.Submit(b.now(), a.engineRequest(priority))
	}
	if err != nil {
		b.simulation.clock.after(0, func() { b.ended(a.request, engine.Outcome{}, true) })
	}
}

func (b *backend) refuse(request id.Request, cause *fault.Error) {
	a, ok := b.jobs[request]
	delete(b.jobs, request)
	if ok {
		a.failed(cause)
	}
}

// export copies context into the simulation's store.
func (b *backend) export(action worker.Action) {
	image, wait, err := b.engine.Export(b.now(), action.Program, action.Segment)
	b.simulation.clock.after(wait, func() {
		if b.ownerDown {
			return
		}
		key := ""
		if err == nil {
			b.simulation.exports++
			key = "export-" + strconv.Itoa(b.simulation.exports)
			b.simulation.keep(key, image)
		}
		b.do(b.owner.Exported(b.now(), action.Program, action.Segment, key))
		b.pump()
	})
}

// keep stores an exported image until its program exports again or ends.
func (s *simulation) keep(key string, image enginemodel.Image) {
	s.forgetImage(image.Program)
	s.images[key] = image
	s.imageKeys[image.Program] = key
	s.stored += image.Segments.Tokens()
	s.result.StoredPeak = max(s.result.StoredPeak, s.stored)
}

// forgetImage deletes the image of a program.
func (s *simulation) forgetImage(program id.Program) {
	key := s.imageKeys[program]
	s.stored -= s.images[key].Segments.Tokens()
	delete(s.images, key)
	delete(s.imageKeys, program)
}
