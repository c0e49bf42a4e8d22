package worker

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"
	"golang.org/x/sync/errgroup"

	"github.com/cloverwheel/cloverwheel/internal/engine"
	"github.com/cloverwheel/cloverwheel/internal/fault"
	"github.com/cloverwheel/cloverwheel/internal/id"
	"github.com/cloverwheel/cloverwheel/internal/outside"
	"github.com/cloverwheel/cloverwheel/internal/timing"
)

// owner runs one worker's Core against its engine.
type owner struct {
	service *Service
	worker  id.Worker
	client  engine.Client
	log     log.Interface
	breaker *breaker
	retries *retryBudget
	actions chan Action // to the engine, in order, except starts
	closed  chan struct{}

	mutex    sync.Mutex
	machine  outside.Machine
	core     *Core
	epoch    uint64 // zero until claimed
	instance string // of the engine's start, by its last report
	streams  map[id.Request]*stream
	retiring bool
	stop     context.CancelFunc
	ctx      context.Context // of run; nil before
	group    sync.WaitGroup  // of started calls
}

// actionBacklog bounds the commands that wait for a slow engine. Beyond it they
// are left out: all of them are hints that time limits make good.
const actionBacklog = 256

func newOwner(service *Service, worker id.Worker, machine outside.Machine) *owner {
	policy := service.options.Policy
	return &owner{
		service: service,
		worker:  worker,
		client:  service.options.Dial(machine),
		log:     service.options.Log.WithField("worker", string(worker)),
		breaker: newBreaker(),
		retries: newRetryBudget(),
		actions: make(chan Action, actionBacklog),
		closed:  make(chan struct{}),
		machine: machine,
		streams: map[id.Request]*stream{},
		core: NewCore(CoreOptions{
			Worker:    worker,
			Zone:      machine.Zone,
			Models:    machine.Models,
			Admission: policy.Admission,
			Cache:     service.lifeTerm(policy.Cache),
			AwaitLoad: true,
		}),
	}
}

// run claims the worker and serves it until ctx ends or it is retired.
func (o *owner) run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer close(o.closed)
	o.mutex.Lock()
	o.ctx, o.stop = ctx, cancel
	o.mutex.Unlock()
	if !o.claim(ctx) {
		return
	}
	var loops errgroup.Group
	loops.Go(func() error { o.command(ctx); return nil })
	loops.Go(func() error { o.poll(ctx); return nil })
	loops.Go(func() error { o.tick(ctx); return nil })
	loops.Go(func() error { o.confirm(ctx); return nil })
	_ = loops.Wait()
	o.failAll()
	o.group.Wait()
}

// claim takes a new epoch. The poll loop raises the engine's fence with it, so
// that an earlier owner can start nothing more, before anything is let in.
func (o *owner) claim(ctx context.Context) bool {
	for pauses := timing.NewBackoff(firstPause, longestPause); ; {
		epoch, err := o.service.options.Epochs.Claim(ctx, o.worker, o.highestEpoch(ctx))
		if err == nil {
			o.mutex.Lock()
			o.epoch = epoch
			o.mutex.Unlock()
			o.log.WithField("epoch", epoch).Info("worker claimed")
			return true
		}
		o.log.WithError(err).Warn("worker not claimed")
		if timing.Sleep(ctx, pauses.NextBackOff()) != nil {
			return false
		}
	}
}

// highestEpoch is the epoch that the engine has seen, zero if it does not say.
func (o *owner) highestEpoch(ctx context.Context) uint64 {
	ctx, cancel := context.WithTimeout(ctx, o.service.options.Timeout)
	defer cancel()
	report, err := o.client.Load(ctx)
	if err != nil {
		return 0
	}
	return report.HighestEpoch
}

// lostEpoch ends ownership after a newer owner was met.
func (o *owner) lostEpoch() {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.giveUp("a newer owner was met")
}

// giveUp lets nothing new in. The caller holds the mutex.
func (o *owner) giveUp(cause string) {
	if o.retiring {
		return
	}
	o.retiring = true
	o.log.WithField("cause", cause).Info("worker given up")
	o.do(o.core.GiveUp(time.Now()))
}

// update takes a new entry of the machine list in. It reports false when the
// worker was given up, so that it must be claimed anew.
func (o *owner) update(machine outside.Machine) bool {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if o.retiring {
		return false
	}
	if machine.Leaving != o.machine.Leaving {
		o.log.WithField("leaving", machine.Leaving).Info("worker state changed")
	}
	o.machine = machine
	o.do(o.core.SetLeaving(time.Now(), machine.Leaving))
	return true
}

// retire lets nothing new in and reports whether the owner can be forgotten:
// once no call runs any more.
func (o *owner) retire() bool {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.giveUp("it is another node's")
	if len(o.core.running) > 0 {
		return false
	}
	if o.stop != nil {
		o.stop()
	}
	return true
}

func (o *owner) calls() int {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return len(o.core.running) + len(o.core.queue)
}

func (o *owner) fence() engine.Fence {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return engine.Fence{Epoch: o.epoch}
}

// submit takes a job in, or finds the stream of one that was taken in before.
func (o *owner) submit(job Job) (*stream, error) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if known, ok := o.streams[job.Request]; ok {
		return known, nil
	}
	if o.retiring || o.epoch == 0 {
		return nil, fault.Newf(fault.NotLeader, "ask the worker's owner", "this node does not own worker %s now", o.worker)
	}
	if job.Fence.Epoch != 0 && job.Fence.Epoch != o.epoch {
		return nil, fault.Newf(fault.NotLeader, "place the call anew", "worker %s was claimed anew since the call was placed", o.worker)
	}
	created := newStream(job.Request)
	created.startAfter(job.Partial)
	o.streams[job.Request] = created
	o.do(o.core.Enqueue(time.Now(), job))
	return created, nil
}

// stream finds the stream of a request that was submitted here.
func (o *owner) stream(request id.Request) (*stream, bool) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	known, ok := o.streams[request]
	return known, ok
}

// with runs a method of the Core and carries its actions out.
func (o *owner) with(run func(now time.Time, core *Core) []Action) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.do(run(time.Now(), o.core))
}

// failAll refuses what waits and ends the streams of the calls that run when the owner stops. A
// call whose end the Core has taken in is left out: finish answers it.
func (o *owner) failAll() {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.giveUp("its node stopped owning it")
	for request := range o.core.running {
		o.log.WithField("request", string(request)).WithField("ran", string(fault.RanUnknown)).
			Info("owner stopped; stream of a running call ended")
		o.streams[request].end(nil, fault.New(fault.Unavailable, "the worker's owner stopped", "ask the worker's next owner").WithRan(fault.RanUnknown))
	}
}
