// Package route holds the routing configuration: which service handles a request, and under which
// limits. A Configuration is immutable once in use.
package route

import (
	"iter"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cloverwheel/cloverwheel/internal/locality"
	"github.com/cloverwheel/cloverwheel/internal/tenant"
)

// Version numbers configurations; a higher one is newer.
type Version int64

// Kind classifies requests by whether they may be repeated and how they are answered.
type Kind string

// Kinds of requests.
const (
	Safe      Kind = "safe"      // may run more than once
	Unsafe    Kind = "unsafe"    // runs at most once
	Streaming Kind = "streaming" // answered by an event stream
)

// Target is a service with its weight among a route's targets.
type Target struct {
	Service string
	Weight  int // its share is the weight divided by the sum of all weights
}

// Route defines how requests for a host and path prefix are handled.
type Route struct {
	Name        string
	Host        string
	PathPrefix  string // begins and ends with a slash
	Kind        Kind
	Timeout     time.Duration    // maximum time to hold a request; 0: no limit
	Objective   time.Duration    // target latency of a response, or of a stream's first event
	Priority    int              // 0 is the highest
	MaxAttempts int              // maximum number of workers that run a request; at least 1
	Sticky      bool             // prefer workers that have served the same object before
	Resumable   bool             // an interrupted stream may continue at another worker
	StoreTurns  bool             // turns of a conversation are stored and may be continued
	Retention   time.Duration    // how long turns are stored
	NoAPIKey    bool             // no API key required
	Regions     locality.Regions // where requests may be served, forwarded and stored; nil: everywhere
	Targets     []Target

	draws *atomic.Uint64 // number of draws so far; nil outside a Configuration
}

// goldenFraction is the golden ratio's fractional part. Its multiples modulo 1 are evenly spread
// over [0, 1), whatever their number.
const goldenFraction = 0.6180339887498949

// Draw returns the next number of an evenly spread (low-discrepancy) sequence in [0, 1), to be
// passed to Service. It returns 0 for a route with fewer than two targets or outside a
// Configuration.
func (r *Route) Draw() float64 {
	if r.draws == nil || len(r.Targets) < 2 {
		return 0
	}
	position := float64(r.draws.Add(1)) * goldenFraction
	return position - math.Floor(position)
}

// TargetServices returns the services with a positive weight.
func (r *Route) TargetServices() (services []string) {
	for _, target := range r.Targets {
		if target.Weight > 0 && !slices.Contains(services, target.Service) {
			services = append(services, target.Service)
		}
	}
	return services
}

// HasResumableStreams reports whether another worker may continue an interrupted stream of the route.
func (r *Route) HasResumableStreams() bool { return r.Kind == Streaming && r.Resumable }

// Repeatable reports whether a request may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Safe || r.HasResumableStreams()
}

// Service returns the target service for a draw in [0, 1), by weight; "" without targets.
func (r *Route) Service(draw float64) string {
	total := 0
	for _, target := range r.Targets {
		total += target.Weight
	}
	remaining := draw * float64(total)
	for _, target := range r.Targets {
		remaining -= float64(target.Weight)
		if remaining < 0 {
			return target.Service
		}
	}
	if len(r.Targets) == 0 {
		return ""
	}
	return r.Targets[len(r.Targets)-1].Service
}

// Serves reports whether service is one of the route's targets.
func (r *Route) Serves(service string) bool {
	for _, target := range r.Targets {
		if target.Service == service {
			return true
		}
	}
	return false
}

// Service describes the workers of a service.
type Service struct {
	Name           string
	MaxConnections int  // per worker, from all nodes together
	LanguageModel  bool // workers run a language model
	TokensPerEvent int  // number of tokens per stream event
	MaxConcurrency int  // requests that a worker runs at once; 0: unknown
	MemoryTokens   int  // tokens that a worker holds for running requests and caches; 0: unknown
	// ColdRequestsPerSecond is the maximum rate of requests to a cold worker, from all nodes together; 0:
	// no special limit.
	ColdRequestsPerSecond float64
	// ColdStart is how long a worker stays cold after its start.
	ColdStart time.Duration
	// HealthPath is the path of a worker's health check; empty: none.
	HealthPath string
}

