package backend

import (
	"slices"
	"time"

	"github.com/cloverwheel/cloverwheel/internal/eligibility"
	"github.com/cloverwheel/cloverwheel/internal/locality"
)

// CrossRegionReason is why a request goes to a worker of another region.
type CrossRegionReason string

// The reasons. A request that stays in its region has none (the zero value).
const (
	ReasonHome CrossRegionReason = "home" // the worker has the request's context cached
	ReasonFull CrossRegionReason = "full" // no worker of the region is available now: at capacity, avoided, cold or excluded
	ReasonNone CrossRegionReason = "none" // the region has no worker of the service that may get the request
	// ReasonFree means that a worker of the region was available. It is expected only when one became
	// available a moment ago, or when a request resumes at the worker that ran it.
	ReasonFree CrossRegionReason = "free"
)

// Distance returns the distance to a worker and, if it is in another region, the reason for choosing it.
func (r *Registry) Distance(worker *Worker, query Query) (locality.Distance, CrossRegionReason) {
	distance := worker.distance
	if distance != locality.OtherRegion {
		return distance, ""
	}
	known := r.rosterOf(query.Service)
	inRegion := known.workers[:known.sameRegion]
	switch {
	case query.Home == worker.key:
		return distance, ReasonHome
	case !slices.ContainsFunc(inRegion, func(w *Worker) bool { return !r.Check(w, query.request()).Refused() }):
		return distance, ReasonNone
	case r.anyFree(inRegion, query):
		return distance, ReasonFree
	default:
		return distance, ReasonFull
	}
}

// RoundTrip returns the estimated round trip to a worker; 0 for one in the node's own zone.
func (r *Registry) RoundTrip(worker *Worker) time.Duration {
	return r.roundTrips.RoundTrip(worker.zone)
}

// homeInRegion returns the worker that has the request's context cached if it is in this node's region.
// A worker of another region is compared only by its round trip and saved prefill, since a program
// that stays there pays the round trip for each of its turns.
func (r *Registry) homeInRegion(query Query) string {
	if home, ok := r.byKey(query.Home); ok && home.distance == locality.OtherRegion {
		return ""
	}
	return query.Home
}

// anyFree reports whether, by this node's information, some worker can take the request now. Workers
// that are excluded, cold or not permitted to get the request do not count.
func (r *Registry) anyFree(workers []*Worker, query Query) bool {
	now := r.options.Now()
	return slices.ContainsFunc(workers, func(w *Worker) bool {
		return w.free(now) && !slices.Contains(query.Exclude, w.key) && r.Check(w, query.request()) == eligibility.Allowed
	})
}

// free reports whether the worker is listed, below capacity and not avoided, by this node's information.
func (w *Worker) free(now time.Time) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	hasCapacity := w.record.Slots == 0 || w.running < w.record.Slots
	return hasCapacity && !w.removed && !now.Before(w.busyUntil) && !now.Before(w.avoidUntil)
}
