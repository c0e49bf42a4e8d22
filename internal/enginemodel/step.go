package enginemodel

import (
	"cmp"
	"slices"
	"sort"
	"time"

	"github.com/cloverwheel/cloverwheel/internal/chat"
)

// sequence is one request inside the engine.
type sequence struct {
	request     Request
	arrival     uint64
	prompt      int // tokens of the request's prefix and of its partial answer
	output      int // tokens generated so far; kept over preemption
	chain       []*entry
	private     int // tokens that only this sequence holds
	toPrefill   int // tokens left to prefill before it decodes
	base        int // tokens of the prefix that were cached on admission
	taken       int // tokens prefilled past base
	chainTokens int
	chunk       int // tokens of prefill in the step under way
	cached      int // tokens found in the cache on first admission
	admitted    bool
	announced   bool
}

func (s *sequence) decoding() bool { return s.toPrefill == 0 }

// context is what a decode step reads for the sequence.
func (s *sequence) context() int { return s.prompt + s.output }

// step is one pass over the batch, or several equal ones in a row when nothing
// can change between them.
type step struct {
	start    time.Time
	count    int
	prefill  int // tokens
	decoding int // sequences
	context  int // tokens read by the first pass
}

// span is the time that the first n passes take.
func (s step) span(e *Engine, n int) time.Duration {
	o := &e.options
	passes := float64(n)
	fixed := float64(o.StepBase) + float64(s.decoding)*float64(o.StepPerSequence)
	fixed += float64(s.prefill) / o.PrefillTokensPerSecond * float64(time.Second)
	total := passes * (fixed + o.StepPerKVToken*float64(s.context))
	total += o.StepPerKVToken * float64(s.decoding) * passes * (passes - 1) / 2
	return time.Duration(total / e.speed)
}

func (s step) end(e *Engine) time.Time { return s.start.Add(s.span(e, s.count)) }

// passesBy returns how many passes are over at now.
func (s step) passesBy(e *Engine, now time.Time) int {
	elapsed := now.Sub(s.start)
	return sort.Search(s.count, func(i int) bool { return s.span(e, i+1) > elapsed })
}

// moveTo runs all steps and timers up to now.
func (e *Engine) moveTo(now time.Time) {
	if e.now.IsZero() {
		e.now = now
	}
	for {
		next, isTimer, ok := e.nextInternal()
		if !ok || next.After(now) {
			break
		}
		if isTimer {
			e.catchUp(next)
			e.fireTimer()
		} else {
			e.finishPasses(e.step.count)
		}
		e.resume()
	}
	e.catchUp(now)
}

func (e *Engine) nextInternal() (next time.Time, isTimer, ok bool) {
	next, isTimer = e.nextTimer()
	if !e.stepping {
		return next, isTimer, isTimer
	}
	if end := e.step.end(e); !isTimer || !next.Before(end) {
		return end, false, true
	}
	return next, true, true
}

// catchUp moves the clock to now, which is before the step's end.
func (e *Engine) catchUp(now time.Time) {
	if e.stepping && e.step.count > 1 {
		if passes := e.step.passesBy(e, now); passes > 0 && passes < e.step.count {
			e.finishPasses(passes)
		}
	}
	if now.After(e.now) {
		e.now = now
	}
}

// interrupt ends a run of passes after the present one, so that the batch can
// change, and starts a step if none is under way.
func (e *Engine) interrupt() {
	e.step.count = min(e.step.count, 1)
	e.resume()
}

// resume starts a step if none is under way.
func (e *Engine) resume() {
	if e.stepping || e.now.Before(e.stalledTo) {
		return
	}
	e.admit()
	e.plan()
}

// admit moves queued sequences into the batch while they fit.
func (e *Engine) admit() {
	for len(e.queued) > 0 && len(e.running) < e.options.MaxSequences && !e.loading {
		s := e.queued[0]
		if !e.start(s) && !e.startAlone(s) {
			return
		}
		e.queued = e.queued[1:]
		e.running = append(e.running, s)
	}
}

// startAlone breaks holds until s fits into an otherwise idle engine, so that
// holds never block it for good.
func (e *Engine) startAlone(s *sequence) bool {
	for len(e.running) == 0 && len(e.holds) > 0 {
		e.release(e.holds[0].program)
		if e.start(s) {
			return true
		}
	}
	return false
}

// start takes memory for s and reports whether there was enough. A token for
// each running sequence is left, so that the batch can go on.
func (e *Engine) start(s *sequence) bool {
	chain := e.match(s.request.Prefix, s.request.Adapter)
	cached, reclaimed := 0, 0
	for _, n := range chain {
		cached += n.segment.Tokens
		if n.evictable() {
			reclaimed += n.segment.Tokens
		}
	}
	need := s.context() - cached
	if e.free()+e.evictable-reclaimed < need+len(e.running)+1 {
		return false
	}
	for _, n := range chain {
		e.reference(n)
		if n.maker != s.request.ID && !s.admitted {
			e.read(n)
		}
	}
	if !s.admitted {
		s.admitted = true
		s.cached = cached
		e.account.Reused += cached
	}
	e.makeRoom(need)
	s.chain = chain
	s.private = need
	e.private += need
	s.base, s.chainTokens = cached, cached
	s.taken = 0
	s.toPrefill = max(need, 1)
	return true
}

