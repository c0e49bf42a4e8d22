package backend

import (
	"cmp"
	"slices"
	"time"
)

// sendMargin is how long before a draining worker may stop serving the last request is sent to it: opening a connection and the way there
// take time.
const sendMargin = 300 * time.Millisecond

// DrainOptions tell how long a draining worker serves.
type DrainOptions struct {
	// Period is how long a worker serves after the worker list has accepted that it is draining.
	Period time.Duration
	// NotListedBefore returns a time before which the list did not have the entry of a revision; ok is false if none is known.
	NotListedBefore func(revision uint64) (earliest time.Time, ok bool)
}

// updateDraining updates until when the worker may get requests although it is draining. That is known only if the new entry is the first
// with which it drains: if anything else has changed as well, an earlier one may have been missed. The caller holds the mutex.
func (w *Worker) updateDraining(next Record) {
	if !next.Draining {
		w.servesUntil = time.Time{}
		return
	}
	ready := w.record
	ready.Draining, ready.Revision = true, next.Revision
	if w.record.Draining || next != ready {
		return
	}
	drain := w.registry.options.Drain
	if drain.NotListedBefore == nil {
		return
	}
	if begun, ok := drain.NotListedBefore(next.Revision); ok {
		w.servesUntil = begun.Add(drain.Period - sendMargin)
	}
}

// ServesWhileDraining reports whether the worker is draining and is known to serve what is sent to it now.
func (w *Worker) ServesWhileDraining() bool { return w.DrainTimeLeft() > 0 }

// DrainTimeLeft returns how much longer requests may be sent to the worker while it is draining; 0: they may not be, or it is not draining.
func (w *Worker) DrainTimeLeft() time.Duration {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.removed || w.servesUntil.IsZero() {
		return 0
	}
	return max(0, w.servesUntil.Sub(w.registry.options.Now()))
}

// ChooseDraining picks a draining worker for a request that no other worker can serve: those that are not draining are excluded or failing,
// or may not get the request. It returns nil if there is another one, or if no draining worker serves any more. Draining workers that this
// node avoids come last, and the one that has the request's context cached first.
func (r *Registry) ChooseDraining(query Query) *Worker {
	request := query.request()
	request.AcceptsDraining = true
	now := r.options.Now()
	known := r.rosterOf(query.Service)
	permitted := known.workers
	if len(query.Only) > 0 {
		permitted = r.allowed(known, query)
	}
	var serving []*Worker
	for _, worker := range permitted {
		switch {
		case r.Check(worker, request).Refused() || slices.Contains(query.Exclude, worker.key):
		case worker.ServesWhileDraining():
			serving = append(serving, worker)
		case !worker.Failing(now):
			return nil
		}
	}
	if len(serving) == 0 {
		return nil
	}
	return slices.MinFunc(serving, func(a, b *Worker) int {
		return cmp.Or(
			compareFalseFirst(a.Avoided(now), b.Avoided(now)),
			compareFalseFirst(a.key != query.Home, b.key != query.Home),
			cmp.Compare(a.runningRequests(), b.runningRequests()),
			cmp.Compare(b.DrainTimeLeft(), a.DrainTimeLeft()),
		)
	})
}

// compareFalseFirst orders false before true.
func compareFalseFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}

// runningRequests returns the number of this node's requests that are running at the worker.
func (w *Worker) runningRequests() int {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.running
}
