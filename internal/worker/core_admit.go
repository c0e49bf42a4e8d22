package worker

import (
	"slices"
	"time"

	"github.com/cloverwheel/cloverwheel/internal/admit"
	"github.com/cloverwheel/cloverwheel/internal/fault"
	"github.com/cloverwheel/cloverwheel/internal/id"
)

const (
	// refreshEvery is how old a queued job's cache match may be.
	refreshEvery = 200 * time.Millisecond
	// maxRounds bounds how often one schedule plans again after freeing memory.
	maxRounds = 4
)

// unknownShare is the part of context of unknown presence that estimates take
// for present: a gap in the events hides few removals among many entries.
const unknownShare = 0.75

// schedule admits, refuses and orders until nothing more changes.
func (c *Core) schedule(now time.Time) []Action {
	c.rates.advance(now, c.saturated())
	actions := c.order(now)
	for range maxRounds {
		plan := admit.Admit(now, c.snapshot(now), c.options.Admission)
		for _, refused := range plan.Refuse {
			c.unqueue(refused.Request)
			actions = append(actions, refusal(refused.Request, refused.Fault))
		}
		started := c.startAll(now, plan.Start)
		freed := c.reclaim(now, plan)
		actions = append(append(actions, started...), freed...)
		if len(started) == 0 && len(freed) == 0 {
			break
		}
	}
	return append(actions, c.expireUnready(now)...)
}

// saturated reports whether calls wait, so that what ends measures capacity.
func (c *Core) saturated() bool { return len(c.queue) > 0 && len(c.running) > 0 }

// snapshot is the queue and memory as admission sees them. It is valid until
// the next one is taken.
func (c *Core) snapshot(now time.Time) admit.Snapshot {
	held := c.held.used()
	snapshot := admit.Snapshot{
		Capacity:  c.capacity,
		Reserved:  c.memory.used() - held,
		Held:      held,
		Foreign:   c.foreign,
		Idle:      c.idleTokens(now),
		Running:   len(c.running),
		Pending:   c.pending(),
		Backlog:   c.backlog(),
		Served:    c.served.at(now),
		DrainRate: c.rates.drain.rate(),
		FirstRate: c.rates.firsts.rate(),
		Paused:    c.leaving || c.blocked || (c.options.AwaitLoad && !c.reported),
	}
	c.waitingBuffer = c.waitingBuffer[:0]
	for _, queued := range c.queue {
		if c.ready(queued.job) {
			c.waitingBuffer = append(c.waitingBuffer, c.refresh(now, queued))
		}
	}
	snapshot.Waiting = c.waitingBuffer
	return snapshot
}

// refresh brings a queued job's view up to date at a bounded rate.
func (c *Core) refresh(now time.Time, queued *queuedJob) admit.Waiting {
	if queued.refreshed.IsZero() || now.Sub(queued.refreshed) >= refreshEvery {
		queued.waiting = c.waiting(queued.job, queued.enqueued)
		queued.refreshed = now
	}
	return queued.waiting
}

func (c *Core) waiting(job Job, enqueued time.Time) admit.Waiting {
	present, unknown := c.residency.Match(job.Prefix)
	profile := job.Profile
	return admit.Waiting{
		Request:   job.Request,
		Program:   job.Program,
		Tenant:    job.Tenant,
		Priority:  profile.Priority,
		Turn:      profile.Turn,
		Attained:  profile.Attained,
		Remaining: profile.Remaining,
		Prompt:    job.Prefix.Tokens() + job.Partial.Tokens,
		Cached:    present + int(unknownShare*float64(unknown)),
		Shared:    c.memory.shared(job.Prefix),
		Output:    job.MaxTokens - job.Partial.Tokens,
		Started:   profile.Started,
		Enqueued:  enqueued,
		Deadline:  profile.Deadline,
	}
}

// backlog is the prefill that running calls have yet to do.
func (c *Core) backlog() int {
	total := 0
	for _, job := range c.running {
		if job.tokens == 0 {
			total += job.uncached
		}
	}
	return total
}

// pending counts running calls that have not come to their first token.
func (c *Core) pending() int {
	total := 0
	for _, job := range c.running {
		if job.tokens == 0 {
			total++
		}
	}
	return total
}

// startAll starts the requests that still fit, in order.
func (c *Core) startAll(now time.Time, requests []id.Request) []Action {
	var actions []Action
	for _, request := range requests {
		index := slices.IndexFunc(c.queue, func(q *queuedJob) bool { return q.job.Request == request })
		if index < 0 {
			continue
		}
		queued := c.queue[index]
		if !c.fits(queued.job) {
			queued.refreshed = time.Time{}
			continue
		}
		c.queue = slices.Delete(c.queue, index, index+1)
		actions = append(actions, c.start(now, queued))
	}
	return actions
}

// fits checks a job against the memory as it is now, not as it was refreshed.
func (c *Core) fits(job Job) bool {
	need := job.Prefix.Tokens() - c.memory.shared(job.Prefix) + job.MaxTokens
	return c.memory.used()+c.foreign+need <= c.capacity
}

func (c *Core) start(now time.Time, queued *queuedJob) Action {
	job := queued.job
	present, _ := c.residency.Match(job.Prefix)
	action := Action{
		Kind:     ActStart,
		Request:  job.Request,
		Job:      &job,
		Priority: enginePriority(job.Profile),
		Import:   c.importFor(job, present),
	}
	running := &runningJob{
		job:      job,
		started:  now,
		last:     now,
		claimed:  present,
		uncached: max(job.Prefix.Tokens()-max(present, action.Import.Tokens), 0) + job.Partial.Tokens,
		ahead:    c.backlog(),
		need:     job.Prefix.Tokens() - c.memory.shared(job.Prefix) + job.MaxTokens,
	}
	c.running[job.Request] = running
	if job.Profile.Turn <= 1 && c.saturated() {
		c.rates.firsts.add(running.need)
	}
	c.roots.learn(job)
	c.memory.add(job.Prefix, job.MaxTokens)
	c.serving.used(job.Adapter, now)
	return action
}

// enginePriority puts later turns before first calls of the same priority
// within the engine, so that a first call is preempted first.
func enginePriority(profile Profile) int {
	priority := profile.Priority * 2
	if profile.Turn > 1 {
		priority++
	}
	return priority
}

// expireUnready refuses queued jobs that admission does not see, because their
// model is not loaded, once their deadline has passed.
func (c *Core) expireUnready(now time.Time) []Action {
	var actions []Action
	for _, queued := range slices.Clone(c.queue) {
		deadline := queued.job.Profile.Deadline
		if deadline.IsZero() || !now.After(deadline) || c.ready(queued.job) {
			continue
		}
		c.unqueue(queued.job.Request)
		actions = append(actions, refusal(queued.job.Request, fault.New(fault.DeadlinePassed,
			"the program's deadline passed while its model was loaded", "start a program with a later deadline")))
	}
	return actions
}
