package worker

import (
	"cmp"
	"slices"
	"time"

	"github.com/cloverwheel/cloverwheel/internal/admit"
	"github.com/cloverwheel/cloverwheel/internal/cache"
	"github.com/cloverwheel/cloverwheel/internal/chat"
	"github.com/cloverwheel/cloverwheel/internal/id"
)

// resident is a program whose context this engine holds.
type resident struct {
	context   cache.Context
	prefix    chat.Prefix
	paused    bool      // waits on tools; false while it calls
	renewAt   time.Time // of the hold; zero: not pinned
	until     time.Time // end of the hold
	confirmed time.Time // last sign of life
	exported  Import
	exporting bool
}

// resided records that a program's call finished here.
func (c *Core) resided(now time.Time, job Job) {
	known := c.residentOf(now, job.Program)
	c.setPrefix(known, job.Prefix)
	known.context.Tokens = c.ownTokens(known)
	known.paused = false
	c.idle.taken = time.Time{}
}

func (c *Core) residentOf(now time.Time, program id.Program) *resident {
	known, ok := c.residents[program]
	if !ok {
		known = &resident{context: cache.Context{Program: program}}
		c.residents[program] = known
	}
	known.confirmed = now
	return known
}

// setPrefix replaces what is known of the program's context; a pinned one stays
// pinned as it was.
func (c *Core) setPrefix(known *resident, prefix chat.Prefix) {
	if known.context.Pinned {
		c.held.remove(known.prefix, 0)
		c.memory.remove(known.prefix, 0)
		c.held.add(prefix, 0)
		c.memory.add(prefix, 0)
	}
	c.interest.remove(known.prefix, 0)
	c.interest.add(prefix, 0)
	known.prefix = prefix
}

// alive notes a sign of life of a program that resides here.
func (c *Core) alive(now time.Time, program id.Program) {
	if known, ok := c.residents[program]; ok {
		known.confirmed = now
		known.paused = false
	}
}

// Confirm says that a program is known to live, so its hold may be renewed.
func (c *Core) Confirm(now time.Time, program id.Program) {
	if known, ok := c.residents[program]; ok {
		known.confirmed = now
	}
}

// Unconfirmed lists the programs whose context is pinned and whose last sign of life
// is older than age.
func (c *Core) Unconfirmed(now time.Time, age time.Duration) []id.Program {
	var programs []id.Program
	for program, known := range c.residents {
		if known.context.Pinned && now.Sub(known.confirmed) > age {
			programs = append(programs, program)
		}
	}
	slices.Sort(programs)
	return programs
}

// Pause says that a program waits on tools.
func (c *Core) Pause(now time.Time, notice PauseNotice) []Action {
	known := c.residentOf(now, notice.Program)
	c.setPrefix(known, notice.Prefix)
	known.paused = true
	known.exported = Import{}
	known.context = cache.Context{
		Program:  notice.Program,
		Segment:  lastHash(notice.Prefix),
		Tokens:   c.ownTokens(known),
		Priority: notice.Priority,
		Paused:   now,
		Expected: notice.Expected,
		Pinned:   known.context.Pinned,
	}
	actions := c.retain(now, known)
	return append(actions, c.schedule(now)...)
}

// ownTokens is what pinning the program's context adds to the held memory.
func (c *Core) ownTokens(known *resident) int {
	if known.context.Pinned {
		return c.held.exclusive(known.prefix)
	}
	return known.prefix.Tokens() - c.held.shared(known.prefix)
}

func lastHash(prefix chat.Prefix) uint64 {
	if len(prefix) == 0 {
		return 0
	}
	return prefix[len(prefix)-1].Hash
}

// retain decides on a paused program's context and returns what to do.
func (c *Core) retain(now time.Time, known *resident) []Action {
	if c.leaving {
		return c.letGo(known, cache.Offload)
	}
	if !c.roomToPin(known) {
		return c.letGo(known, cache.Unpin(known.context, c.options.Cache))
	}
	decision := cache.Retain(now, known.context, c.pressure(), c.options.Cache)
	if decision.Choice != cache.Keep {
		return c.letGo(known, decision.Choice)
	}
	if !known.context.Pinned {
		known.context.Pinned = true
		c.held.add(known.prefix, 0)
		c.memory.add(known.prefix, 0)
	}
	known.renewAt = now.Add(decision.Until.Sub(now) / 2)
	if decision.Until.Equal(known.until) {
		known.renewAt = decision.Until // it cannot be extended any more
		return nil
	}
	known.until = decision.Until
	return []Action{{Kind: ActHold, Program: known.context.Program, Segment: known.context.Segment, Until: decision.Until}}
}

// roomToPin reports whether the context fits beside what is spoken for.
func (c *Core) roomToPin(known *resident) bool {
	added := 0
	if !known.context.Pinned {
		added = known.prefix.Tokens() - c.memory.shared(known.prefix)
	}
	return c.memory.used()+c.foreign+added <= c.capacity
}

