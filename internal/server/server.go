// Package server is one node before the workers: it follows the configuration
// and the list of workers, takes clients' connections, says whether it is ready,
// and stops without cutting a request. It keeps nothing that outlasts it.
package server

import (
	"context"
	"errors"
	"net"
	"net/http"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"golang.org/x/sync/errgroup"

	"github.com/cloverwheel/cloverwheel/internal/admission"
	"github.com/cloverwheel/cloverwheel/internal/backend"
	"github.com/cloverwheel/cloverwheel/internal/budget"
	"github.com/cloverwheel/cloverwheel/internal/directory"
	"github.com/cloverwheel/cloverwheel/internal/evacuation"
	"github.com/cloverwheel/cloverwheel/internal/follow"
	"github.com/cloverwheel/cloverwheel/internal/forward"
	"github.com/cloverwheel/cloverwheel/internal/history"
	"github.com/cloverwheel/cloverwheel/internal/locality"
	"github.com/cloverwheel/cloverwheel/internal/quota"
	"github.com/cloverwheel/cloverwheel/internal/route"
	"github.com/cloverwheel/cloverwheel/internal/standing"
	"github.com/cloverwheel/cloverwheel/internal/store"
	"github.com/cloverwheel/cloverwheel/internal/sweep"
)

// Settings are what the machine gives to a node.
type Settings struct {
	Node        string
	Zone        string
	IP          string
	Front       string // IP:PORT for clients
	Ready       string // IP:PORT for questions whether this node is ready
	Metrics     string // IP:PORT for metrics; empty: none
	Peers       string // IP:PORT for other nodes; empty: this node does not talk to them
	MemoryBytes int64  // that the process may use; 0: not limited
	Descriptors int    // of sockets that the process may have; 0: not limited
	Grace       time.Duration
	// Fresh is how soon after trouble with the table the node must know its newest
	// state again; 0: not said.
	Fresh time.Duration
	// RevokeWithin is how long after its removal a key may still let requests in; 0: for ever.
	RevokeWithin time.Duration
	// Limits is how tenants' limits are judged.
	Limits quota.Tolerance
	// Places tells the region of each zone.
	Places *locality.Map
	// EvacuateWithin is how soon after its acknowledgement an evacuation binds; 0: not said.
	EvacuateWithin time.Duration
	// In a second a cold worker may get the requests that it bears, multiplied by
	// ColdOverage, and ColdSlack besides. Both 0: nothing is judged.
	ColdOverage float64
	ColdSlack   float64
	// TableWrites is how many writing calls a second the table takes from all nodes together; 0: not said.
	TableWrites float64
	// TableAcross tells that the table takes transactions across parts.
	TableAcross bool
}

// Records decodes the rows of the tables that are followed.
type Records struct {
	ConfigurationTable string
	WorkersTable       string
	// Configuration decodes a configuration; ok is false for other rows.
	Configuration func(store.Row) (configuration *route.Configuration, ok bool, err error)
	Worker        func(store.Row) (backend.Record, error)
	// Evacuation tells which zone a row of ConfigurationTable evacuates while it is there;
	// ok is false for other rows. Nil: no zone is ever evacuated.
	Evacuation func(store.Row) (zone string, ok bool)
}

// vantage is where the node stands.
func (s Settings) vantage() locality.Vantage { return locality.Vantage{Places: s.Places, Zone: s.Zone} }

// Options of a Server.
type Options struct {
	Settings  Settings
	Process   string // unique to this process
	Store     store.Store
	Transport forward.Transport
	Prober    forward.Prober // may be nil
	Records   Records
	// Listen opens a listener and Dial a connection; nil is TCP.
	Listen func(address string) (net.Listener, error)
	Dial   func(ctx context.Context, address string) (net.Conn, error)
	// PeerNetwork carries messages to other nodes; nil is HTTP over TCP.
	PeerNetwork PeerNetwork
	// Guards watch connections for silence; the zero value leaves that to the kernel.
	Guards Guards
	// DialTimeout is how long a worker may take to accept a connection.
	DialTimeout time.Duration
	// Front and Ready make the handlers of the two addresses.
	Front   func(*Server) http.Handler
	Ready   func(*Server) http.Handler
	Metrics *Metrics
	Logger  log.Interface
}

// Server is a node.
type Server struct {
	options   Options
	forwarder *forward.Forwarder
	workers   *backend.Registry
	board     *evacuation.Board
	draining  atomic.Bool
	isolated  atomic.Bool
	listed    atomic.Bool      // the list of workers is known
	foreign   foreignEntries   // guarded by the follower of the list, which makes one call at a time
	list      *follow.Follower // of workers
	finder    *finder
	sweeper   *sweep.Sweeper
	budgets   *budget.Book
	knowledge *knowledge
	table     tableWays
	programs  *directory.Directory // nil: this node does not talk to others
	peers     *peers
	room      *rooms // nil likewise
	clients   *clients
	drain     chan struct{}
	inFlight  atomic.Int64 // bytes of bodies
}

