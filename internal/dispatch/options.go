package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/cloverwheel/cloverwheel/internal/config"
	"github.com/cloverwheel/cloverwheel/internal/fault"
	"github.com/cloverwheel/cloverwheel/internal/id"
	"github.com/cloverwheel/cloverwheel/internal/outside"
	"github.com/cloverwheel/cloverwheel/internal/peer"
	"github.com/cloverwheel/cloverwheel/internal/program"
	"github.com/cloverwheel/cloverwheel/internal/shard"
	"github.com/cloverwheel/cloverwheel/internal/template"
	"github.com/cloverwheel/cloverwheel/internal/worker"
)

// Placer chooses workers and finds their owners.
type Placer interface {
	// Place returns the worker that should run the call that query describes;
	// query.Worker is empty. It fails with fault.Overloaded when calls are being
	// shed and with fault.Unavailable when there is no fitting worker.
	Place(ctx context.Context, query worker.ProbeRequest, exclude []id.Worker) (worker.Location, error)
	// Locate returns where a worker is now.
	Locate(name id.Worker) (worker.Location, bool)
}

// Resolver gives a tenant's view of a template in a configuration.
type Resolver func(*template.Configuration, id.Tenant, id.Template, map[string]string) (*template.Effective, error)

// Options hold what a Dispatcher needs. Fields with a stated default may be zero.
type Options struct {
	Proposer  shard.Proposer
	Locator   shard.Locator
	Transport peer.Transport
	Self      peer.Address // of this node, to ask engines through it
	Mux       *peer.Mux
	Config    config.Source
	Resolve   Resolver
	Placer    Placer
	Tools     outside.Tools
	Shards    uint32
	// Envelope encodes a command for the shard's composite machine, and Machine
	// finds the programs in it.
	Envelope func(program.Command) []byte
	Machine  func(shard.Machine) *program.Machine
	// Nodes returns over how many nodes a tenant's limits are spread; default 1.
	Nodes func() int
	// KnownModel tells an unknown model from a forbidden one; default: all known.
	KnownModel func(*template.Configuration, id.Model) bool

	// Retention is how long an ended program's answers are kept; default: as the
	// template says, or 10 min.
	Retention func(*template.Configuration, id.Template) time.Duration

	// Patience bounds how long an accepted call waits for a worker and its
	// reservation before it is refused as not run. Default 10 s.
	Patience time.Duration
	// BeginWindow bounds how long a call waits for a worker and its reservation
	// before it is accepted, so that both take one entry. Default 50 ms.
	BeginWindow time.Duration
	// Rejoin bounds how long a broken stream is looked for. Default 5 s.
	Rejoin time.Duration
	// Sweep is the time between looks for expired programs and unsettled
	// reservations. Default 500 ms.
	Sweep time.Duration
	// MemoryLimit bounds the programs of one shard in bytes; at the bound, new
	// programs are refused. Zero: none.
	MemoryLimit int
	// Unflushed returns the bytes of this node's shards that the object store does
	// not hold yet; at UnflushedLimit new programs are refused. Nil or zero: no bound.
	Unflushed      func() int
	UnflushedLimit int

	Log        log.Interface         // default: none
	Registerer prometheus.Registerer // default: none
}

// Defaults of Options.
const (
	defaultRetention   = 10 * time.Minute
	defaultPatience    = 10 * time.Second
	defaultBeginWindow = 50 * time.Millisecond
	defaultRejoin      = 5 * time.Second
	defaultSweep       = 500 * time.Millisecond
)

func (o *Options) setDefaults() {
	if o.Patience <= 0 {
		o.Patience = defaultPatience
	}
	if o.BeginWindow <= 0 {
		o.BeginWindow = defaultBeginWindow
	}
	if o.Rejoin <= 0 {
		o.Rejoin = defaultRejoin
	}
	if o.Sweep <= 0 {
		o.Sweep = defaultSweep
	}
	if o.Nodes == nil {
		o.Nodes = func() int { return 1 }
	}
	if o.KnownModel == nil {
		o.KnownModel = func(*template.Configuration, id.Model) bool { return true }
	}
	if o.Retention == nil {
		o.Retention = retentionOf
	}
	if o.Log == nil {
		o.Log = &log.Logger{Handler: discard.New(), Level: log.ErrorLevel}
	}
}

// Dispatcher runs the calls of the programs whose shards this node leads.
type Dispatcher struct {
	Options
	metrics *metrics
	tenants *tenants
	learned *estimates

	mutex       sync.Mutex
	ctx         context.Context // of Run; nil before
	leaderships map[id.Shard]*leadership
	stopped     bool // Run has ended; no goroutine may start any more

	background sync.WaitGroup
	mutant     mutant
}

// mutant switches single rules off, so that tests can show that they are checked.
type mutant struct {
	submitBeforeStart  bool // the engine is asked before Start is committed
	resendAny          bool // calls that must not be repeated are sent again
	unconfirmedRefusal bool // a leader that lags behind answers 'not run'
}

// New returns a Dispatcher and registers its handlers on the Mux.
func New(options Options) *Dispatcher {
	options.setDefaults()
	d := &Dispatcher{
		Options:     options,
		metrics:     newMetrics(options.Registerer),
		tenants:     newTenants(),
		learned:     newEstimates(),
		leaderships: map[id.Shard]*leadership{},
	}
	peer.Handle(options.Mux, MethodCreate, d.handleCreate)
	peer.HandleStream(options.Mux, MethodCall, d.handleCall)
	peer.HandleStream(options.Mux, MethodFetch, d.handleFetch)
	peer.Handle(options.Mux, MethodShow, d.handleShow)
	peer.Handle(options.Mux, MethodEnd, d.handleEnd)
	peer.Handle(options.Mux, MethodList, d.handleList)
	peer.Handle(options.Mux, MethodFate, d.handleFate)
	return d
}

// Run serves until ctx ends, then waits for its own goroutines.
func (d *Dispatcher) Run(ctx context.Context) error {
	d.mutex.Lock()
	d.ctx = ctx
	d.mutex.Unlock()
	d.takeStock()
	ticker := time.NewTicker(d.Sweep)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			d.stop()
			return nil
		case <-ticker.C:
			d.sweep(ctx)
		}
	}
}

// stop sends the callers that still wait to the next leaders and waits for the
// dispatcher's goroutines.
func (d *Dispatcher) stop() {
	d.mutex.Lock()
	d.stopped = true
	d.mutex.Unlock()
	for _, l := range d.led() {
		l.close()
	}
	d.background.Wait()
}

// spawn runs work in a goroutine that Run waits for.
func (d *Dispatcher) spawn(work func()) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if !d.stopped {
		d.background.Go(work)
	}
}

// takeStock takes up the shards that this node led before Run.
func (d *Dispatcher) takeStock() {
	for number := range d.Shards {
		d.lead(id.Shard(number))
	}
}

// shardOf returns the shard of a program.
func (d *Dispatcher) shardOf(name id.Program) id.Shard {
	return id.ShardOfProgram(name, d.Shards)
}

// notLeader tells the caller which node to try.
func (d *Dispatcher) notLeader(number id.Shard) *fault.Error {
	problem := fault.Newf(fault.NotLeader, "try the shard's leader", "this node does not lead shard %d", number)
	if route, known := d.Proposer.Route(number); known {
		problem = problem.WithHint(string(route.Leader.Address))
	}
	return problem
}

// retentionOf returns what the template says, or the default where it is silent.
func retentionOf(current *template.Configuration, name id.Template) time.Duration {
	if found, ok := current.Template(name); ok && found.Retention > 0 {
		return found.Retention
	}
	return defaultRetention
}