func (c *Core) pressure() cache.Pressure {
	demand := 0
	for _, queued := range c.queue {
		demand += queued.waiting.Need()
	}
	held := c.held.used()
	return cache.Pressure{
		Capacity:    c.capacity,
		Reserved:    c.memory.used() - held,
		Held:        held,
		Demand:      demand,
		PrefillRate: c.rates.prefill,
	}
}

// letGo unpins a context, after an export if that is the choice.
func (c *Core) letGo(known *resident, choice cache.Choice) []Action {
	var actions []Action
	if choice == cache.Offload && !known.exporting && known.exported.Key == "" && !c.options.Cache.NoOffload {
		known.exporting = true
		actions = append(actions, Action{Kind: ActExport, Program: known.context.Program, Segment: known.context.Segment})
	}
	if c.unpin(known) {
		actions = append(actions, Action{Kind: ActRelease, Program: known.context.Program})
	}
	return actions
}

// unpin takes a hold out of the books and reports whether there was one.
func (c *Core) unpin(known *resident) bool {
	known.renewAt = time.Time{}
	if !known.context.Pinned {
		return false
	}
	known.context.Pinned = false
	c.held.remove(known.prefix, 0)
	c.memory.remove(known.prefix, 0)
	return true
}

// HoldRefused says that the engine did not carry an ActHold out, for lack of the
// context or of room.
func (c *Core) HoldRefused(now time.Time, program id.Program) []Action {
	known, ok := c.residents[program]
	if !ok || !c.unpin(known) {
		return nil
	}
	return c.schedule(now)
}

// reclaim lets pinned context go for the call that a plan could not fit. For a
// first call only context goes whose program is not expected back soon.
func (c *Core) reclaim(now time.Time, plan admit.Plan) []Action {
	if plan.Blocked == "" || plan.Short <= 0 {
		return nil
	}
	var shortest time.Duration
	if plan.BlockedFirst {
		shortest = c.pressure().BreakEven(c.options.Cache)
	}
	victims := cache.Victims(now, c.pausedContexts(plan.Blocked.Program()), plan.Short, shortest, c.options.Cache)
	freed := 0
	for _, victim := range victims {
		freed += victim.Context.Tokens
	}
	if freed < plan.Short {
		return nil
	}
	var actions []Action
	for _, victim := range victims {
		actions = append(actions, c.letGo(c.residents[victim.Context.Program], victim.Choice)...)
	}
	return actions
}

// pausedContexts lists pinned contexts of paused programs but for one.
func (c *Core) pausedContexts(except id.Program) []cache.Context {
	var contexts []cache.Context
	for program, known := range c.residents {
		if !known.context.Pinned || !known.paused || program == except {
			continue
		}
		known.context.Tokens = c.held.exclusive(known.prefix)
		contexts = append(contexts, known.context)
	}
	return contexts
}

// idleMeasure is a sum over all residents that is not taken at every event.
type idleMeasure struct {
	tokens int
	taken  time.Time
}

// idleEvery is how old the measure may be.
const idleEvery = 50 * time.Millisecond

// idleTokens is the unpinned context of paused programs expected back soon.
func (c *Core) idleTokens(now time.Time) int {
	if c.idle.taken.IsZero() || now.Sub(c.idle.taken) >= idleEvery {
		c.idle = idleMeasure{tokens: c.measureIdle(now), taken: now}
	}
	return c.idle.tokens
}

func (c *Core) measureIdle(now time.Time) int {
	soon := c.pressure().BreakEven(c.options.Cache)
	running, queued := c.programsHere()
	total := 0
	for program, known := range c.residents {
		if known.context.Pinned || running[program] || !known.expected(now, queued[program], soon) {
			continue
		}
		if c.residency.Presence(lastHash(known.prefix)) != cache.Absent {
			total += known.context.Tokens
		}
	}
	return total
}

// programsHere returns the programs that have calls running or waiting here.
func (c *Core) programsHere() (running, queued map[id.Program]bool) {
	running, queued = map[id.Program]bool{}, map[id.Program]bool{}
	for _, job := range c.running {
		running[job.job.Program] = true
	}
	for _, waiting := range c.queue {
		queued[waiting.job.Program] = true
	}
	return running, queued
}

// betweenCalls is how long after its last call a program counts as coming back
// at once, until it pauses or calls.
const betweenCalls = 5 * time.Second

// expected reports whether a program that does not run is expected to call
// within soon: its call waits, it is on a short pause, or it has only just had
// an answer.
func (r *resident) expected(now time.Time, queued bool, soon time.Duration) bool {
	if queued {
		return true
	}
	if r.paused {
		return r.context.Remaining(now) <= soon
	}
	return now.Sub(r.confirmed) <= betweenCalls
}

