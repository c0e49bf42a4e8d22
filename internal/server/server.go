// Package server runs one node of the load balancer between clients and workers. A node follows the
// configuration and the worker list, accepts client connections, reports its readiness, and shuts
// down without cutting off requests. It keeps no state that outlives the process.
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
	"github.com/cloverwheel/cloverwheel/internal/forward"
	"github.com/cloverwheel/cloverwheel/internal/history"
	"github.com/cloverwheel/cloverwheel/internal/inbound"
	"github.com/cloverwheel/cloverwheel/internal/locality"
	"github.com/cloverwheel/cloverwheel/internal/memory"
	"github.com/cloverwheel/cloverwheel/internal/quarantine"
	"github.com/cloverwheel/cloverwheel/internal/quota"
	"github.com/cloverwheel/cloverwheel/internal/route"
	"github.com/cloverwheel/cloverwheel/internal/scheduling"
	"github.com/cloverwheel/cloverwheel/internal/store"
	"github.com/cloverwheel/cloverwheel/internal/sweep"
	"github.com/cloverwheel/cloverwheel/internal/tablesync"
)

// Settings are a node's settings from its environment.
type Settings struct {
	Node           string        // node name
	Zone           string        // zone of the node
	IP             string        // IP address of the node
	ClientAddress  string        // IP:PORT for clients
	ReadyAddress   string        // IP:PORT for readiness checks
	MetricsAddress string        // IP:PORT for metrics; empty: not served
	PeerAddress    string        // IP:PORT for other nodes; empty: the node runs without peers
	MemoryBytes    int64         // memory limit of the process; 0: a default of 256 MiB
	Descriptors    int           // maximum number of socket descriptors; 0: unlimited
	ShutdownGrace  time.Duration // time for a planned shutdown
	// DrainPeriod is how long a worker serves after the worker list has accepted that it is draining; 0: unspecified.
	DrainPeriod time.Duration
	// MaxStaleness is how soon after a store failure the node's state must be current again; 0:
	// unspecified.
	MaxStaleness time.Duration
	// RevokeWithin is how long after its removal an API key may still be accepted; 0: unlimited.
	RevokeWithin time.Duration
	// LimitTolerance is the tolerance in the enforcement of tenants' limits.
	LimitTolerance quota.Tolerance
	// Regions maps each zone to its region.
	Regions *locality.ZoneMap
	// EvacuateWithin is how soon after its acknowledgement an evacuation must take effect; 0:
	// unspecified.
	EvacuateWithin time.Duration
	// In any second a cold worker may get ColdOverage times the request rate configured for cold
	// workers, plus ColdSlack requests. Both 0: the limit is not enforced.
	ColdOverage float64
	ColdSlack   float64
	// StoreWritesPerSecond is the number of writing calls per second that the store accepts from
	// all nodes together; 0: unspecified.
	StoreWritesPerSecond float64
	// CrossPartTransactions states that the store supports transactions across parts.
	CrossPartTransactions bool
}

// RowDecoders decodes the rows of the followed tables.
type RowDecoders struct {
	ConfigurationTable string // table of the operator's rows
	WorkersTable       string // table of the worker list
	// Configuration decodes a configuration; ok is false for other rows.
	Configuration func(store.Row) (configuration *route.Configuration, ok bool, err error)
	// Worker decodes an entry of the worker list.
	Worker func(store.Row) (backend.Record, error)
	// Evacuation returns the zone that a row of ConfigurationTable evacuates as long as the row
	// exists; ok is false for other rows. Nil: zones cannot be evacuated.
	Evacuation func(store.Row) (zone string, ok bool)
}

// location returns the node's location.
func (s Settings) location() locality.Location {
	return locality.Location{Zones: s.Regions, Zone: s.Zone}
}

