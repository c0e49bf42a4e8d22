package worker

import (
	"slices"
	"time"

	"github.com/cloverwheel/cloverwheel/internal/admit"
	"github.com/cloverwheel/cloverwheel/internal/cache"
	"github.com/cloverwheel/cloverwheel/internal/engine"
	"github.com/cloverwheel/cloverwheel/internal/fault"
	"github.com/cloverwheel/cloverwheel/internal/id"
)

// CoreOptions describe one worker and how its calls are scheduled.
type CoreOptions struct {
	Worker    id.Worker
	Zone      string
	Models    []id.Model // that it can serve
	Admission admit.Options
	Cache     cache.Options
	// Assumptions until the engine has reported: KV memory in tokens (zero:
	// 100,000), prefill in tokens per second (zero: 5,000), and a decode step
	// (zero: 25 ms).
	MemoryTokens int
	PrefillRate  float64
	StepTime     time.Duration
	// Ready makes the Core take every model and adapter for loaded until a report
	// says otherwise.
	Ready bool
	// AwaitLoad lets nothing in before the engine's first report, because calls
	// of an earlier owner may run there.
	AwaitLoad bool
	// SwitchDwell is the shortest time between two changes of the loaded model,
	// or between an adapter's last use and its unloading; zero: one minute.
	SwitchDwell time.Duration
	// MaxAdapters is how many adapters are kept loaded; zero: 8.
	MaxAdapters int
}

const (
	defaultMemoryTokens = 100_000
	defaultPrefillRate  = 5_000
	defaultStepTime     = 25 * time.Millisecond
	defaultSwitchDwell  = time.Minute
	defaultMaxAdapters  = 8
	// defaultOutput is the expected length of an answer until some have ended.
	defaultOutput = 200
	// endedMemory is how long ended requests are remembered, so that a lagging
	// report does not make them look foreign.
	endedMemory = 30 * time.Second
)

func (o CoreOptions) withDefaults() CoreOptions {
	if o.MemoryTokens == 0 {
		o.MemoryTokens = defaultMemoryTokens
	}
	if o.PrefillRate == 0 {
		o.PrefillRate = defaultPrefillRate
	}
	if o.StepTime == 0 {
		o.StepTime = defaultStepTime
	}
	if o.SwitchDwell == 0 {
		o.SwitchDwell = defaultSwitchDwell
	}
	if o.MaxAdapters == 0 {
		o.MaxAdapters = defaultMaxAdapters
	}
	o.Cache = o.Cache.WithDefaults()
	return o
}

// Core schedules one engine. It has no clock, no I/O and no goroutines: each
// method takes the time and returns the actions to carry out, in order. It is
// not safe for concurrent use.
type Core struct {
	options   CoreOptions
	capacity  int
	queue     []*queuedJob
	running   map[id.Request]*runningJob
	ended     map[id.Request]time.Time
	residents map[id.Program]*resident
	memory    *memory // of running calls and holds
	held      *memory // of holds alone
	interest  *memory // prefixes of all residents; tells what is shared
	residency *cache.Residency
	roots     sharedRoots
	rates     rates
	output    float64 // mean length of answers, in tokens
	served    *servedShares
	serving   servingState
	foreign   int // tokens of calls that this Core did not start
	reported  bool
	idle      idleMeasure
	// waitingBuffer is reused by snapshots.
	waitingBuffer []admit.Waiting
	inherits      time.Time // until then holds of an earlier owner may last
	leaving       bool
	blocked       bool // by a breaker
}

// queuedJob waits for admission.
type queuedJob struct {
	job       Job
	enqueued  time.Time
	refreshed time.Time // when waiting was last brought up to date
	waiting   admit.Waiting
}

// runningJob has been started and has not ended.
type runningJob struct {
	job      Job
	started  time.Time
	last     time.Time     // of the last token
	first    time.Duration // from the start to the first token
	tokens   int           // generated so far by this attempt
	claimed  int           // tokens of the prompt that were believed to be present
	uncached int           // tokens of the prompt to prefill
	ahead    int           // tokens of other calls' prefill at the start
	need     int           // memory that it added
	canceled bool
}

// NewCore returns the scheduler of an idle engine.
func NewCore(options CoreOptions) *Core {
	options = options.withDefaults()
	return &Core{
		options:   options,
		capacity:  options.MemoryTokens,
		running:   map[id.Request]*runningJob{},
		ended:     map[id.Request]time.Time{},
		residents: map[id.Program]*resident{},
		memory:    newMemory(),
		held:      newMemory(),
		interest:  newMemory(),
		residency: cache.NewResidency(),
		roots:     sharedRoots{},
		rates:     newRates(options.PrefillRate, options.StepTime),
		output:    defaultOutput,
		served:    newServedShares(),
		serving:   newServingState(),
	}
}