// plan starts the next step if there is anything to run.
func (e *Engine) plan() {
	e.preemptForRoom()
	if len(e.running) == 0 {
		return
	}
	next := step{start: e.now, count: 1}
	budget := e.options.StepPrefillTokens
	shortest := 0
	for _, s := range e.running {
		if s.decoding() {
			next.decoding++
			next.context += s.context()
			if left := s.request.OutputTokens - s.output; shortest == 0 || left < shortest {
				shortest = left
			}
			continue
		}
		s.chunk = min(s.toPrefill, budget)
		budget -= s.chunk
		next.prefill += s.chunk
	}
	if next.prefill == 0 && !e.options.Progress {
		room := (e.free() + e.evictable) / next.decoding
		next.count = max(1, min(shortest, room))
	}
	e.step = next
	e.stepping = true
	e.lastStep = next.span(e, 1)
}

// preemptForRoom throws sequences out until each one can grow by a token. A
// last sequence breaks holds instead.
func (e *Engine) preemptForRoom() {
	for e.free()+e.evictable < len(e.running) {
		if len(e.running) == 1 && len(e.holds) == 0 {
			return
		}
		if len(e.running) == 1 {
			e.release(e.holds[0].program)
			continue
		}
		victim := slices.MinFunc(e.running, func(a, b *sequence) int {
			if order := cmp.Compare(a.request.Priority, b.request.Priority); order != 0 {
				return order
			}
			return cmp.Compare(b.arrival, a.arrival)
		})
		e.account.Preemptions++
		e.leaveBatch(victim, Preempted)
		e.enqueueSequence(victim)
		e.emit(Event{Kind: Preemption, Request: victim.request.ID, Program: victim.request.Program, Tokens: victim.output})
	}
}

// leaveBatch takes s out of the batch and gives its memory back.
func (e *Engine) leaveBatch(s *sequence, cause Cause) {
	e.running = slices.DeleteFunc(e.running, func(other *sequence) bool { return other == s })
	computed := s.private
	if !s.decoding() {
		computed -= s.toPrefill
	}
	e.waste(cause, max(computed, 0))
	e.letGo(s)
	e.stepping = e.stepping && len(e.running) > 0
}

func (e *Engine) letGo(s *sequence) {
	e.private -= s.private
	s.private = 0
	for i := len(s.chain) - 1; i >= 0; i-- {
		e.unreference(s.chain[i])
	}
	s.chain = nil
	s.chunk = 0
}

// finishPasses applies the first n passes of the step under way.
func (e *Engine) finishPasses(n int) {
	end := e.step.start.Add(e.step.span(e, n))
	e.now = end
	e.step.start = end
	e.step.count -= n
	e.step.context += n * e.step.decoding
	e.stepping = e.step.count > 0
	for _, s := range slices.Clone(e.running) {
		if s.decoding() {
			e.decode(s, n)
		} else if s.chunk > 0 {
			e.prefill(s)
		}
	}
}

func (e *Engine) decode(s *sequence, tokens int) {
	e.makeRoom(tokens)
	s.output += tokens
	s.private += tokens
	e.private += tokens
	e.account.Generated += tokens
	e.report(s)
}

// report tells of new output and ends a sequence that is done.
func (e *Engine) report(s *sequence) {
	event := Event{Request: s.request.ID, Program: s.request.Program, Tokens: s.output}
	event.Usage = chat.Usage{PromptTokens: s.prompt - s.request.PartialTokens, CachedTokens: s.cached, OutputTokens: s.output}
	if !s.announced {
		s.announced = true
		event.Kind = FirstToken
		e.emit(event)
	} else if e.options.Progress {
		event.Kind = Progress
		e.emit(event)
	}
	if s.output < s.request.OutputTokens {
		return
	}
	e.finish(s)
	event.Kind = Finished
	e.emit(event)
}

// prefill takes in the step's chunk and caches each segment that is complete.
func (e *Engine) prefill(s *sequence) {
	s.taken += s.chunk
	s.toPrefill -= s.chunk
	e.account.Prefilled += s.chunk
	s.chunk = 0
	e.storeComplete(s)
	if s.decoding() {
		e.decode(s, 1)
	}
}

// storeComplete caches the segments that prefill has got past.
func (e *Engine) storeComplete(s *sequence) {
	done := s.base + s.taken
	for len(s.chain) < len(s.request.Prefix) {
		at := len(s.chain)
		segment := s.request.Prefix[at]
		if s.chainTokens+segment.Tokens > done {
			return
		}
		last := s.request.Last && at >= len(s.request.Prefix)-s.request.Fresh
		if !e.storeOwn(s, segment, segment.Tokens, last) {
			return
		}
	}
}

// storeOwn moves computed tokens of s from its own memory into the cache and
// reports whether its chain grew. If another sequence was faster, the tokens
// are a duplicate and their memory is freed.
func (e *Engine) storeOwn(s *sequence, segment chat.Segment, computed int, last bool) bool {
	existing, ok := e.entries[segment.Hash]
	if ok && existing.adapter != s.request.Adapter {
		return false
	}
	s.private -= computed
	e.private -= computed
	if ok {
		e.waste(Duplicate, computed)
	} else {
		var parent *entry
		if len(s.chain) > 0 {
			parent = s.chain[len(s.chain)-1]
		}
		existing = e.store(segment, parent, s.request)
		existing.last = last
	}
	e.reference(existing)
	s.chain = append(s.chain, existing)
	s.chainTokens += segment.Tokens
	return true
}

// finish ends a sequence and caches its answer.
func (e *Engine) finish(s *sequence) {
	e.running = slices.DeleteFunc(e.running, func(other *sequence) bool { return other == s })
	delete(e.known, s.request.ID)
	if len(s.chain) == len(s.request.Prefix) && s.request.Answer.Hash != 0 {
		e.storeOwn(s, s.request.Answer, s.private, s.request.Last)
	}
	e.letGo(s)
}
