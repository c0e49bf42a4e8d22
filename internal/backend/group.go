package backend

import (
	"time"

	"github.com/cloverwheel/cloverwheel/internal/locality"
	"github.com/cloverwheel/cloverwheel/internal/permit"
)

// ID names the worker's entry in the list.
func (w *Worker) ID() string { return w.id }

// Zone is where the worker stands.
func (w *Worker) Zone() string { return w.zone }

// Service is whose worker it is.
func (w *Worker) Service() string { return w.service }

// OfZone lists the workers of a service on the list that stand in a zone.
func (r *Registry) OfZone(service, zone string) []*Worker {
	r.mutex.Lock()
	known := r.services[service]
	r.mutex.Unlock()
	var there []*Worker
	for _, worker := range known.workers {
		if worker.zone == zone {
			there = append(there, worker)
		}
	}
	return there
}

// ZonesOf lists the zones in which workers of a service stand or have stood. The slice must not be
// changed.
func (r *Registry) ZonesOf(service string) []string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.services[service].zones
}

// WorkerOf is the worker of a key on the list.
func (r *Registry) WorkerOf(key string) (*Worker, bool) { return r.byKey(key) }

// Takes reports whether a worker may get any request that its region may serve.
func (r *Registry) Takes(worker *Worker) bool { return r.Check(worker, nil) == permit.Allowed }

// RoundTripTo is how long a message to a zone and its answer are taken to last; 0 to the node's.
func (r *Registry) RoundTripTo(zone string) time.Duration { return r.ways.RoundTrip(zone) }

// Shunned reports whether this node has just seen the worker fail, or heard that it is full, or all
// nodes together keep requests from it.
func (w *Worker) Shunned(now time.Time) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return now.Before(w.avoidUntil) || now.Before(w.busyUntil) || w.ejected(now)
}

// Opens returns whether a zone's workers may get a request that may be served in regions.
func (r *Registry) Opens(regions locality.Regions) func(zone string) bool {
	return func(zone string) bool { return !r.zoneVerdict(zone, regions).Refused() }
}
