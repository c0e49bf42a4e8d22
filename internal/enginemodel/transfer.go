package enginemodel

import (
	"slices"
	"time"

	"github.com/cloverwheel/cloverwheel/internal/chat"
	"github.com/cloverwheel/cloverwheel/internal/engine"
	"github.com/cloverwheel/cloverwheel/internal/id"
)

// timerKind says what happens when a timer fires.
type timerKind int

const (
	wakeTimer timerKind = iota // a stall ends
	importTimer
	modelTimer
	adapterTimer
)

// timer is work that ends at a time. Timers are kept in order of time.
type timer struct {
	at      time.Time
	kind    timerKind
	image   Image
	model   id.Model
	adapter id.Adapter
}

func (e *Engine) addTimer(added timer) {
	at, _ := slices.BinarySearchFunc(e.timers, added, func(a, b timer) int {
		if !a.at.After(b.at) {
			return -1
		}
		return 1
	})
	e.timers = slices.Insert(e.timers, at, added)
}

// nextTimer returns the earlier of the first timer and the first hold's end.
func (e *Engine) nextTimer() (time.Time, bool) {
	if len(e.holds) > 0 && (len(e.timers) == 0 || e.holds[0].until.Before(e.timers[0].at)) {
		return e.holds[0].until, true
	}
	if len(e.timers) > 0 {
		return e.timers[0].at, true
	}
	return time.Time{}, false
}

// fireTimer runs what nextTimer announced.
func (e *Engine) fireTimer() {
	if len(e.holds) > 0 && (len(e.timers) == 0 || e.holds[0].until.Before(e.timers[0].at)) {
		e.release(e.holds[0].program)
		e.interrupt()
		return
	}
	fired := e.timers[0]
	e.timers = e.timers[1:]
	switch fired.kind {
	case importTimer:
		e.storeImage(fired.image)
	case modelTimer:
		e.switchModel(fired.model)
	case adapterTimer:
		e.adapters = append(e.adapters, fired.adapter)
		e.emit(Event{Kind: Loaded, Model: e.model, Adapter: fired.adapter})
	case wakeTimer:
	}
	e.interrupt()
}

// Image is an exported prefix, ready to be imported by an engine of the same model.
type Image struct {
	Model    id.Model
	Adapter  id.Adapter
	Program  id.Program
	Segments chat.Prefix
	origins  []*entry // of Segments, for the account of waste
}

// Export copies the cached prefix that ends with segment. It is complete after
// the returned time.
func (e *Engine) Export(now time.Time, program id.Program, segment uint64) (Image, time.Duration, error) {
	e.moveTo(now)
	last, ok := e.entries[segment]
	if !ok {
		return Image{}, 0, ErrNotCached
	}
	image := Image{Model: e.model, Adapter: last.adapter, Program: program}
	for n := last; n != nil; n = n.parent {
		image.Segments = append(image.Segments, n.segment)
		image.origins = append(image.origins, n)
	}
	slices.Reverse(image.Segments)
	slices.Reverse(image.origins)
	return image, e.transfer(image.Segments.Tokens()), nil
}

// transfer takes tokens into the line of transfers, which run one after the
// other, and returns when they are done, from now.
func (e *Engine) transfer(tokens int) time.Duration {
	took := time.Duration(float64(tokens) / e.options.TransferTokensPerSecond * float64(time.Second))
	if e.transferEnd.Before(e.now) {
		e.transferEnd = e.now
	}
	e.transferEnd = e.transferEnd.Add(took)
	e.account.Transferred += tokens
	return e.transferEnd.Sub(e.now)
}

// Import adds an image to the cache; an Imported event tells when it is there.
// It returns the time that it takes. What does not fit is left out then.
func (e *Engine) Import(now time.Time, image Image) (time.Duration, error) {
	e.moveTo(now)
	if image.Model != e.model {
		return 0, ErrNoModel
	}
	missing := image.Segments.Tokens() - e.CachedTokens(image.Segments, image.Adapter)
	if missing > e.options.MemoryTokens {
		return 0, ErrTooLarge
	}
	wait := e.transfer(missing)
	e.addTimer(timer{at: e.now.Add(wait), kind: importTimer, image: image})
	return wait, nil
}

