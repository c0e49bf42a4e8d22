package gateway

import (
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/gorilla/mux"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rotisserie/eris"

	"github.com/cloverwheel/cloverwheel/internal/config"
	"github.com/cloverwheel/cloverwheel/internal/fault"
	"github.com/cloverwheel/cloverwheel/internal/member"
	"github.com/cloverwheel/cloverwheel/internal/peer"
	"github.com/cloverwheel/cloverwheel/internal/shard"
)

// The defaults of Options.
const (
	DefaultMaxBody      = 8 << 20 // bytes
	DefaultMaxRequests  = 16 << 10
	DefaultCallTimeout  = 10 * time.Minute
	DefaultPatience     = 8 * time.Second
	DefaultStall        = 3 * time.Second
	DefaultWriteTimeout = 30 * time.Second
	DefaultReadTimeout  = 30 * time.Second

	DefaultAttemptTimeout = 3 * time.Second
)

// The limits of Server.
const (
	headerTimeout  = 10 * time.Second
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 64 << 10
)

// Options configure a Gateway. Zero durations and sizes take the defaults.
type Options struct {
	Locator   shard.Locator
	Transport peer.Transport
	Config    config.Source
	// Callers authenticates and lists models; nil: by Config.
	Callers Callers
	Members func() *member.View
	Shards  uint32 // number of shards of the cluster
	// OperatorKeys open the operators' resources; none: they are closed.
	OperatorKeys []string
	// Configurator and Nodes do what operators ask for; nil: answered as not found.
	Configurator Configurator
	Nodes        Nodes
	Log          log.Interface
	// Registerer takes the gateway's metrics and Gatherer is shown on /metrics;
	// each may be nil.
	Registerer prometheus.Registerer
	Gatherer   prometheus.Gatherer

	MaxBody     int64         // bytes of a request's body
	MaxRequests int           // of callers in progress; more are refused as overloaded
	CallTimeout time.Duration // of one request of a caller
	// Patience bounds how long a leader is looked for in vain.
	Patience time.Duration
	// Stall is how long a stream may be silent before the gateway checks that
	// its leader still leads.
	Stall        time.Duration
	WriteTimeout time.Duration // of one write to a caller
	ReadTimeout  time.Duration // of one request's body
	// AttemptTimeout bounds one try of creating, showing or ending a program.
	AttemptTimeout time.Duration
}

// Gateway answers callers and operators.
type Gateway struct {
	options   Options
	callers   Callers
	operators operatorKeys
	forward   *forwarder
	metrics   *metrics
	draining  atomic.Bool
	inFlight  atomic.Int64 // requests of callers
}

// New returns a Gateway. It fails when a required option is missing.
func New(options Options) (*Gateway, error) {
	if options.Locator == nil || options.Transport == nil || options.Config == nil || options.Members == nil {
		return nil, eris.New("gateway needs a locator, a transport, a configuration and a view of members; set them in Options")
	}
	if options.Shards == 0 {
		return nil, eris.New("gateway needs the number of shards; set Options.Shards")
	}
	options.fill()
	metrics, err := newMetrics(options.Registerer)
	if err != nil {
		return nil, err
	}
	return &Gateway{
		options:   options,
		callers:   options.Callers,
		operators: hashKeys(options.OperatorKeys),
		metrics:   metrics,
		forward: &forwarder{
			locator:   options.Locator,
			transport: options.Transport,
			shards:    options.Shards,
			patience:  options.Patience,
			stall:     options.Stall,
			timeout:   options.CallTimeout,

			attemptTimeout: options.AttemptTimeout,
			metrics:        metrics,
			log:            options.Log,
		},
	}, nil
}

func (o *Options) fill() {
	if o.Callers == nil {
		o.Callers = configuredCallers{o.Config}
	}
	if o.Log == nil {
		o.Log = log.Log
	}
	if o.MaxBody == 0 {
		o.MaxBody = DefaultMaxBody
	}
	if o.MaxRequests == 0 {
		o.MaxRequests = DefaultMaxRequests
	}
	if o.CallTimeout == 0 {
		o.CallTimeout = DefaultCallTimeout
	}
	if o.Patience == 0 {
		o.Patience = DefaultPatience
	}
	if o.Stall == 0 {
		o.Stall = DefaultStall
	}
	if o.WriteTimeout == 0 {
		o.WriteTimeout = DefaultWriteTimeout
	}
	if o.ReadTimeout == 0 {
		o.ReadTimeout = DefaultReadTimeout
	}
	if o.AttemptTimeout == 0 {
		o.AttemptTimeout = DefaultAttemptTimeout
	}
}

// Drain makes /readyz fail and asks clients to close their connections.
// Requests in progress and new ones are still served, until the owner of the
// listener shuts it down.
func (g *Gateway) Drain() { g.draining.Store(true) }

// Server returns an HTTP server of all resources with limits on what a client
// may hold, for HTTP/1.1 and for HTTP/2 without encryption. Its Shutdown lets
// requests in progress end.
func (g *Gateway) Server() *http.Server {
	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{
		Handler:           g.Handler(),
		Protocols:         protocols,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

// Handler returns the handler of all resources.
func (g *Gateway) Handler() http.Handler {
	router := mux.NewRouter()
	g.routeUnknown(router)
	router.HandleFunc("/healthz", g.health).Methods(http.MethodGet)
	router.HandleFunc("/readyz", g.ready).Methods(http.MethodGet)
	router.Handle("/metrics", g.metricsHandler()).Methods(http.MethodGet)
	operators := router.PathPrefix("/v1/operator").Subrouter()
	g.routeUnknown(operators)
	g.routeOperators(operators)
	callers := router.PathPrefix("/v1").Subrouter()
	g.routeUnknown(callers)
	g.routeCallers(callers)
	return router
}

// routeUnknown answers what no route matches by a typed error.
func (g *Gateway) routeUnknown(router *mux.Router) {
	router.NotFoundHandler = g.observe(http.HandlerFunc(g.noRoute))
}

func (g *Gateway) routeCallers(router *mux.Router) {
	router.Use(g.observe, g.limit, g.authenticate)
	get, post := http.MethodGet, http.MethodPost
	router.Handle("/models", g.methods(methods{get: g.listModels}))
	router.Handle("/programs", g.methods(methods{post: g.createProgram}))
	router.Handle("/programs/{program}", g.methods(methods{get: g.showProgram, http.MethodDelete: g.endProgram}))
	router.Handle("/programs/{program}/calls", g.methods(methods{post: g.postCall, get: g.fetchByKey}))
	router.Handle("/programs/{program}/calls/{number:[0-9]+}", g.methods(methods{get: g.fetchByNumber}))
	router.Handle("/chat/completions", g.methods(methods{post: g.completeChat}))
}

// methods are one resource's handlers by HTTP method.
type methods map[string]http.HandlerFunc

// methods answers a method that the resource lacks by a typed error.
func (g *Gateway) methods(handlers methods) http.Handler {
	allowed := strings.Join(slices.Sorted(maps.Keys(handlers)), ", ")
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		handler, ok := handlers[r.Method]
		if !ok {
			w.Header().Set("Allow", allowed)
			g.fail(w, r, fault.Newf(fault.Invalid, "use one of "+allowed, "%s does not allow %s", r.URL.Path, r.Method))
			return
		}
		handler(w, r)
	})
}
