package worker

import (
	"context"
	"time"

	"github.com/cloverwheel/cloverwheel/internal/cache"
	"github.com/cloverwheel/cloverwheel/internal/engine"
	"github.com/cloverwheel/cloverwheel/internal/fault"
	"github.com/cloverwheel/cloverwheel/internal/id"
	"github.com/cloverwheel/cloverwheel/internal/timing"
)

const (
	// lifeTerm is how long a program counts as alive without a confirmation, if
	// there is somebody to ask.
	lifeTerm = 30 * time.Second
	// confirmEvery is the time between looks for programs to ask after.
	confirmEvery = 2 * time.Second
	// confirmBatch bounds the programs asked after in one look.
	confirmBatch = 32
)

// lifeTerm shortens the life of unconfirmed programs where they can be asked after.
func (s *Service) lifeTerm(options cache.Options) cache.Options {
	if s.options.Alive != nil && options.LifeTerm == 0 {
		options.LifeTerm = lifeTerm
	}
	return options
}

// every runs work at once and then at each interval until ctx ends.
func every(ctx context.Context, interval time.Duration, work func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		work()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// tick drives the Core's time and forgets old streams.
func (o *owner) tick(ctx context.Context) {
	every(ctx, o.service.options.Tick, func() {
		blocked := o.breaker.blocks(time.Now())
		o.with(func(now time.Time, core *Core) []Action {
			actions := core.Tick(now)
			if blocked != core.blocked {
				actions = append(actions, core.SetBlocked(now, blocked)...)
			}
			return actions
		})
		o.forgetStreams()
	})
}

func (o *owner) forgetStreams() {
	before := time.Now().Add(-o.service.options.Retention)
	o.mutex.Lock()
	defer o.mutex.Unlock()
	for request, open := range o.streams {
		if open.endedBefore(before) {
			delete(o.streams, request)
		}
	}
}

// poll raises the engine's fence and then reads its load and cache events: often
// while the engine has yet to be learnt or has calls, seldom while it is idle,
// because a node owns many workers.
func (o *owner) poll(ctx context.Context) {
	fenced, learnt := false, false
	for {
		if !fenced {
			fenced = o.raiseFence(ctx)
		}
		if fenced {
			fenced, learnt = o.pollOnce(ctx)
		}
		interval := o.service.options.Poll
		if fenced && learnt && o.calls() == 0 {
			interval = o.service.options.IdlePoll
		}
		if timing.Sleep(ctx, interval) != nil {
			return
		}
	}
}

// raiseFence sends a command without an effect, so that the engine refuses an
// earlier owner's from now on.
func (o *owner) raiseFence(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, o.service.options.Timeout)
	defer cancel()
	err := o.client.Release(ctx, "", o.fence())
	if fault.Is(err, fault.Fenced) {
		o.lostEpoch()
		return false
	}
	if err != nil && !fault.Is(err, fault.NotFound) {
		o.breaker.record(time.Now(), err)
		return false
	}
	return true
}

// pollOnce reads load and events. fenced is false when the engine has forgotten
// the fence, as a restarted one has; learnt is true when its report was usable.
func (o *owner) pollOnce(ctx context.Context) (fenced, learnt bool) {
	ctx, cancel := context.WithTimeout(ctx, o.service.options.Timeout)
	defer cancel()
	report, err := o.client.Load(ctx)
	if ctx.Err() == nil || err != nil {
		o.breaker.record(time.Now(), err)
	}
	if err != nil {
		return true, false
	}
	o.mutex.Lock()
	o.instance = report.Instance
	o.mutex.Unlock()
	switch o.judge(report) {
	case reportLags:
		return true, false
	case reportRestarted:
		o.log.Warn("engine restarted")
		o.with(func(now time.Time, core *Core) []Action { return core.Lost(now) })
		return false, false
	}
	o.with(func(now time.Time, core *Core) []Action { return core.Load(now, report) })
	o.pollEvents(ctx)
	return true, true
}

// reportKind is what a load report's epoch says of it.
type reportKind int

const (
	reportUsable reportKind = iota
	// reportLags: it was taken before our fence was raised, so an earlier owner
	// may have started calls since.
	reportLags
	// reportRestarted: the engine has forgotten our fence, and all else.
	reportRestarted
)

func (o *owner) judge(report engine.LoadReport) reportKind {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	switch {
	case report.HighestEpoch >= o.epoch:
		return reportUsable
	case o.core.reported && report.HighestEpoch == 0:
		return reportRestarted
	default:
		return reportLags
	}
}

func (o *owner) pollEvents(ctx context.Context) {
	o.mutex.Lock()
	after := o.core.EventSequence()
	o.mutex.Unlock()
	events, err := o.client.Events(ctx, after)
	if err != nil {
		return
	}
	o.with(func(now time.Time, core *Core) []Action {
		core.CacheEvents(now, events)
		return nil
	})
}

// confirm asks after programs whose context is pinned and of which nothing was
// heard for a while; the context of those that are gone is let go.
func (o *owner) confirm(ctx context.Context) {
	alive := o.service.options.Alive
	if alive == nil {
		return
	}
	every(ctx, confirmEvery, func() {
		for _, program := range o.unconfirmed() {
			o.confirmOne(ctx, program, alive)
		}
	})
}

func (o *owner) unconfirmed() []id.Program {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	programs := o.core.Unconfirmed(time.Now(), lifeTerm/2)
	return programs[:min(len(programs), confirmBatch)]
}

func (o *owner) confirmOne(ctx context.Context, program id.Program, alive func(context.Context, id.Program) (bool, error)) {
	ctx, cancel := context.WithTimeout(ctx, o.service.options.Timeout)
	defer cancel()
	lives, err := alive(ctx, program)
	if err != nil {
		return // its hold lapses unless a later question is answered
	}
	o.with(func(now time.Time, core *Core) []Action {
		if !lives {
			return core.EndProgram(now, program)
		}
		core.Confirm(now, program)
		return nil
	})
}