func (e *Engine) storeImage(image Image) {
	chain := e.match(image.Segments, image.Adapter)
	for _, n := range chain {
		e.reference(n)
	}
	maker := Request{Program: image.Program, Adapter: image.Adapter}
	for at := len(chain); at < len(image.Segments); at++ {
		segment := image.Segments[at]
		if _, taken := e.entries[segment.Hash]; taken || !e.makeRoom(segment.Tokens) {
			break
		}
		var parent *entry
		if len(chain) > 0 {
			parent = chain[len(chain)-1]
		}
		n := e.store(segment, parent, maker)
		n.imported = true
		if len(image.origins) > 0 {
			n.origin = image.origins[at]
		}
		e.reference(n)
		chain = append(chain, n)
	}
	for _, n := range slices.Backward(chain) {
		e.unreference(n)
	}
	e.emit(Event{Kind: Imported, Program: image.Program, Tokens: image.Segments[:len(chain)].Tokens()})
}

// LoadAdapter makes an adapter ready after the returned time.
func (e *Engine) LoadAdapter(now time.Time, adapter id.Adapter) time.Duration {
	e.moveTo(now)
	if slices.Contains(e.adapters, adapter) {
		return 0
	}
	e.addTimer(timer{at: e.now.Add(e.options.AdapterLoad), kind: adapterTimer, adapter: adapter})
	return e.options.AdapterLoad
}

// UnloadAdapter forgets an adapter; running sequences keep it.
func (e *Engine) UnloadAdapter(now time.Time, adapter id.Adapter) {
	e.moveTo(now)
	e.adapters = slices.DeleteFunc(e.adapters, func(a id.Adapter) bool { return a == adapter })
}

// LoadModel replaces the model after the returned time. Until then nothing new
// is let into the batch; what still runs by then is aborted.
func (e *Engine) LoadModel(now time.Time, model id.Model) time.Duration {
	e.moveTo(now)
	if model == e.model {
		return 0
	}
	e.loading = true
	e.addTimer(timer{at: e.now.Add(e.options.ModelLoad), kind: modelTimer, model: model})
	return e.options.ModelLoad
}

func (e *Engine) switchModel(model id.Model) {
	e.clear()
	e.loading = false
	e.model = model
	e.emit(Event{Kind: Loaded, Model: model})
}

// Reset models the death and restart of the engine: everything but the model
// and the loaded adapters is gone and
// all requests are aborted.
func (e *Engine) Reset(now time.Time) {
	e.moveTo(now)
	e.clear()
	e.timers = nil
	e.loading = false
	e.stalledTo = time.Time{}
}

func (e *Engine) clear() {
	for len(e.running) > 0 {
		s := e.running[0]
		e.leaveBatch(s, Lost)
		e.abort(s)
	}
	for _, s := range e.queued {
		e.abort(s)
	}
	e.queued = nil
	clear(e.known)
	e.holds = nil
	for _, n := range e.entries {
		e.wasteEntry(Lost, n)
	}
	clear(e.entries)
	e.queueLRU = nil
	e.cached, e.evictable, e.held, e.private = 0, 0, 0, 0
	e.cacheEvent(engine.EventCleared, nil)
}

func (e *Engine) abort(s *sequence) {
	e.emit(Event{Kind: Aborted, Request: s.request.ID, Program: s.request.Program, Tokens: s.output})
}

// SetSpeed makes everything faster or slower by a factor; 1 is normal and 0.1
// is ten times slower.
func (e *Engine) SetSpeed(now time.Time, factor float64) {
	e.moveTo(now)
	e.interrupt()
	if !e.stepping {
		e.speed = factor
		return
	}
	done := float64(e.now.Sub(e.step.start)) / float64(e.step.span(e, 1))
	e.speed = factor
	e.step.start = e.now.Add(-time.Duration(done * float64(e.step.span(e, 1))))
}

// Stall stops the batch until a time.
func (e *Engine) Stall(now, until time.Time) {
	e.moveTo(now)
	if e.stepping {
		e.step.count = 1
		e.step.start = e.step.start.Add(until.Sub(e.now))
	}
	e.stalledTo = until
	e.addTimer(timer{at: until, kind: wakeTimer})
}