const (
	// memoryForBodies and memoryForHistory are the shares of the process's memory
	// that requests' bodies and cached turns may take.
	memoryForBodies  = 8 // an eighth
	memoryForHistory = 10
	// memoryForGathering is that of rows that wait to be written for other nodes.
	memoryForGathering = 32
	// heapShare of the memory is where the garbage collector begins to work harder.
	heapShare = 0.7
	// defaultMemory is taken where no limit is given.
	defaultMemory = 256 << 20
	// gatherWorkers bounds how often the list of workers is asked for.
	gatherWorkers = 300 * time.Millisecond
)

// New returns a node that is not running yet.
func New(options Options) *Server {
	options = options.withDefaults()
	gate := store.NewGate(options.Store, options.Logger)
	var workers *backend.Registry
	board := newBoard(options, func(zone string, revision store.Version) int { return workers.ZoneReopened(zone, uint64(revision)) })
	knowledge := newKnowledge(options, board)
	workers = newWorkers(options, knowledge)
	peers := newPeers(options)
	core := newCore(options, gate, peers, knowledge)
	finder := &finder{workers: workers, gate: gate, keepers: map[string]keepers{}, count: options.Metrics.Found}
	var s *Server
	s = &Server{
		options:   options,
		workers:   workers,
		board:     board,
		budgets:   core.budgets,
		knowledge: knowledge,
		table:     core.table,
		programs:  core.programs,
		peers:     peers,
		room:      core.room,
		foreign:   foreignEntries{},
		finder:    finder,
		clients:   newClients(options.Settings.Descriptors),
		drain:     make(chan struct{}),
		sweeper: sweep.New(sweep.Options{
			Store:  gate,
			Tables: []sweep.Table{{Name: budget.Table, Parts: budget.Parts()}, {Name: history.Table, Parts: history.Parts()}},
			Logger: options.Logger,
		}),
		forwarder: forward.New(forward.Options{
			Workers:    workers,
			Transport:  options.Transport,
			Budgets:    core.budgets,
			History:    core.history,
			Neighbours: core.neighbours,
			Turns:      core.programs,
			Patience:   peers.asker.patience,
			Freshness:  knowledge.fresh,
			Limits:     core.limits,
			Isolated:   func() bool { return s.IsIsolated() },
			Allowance:  core.allowance,
			Admit:      func(bytes int64) (func(), bool) { return s.Admit(bytes) },
			Finder:     finder,
			Prober:     options.Prober,
			Room:       core.room.forRequests(),
			Standing:   standing.NewLearner(),
			Admission:  admission.NewGate(core.room.forAdmission()),
			Metrics:    options.Metrics.Requests,
			Logger:     options.Logger,
		}),
	}
	knowledge.attach(s, core)
	s.list = s.newList()
	finder.list, finder.services = s.list, s.targeted
	core.room.attach(s)
	return s
}

func (o Options) withDefaults() Options {
	if o.Settings.MemoryBytes == 0 {
		o.Settings.MemoryBytes = defaultMemory
	}
	if o.Listen == nil {
		o.Listen = func(address string) (net.Listener, error) { return net.Listen("tcp", address) }
	}
	return o
}

func newWorkers(options Options, knowledge *knowledge) *backend.Registry {
	return backend.NewRegistry(backend.Options{
		Zone:        options.Settings.Zone,
		Places:      options.Settings.Places,
		Evacuated:   knowledge.board.Evacuated,
		Cold:        knowledge.cold,
		Node:        options.Settings.Node,
		DialTimeout: options.DialTimeout,
		Dial:        options.Dial,
		Guard:       options.Guards.Workers,
		OnDial:      options.Metrics.Dials.Inc,
		OnWay: func(zone string, roundTrip time.Duration) {
			options.Metrics.WayOf(zone, roundTrip)
			options.Logger.WithField("zone", zone).WithField("round_trip_us", roundTrip.Microseconds()).Info("way")
		},
		OnLook: options.Metrics.Looks.Inc,
	})
}

// Evacuated reports whether a zone's workers get no new work of this node.
func (s *Server) Evacuated(zone string) bool { return s.board.Evacuated(zone) }

// Forwarder serves requests.
func (s *Server) Forwarder() *forward.Forwarder { return s.forwarder }

// Draining reports whether the node is stopping.
func (s *Server) Draining() bool { return s.draining.Load() }

// IsReady reports whether the node should get new connections.
func (s *Server) IsReady() bool {
	return !s.SendsAway() && s.listed.Load() && s.forwarder.Configuration() != nil && s.clients.takes()
}

