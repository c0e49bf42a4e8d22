package worker

import (
	"slices"
	"time"

	"github.com/cloverwheel/cloverwheel/internal/cache"
	"github.com/cloverwheel/cloverwheel/internal/chat"
	"github.com/cloverwheel/cloverwheel/internal/id"
)

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