// Limits bound client requests and connections. Sizes of 0 keep the node's defaults.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Configuration is one version of all routes and services.
type Configuration struct {
	Version  Version
	Services map[string]Service
	Limits   Limits
	// Tenants are the clients with API keys; nil: no keys are required.
	Tenants *tenant.Registry
	hosts   map[string][]Route
	routes  int // number of routes
	// targetServices are the services with a positive weight in any route.
	targetServices []string
	// resumableServices are those of them to which streams lead that another worker may continue.
	resumableServices []string
	// priorities are the priorities of the routes to each service, ascending.
	priorities map[string][]int
}

// maxInitialDraw bounds the random start of a route's draws. At much larger numbers, successive
// draws would no longer differ in floating point.
const maxInitialDraw = 1 << 20

// New returns a configuration that indexes the given routes and services. It raises a MaxAttempts
// below 1 to 1.
func New(version Version, routes []Route, services []Service, limits Limits) *Configuration {
	configuration := &Configuration{
		Version:  version,
		Services: make(map[string]Service, len(services)),
		Limits:   limits,
		hosts:    map[string][]Route{},
		routes:   len(routes),

		priorities: map[string][]int{},
	}
	for _, service := range services {
		configuration.Services[service.Name] = service
	}
	for _, route := range routes {
		host := strings.ToLower(route.Host)
		route.MaxAttempts = max(route.MaxAttempts, 1)
		route.draws = new(atomic.Uint64)
		route.draws.Store(rand.Uint64N(maxInitialDraw)) // so that nodes don't draw in lockstep
		configuration.hosts[host] = append(configuration.hosts[host], route)
		configuration.addTargets(route)
	}
	return configuration
}

// addTargets records the route's target services and its priority for each.
func (c *Configuration) addTargets(route Route) {
	for _, target := range route.Targets {
		if target.Weight <= 0 {
			continue
		}
		if !slices.Contains(c.targetServices, target.Service) {
			c.targetServices = append(c.targetServices, target.Service)
		}
		if route.HasResumableStreams() && !slices.Contains(c.resumableServices, target.Service) {
			c.resumableServices = append(c.resumableServices, target.Service)
		}
		priorities := c.priorities[target.Service]
		if index, found := slices.BinarySearch(priorities, route.Priority); !found {
			c.priorities[target.Service] = slices.Insert(priorities, index, route.Priority)
		}
	}
}

// NextLowerPriority returns the next higher number, and so the next less urgent priority, among the routes
// to a service; ok is false if there is none.
func (c *Configuration) NextLowerPriority(service string, priority int) (next int, ok bool) {
	priorities := c.priorities[service]
	index, found := slices.BinarySearch(priorities, priority)
	if found {
		index++
	}
	if index >= len(priorities) {
		return 0, false
	}
	return priorities[index], true
}

// SetTenants sets the tenants and returns c. It must be called before c is in use.
func (c *Configuration) SetTenants(tenants *tenant.Registry) *Configuration {
	c.Tenants = tenants
	return c
}

// RouteCount returns the number of routes.
func (c *Configuration) RouteCount() int { return c.routes }

// TargetServices returns the services with a positive weight in any route.
func (c *Configuration) TargetServices() []string { return c.targetServices }

// ResumableServices returns the services to which routes with resumable streams lead with a positive weight.
func (c *Configuration) ResumableServices() []string { return c.resumableServices }

// ResumableRoutes returns the routes with resumable streams, in any order.
func (c *Configuration) ResumableRoutes() iter.Seq[*Route] {
	return func(yield func(*Route) bool) {
		for _, routes := range c.hosts {
			for index := range routes {
				if routes[index].HasResumableStreams() && !yield(&routes[index]) {
					return
				}
			}
		}
	}
}

// LimitsColdWorkers reports whether any service limits the request rate of cold workers.
func (c *Configuration) LimitsColdWorkers() bool {
	for _, service := range c.Services {
		if service.ColdRequestsPerSecond > 0 {
			return true
		}
	}
	return false
}

// Match returns the route with the longest path prefix for a host, which may include a port; nil
// if there is none.
func (c *Configuration) Match(host, path string) *Route {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:colon]
	}
	routes := c.hosts[strings.ToLower(host)]
	var best *Route
	for index := range routes {
		candidate := &routes[index]
		if !strings.HasPrefix(path, candidate.PathPrefix) {
			continue
		}
		if best == nil || len(candidate.PathPrefix) > len(best.PathPrefix) {
			best = candidate
		}
	}
	return best
}