// Admit counts the bytes of a request's body, or of an answer that is held until its client has taken
// it, against the memory for both.
func (s *Server) Admit(bytes int64) (release func(), ok bool) {
	room := s.options.Settings.MemoryBytes / memoryForBodies
	if s.inFlight.Add(bytes) > room {
		s.inFlight.Add(-bytes)
		return nil, false
	}
	return func() { s.inFlight.Add(-bytes) }, true
}

// Drain begins a planned stop; Run returns when it is over.
func (s *Server) Drain() {
	if s.draining.CompareAndSwap(false, true) {
		s.options.Logger.Info("stopping: not ready, clients are sent elsewhere")
		close(s.drain)
	}
}

// Run serves until ctx ends or a planned stop is over.
func (s *Server) Run(ctx context.Context) error {
	debug.SetMemoryLimit(int64(heapShare * float64(s.options.Settings.MemoryBytes)))
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	group, ctx := errgroup.WithContext(ctx)
	for _, follower := range s.followers() {
		group.Go(func() error {
			follower.Run(ctx)
			return nil
		})
	}
	runs := []func(context.Context){s.sweeper.Run, s.workers.Run, s.notePauses, s.knowledge.run, s.followIsolation}
	if s.programs != nil {
		runs = append(runs, s.programs.Run, s.room.reporter.Run)
	}
	for _, run := range runs {
		group.Go(func() error {
			run(ctx)
			return nil
		})
	}
	front := &http.Server{
		Handler:           s.options.Front(s),
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          newErrorLog(s.options.Logger),
		ConnState:         s.clients.note,
	}
	ready := &http.Server{Handler: s.options.Ready(s), ReadHeaderTimeout: readHeaderTimeout, ErrorLog: newErrorLog(s.options.Logger)}
	if err := s.serve(group, front, s.options.Settings.Front, s.listenToClients); err != nil {
		return err
	}
	if err := s.serve(group, ready, s.options.Settings.Ready, s.options.Listen); err != nil {
		return err
	}
	s.peers.serve(ctx, group, s)
	metrics := &http.Server{Handler: s.options.Metrics.Handler(), ReadHeaderTimeout: readHeaderTimeout, ErrorLog: newErrorLog(s.options.Logger)}
	if address := s.options.Settings.Metrics; address != "" {
		if err := s.serve(group, metrics, address, s.options.Listen); err != nil {
			return err
		}
	}
	s.options.Logger.WithField("front", s.options.Settings.Front).Info("started")
	group.Go(func() error {
		defer cancel()
		s.awaitStop(ctx, front)
		s.giveBack(ctx)
		return errors.Join(ready.Close(), metrics.Close())
	})
	return group.Wait()
}

// Limits of connections that hold whatever the configuration says.
const (
	readHeaderTimeout = 10 * time.Second
	idleTimeout       = 75 * time.Second
	maxHeaderBytes    = 256 << 10
)

// listenToClients opens the listener for clients.
func (s *Server) listenToClients(address string) (net.Listener, error) {
	listener, err := s.options.Listen(address)
	if err != nil {
		return nil, err
	}
	return s.clients.listen(listener, s.options.Guards.Clients), nil
}

func (s *Server) serve(group *errgroup.Group, server *http.Server, address string, listen func(string) (net.Listener, error)) error {
	listener, err := listen(address)
	if err != nil {
		return err
	}
	group.Go(func() error {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	return nil
}

func (s *Server) followers() []*follow.Follower {
	return []*follow.Follower{
		follow.New(follow.Options{
			Store:   s.options.Store,
			Table:   s.options.Records.ConfigurationTable,
			Replace: s.replaceOperator,
			Change:  s.changeOperator,
			Lost:    s.knowledge.operatorLost.Store,
			Fresh:   s.options.Settings.operatorFresh(),
			Logger:  s.options.Logger,
		}),
		s.list,
	}
}

// newList follows the list of workers.
func (s *Server) newList() *follow.Follower {
	return follow.New(follow.Options{
		Store:   s.options.Store,
		Table:   s.options.Records.WorkersTable,
		Replace: s.replaceWorkers,
		Change:  s.changeWorkers,
		Fresh:   s.options.Settings.Fresh,
		Gather:  gatherWorkers,
		Heard:   s.workers.Heard,
		Part:    &follow.Part{Text: s.options.Settings.Node, Kept: s.workers.Len, Enough: s.finder.enough},
		Logger:  s.options.Logger,
	})
}

// targeted are the services that the configuration in force leads to; nil if none is known.
func (s *Server) targeted() []string {
	configuration := s.forwarder.Configuration()
	if configuration == nil {
		return nil
	}
	return configuration.Targeted()
}