// renew renews, drops or expires holds, and forgets programs without a sign of life.
func (c *Core) renew(now time.Time) []Action {
	var actions []Action
	due := func(known *resident) bool {
		return now.Sub(known.confirmed) > c.options.Cache.LifeTerm || !known.renewAt.IsZero() && !now.Before(known.renewAt)
	}
	for _, known := range c.residentsInOrder(due) {
		if now.Sub(known.confirmed) > c.options.Cache.LifeTerm {
			actions = append(actions, c.letGo(known, cache.Drop)...)
			c.forget(known.context.Program)
			continue
		}
		if known.paused {
			actions = append(actions, c.retain(now, known)...)
		} else if !now.Before(known.until) {
			c.unpin(known) // the engine has let it lapse
		} else {
			known.renewAt = known.until
		}
	}
	return actions
}

// residentsInOrder lists the residents that match by program, so that runs are
// repeatable.
func (c *Core) residentsInOrder(match func(*resident) bool) []*resident {
	var list []*resident
	for _, known := range c.residents {
		if match(known) {
			list = append(list, known)
		}
	}
	slices.SortFunc(list, func(a, b *resident) int { return cmp.Compare(a.context.Program, b.context.Program) })
	return list
}

// evacuate exports and unpins all paused context of a leaving worker.
func (c *Core) evacuate() []Action {
	var actions []Action
	for _, known := range c.residentsInOrder(func(known *resident) bool { return known.paused }) {
		actions = append(actions, c.letGo(known, cache.Offload)...)
	}
	return actions
}

// Exported reports the end of an ActExport; key is empty if it failed.
func (c *Core) Exported(now time.Time, program id.Program, segment uint64, key string) []Action {
	known, ok := c.residents[program]
	if !ok || known.context.Segment != segment {
		return nil
	}
	known.exporting = false
	if key != "" {
		known.exported = Import{Key: key, Tokens: known.prefix.Tokens()}
		known.context.Exported = true
	}
	return c.schedule(now)
}

// importFor is the copy to take in before a job starts, if that is quicker than
// to prefill what is not present.
func (c *Core) importFor(job Job, present int) Import {
	best := job.Import
	if known, ok := c.residents[job.Program]; ok && known.exported.Tokens > best.Tokens {
		best = known.exported
	}
	saved := best.Tokens - present
	if best.Key == "" || saved <= 0 || c.rates.prefillTime(saved) <= c.transferTime(saved) {
		return Import{}
	}
	return best
}

func (c *Core) transferTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) / c.options.Cache.TransferRate * float64(time.Second))
}

// EndProgram lets go of everything that belongs to a program, its queued and
// running jobs included.
func (c *Core) EndProgram(now time.Time, program id.Program) []Action {
	var actions []Action
	for _, queued := range slices.Clone(c.queue) {
		if queued.job.Program == program {
			c.unqueue(queued.job.Request)
			actions = append(actions, refusal(queued.job.Request, programEnded()))
		}
	}
	for _, request := range c.runningOf(program) {
		actions = append(actions, c.Cancel(now, request)...)
	}
	if known, ok := c.residents[program]; ok {
		actions = append(actions, c.cleanUp(known)...)
	}
	return append(actions, c.schedule(now)...)
}

func (c *Core) runningOf(program id.Program) []id.Request {
	var requests []id.Request
	for request, job := range c.running {
		if job.job.Program == program {
			requests = append(requests, request)
		}
	}
	slices.Sort(requests)
	return requests
}

// cleanUp releases an ended program's context and drops what is its own.
func (c *Core) cleanUp(known *resident) []Action {
	program := known.context.Program
	c.residency.Ended(program, known.prefix)
	actions := c.letGo(known, cache.Drop)
	c.forget(program)
	if c.options.Cache.NoCleanup {
		return actions
	}
	if first, ok := c.firstOwn(known.prefix); ok {
		for _, segment := range known.prefix[first:] {
			c.residency.Dropping(segment.Hash)
		}
		actions = append(actions, Action{Kind: ActDrop, Program: program, Segment: known.prefix[first].Hash})
	}
	return actions
}

// firstOwn finds the first segment that no other resident or running call uses.
// The first segment of all is the template's and never a program's own.
func (c *Core) firstOwn(prefix chat.Prefix) (int, bool) {
	for index := 1; index < len(prefix); index++ {
		hash := prefix[index].Hash
		if c.roots.has(hash) {
			continue
		}
		if c.interest.segments[hash] == nil && c.memory.segments[hash] == nil {
			return index, true
		}
	}
	return 0, false
}

// forget removes a program from the books.
func (c *Core) forget(program id.Program) {
	known, ok := c.residents[program]
	if !ok {
		return
	}
	c.unpin(known)
	c.interest.remove(known.prefix, 0)
	delete(c.residents, program)
}
