// Package route holds the configuration that says which service takes a
// request, and under which limits. A Configuration is never changed once made.
package route

import (
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cloverwheel/cloverwheel/internal/locality"
	"github.com/cloverwheel/cloverwheel/internal/tenant"
)

// Version orders configurations; a higher one is newer.
type Version int64

// Kind says how often a request may run.
type Kind string

// The kinds of requests.
const (
	Safe      Kind = "safe"      // may run more than once
	Unsafe    Kind = "unsafe"    // runs at most once
	Streaming Kind = "streaming" // answered by a stream of events
)

// Target is a service that takes a share of a route's requests.
type Target struct {
	Service string
	Weight  int
}

// Route says where requests for a host and a path prefix go.
type Route struct {
	Name        string
	Host        string
	PathPrefix  string // begins and ends with a slash
	Kind        Kind
	Timeout     time.Duration // longest time that a request is held; 0: no limit
	Objective   time.Duration // for an answer, or a stream's first event
	Priority    int           // 0 is the highest
	MaxAttempts int           // workers that one request may be run on; at least 1
	Sticky      bool          // workers are faster with objects they know
	Resumable   bool          // a stream may go on at another worker
	Retain      bool          // turns are kept and continued from
	Retention   time.Duration
	Open        bool             // anybody may send, without a key
	Regions     locality.Regions // where requests may be served, passed through and kept
	Targets     []Target

	drawn *atomic.Uint64 // how many draws were made; nil outside a Configuration
}

// golden spreads successive draws evenly, however many there are.
const golden = 0.6180339887498949

// Draw returns the next of the route's evenly spread draws from [0, 1).
func (r *Route) Draw() float64 {
	if r.drawn == nil || len(r.Targets) < 2 {
		return 0
	}
	position := float64(r.drawn.Add(1)) * golden
	return position - math.Floor(position)
}

// Repeatable reports whether a request may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Safe || r.Kind == Streaming && r.Resumable
}

// Service picks the target for a draw in [0, 1), by weight.
func (r *Route) Service(draw float64) string {
	total := 0
	for _, target := range r.Targets {
		total += target.Weight
	}
	left := draw * float64(total)
	for _, target := range r.Targets {
		left -= float64(target.Weight)
		if left < 0 {
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

// Service describes the workers behind a name.
type Service struct {
	Name           string
	MaxConnections int // that each worker takes from all callers together
	Model          bool
	TokensPerEvent int // that one event of a stream stands for
	Places         int // requests that each worker runs at once; 0: not said
	Memory         int // tokens that each worker holds, of what runs and what is kept; 0: not said
	// ColdPerSecond is how many requests a second a cold worker bears, from all nodes
	// together; 0: cold workers bear as much as others.
	ColdPerSecond float64
	// ColdStart is how long a worker stays cold after its start.
	ColdStart time.Duration
	// HealthPath is where a worker tells how it is; empty: nowhere.
	HealthPath string
}

// Limits bound what clients may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Configuration is one version of all routes.
type Configuration struct {
	Version  Version
	Services map[string]Service
	Limits   Limits
	// Tenants are those who may send requests; nil: nobody needs a key.
	Tenants *tenant.Registry
	hosts   map[string][]Route
	routes  int
	// targeted are the services that routes lead to.
	targeted []string
	// priorities are those of the routes that lead to each service, ascending.
	priorities map[string][]int
}

// maxFirstDraw bounds where a route's draws begin; far beyond, floating-point
// numbers would no longer tell draws apart.
const maxFirstDraw = 1 << 20

// New indexes the routes of a version.
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
		route.drawn = new(atomic.Uint64)
		route.drawn.Store(rand.Uint64N(maxFirstDraw)) // nodes do not draw in step
		configuration.hosts[host] = append(configuration.hosts[host], route)
		configuration.target(route)
	}
	return configuration
}

// target notes the services that a route leads to, and its priority there.
func (c *Configuration) target(route Route) {
	for _, target := range route.Targets {
		if target.Weight <= 0 {
			continue
		}
		if !slices.Contains(c.targeted, target.Service) {
			c.targeted = append(c.targeted, target.Service)
		}
		known := c.priorities[target.Service]
		if at, found := slices.BinarySearch(known, route.Priority); !found {
			c.priorities[target.Service] = slices.Insert(known, at, route.Priority)
		}
	}
}

// LessUrgent is the next priority after one that routes to a service have; ok is false if none is
// less urgent.
func (c *Configuration) LessUrgent(service string, priority int) (next int, ok bool) {
	known := c.priorities[service]
	at, found := slices.BinarySearch(known, priority)
	if found {
		at++
	}
	if at >= len(known) {
		return 0, false
	}
	return known[at], true
}

// WithTenants sets who may send requests, before the configuration is in force.
func (c *Configuration) WithTenants(tenants *tenant.Registry) *Configuration {
	c.Tenants = tenants
	return c
}

// Len is the number of routes.
func (c *Configuration) Len() int { return c.routes }

// Targeted lists the services that routes lead to.
func (c *Configuration) Targeted() []string { return c.targeted }

// Meters reports whether cold workers of some service get less than others.
func (c *Configuration) Meters() bool {
	for _, service := range c.Services {
		if service.ColdPerSecond > 0 {
			return true
		}
	}
	return false
}

// Match finds the route with the longest prefix of path for host, which may
// carry a port; nil if there is none.
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