// Enqueue takes a job in. It ends in ActStart or ActRefuse, now or later.
func (c *Core) Enqueue(now time.Time, job Job) []Action {
	if c.leaving {
		return []Action{refusal(job.Request, fault.New(fault.Unavailable, "the worker is leaving", "place the call elsewhere"))}
	}
	if !c.serves(job) {
		return []Action{refusal(job.Request, fault.Newf(fault.UnknownModel, "place the call elsewhere",
			"worker %s does not serve model %q", c.options.Worker, job.Model))}
	}
	c.queue = append(c.queue, &queuedJob{job: job, enqueued: now})
	c.alive(now, job.Program)
	return c.schedule(now)
}

func refusal(request id.Request, cause *fault.Error) Action {
	return Action{Kind: ActRefuse, Request: request, Fault: cause}
}

// Progress reports that a started job's answer has so many tokens in all.
func (c *Core) Progress(now time.Time, request id.Request, tokens int) []Action {
	job, ok := c.running[request]
	if !ok || tokens-job.job.Partial.Tokens <= job.tokens {
		return nil
	}
	first := job.tokens == 0
	c.observe(now, job, tokens-job.job.Partial.Tokens)
	if first {
		return c.schedule(now)
	}
	return nil
}

// observe learns from new tokens of a running job.
func (c *Core) observe(now time.Time, job *runningJob, tokens int) {
	generated := tokens - job.tokens
	since := now.Sub(job.last)
	if job.tokens == 0 {
		job.first = now.Sub(job.started)
		c.rates.suspectPrefill(now, job.ahead+job.uncached, job.first)
		generated--
		since = 0
	}
	if generated > 0 && since > 0 {
		c.rates.observeStep(now, len(c.running), since/time.Duration(generated))
	}
	job.tokens = tokens
	job.last = now
}

// Finished reports a started job's end. failed means that it has no outcome;
// outcome is zero then.
func (c *Core) Finished(now time.Time, request id.Request, outcome engine.Outcome, failed bool) []Action {
	job, ok := c.running[request]
	if !ok {
		return nil
	}
	c.rates.advance(now, c.saturated())
	if !failed {
		c.learn(now, job, outcome)
	}
	delete(c.running, request)
	c.ended[request] = now
	c.memory.remove(job.job.Prefix, job.job.MaxTokens)
	if c.saturated() {
		c.rates.drain.add(job.need)
	}
	return c.schedule(now)
}

// learn takes in what a finished job says of the engine and its cache.
func (c *Core) learn(now time.Time, job *runningJob, outcome engine.Outcome) {
	usage := outcome.Usage
	if made := usage.OutputTokens - job.job.Partial.Tokens; made > job.tokens {
		c.observe(now, job, made)
	}
	c.rates.observePrefill(now, job.ahead+usage.PromptTokens-usage.CachedTokens, job.first)
	c.output += rateWeight * (float64(usage.OutputTokens) - c.output)
	c.served.add(now, job.job.Tenant, usage.PromptTokens-usage.CachedTokens+usage.OutputTokens)
	if usage.CachedTokens == 0 && job.claimed > 0 {
		c.residency.Gap() // all that was believed is in doubt, as after a restart
	}
	c.residency.Dispatched(job.job.Program, job.job.Prefix, usage.CachedTokens)
	c.resided(now, job.job)
}

// Cancel stops a job. A queued one is refused; a running one is cancelled at
// the engine and stays running until Finished.
func (c *Core) Cancel(now time.Time, request id.Request) []Action {
	if job, ok := c.running[request]; ok {
		if job.canceled {
			return nil
		}
		job.canceled = true
		return []Action{{Kind: ActCancel, Request: request}}
	}
	for _, queued := range c.queue {
		if queued.job.Request == request {
			c.unqueue(request)
			return []Action{refusal(request, fault.New(fault.Unavailable, "the call was cancelled", "send it again if it is still wanted"))}
		}
	}
	return nil
}

func (c *Core) unqueue(request id.Request) {
	c.queue = slices.DeleteFunc(c.queue, func(q *queuedJob) bool { return q.job.Request == request })
}

