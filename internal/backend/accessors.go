package backend

import (
	"slices"
	"time"

	"github.com/cloverwheel/cloverwheel/internal/eligibility"
	"github.com/cloverwheel/cloverwheel/internal/locality"
)

// ID returns the worker's ID in the worker list.
func (w *Worker) ID() string { return w.id }

// Zone returns the worker's zone.
func (w *Worker) Zone() string { return w.zone }

// Service returns the worker's service.
func (w *Worker) Service() string { return w.service }

// SoftwareVersion returns the version of the worker's software.
func (w *Worker) SoftwareVersion() string { return w.version }

// Serves reports whether a service has a worker to which a request may be sent now, among those that Workers returns.
func (r *Registry) Serves(service string, request eligibility.Request) bool {
	return slices.ContainsFunc(r.Workers(service), func(worker *Worker) bool { return !r.Check(worker, request).Refused() })
}

// SoftwareVersions returns the software versions of the workers of a service that Workers returns, each once. The
// slice must not be changed.
func (r *Registry) SoftwareVersions(service string) []string { return r.rosterOf(service).versions }

// AddressTaken reports whether a worker of the same service that started later is listed with the worker's address, so that this one
// has ended.
func (r *Registry) AddressTaken(worker *Worker) bool {
	own := worker.Record()
	return slices.ContainsFunc(r.rosterOf(worker.service).workers, func(other *Worker) bool {
		listed := other.Record()
		return listed.Address == own.Address && own.precedes(listed)
	})
}

// WorkersInZone returns the listed workers of a service that are in a zone.
func (r *Registry) WorkersInZone(service, zone string) []*Worker {
	r.mutex.Lock()
	known := r.services[service]
	r.mutex.Unlock()
	var found []*Worker
	for _, worker := range known.workers {
		if worker.zone == zone {
			found = append(found, worker)
		}
	}
	return found
}

// Zones returns the zones in which a service has workers or has had them. The slice must not be
// changed.
func (r *Registry) Zones(service string) []string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.services[service].zones
}

// WorkerByKey returns the listed worker with a key.
func (r *Registry) WorkerByKey(key string) (*Worker, bool) { return r.byKey(key) }

// Available reports whether a worker may get any request that its region may serve: it is neither draining
// nor cold, and its zone is not evacuated.
func (r *Registry) Available(worker *Worker) bool {
	return r.Check(worker, eligibility.Request{}) == eligibility.Allowed
}

// RoundTripTo returns the estimated round trip to a zone; 0 for the node's own zone.
func (r *Registry) RoundTripTo(zone string) time.Duration { return r.roundTrips.RoundTrip(zone) }

// Avoided reports whether the worker is being avoided after failures or a refusal at this node, or is
// ejected by the verdict of all nodes.
func (w *Worker) Avoided(now time.Time) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return now.Before(w.busyUntil) || w.failing(now)
}

// Failing reports whether the worker is being avoided after failures at this node, or is ejected by the verdict of all nodes. One that
// has just refused a request for lack of capacity is not failing.
func (w *Worker) Failing(now time.Time) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.failing(now)
}

// failing is Failing. The caller holds the mutex.
func (w *Worker) failing(now time.Time) bool { return now.Before(w.avoidUntil) || w.ejected(now) }

// ZoneFilter returns a function that reports whether a zone's workers may get a request that may be served in
// the given regions.
func (r *Registry) ZoneFilter(regions locality.Regions) func(zone string) bool {
	return func(zone string) bool { return !r.zoneVerdict(zone, regions).Refused() }
}
