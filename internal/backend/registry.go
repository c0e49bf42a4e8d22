package backend

import (
	"context"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cloverwheel/cloverwheel/internal/deadconn"
	"github.com/cloverwheel/cloverwheel/internal/httpconn"
	"github.com/cloverwheel/cloverwheel/internal/locality"
)

// Options configures a Registry.
type Options struct {
	Zone  string            // zone of this node
	Zones *locality.ZoneMap // region of each zone
	// Evacuated reports whether a zone's workers must get no new work; nil: no zone is evacuated.
	Evacuated func(zone string) bool
	// Cold returns whether cold workers of a service get less work than warm ones, and how long
	// a cold start lasts by default. Nil: cold workers get as much work as others.
	Cold func(service string) (less bool, start time.Duration)
	// Drain tells how long draining workers serve; the zero value: it is not known, and they get no requests.
	Drain       DrainOptions
	Node        string // name of this node; it decides which workers the node prefers
	DialTimeout time.Duration
	Guard       deadconn.Guard // detects unresponsive connections to workers
	OnDial      func()         // counts new connections to workers
	// OnRoundTrip is called when the estimated round trip to a zone changes; may be nil.
	OnRoundTrip func(zone string, roundTrip time.Duration)
	OnReconnect func() // counts the attempts to connect to an unreachable worker; may be nil
	// Dial opens a connection to an address; nil: plain TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Now returns the current time; nil: time.Now.
	Now func() time.Time
}

// Limits on idle connections, per worker. defaultIdleTimeout applies where the worker does not
// announce a keep-alive timeout.
const (
	maxIdlePerWorker   = 8
	defaultIdleTimeout = 4 * time.Second
	// maxIdleTimeout caps the keep-alive timeout that a worker announces.
	maxIdleTimeout = 15 * time.Second
)

// Registry is the set of workers that this node lists. It is safe for concurrent use.
type Registry struct {
	options       Options
	location      locality.Location
	roundTrips    *RoundTripEstimator
	warmthTTL     time.Duration // how long information that a worker is warm stays valid at this node
	mutex         sync.Mutex
	workers       map[string]*Worker // by key
	keys          map[string]string  // key by ID, for workers whose key differs from their ID
	services      map[string]roster
	lingering     map[string][]lingeringWorker
	latencies     map[string]*LatencyEstimates
	unreported    unreportedWorkers
	trials        trials
	unreachable   chan *Worker              // workers that accepted no connection
	listConfirmed atomic.Pointer[time.Time] // when the worker list was last confirmed to be current
}

// lingeringWorker is a worker that has left the list but may still be used until a given time.
type lingeringWorker struct {
	worker *Worker
	until  time.Time
}

// NewRegistry returns an empty registry.
func NewRegistry(options Options) *Registry {
	if options.Now == nil {
		options.Now = time.Now
	}
	if options.Evacuated == nil {
		options.Evacuated = func(string) bool { return false }
	}
	location := locality.Location{Zones: options.Zones, Zone: options.Zone}
	if options.Cold == nil {
		options.Cold = func(string) (bool, time.Duration) { return false, 0 }
	}
	return &Registry{
		options:     options,
		location:    location,
		roundTrips:  NewRoundTripEstimator(location, options.Now),
		warmthTTL:   minWarmthTTL + time.Duration(xxhash.Sum64String(options.Node)%uint64(warmthTTLJitter)),
		workers:     map[string]*Worker{},
		keys:        map[string]string{},
		services:    map[string]roster{},
		lingering:   map[string][]lingeringWorker{},
		latencies:   map[string]*LatencyEstimates{},
		unreported:  unreportedWorkers{services: map[string]map[*Worker]struct{}{}},
		unreachable: make(chan *Worker, unreachableBacklog),
	}
}

// newWorker returns a worker with no observations.
func (r *Registry) newWorker(record Record, now time.Time) *Worker {
	worker := &Worker{
		registry: r, id: record.ID, key: record.Key(), service: record.Service, zone: record.Zone, version: record.SoftwareVersion,
		distance: r.location.DistanceTo(record.Zone), record: record,
	}
	worker.warmth.updateFromEntry(record, now)
	return worker
}

