package backend

import (
	"slices"
	"time"

	"github.com/cloverwheel/cloverwheel/internal/locality"
	"github.com/cloverwheel/cloverwheel/internal/permit"
)

// Reason is why a request goes to a worker of another region.
type Reason string

// The reasons. The zero value is that of requests that stay in their region.
const (
	ReasonHome Reason = "home" // the worker knows the request's context
	ReasonFull Reason = "full" // no worker of the region can take it now
	ReasonNone Reason = "none" // the region has no worker of the service that may get it
	// ReasonFree: a worker of the region could have taken it. It should not occur but where
	// one became free a moment ago, or where a request goes on at the worker that ran it.
	ReasonFree Reason = "free"
)

// Way tells how far a request goes to a worker, and why if that is another region.
func (r *Registry) Way(worker *Worker, query Query) (locality.Distance, Reason) {
	distance := worker.distance
	if distance != locality.OtherRegion {
		return distance, ""
	}
	known := r.of(query.Service)
	near := known.workers[:known.region]
	switch {
	case query.Home == worker.key:
		return distance, ReasonHome
	case !slices.ContainsFunc(near, func(w *Worker) bool { return !r.Check(w, query.Regions).Refused() }):
		return distance, ReasonNone
	case r.anyFree(near, query):
		return distance, ReasonFree
	default:
		return distance, ReasonFull
	}
}

// RoundTrip is how long a message to a worker and its answer are taken to last; 0 in the
// node's zone.
func (r *Registry) RoundTrip(worker *Worker) time.Duration { return r.ways.RoundTrip(worker.zone) }

// homeNearby is the worker that knows a request's context, if it is of this node's region.
// One of another region is compared by its way and by what others must read again, and by
// nothing else: a program that stays there pays the way for each of its turns.
func (r *Registry) homeNearby(query Query) string {
	if home, ok := r.byKey(query.Home); ok && home.distance == locality.OtherRegion {
		return ""
	}
	return query.Home
}

// anyFree reports whether some worker can take a request now, as far as this node knows.
func (r *Registry) anyFree(workers []*Worker, query Query) bool {
	now := r.options.Now()
	return slices.ContainsFunc(workers, func(w *Worker) bool {
		return w.free(now) && !slices.Contains(query.Exclude, w.key) && r.Check(w, query.Regions) == permit.Allowed
	})
}

// free reports whether the worker is not known to be full, nor avoided.
func (w *Worker) free(now time.Time) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	hasPlace := w.record.Slots == 0 || w.running < w.record.Slots
	return hasPlace && !w.gone && !now.Before(w.busyUntil) && !now.Before(w.avoidUntil)
}
