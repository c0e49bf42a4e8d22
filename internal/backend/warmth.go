package backend

import "time"

// Source is the origin of the information that a worker is cold or warm.
type Source string

// The sources. Their values appear in logs.
const (
	SourceEntry  Source = "row"    // the worker's entry in the worker list
	SourceZone   Source = "zone"   // its zone's evacuation was recently revoked
	SourceHealth Source = "health" // the worker's health response
)

const (
	// minWarmthTTL is how long a worker counts as warm without confirmation by the worker list or its
	// own health response. A healthy list is confirmed at least every 6 s.
	minWarmthTTL = 8 * time.Second
	// warmthTTLJitter is the range of extra time by which nodes differ. When the information has expired,
	// nodes send health checks, and those of 100 nodes at once would overload a cold worker.
	warmthTTLJitter = 8 * time.Second
	// minHealthCheckInterval is the least time between two health checks of a worker by this node.
	minHealthCheckInterval = time.Second
)

// Warmth is what this node has recorded about a worker's cold start.
type Warmth struct {
	Remaining time.Duration // remaining cold start; 0: none
	Source    Source
	Age       time.Duration // time since Source reported it
	// Expired means that the information has expired: the worker may be cold again.
	Expired bool
}

// warmth is the state behind Warmth. Its times are of this process's monotonic clock.
type warmth struct {
	coldUntil       time.Time
	source          Source
	reportedAt      time.Time
	lastHealthCheck time.Time // when this node last sent a health check
	// reopenedRevision is the revision at which the zone's evacuation was revoked. Entries with a lower
	// revision are older than the reopening and are ignored.
	reopenedRevision uint64
}

// updateFromEntry applies an entry that arrived at the given time. Counting the remaining cold start
// from the arrival may prolong it, but never shortens it.
func (w *warmth) updateFromEntry(record Record, now time.Time) {
	if record.Revision <= w.reopenedRevision && w.reopenedRevision > 0 {
		return
	}
	w.coldUntil, w.source, w.reportedAt = now.Add(record.ColdRemaining), SourceEntry, now
}

// updateFromHealth applies the response to a health check that was sent at the given time. It is
// ignored if newer information has arrived meanwhile.
func (w *warmth) updateFromHealth(left time.Duration, sent, now time.Time) {
	if w.reportedAt.After(sent) {
		return
	}
	w.coldUntil, w.source, w.reportedAt = now.Add(left), SourceHealth, now
}

// zoneReopened records that the zone's evacuation was revoked at a revision.
func (w *warmth) zoneReopened(revision uint64, coldStart time.Duration, now time.Time) {
	w.reopenedRevision = max(w.reopenedRevision, revision)
	if until := now.Add(coldStart); until.After(w.coldUntil) {
		w.coldUntil, w.source, w.reportedAt = until, SourceZone, now
	}
}

// Warmth returns whether the worker is cold, and the source and age of that information.
func (r *Registry) Warmth(worker *Worker) Warmth {
	now := r.options.Now()
	worker.mutex.Lock()
	defer worker.mutex.Unlock()
	state := worker.warmth
	warmth := Warmth{Source: state.source, Age: now.Sub(state.reportedAt)}
	left := state.coldUntil.Sub(now)
	expired := now.Sub(state.reportedAt) > r.warmthTTL && now.Sub(r.listConfirmedAt()) > r.warmthTTL
	if left <= 0 && !expired {
		return warmth
	}
	if less, _ := r.options.Cold(worker.record.Service); less {
		warmth.Remaining, warmth.Expired = max(0, left), expired
	}
	return warmth
}

// cold reports whether the worker is cold or may be.
func (r *Registry) cold(worker *Worker) bool {
	warmth := r.Warmth(worker)
	return warmth.Remaining > 0 || warmth.Expired
}

// ListConfirmed records that the worker list was confirmed to be current, even if nothing changed.
func (r *Registry) ListConfirmed() {
	now := r.options.Now()
	r.listConfirmed.Store(&now)
}

// listConfirmedAt returns when the list was last confirmed; zero: never.
func (r *Registry) listConfirmedAt() time.Time {
	if confirmed := r.listConfirmed.Load(); confirmed != nil {
		return *confirmed
	}
	return time.Time{}
}

// BeginHealthCheck reports whether a health check of a worker is due because the information about it
// has expired. If so, it records one as sent. Checks are limited because each takes up worker capacity.
func (r *Registry) BeginHealthCheck(worker *Worker) bool {
	if !r.Warmth(worker).Expired {
		return false
	}
	now := r.options.Now()
	worker.mutex.Lock()
	defer worker.mutex.Unlock()
	if now.Sub(worker.warmth.lastHealthCheck) < minHealthCheckInterval {
		return false
	}
	worker.warmth.lastHealthCheck = now
	return true
}

// ZoneReopened records that the evacuation of a zone was revoked at a revision of the table. The
// zone's workers count as cold until a newer entry replaces that or a cold start has passed. It
// returns their number.
func (r *Registry) ZoneReopened(zone string, revision uint64) (cold int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := r.options.Now()
	for _, worker := range r.workers {
		if worker.zone != zone {
			continue
		}
		worker.mutex.Lock()
		less, start := r.options.Cold(worker.record.Service)
		if worker.record.Revision <= revision && less {
			worker.warmth.zoneReopened(revision, start, now)
			cold++
		}
		worker.mutex.Unlock()
	}
	return cold
}

// ApplyHealth records the response to a health check that was sent at the given time: the worker's
// remaining cold start.
func (r *Registry) ApplyHealth(worker *Worker, left time.Duration, sent time.Time) {
	worker.mutex.Lock()
	defer worker.mutex.Unlock()
	worker.warmth.updateFromHealth(left, sent, r.options.Now())
}