// Options are the options of a Server.
type Options struct {
	Settings    Settings
	Process     string // unique to this process
	Store       store.Store
	Transport   forward.Transport
	Prober      forward.Prober // may be nil
	RowDecoders RowDecoders
	// Listen opens a listener and Dial a connection; nil: TCP.
	Listen func(address string) (net.Listener, error)
	Dial   func(ctx context.Context, address string) (net.Conn, error)
	// PeerNetwork transports messages to other nodes; nil: HTTP over TCP.
	PeerNetwork PeerNetwork
	// Guards detect dead connections; the zero value relies on kernel defaults.
	Guards Guards
	// DialTimeout bounds opening a connection to a worker.
	DialTimeout time.Duration
	// NewClientHandler and NewReadyHandler create the handlers of the client address and the
	// readiness address.
	NewClientHandler func(*Server) http.Handler
	NewReadyHandler  func(*Server) http.Handler
	Metrics          *Metrics
	Logger           log.Interface
}

// Server is one node.
type Server struct {
	options        Options
	forwarder      *forward.Forwarder
	workers        *backend.Registry
	evacuations    *evacuation.Tracker
	draining       atomic.Bool
	isolated       atomic.Bool
	workersLoaded  atomic.Bool         // the worker list, or its first page, is loaded
	invalidEntries invalidEntries      // used by the follower alone, which makes one call at a time
	workerFollower *tablesync.Follower // of the worker list
	finder         *workerFinder
	sweeper        *sweep.Sweeper
	budgets        *budget.Accounts
	verifier       *verifier
	store          relayedStore
	directory      *directory.Directory // nil: the node runs without peers
	peers          *peers
	capacity       *capacityTracker // nil: the node runs without peers
	origins        *streamOrigins
	quarantine     *quarantine.Tracker
	replicator     *quarantine.Replicator // of quarantine; nil likewise
	clients        *inbound.Connections
	drain          chan struct{}
	buffers        *memory.Budget // of what is held of requests and answers
}

const (
	// bufferMemoryDivisor and historyMemoryDivisor set the parts of the process's memory that
	// buffers of requests and answers, and cached turns, may use.
	bufferMemoryDivisor  = 8 // one eighth
	historyMemoryDivisor = 10
	// longBufferRatio is the part of the memory for buffers that long bodies, heads and histories may use. The rest is kept for others.
	longBufferRatio = 0.75
	// groupCommitMemoryDivisor sets the part for rows that wait to be written for other nodes.
	groupCommitMemoryDivisor = 32
	// streamCopyMemoryDivisor sets the part for copies of turns that clients may resume.
	streamCopyMemoryDivisor = 32
	// heapLimitRatio is the part of the memory at which the garbage collector becomes more
	// aggressive.
	heapLimitRatio = 0.7
	// defaultMemoryBytes is the memory limit if the settings give none.
	defaultMemoryBytes = 256 << 20
	// workerBatchDelay is how long changes of the worker list are batched before they are read.
	workerBatchDelay = 300 * time.Millisecond
)

