package worker

import (
	"time"

	"github.com/cloverwheel/cloverwheel/internal/admit"
	"github.com/cloverwheel/cloverwheel/internal/id"
)

// Probe estimates what a call would meet here.
func (c *Core) Probe(now time.Time, query ProbeRequest) Estimate {
	job := Job{
		Program:   query.Program,
		Model:     query.Model,
		Adapter:   query.Adapter,
		Prefix:    query.Prefix,
		MaxTokens: query.MaxTokens,
		Profile:   query.Profile,
	}
	snapshot := c.snapshot(now)
	call := c.waiting(job, now)
	ahead := admit.Ahead(now, snapshot, c.options.Admission, call)
	estimate := Estimate{
		Worker:       c.options.Worker,
		Zone:         c.options.Zone,
		Healthy:      !c.blocked,
		Leaving:      c.leaving,
		ModelLoaded:  c.modelLoaded(query.Model),
		AdapterReady: c.adapterReady(query.Adapter),
		Queued:       len(c.queue),
		Running:      len(c.running),
		Wait:         c.expectedWait(snapshot, ahead, call),
		CachedTokens: call.Cached,
		FreeTokens:   max(c.capacity-snapshot.Used(), 0),
		MemoryTokens: c.capacity,
		Load:         c.loadTime(query.Model, query.Adapter),
		Exported:     c.exportOf(query.Program),
	}
	estimate.RetryAfter = admit.Sheds(snapshot, c.options.Admission, call, estimate.Wait)
	estimate.Prefill = c.expectedPrefill(now, job, call, ahead)
	estimate.Step = c.rates.knownStep(len(c.running) + 1)
	estimate.Compute = c.ownPrefill(job, call)
	estimate.Decode = c.expectedDecode(query.MaxTokens)
	return estimate
}

// unknownDrain stands in for a drain rate that has not been measured: the whole
// memory in this time.
const unknownDrain = 8 * time.Second

func (c *Core) expectedWait(snapshot admit.Snapshot, ahead admit.Queue, call admit.Waiting) time.Duration {
	if snapshot.DrainRate <= 0 {
		snapshot.DrainRate = float64(c.capacity) / unknownDrain.Seconds()
	}
	if call.Turn <= 1 && !c.options.Admission.NoWorkingSet && len(c.running) > 0 {
		snapshot.Reserved += snapshot.Idle
	}
	return admit.ExpectedWait(snapshot, ahead, call)
}

// expectedPrefill is the time until the call's own prefill is done, from when
// it is let in: prefill is done in order, so it includes what is ahead.
func (c *Core) expectedPrefill(now time.Time, job Job, call admit.Waiting, ahead admit.Queue) time.Duration {
	uncached := call.Prompt - call.Cached
	transfer := time.Duration(0)
	if copied := c.importFor(job, call.Cached); copied.Key != "" {
		transfer = c.transferTime(copied.Tokens - call.Cached)
		uncached = max(call.Prompt-copied.Tokens, 0)
	}
	backlog := c.backlog()
	own := c.rates.prefillTime(backlog + ahead.Prefill + uncached)
	return max(own, c.stalled(now, backlog)) + transfer
}

// ownPrefill is the time to prefill what is neither cached nor importable.
func (c *Core) ownPrefill(job Job, call admit.Waiting) time.Duration {
	present := max(call.Cached, c.importFor(job, call.Cached).Tokens)
	return c.rates.prefillTime(call.Prompt - present)
}

// stalled is a lower bound of what the backlog will still take, from how long
// the oldest prefill has been going on: an engine that has slowed down shows
// there first.
func (c *Core) stalled(now time.Time, backlog int) time.Duration {
	var longest time.Duration
	for _, job := range c.running {
		if job.tokens > 0 {
			continue
		}
		usual := c.rates.prefillTime(job.ahead + job.uncached)
		if late := now.Sub(job.started) - 2*usual; late > longest {
			longest = late
		}
	}
	if backlog == 0 {
		return 0
	}
	return longest
}

// expectedDecode is the time to generate an answer in the batch with the call.
func (c *Core) expectedDecode(maxTokens int) time.Duration {
	expected := c.output
	if maxTokens > 0 {
		expected = min(expected, float64(maxTokens))
	}
	step := c.rates.stepAt(len(c.running) + 1)
	return time.Duration(expected * float64(step))
}

func (c *Core) exportOf(program id.Program) Import {
	if known, ok := c.residents[program]; ok {
		return known.exported
	}
	return Import{}
}