// byID returns the worker with an ID. The caller holds the mutex.
func (r *Registry) byID(id string) (*Worker, bool) {
	key, ok := r.keys[id]
	if !ok {
		key = id
	}
	worker, ok := r.workers[key]
	return worker, ok
}

// worker returns the worker with an ID.
func (r *Registry) worker(id string) (*Worker, bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.byID(id)
}

// HasID reports whether the part of the worker list that this node holds has an entry with an ID.
func (r *Registry) HasID(id string) bool {
	_, ok := r.worker(id)
	return ok
}

// HasKey reports whether the part of the worker list that this node holds has a worker with a key.
func (r *Registry) HasKey(key string) bool {
	_, ok := r.byKey(key)
	return ok
}

// Len returns the number of workers in the part of the worker list that this node holds.
func (r *Registry) Len() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return len(r.workers)
}

// Count returns the number of a service's workers in the part of the worker list that this node holds.
func (r *Registry) Count(service string) int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return len(r.services[service].workers)
}

// byKey returns the worker with a key.
func (r *Registry) byKey(key string) (*Worker, bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	worker, ok := r.workers[key]
	return worker, ok
}

// pool creates the connection pool of a worker.
func (r *Registry) pool(record Record) *httpconn.Pool {
	address := record.Address
	options := httpconn.Options{
		Address:     address,
		OnConnected: func(took time.Duration) { r.recordConnected(record.Zone, took) },
		DialTimeout: r.options.DialTimeout,
		MaxIdle:     maxIdlePerWorker,
		IdleTimeout: defaultIdleTimeout,
		Guard:       r.options.Guard,
		MaxIdleTime: maxIdleTimeout,
		OnDial:      r.options.OnDial,
		OnProbe:     r.options.OnReconnect,
	}
	if r.options.Dial != nil {
		options.Dial = func(ctx context.Context) (net.Conn, error) { return r.options.Dial(ctx, address) }
	}
	return httpconn.NewPool(options)
}

// recordConnected records how long opening a connection to a zone took.
func (r *Registry) recordConnected(zone string, took time.Duration) {
	if roundTrip, changed := r.roundTrips.Observe(zone, took); changed && r.options.OnRoundTrip != nil {
		r.options.OnRoundTrip(zone, roundTrip)
	}
}

// stillLingering drops the removed workers of a service whose linger period is over and
// returns the others.
func (r *Registry) stillLingering(service string) []lingeringWorker {
	now := r.options.Now()
	return slices.DeleteFunc(r.lingering[service], func(l lingeringWorker) bool { return !now.Before(l.until) })
}

// Revision returns the revision of a worker's current entry; 0: it has none.
func (r *Registry) Revision(id string) uint64 {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if worker, ok := r.byID(id); ok {
		return worker.Record().Revision
	}
	return 0
}

// IDs returns the IDs of all workers, in no particular order.
func (r *Registry) IDs() []string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	ids := make([]string, 0, len(r.workers))
	for _, worker := range r.workers {
		ids = append(ids, worker.id)
	}
	return ids
}

// Workers returns the workers of a service. If it has none, it returns those that were removed
// within lingerPeriod. The slice must not be changed.
func (r *Registry) Workers(service string) []*Worker {
	return r.rosterOf(service).workers
}

// rosterOf returns the workers that Workers returns, as a roster.
func (r *Registry) rosterOf(service string) roster {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if known := r.services[service]; len(known.workers) > 0 {
		return known
	}
	r.lingering[service] = r.stillLingering(service)
	var workers []*Worker
	for _, candidate := range r.lingering[service] {
		workers = append(workers, candidate.worker)
	}
	known := newRoster(workers)
	known.lingering = true
	return known
}

// member returns the worker with a key if it belongs to the service, whose roster is given.
func (r *Registry) member(known roster, service, key string) (*Worker, bool) {
	if known.lingering {
		index := slices.IndexFunc(known.workers, func(w *Worker) bool { return w.key == key })
		if index < 0 {
			return nil, false
		}
		return known.workers[index], true
	}
	worker, ok := r.byKey(key)
	return worker, ok && worker.service == service
}

// Usable reports whether the worker with a key belongs to the service and accepts new work.
func (r *Registry) Usable(service, key string) bool {
	worker, ok := r.byKey(key)
	return ok && worker.service == service && !worker.Leaving()
}