// New returns a node; Run starts it.
func New(options Options) *Server {
	options = options.withDefaults()
	timeline := store.NewTimeline(options.Store)
	options.Store = timeline
	gate := store.NewGate(timeline, options.Logger)
	var workers *backend.Registry
	evacuations := newEvacuationTracker(options, func(zone string, revision store.Version) int { return workers.ZoneReopened(zone, uint64(revision)) })
	verifier := newVerifier(options, evacuations)
	workers = newWorkers(options, verifier, timeline)
	peers := newPeers(options)
	buffers := memory.NewBudget(options.Settings.MemoryBytes / bufferMemoryDivisor)
	long := buffers.Part(int64(longBufferRatio * float64(buffers.Limit())))
	parts := newComponents(options, gate, peers, verifier, workers, long.Reserve)
	finder := &workerFinder{workers: workers, gate: gate, prefixWorkers: map[string]prefixWorkers{}, countLookup: options.Metrics.WorkerLookup}
	var s *Server
	s = &Server{
		options:        options,
		workers:        workers,
		evacuations:    evacuations,
		budgets:        parts.budgets,
		verifier:       verifier,
		store:          parts.store,
		directory:      parts.directory,
		peers:          peers,
		capacity:       parts.capacity,
		origins:        parts.origins,
		quarantine:     parts.quarantine,
		replicator:     parts.replicator,
		invalidEntries: invalidEntries{},
		finder:         finder,
		clients:        newClientConnections(options, buffers.Reserve, long.Reserve),
		buffers:        buffers,
		drain:          make(chan struct{}),
		sweeper: sweep.New(sweep.Options{
			Store:  gate,
			Tables: []sweep.Table{{Name: budget.Table, Parts: budget.Parts()}, {Name: history.Table, Parts: history.Parts()}},
			Logger: options.Logger,
		}),
		forwarder: forward.New(forward.Options{
			Workers:         workers,
			Transport:       options.Transport,
			Budgets:         parts.budgets,
			History:         parts.history,
			HistoryPeers:    parts.historyPeers,
			TurnDirectory:   parts.directory,
			ResponseTimes:   peers.client.timeout,
			ConfigFreshness: verifier.fresh,
			RateLimiter:     parts.limits,
			Isolated:        func() bool { return s.Isolated() },
			WarmupLimiter:   parts.allowance,
			ReserveMemory:   buffers.Reserve,
			ReserveLong:     long.Reserve,
			Finder:          finder,
			Origins:         parts.origins.client,
			Copies:          parts.copies,
			Quarantine:      parts.quarantine,
			Prober:          options.Prober,
			Capacity:        parts.capacity.forwarderCapacity(),
			Estimator:       scheduling.NewEstimator(),
			Admission:       admission.NewController(parts.capacity.utilizationSource()),
			Metrics:         options.Metrics.Requests,
			Logger:          options.Logger,
		}),
	}
	options.Metrics.RegisterReadings(parts.history.Waiting)
	verifier.attach(s, parts)
	s.workerFollower = s.newWorkerFollower()
	finder.follower, finder.services = s.workerFollower, s.targetedServices
	parts.capacity.attach(s)
	parts.origins.attach(s)
	return s
}

func (o Options) withDefaults() Options {
	if o.Settings.MemoryBytes == 0 {
		o.Settings.MemoryBytes = defaultMemoryBytes
	}
	if o.Listen == nil {
		o.Listen = func(address string) (net.Listener, error) { return net.Listen("tcp", address) }
	}
	return o
}

func newWorkers(options Options, verifier *verifier, timeline *store.Timeline) *backend.Registry {
	return backend.NewRegistry(backend.Options{
		Drain: backend.DrainOptions{
			Period:          options.Settings.DrainPeriod,
			NotListedBefore: func(revision uint64) (time.Time, bool) { return timeline.NotCommittedBefore(store.Version(revision)) },
		},
		Zone:        options.Settings.Zone,
		Zones:       options.Settings.Regions,
		Evacuated:   verifier.evacuations.Evacuated,
		Cold:        verifier.coldPolicy,
		Node:        options.Settings.Node,
		DialTimeout: options.DialTimeout,
		Dial:        options.Dial,
		Guard:       options.Guards.Workers,
		OnDial:      options.Metrics.Dials.Inc,
		OnRoundTrip: func(zone string, roundTrip time.Duration) {
			options.Metrics.SetRoundTrip(zone, roundTrip)
			options.Logger.WithField("zone", zone).WithField("round_trip_us", roundTrip.Microseconds()).Info("round-trip time to zone changed")
		},
		OnReconnect: options.Metrics.WorkerProbes.Inc,
	})
}

// Evacuated reports whether a zone is evacuated, so that its workers get no new work from this
// node.
func (s *Server) Evacuated(zone string) bool { return s.evacuations.Evacuated(zone) }

// Forwarder returns the forwarder, which serves requests.
func (s *Server) Forwarder() *forward.Forwarder { return s.forwarder }

// Draining reports whether a planned shutdown has started.
func (s *Server) Draining() bool { return s.draining.Load() }