// SetLeaving says whether the worker is leaving. What is queued is refused, so
// that it runs elsewhere; what runs may finish; paused context is exported.
func (c *Core) SetLeaving(now time.Time, leaving bool) []Action {
	if leaving == c.leaving {
		return nil
	}
	c.leaving = leaving
	if !leaving {
		return c.schedule(now)
	}
	actions := c.refuseQueued(fault.New(fault.Unavailable, "the worker is leaving", "place the call elsewhere"))
	return append(actions, c.evacuate()...)
}

// GiveUp ends this owner's scheduling: what is queued is refused and nothing
// more is let in. Context stays as it is for the next owner.
func (c *Core) GiveUp(time.Time) []Action {
	c.leaving = true
	return c.refuseQueued(fault.New(fault.NotLeader, "the worker has another owner", "ask the worker's owner"))
}

func (c *Core) refuseQueued(cause *fault.Error) []Action {
	var actions []Action
	for _, queued := range c.queue {
		actions = append(actions, refusal(queued.job.Request, cause))
	}
	c.queue = nil
	return actions
}

// SetBlocked says whether a breaker keeps new calls out.
func (c *Core) SetBlocked(now time.Time, blocked bool) []Action {
	c.blocked = blocked
	return c.schedule(now)
}

// Load takes the engine's lagging report in.
func (c *Core) Load(now time.Time, report engine.LoadReport) []Action {
	if !c.reported {
		c.reported = true
		c.inherits = now.Add(c.options.Cache.HoldTerm)
	}
	if report.MemoryTokens > 0 {
		c.capacity = report.MemoryTokens
	}
	c.rates.reported(now, report.PrefillTokens, report.StepTime)
	c.foreign = c.foreignTokens(report) + c.foreignHolds(now, report)
	c.serving.reported(report.Models, report.Adapters)
	c.settle(now)
	return c.schedule(now)
}

// foreignTokens estimates the memory that calls of an earlier owner may use.
func (c *Core) foreignTokens(report engine.LoadReport) int {
	foreign, own := 0, 0
	for _, request := range report.Requests {
		if job, ok := c.running[request]; ok {
			own += job.job.Prefix.Tokens() - job.job.Prefix[:min(1, len(job.job.Prefix))].Tokens()
			continue
		}
		if _, ok := c.ended[request]; !ok {
			foreign++
		}
	}
	if foreign == 0 {
		return 0
	}
	return max(report.UsedTokens-own, 0) + foreign*foreignOutput
}

// foreignHolds estimates what holds of an earlier owner still pin.
func (c *Core) foreignHolds(now time.Time, report engine.LoadReport) int {
	if !c.options.AwaitLoad || now.After(c.inherits) {
		return 0
	}
	return max(report.HeldTokens-c.held.used(), 0)
}

// foreignOutput is set aside for each call of an earlier owner to grow.
const foreignOutput = 1024

// CacheEvents takes cache events in, in the order in which they came.
func (c *Core) CacheEvents(_ time.Time, events []engine.CacheEvent) { c.residency.Apply(events) }

// EventSequence is the number of the last cache event taken in.
func (c *Core) EventSequence() uint64 { return c.residency.Sequence() }

// Lost says that the engine was restarted: its memory, cache and calls are gone.
// The calls must still be reported to Finished.
func (c *Core) Lost(now time.Time) []Action {
	c.residency.Restarted()
	for program := range c.residents {
		c.forget(program)
	}
	return c.schedule(now)
}

// Waste returns the account of computed context.
func (c *Core) Waste() cache.Waste { return c.residency.Waste() }

// Tick does what time alone brings: renewals, expiries, aging and deadlines. It
// should be called about ten times a second, or at Next.
func (c *Core) Tick(now time.Time) []Action {
	c.rates.advance(now, c.saturated())
	for request, at := range c.ended {
		if now.Sub(at) > endedMemory {
			delete(c.ended, request)
		}
	}
	actions := c.renew(now)
	return append(actions, c.schedule(now)...)
}

// Next is when Tick has something to do; zero means not before another event.
func (c *Core) Next() time.Time {
	var next time.Time
	earliest := func(at time.Time) {
		if !at.IsZero() && (next.IsZero() || at.Before(next)) {
			next = at
		}
	}
	for _, queued := range c.queue {
		earliest(queued.refreshed.Add(refreshEvery))
		earliest(queued.job.Profile.Deadline)
	}
	for _, resident := range c.residents {
		earliest(resident.renewAt)
	}
	return next
}
