package worker

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"

	"github.com/cloverwheel/cloverwheel/internal/engine"
	"github.com/cloverwheel/cloverwheel/internal/fault"
	"github.com/cloverwheel/cloverwheel/internal/id"
	"github.com/cloverwheel/cloverwheel/internal/member"
	"github.com/cloverwheel/cloverwheel/internal/outside"
	"github.com/cloverwheel/cloverwheel/internal/peer"
)

// Epochs hands out the fenced epochs of worker ownership.
type Epochs interface {
	// Claim returns an epoch that is higher than above and than all claimed for
	// the worker before.
	Claim(ctx context.Context, worker id.Worker, above uint64) (uint64, error)
}

// Options hold what a Service needs. Fields with a stated default may be zero.
type Options struct {
	View    func() *member.View
	Catalog *Catalog
	Epochs  Epochs
	Dial    func(outside.Machine) engine.Client
	Mux     *peer.Mux
	Policy  Policy // zero: DefaultPolicy
	// Alive asks whether a program still lives; nil: holds are renewed by pause
	// notices alone and lapse after Policy.Cache.MaxHold.
	Alive func(ctx context.Context, program id.Program) (bool, error)

	// Reconcile is the time between looks at what this node should own; default 100 ms.
	Reconcile time.Duration
	// Tick is the time between ticks of a Core; default 50 ms.
	Tick time.Duration
	// Poll is the time between questions to an engine for events and load;
	// default 250 ms. IdlePoll takes its place while no call waits or runs there;
	// default 2 s.
	Poll     time.Duration
	IdlePoll time.Duration
	// Timeout bounds one exchange with an engine that is no stream; default 2 s.
	Timeout time.Duration
	// Stall is how long a started call may go without a token before its engine
	// is asked what became of it; default 30 s.
	Stall time.Duration
	// Retention is how long answers of ended requests are kept; default 2 min.
	Retention time.Duration
	// WeightLoads bounds the orders per second that read the weight store, over
	// all of this node's workers; default 0.5.
	WeightLoads rate.Limit

	Log        log.Interface         // default: none
	Registerer prometheus.Registerer // default: none
}

func (o *Options) setDefaults() {
	setDefault(&o.Reconcile, 100*time.Millisecond)
	setDefault(&o.Tick, 50*time.Millisecond)
	setDefault(&o.Poll, 250*time.Millisecond)
	setDefault(&o.IdlePoll, 2*time.Second)
	setDefault(&o.Timeout, 2*time.Second)
	setDefault(&o.Stall, 30*time.Second)
	setDefault(&o.Retention, 2*time.Minute)
	setDefault(&o.WeightLoads, 0.5)
	if o.Policy.Name == "" {
		o.Policy, _ = PolicyNamed(DefaultPolicy)
	}
	if o.Log == nil {
		o.Log = &log.Logger{Handler: discard.New(), Level: log.ErrorLevel}
	}
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Service owns workers: it claims those that rendezvous hashing gives to this
// node, schedules their calls and answers other nodes about them.
type Service struct {
	options Options
	metrics *metrics
	weights *rate.Limiter

	mutex  sync.Mutex
	owners map[id.Worker]*owner
	group  *errgroup.Group // of Run; nil before
	ctx    context.Context
}

// New returns a Service and registers its handlers on the Mux.
func New(options Options) *Service {
	options.setDefaults()
	s := &Service{
		options: options,
		metrics: newMetrics(options.Registerer),
		weights: rate.NewLimiter(options.WeightLoads, 1),
		owners:  map[id.Worker]*owner{},
	}
	s.register(options.Mux)
	return s
}

// Run claims and serves workers until ctx ends. Calls that still run then are
// cut; wait for Drained before to let them finish.
func (s *Service) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	s.mutex.Lock()
	s.group, s.ctx = group, ctx
	s.mutex.Unlock()
	ticker := time.NewTicker(s.options.Reconcile)
	defer ticker.Stop()
	for {
		s.reconcile()
		select {
		case <-ctx.Done():
			return group.Wait()
		case <-ticker.C:
		}
	}
}

// reconcile takes up the workers that this node should own and lets go of the
// others.
func (s *Service) reconcile() {
	view := s.options.View()
	wanted := map[id.Worker]outside.Machine{}
	for _, machine := range s.options.Catalog.Owned() {
		worker := id.Worker(machine.ID)
		holder, ok := OwnerOf(view, worker, machine.Zone, machine.Region)
		if ok && holder.Node == view.Self.Node && !machine.Gone {
			wanted[worker] = machine
		}
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for worker, owned := range s.owners {
		machine, ok := wanted[worker]
		if ok && owned.update(machine) {
			continue
		}
		if s.ctx.Err() != nil {
			return // the owners of a stopped service still answer what became of their calls
		}
		if owned.retire() {
			delete(s.owners, worker)
		}
	}
	for worker, machine := range wanted {
		if _, ok := s.owners[worker]; !ok && s.ctx.Err() == nil {
			s.take(worker, machine)
		}
	}
	s.metrics.owned.Set(float64(len(s.owners)))
}

// take starts to own a worker. The caller holds the mutex.
func (s *Service) take(worker id.Worker, machine outside.Machine) {
	owned := newOwner(s, worker, machine)
	s.owners[worker] = owned
	s.group.Go(func() error {
		owned.run(s.ctx)
		return nil
	})
}

// Drained waits until no call runs at the workers that this node owned. Call it
// once the node is marked leaving, so that nothing new comes in.
func (s *Service) Drained(ctx context.Context) error {
	ticker := time.NewTicker(s.options.Tick)
	defer ticker.Stop()
	for {
		if s.Running() == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return fault.Newf(fault.Unavailable, "allow more time to drain", "%d calls still run", s.Running())
		case <-ticker.C:
		}
	}
}

// Running counts the calls that wait or run at this node's workers.
func (s *Service) Running() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	total := 0
	for _, owned := range s.owners {
		total += owned.calls()
	}
	return total
}

// find returns the owner of a worker, or fault.NotLeader with the address of
// the node that should own it.
func (s *Service) find(ctx context.Context, worker id.Worker) (*owner, error) {
	s.mutex.Lock()
	owned, ok := s.owners[worker]
	s.mutex.Unlock()
	if ok {
		return owned, nil
	}
	return nil, s.notOwner(ctx, worker)
}

func (s *Service) notOwner(ctx context.Context, worker id.Worker) *fault.Error {
	refusal := fault.Newf(fault.NotLeader, "ask the worker's owner", "this node does not own worker %s", worker)
	if location, ok := s.options.Catalog.Locate(ctx, worker); ok && location.Owner != s.options.View().Self.Address {
		refusal = refusal.WithHint(string(location.Owner))
	}
	return refusal
}
