package enginemodel

import (
	"cmp"
	"errors"
	"slices"
	"time"

	"github.com/cloverwheel/cloverwheel/internal/chat"
	"github.com/cloverwheel/cloverwheel/internal/engine"
	"github.com/cloverwheel/cloverwheel/internal/id"
)

// The refusals of an engine; nothing has run when one is returned.
var (
	ErrDuplicate = errors.New("request identifier is already queued or running")
	ErrTooLarge  = errors.New("request needs more KV memory than the engine has")
	ErrNoModel   = errors.New("model or adapter is not loaded")
	ErrNotCached = errors.New("segment is not cached")
	ErrNoMemory  = errors.New("no memory left for it")
)

// Request asks for one completion.
type Request struct {
	ID      id.Request
	Program id.Program
	Model   id.Model // empty: whatever is loaded
	Adapter id.Adapter
	Prefix  chat.Prefix
	// PartialTokens are the beginning of the answer, made elsewhere: they are
	// prefilled after the prefix, and are part of Answer.
	PartialTokens int
	OutputTokens  int // that the model will generate; at least 1 is
	Priority      int // higher is admitted earlier and preempted later
	// Answer is the segment of the answer within the next call's prefix. A zero
	// hash means that the output is not kept in the cache.
	Answer chat.Segment
	// Last and Fresh serve the account of waste only. Last says that no later
	// call extends this one; Fresh counts the segments at the prefix's end that
	// no earlier call sent.
	Last  bool
	Fresh int
}

// EventKind tells events apart.
type EventKind int

// The kinds of events.
const (
	FirstToken EventKind = iota // a request's first token is out
	Progress                    // a request's output has grown; only with Options.Progress
	Finished                    // a request has all of its output
	Aborted                     // a request ended without all of its output, by a fault
	Preemption                  // a request went back to the queue
	Cache                       // the prefix cache changed
	Loaded                      // a model or an adapter is ready
	Imported                    // an import is in the cache
)

// Event reports what happened at a time.
type Event struct {
	Time    time.Time
	Kind    EventKind
	Request id.Request
	Program id.Program
	Tokens  int // output so far
	Usage   chat.Usage
	Cache   engine.CacheEvent
	Model   id.Model
	Adapter id.Adapter
}

// Engine models one engine.
type Engine struct {
	options Options
	now     time.Time
	events  []Event
	account Account

	queued    []*sequence // highest priority first, then in order of arrival
	running   []*sequence // in order of admission
	known     map[id.Request]*sequence
	arrivals  uint64
	step      step
	stepping  bool
	lastStep  time.Duration
	speed     float64
	stalledTo time.Time

	entries   map[uint64]*entry
	queueLRU  evictionQueue
	holds     []hold
	tick      uint64
	created   uint64
	sequence  uint64 // of cache events
	cached    int    // tokens of all entries
	evictable int    // tokens of entries without references and pins
	held      int    // tokens of pinned entries
	private   int    // tokens of sequences outside the cache

	model       id.Model
	adapters    []id.Adapter
	timers      []timer
	transferEnd time.Time
	loading     bool
}

// New returns an idle engine.
func New(options Options) *Engine {
	options = options.withDefaults()
	return &Engine{
		options:  options,
		known:    map[id.Request]*sequence{},
		entries:  map[uint64]*entry{},
		speed:    1,
		model:    options.Model,
		adapters: slices.Clone(options.Adapters),
	}
}

func (e *Engine) free() int { return e.options.MemoryTokens - e.cached - e.private }

func (e *Engine) emit(event Event) {
	event.Time = e.now
	e.events = append(e.events, event)
}

// Submit queues a request.
func (e *Engine) Submit(now time.Time, r Request) error {
	e.moveTo(now)
	r.OutputTokens = max(r.OutputTokens, 1)
	if _, ok := e.known[r.ID]; ok {
		return ErrDuplicate
	}
	if r.Prefix.Tokens()+r.PartialTokens+r.OutputTokens > e.options.MemoryTokens {
		return ErrTooLarge
	}
	if !e.serves(r.Model, r.Adapter) {
		return ErrNoModel
	}
	e.arrivals++
	s := &sequence{request: r, prompt: r.Prefix.Tokens() + r.PartialTokens, arrival: e.arrivals}
	e.known[r.ID] = s
	e.enqueueSequence(s)
	e.interrupt()
	return nil
}

func (e *Engine) serves(model id.Model, adapter id.Adapter) bool {
	if model != "" && model != e.model {
		return false
	}
	return adapter == "" || slices.Contains(e.adapters, adapter)
}

func (e *Engine) enqueueSequence(s *sequence) {
	at, _ := slices.BinarySearchFunc(e.queued, s, func(a, b *sequence) int {
		if order := cmp.Compare(b.request.Priority, a.request.Priority); order != 0 {
			return order
		}
		return cmp.Compare(a.arrival, b.arrival)
	})
	e.queued = slices.Insert(e.queued, at, s)
}

// Cancel stops a queued or running request and reports whether it was known.
func (e *Engine) Cancel(now time.Time, request id.Request) bool {
	e.moveTo(now)
	s, ok := e.known[request]
	if !ok {
		return false
	}
	delete(e.known, request)
	if at := slices.Index(e.queued, s); at >= 0 {
		e.queued = slices.Delete(e.queued, at, at+1)
	} else {
		e.leaveBatch(s, Cancelled)
	}
	e.interrupt()
	return true
}

// Next returns when Advance has something to do; false means never, unless
// something is submitted.
func (e *Engine) Next() (time.Time, bool) {
	if len(e.events) > 0 {
		return e.now, true
	}
	next, ok := e.nextTimer()
	if e.stepping {
		if end := e.step.end(e); !ok || end.Before(next) {
			return end, true
		}
	}
	return next, ok
}

// Advance moves the engine to now and returns what happened since the last
// call, in order of time. The slice is valid until the next call.
func (e *Engine) Advance(now time.Time) []Event {
	e.moveTo(now)
	e.resume()
	events := e.events
	e.events = nil
	return events
}

// Output returns how many tokens a queued or running request has generated by
// the time of the last call.
func (e *Engine) Output(request id.Request) int {
	if s, ok := e.known[request]; ok {
		return s.output
	}
	return 0
}

// Load returns an exact load report.
func (e *Engine) Load() engine.LoadReport {
	report := engine.LoadReport{
		Taken:         e.now,
		Running:       len(e.running),
		Queued:        len(e.queued),
		MemoryTokens:  e.options.MemoryTokens,
		UsedTokens:    e.private,
		CachedTokens:  e.cached,
		HeldTokens:    e.held,
		Models:        []id.Model{e.model},
		Adapters:      slices.Clone(e.adapters),
		StepTime:      e.lastStep,
		PrefillTokens: int(e.options.PrefillTokensPerSecond * e.speed),
	}
	for _, s := range e.running {
		report.Requests = append(report.Requests, s.request.ID)
	}
	for _, s := range e.queued {
		report.Requests = append(report.Requests, s.request.ID)
	}
	return report
}
