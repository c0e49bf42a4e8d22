package backend

import (
	"context"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cloverwheel/cloverwheel/internal/httpconn"
	"github.com/cloverwheel/cloverwheel/internal/locality"
	"github.com/cloverwheel/cloverwheel/internal/silence"
)

// Options of a Registry.
type Options struct {
	Zone   string // of this node
	Places *locality.Map
	// Evacuated reports whether a zone's workers must get no new work; nil: none.
	Evacuated func(zone string) bool
	// Cold tells whether cold workers of a service get less than others, and for how long
	// they stay cold when nothing says otherwise. Nil: they get as much.
	Cold        func(service string) (less bool, start time.Duration)
	Node        string // its name; nodes prefer different workers by it
	DialTimeout time.Duration
	Guard       silence.Guard // of the connections to workers
	OnDial      func()
	// OnWay is told how long a round trip to a zone is taken to last, when that is news;
	// may be nil.
	OnWay  func(zone string, roundTrip time.Duration)
	OnLook func() // counts looks whether a worker takes connections; may be nil
	// Dial opens a connection to an address; nil dials by TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Now is the clock; nil is time.Now.
	Now func() time.Time
}

// Idle connections kept to each worker, and how long without a word of it.
const (
	idlePerWorker   = 8
	idleWithoutWord = 4 * time.Second
	// longestIdle is how long one rests where its worker announces as much.
	longestIdle = 15 * time.Second
)

// Registry is the set of workers. It is safe for concurrent use.
type Registry struct {
	options  Options
	vantage  locality.Vantage
	ways     *Ways
	lapse    time.Duration // for how long a word of a worker's warmth counts at this node
	mutex    sync.Mutex
	workers  map[string]*Worker // by key
	keys     map[string]string  // by ID, of workers whose key is another
	services map[string]roster
	vanished map[string][]vanished
	silences map[string]*Silences
	untold   untold
	trials   trials
	lost     chan *Worker              // workers that took no connection
	heard    atomic.Pointer[time.Time] // when the list of workers was last heard of
}

type vanished struct {
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
	vantage := locality.Vantage{Places: options.Places, Zone: options.Zone}
	if options.Cold == nil {
		options.Cold = func(string) (bool, time.Duration) { return false, 0 }
	}
	return &Registry{
		options:  options,
		vantage:  vantage,
		ways:     NewWays(vantage, options.Now),
		lapse:    wordLasts + time.Duration(xxhash.Sum64String(options.Node)%uint64(lapseSpread)),
		workers:  map[string]*Worker{},
		keys:     map[string]string{},
		services: map[string]roster{},
		vanished: map[string][]vanished{},
		silences: map[string]*Silences{},
		untold:   untold{services: map[string]map[*Worker]struct{}{}},
		lost:     make(chan *Worker, lostBacklog),
	}
}

// newWorker is one of which nothing but its entry is known.
func (r *Registry) newWorker(record Record, now time.Time) *Worker {
	worker := &Worker{
		registry: r, id: record.ID, key: record.Key(), service: record.Service, zone: record.Zone,
		distance: r.vantage.To(record.Zone), record: record,
	}
	worker.warmth.learnRow(record, now)
	return worker
}

// byID is the worker of an entry. The caller holds the mutex.
func (r *Registry) byID(id string) (*Worker, bool) {
	key, ok := r.keys[id]
	if !ok {
		key = id
	}
	worker, ok := r.workers[key]
	return worker, ok
}

// worker is the worker of an entry.
func (r *Registry) worker(id string) (*Worker, bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.byID(id)
}

// Knows reports whether the list has an entry of an ID, as far as this node keeps it.
func (r *Registry) Knows(id string) bool {
	_, ok := r.worker(id)
	return ok
}

// KnowsKey reports whether the worker of a key is on the list, as far as this node keeps it.
func (r *Registry) KnowsKey(key string) bool {
	_, ok := r.byKey(key)
	return ok
}

// Len is how many workers are on the list, as far as this node keeps it.
func (r *Registry) Len() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return len(r.workers)
}

// Count is how many workers of a service are on the list, as far as this node keeps it.
func (r *Registry) Count(service string) int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return len(r.services[service].workers)
}

// byKey is the worker of a key.
func (r *Registry) byKey(key string) (*Worker, bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	worker, ok := r.workers[key]
	return worker, ok
}

func (r *Registry) pool(record Record) *httpconn.Pool {
	address := record.Address
	options := httpconn.Options{
		Address:     address,
		OnConnected: func(took time.Duration) { r.noteConnected(record.Zone, took) },
		DialTimeout: r.options.DialTimeout,
		MaxIdle:     idlePerWorker,
		IdleTimeout: idleWithoutWord,
		Guard:       r.options.Guard,
		LongestIdle: longestIdle,
		OnDial:      r.options.OnDial,
		OnLook:      r.options.OnLook,
	}
	if r.options.Dial != nil {
		options.Dial = func(ctx context.Context) (net.Conn, error) { return r.options.Dial(ctx, address) }
	}
	return httpconn.NewPool(options)
}

// noteConnected takes in how long a connection to a zone took to open.
func (r *Registry) noteConnected(zone string, took time.Duration) {
	if roundTrip, news := r.ways.Observe(zone, took); news && r.options.OnWay != nil {
		r.options.OnWay(zone, roundTrip)
	}
}

// stillLingering drops the vanished workers of a service whose time is over and
// returns the others.
func (r *Registry) stillLingering(service string) []vanished {
	now := r.options.Now()
	return slices.DeleteFunc(r.vanished[service], func(v vanished) bool { return !now.Before(v.until) })
}

// Revision is that of a worker's entry, as it was last taken over; 0: it has none.
func (r *Registry) Revision(id string) uint64 {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if worker, ok := r.byID(id); ok {
		return worker.Record().Revision
	}
	return 0
}

// IDs lists all workers.
func (r *Registry) IDs() []string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	ids := make([]string, 0, len(r.workers))
	for _, worker := range r.workers {
		ids = append(ids, worker.id)
	}
	return ids
}

// Of lists the workers of a service, or those that vanished a moment ago when it
// has no other. The slice must not be changed.
func (r *Registry) Of(service string) []*Worker {
	return r.of(service).workers
}

// of is Of with what is known of where the workers stand.
func (r *Registry) of(service string) roster {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if known := r.services[service]; len(known.workers) > 0 {
		return known
	}
	r.vanished[service] = r.stillLingering(service)
	var workers []*Worker
	for _, candidate := range r.vanished[service] {
		workers = append(workers, candidate.worker)
	}
	known := newRoster(workers)
	known.lingering = true
	return known
}

// member is the worker of a key, if it is one of a service's, whose roster is known.
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

// Has reports whether the worker of a key is one of the service's and takes new work.
func (r *Registry) Has(service, key string) bool {
	worker, ok := r.byKey(key)
	return ok && worker.service == service && !worker.Leaving()
}
