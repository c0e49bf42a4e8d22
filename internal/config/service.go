package config

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/sync/errgroup"

	"github.com/cloverwheel/cloverwheel/internal/member"
	"github.com/cloverwheel/cloverwheel/internal/outside"
	"github.com/cloverwheel/cloverwheel/internal/peer"
	"github.com/cloverwheel/cloverwheel/internal/shard"
	"github.com/cloverwheel/cloverwheel/internal/template"
)

// DefaultBound is how long a node may start calls without having heard the head.
const DefaultBound = 2 * time.Second

// Options wire a Service into a node. All fields without a default are required.
type Options struct {
	Proposer  shard.Proposer
	Locator   shard.Locator
	Transport peer.Transport
	Mux       *peer.Mux
	Members   func() *member.View
	Table     outside.Table
	Log       log.Interface
	// Registerer takes the metrics; nil keeps them private.
	Registerer prometheus.Registerer
	// Envelope wraps a command for shard 0's machine. Nil: Command.Encode.
	Envelope func(Command) ([]byte, error)
	// Part finds this package's part of shard 0's machine. Nil: it is a *Machine.
	Part func(shard.Machine) *Machine
	// Bound of freshness. Zero: DefaultBound.
	Bound time.Duration

	mutant mutant
}

func (o *Options) fillDefaults() {
	if o.Envelope == nil {
		o.Envelope = Command.Encode
	}
	if o.Part == nil {
		o.Part = func(machine shard.Machine) *Machine { return machine.(*Machine) }
	}
	if o.Bound == 0 {
		o.Bound = DefaultBound
	}
}

// Service keeps one node's configuration at the head and lets operators change
// it. It implements Source.
type Service struct {
	options Options
	table   headTable
	metrics *metrics

	inForce atomic.Pointer[installed]
	// confirmed is when the version in force was surely still the head.
	confirmed atomic.Pointer[time.Time]

	mutex     sync.Mutex // guards taking in versions
	recent    []Entry    // latest accepted changes, contiguous up to the version in force
	recentSum int        // their weight

	applying chan struct{} // held by the one change that the leader works on
	wake     chan peer.Address
	spread   chan struct{}
	chain    ancestorCache
}

// installed is a version in force on this node.
type installed struct {
	configuration *template.Configuration
	since         time.Time
}

// New returns a service at version 0 and registers its handlers on the Mux.
func New(options Options) *Service {
	options.fillDefaults()
	s := &Service{
		options:  options,
		table:    headTable{options.Table},
		applying: make(chan struct{}, 1),
		wake:     make(chan peer.Address, 1),
		spread:   make(chan struct{}, 1),
	}
	s.inForce.Store(&installed{configuration: &template.Configuration{}, since: time.Now()})
	s.metrics = newMetrics(options.Registerer, s)
	s.register(options.Mux)
	return s
}

func (s *Service) register(mux *peer.Mux) {
	peer.Handle(mux, MethodApply, s.serveApply)
	peer.Handle(mux, MethodHistory, s.serveHistory)
	peer.Handle(mux, MethodDiff, s.serveDiff)
	peer.Handle(mux, MethodRestore, s.serveRollback)
	peer.Handle(mux, MethodHead, s.serveHead)
	peer.HandleStream(mux, MethodPull, s.servePull)
	peer.Handle(mux, MethodPush, s.servePush)
	peer.Handle(mux, MethodStatus, s.serveStatus)
}

// Run keeps the node at the head until ctx ends.
func (s *Service) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return s.runConfirm(ctx) })
	group.Go(func() error { return s.runSpread(ctx) })
	group.Go(func() error { return s.runSettle(ctx) })
	return group.Wait()
}

// Current implements Source.
func (s *Service) Current() *template.Configuration { return s.inForce.Load().configuration }

func (s *Service) self() member.Member { return s.options.Members().Self }
