package sim

import (
	"time"

	"github.com/cloverwheel/cloverwheel/internal/chat"
	"github.com/cloverwheel/cloverwheel/internal/engine"
	"github.com/cloverwheel/cloverwheel/internal/id"
	"github.com/cloverwheel/cloverwheel/internal/worker"
)

// owner schedules one worker. worker.Core is the real one.
type owner interface {
	Enqueue(now time.Time, job worker.Job) []worker.Action
	Progress(now time.Time, request id.Request, tokens int) []worker.Action
	Finished(now time.Time, request id.Request, outcome engine.Outcome, failed bool) []worker.Action
	CacheEvents(now time.Time, events []engine.CacheEvent)
	Load(now time.Time, report engine.LoadReport) []worker.Action
	Pause(now time.Time, notice worker.PauseNotice) []worker.Action
	EndProgram(now time.Time, program id.Program) []worker.Action
	Exported(now time.Time, program id.Program, segment uint64, key string) []worker.Action
	Probe(now time.Time, query worker.ProbeRequest) worker.Estimate
	Tick(now time.Time) []worker.Action
}

var _ owner = (*worker.Core)(nil)

// passThrough is the owner of baselines without a queue of their own: it sends
// every call to the engine at once.
type passThrough struct {
	worker id.Worker
	zone   string
	jobs   map[id.Request]bool
}

func (p *passThrough) Enqueue(_ time.Time, job worker.Job) []worker.Action {
	p.jobs[job.Request] = true
	return []worker.Action{{Kind: worker.ActStart, Request: job.Request, Job: &job}}
}

func (p *passThrough) Finished(_ time.Time, request id.Request, _ engine.Outcome, _ bool) []worker.Action {
	delete(p.jobs, request)
	return nil
}

func (p *passThrough) Probe(time.Time, worker.ProbeRequest) worker.Estimate {
	return worker.Estimate{Worker: p.worker, Zone: p.zone, Healthy: true, ModelLoaded: true, AdapterReady: true, Running: len(p.jobs)}
}

func (p *passThrough) Progress(time.Time, id.Request, int) []worker.Action            { return nil }
func (p *passThrough) CacheEvents(time.Time, []engine.CacheEvent)                     {}
func (p *passThrough) Load(time.Time, engine.LoadReport) []worker.Action              { return nil }
func (p *passThrough) Pause(time.Time, worker.PauseNotice) []worker.Action            { return nil }
func (p *passThrough) EndProgram(time.Time, id.Program) []worker.Action               { return nil }
func (p *passThrough) Tick(time.Time) []worker.Action                                 { return nil }
func (p *passThrough) Exported(time.Time, id.Program, uint64, string) []worker.Action { return nil }

// answerPrefix is the history with the answer of a call, as the next call
// will send it.
func answerPrefix(prefix chat.Prefix, answer chat.Segment) chat.Prefix {
	return append(prefix[:len(prefix):len(prefix)], answer)
}