// Ready reports whether the node should get new connections.
func (s *Server) Ready() bool {
	return !s.RedirectsClients() && s.workersLoaded.Load() && s.origins.loaded() && !s.quarantine.Loading() && s.forwarder.Configuration() != nil && s.clients.Accepting()
}

// ReserveBufferMemory reserves memory that requests and answers share. It returns a function that releases the memory; ok is false if
// too much is in use.
func (s *Server) ReserveBufferMemory(bytes int64) (release func(), ok bool) {
	return s.buffers.Reserve(bytes)
}

// Drain starts a planned shutdown; Run returns when it is complete. Further calls have no effect.
func (s *Server) Drain() {
	if s.draining.CompareAndSwap(false, true) {
		s.options.Logger.Info("shutdown started; reporting not ready and redirecting clients")
		close(s.drain)
	}
}

// Run serves until ctx ends or a planned shutdown is complete. It returns an error if it cannot
// listen for clients or readiness checks. It serves without what it can do without.
func (s *Server) Run(ctx context.Context) error {
	debug.SetMemoryLimit(int64(heapLimitRatio * float64(s.options.Settings.MemoryBytes)))
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	group, ctx := errgroup.WithContext(ctx)
	for _, follower := range s.followers() {
		group.Go(func() error {
			follower.Run(ctx)
			return nil
		})
	}
	runs := []func(context.Context){s.sweeper.Run, s.workers.Run, s.monitorStalls, s.verifier.run, s.monitorIsolation, s.origins.versions.Run}
	if s.directory != nil {
		runs = append(runs, s.directory.Run, s.capacity.client.Run, s.replicator.Run)
	}
	for _, run := range runs {
		group.Go(func() error {
			run(ctx)
			return nil
		})
	}
	clientServer := &http.Server{
		Handler:           inbound.EndHeads(s.options.NewClientHandler(s)),
		ConnContext:       inbound.WithConnection,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          newErrorLog(s.options.Logger),
		ConnState:         s.clients.TrackState,
	}
	readiness := s.newControlServer("readiness", maxReadinessConnections, s.options.NewReadyHandler(s))
	err := s.serve(ctx, group, clientServer, s.options.Settings.ClientAddress, s.listenToClients)
	if err == nil {
		err = s.serve(ctx, group, readiness.http, s.options.Settings.ReadyAddress, readiness.listen)
	}
	if errors.Is(err, errStoppedAtStart) {
		s.options.Logger.WithError(err).Info("stopped")
		return nil
	}
	if err != nil {
		return err
	}
	s.peers.serve(ctx, group, s)
	operators := s.newControlServer("operators", maxOperatorConnections, s.operatorHandler())
	if address := s.options.Settings.MetricsAddress; address != "" {
		s.serveOptional(ctx, group, address, operators.serve)
	}
	s.options.Logger.WithField("front", s.options.Settings.ClientAddress).Info("node started")
	group.Go(func() error {
		defer cancel()
		s.awaitShutdown(ctx, clientServer)
		s.releaseResources(ctx)
		return errors.Join(readiness.http.Close(), operators.http.Close())
	})
	return group.Wait()
}

// Limits of HTTP connections, independent of the configuration. maxHeaderBytes applies to clients alone.
const (
	readHeaderTimeout = 10 * time.Second
	idleTimeout       = 75 * time.Second
	maxHeaderBytes    = 256 << 10
)

// listenToClients wraps the listener for clients.
func (s *Server) listenToClients(listener net.Listener) net.Listener {
	return s.clients.Listen(listener, s.options.Guards.Clients)
}

// serve starts a server at an address that the node cannot serve without. wrap bounds its connections.
func (s *Server) serve(ctx context.Context, group *errgroup.Group, server *http.Server, address string, wrap func(net.Listener) net.Listener) error {
	listener, err := s.openWhenFree(ctx, address)
	if err != nil {
		return err
	}
	group.Go(func() error {
		if err := server.Serve(wrap(listener)); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	return nil
}
