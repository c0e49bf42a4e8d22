package backend

import "time"

// Source says by whose word a worker is cold or warm.
type Source string

// The sources.
const (
	SourceRow    Source = "row"    // the worker's entry in the list
	SourceZone   Source = "zone"   // its zone was evacuated until a moment ago
	SourceHealth Source = "health" // its own answer
)

const (
	// wordLasts is for how long a worker counts as warm without a word of the list of workers
	// or its own. The list answers within 6 s where nothing changes and all is well.
	wordLasts = 8 * time.Second
	// lapseSpread is how much longer it may count at some nodes: each of them asks workers how they
	// are once it has lapsed, and 100 nodes at once are more than a cold worker bears.
	lapseSpread = 8 * time.Second
	// askPause is the least time between two questions to a worker how it is.
	askPause = time.Second
)

// Warmth is what is known of whether a worker is cold.
type Warmth struct {
	Left   time.Duration // for how much longer it is taken to be cold; 0: it is warm
	Source Source
	Age    time.Duration // since that was learnt
	// Lapsed says that nothing was heard for so long that it may be cold again.
	Lapsed bool
}

// warmth is until when a worker is taken to be cold, by this process's steady clock.
type warmth struct {
	until  time.Time
	source Source
	learnt time.Time
	asked  time.Time // when the worker was last asked how it is
	// reopened is the revision at which its zone's evacuation was taken back: an entry
	// that is older does not tell what has become of the worker meanwhile.
	reopened uint64
}

// learnRow takes in an entry of the list that arrived at a moment. What is left is counted
// from its arrival: that is later than the worker meant, never earlier.
func (w *warmth) learnRow(record Record, now time.Time) {
	if record.Revision <= w.reopened && w.reopened > 0 {
		return
	}
	w.until, w.source, w.learnt = now.Add(record.ColdLeft), SourceRow, now
}

// learnHealth takes in the worker's answer to a question sent at a moment. What is known
// from after the question stays.
func (w *warmth) learnHealth(left time.Duration, sent, now time.Time) {
	if w.learnt.After(sent) {
		return
	}
	w.until, w.source, w.learnt = now.Add(left), SourceHealth, now
}

// reopen takes in that the worker's zone may get work again.
func (w *warmth) reopen(revision uint64, coldStart time.Duration, now time.Time) {
	w.reopened = max(w.reopened, revision)
	if until := now.Add(coldStart); until.After(w.until) {
		w.until, w.source, w.learnt = until, SourceZone, now
	}
}

// Warmth tells what is known of whether the worker is cold.
func (r *Registry) Warmth(worker *Worker) Warmth {
	now := r.options.Now()
	worker.mutex.Lock()
	defer worker.mutex.Unlock()
	known := worker.warmth
	warmth := Warmth{Source: known.source, Age: now.Sub(known.learnt)}
	left := known.until.Sub(now)
	lapsed := now.Sub(known.learnt) > r.lapse && now.Sub(r.heardAt()) > r.lapse
	if left <= 0 && !lapsed {
		return warmth
	}
	if less, _ := r.options.Cold(worker.record.Service); less {
		warmth.Left, warmth.Lapsed = max(0, left), lapsed
	}
	return warmth
}

// cold reports whether a worker is not known to be warm.
func (r *Registry) cold(worker *Worker) bool {
	warmth := r.Warmth(worker)
	return warmth.Left > 0 || warmth.Lapsed
}

// Heard notes that the list of workers was heard of, be it without news.
func (r *Registry) Heard() {
	now := r.options.Now()
	r.heard.Store(&now)
}

// heardAt is when the list was last heard of.
func (r *Registry) heardAt() time.Time {
	if heard := r.heard.Load(); heard != nil {
		return *heard
	}
	return time.Time{}
}

// MayAskHealth reports whether a worker whose word has lapsed may be asked how it is now,
// and notes that it is: few ask, since a worker's answer takes a place of a request.
func (r *Registry) MayAskHealth(worker *Worker) bool {
	if !r.Warmth(worker).Lapsed {
		return false
	}
	now := r.options.Now()
	worker.mutex.Lock()
	defer worker.mutex.Unlock()
	if now.Sub(worker.warmth.asked) < askPause {
		return false
	}
	worker.warmth.asked = now
	return true
}

// ZoneReopened notes that the evacuation of a zone was taken back at a revision of the
// table: its workers are taken to be cold until an entry that is newer says otherwise, or
// a cold start is over. It returns how many are.
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
			worker.warmth.reopen(revision, start, now)
			cold++
		}
		worker.mutex.Unlock()
	}
	return cold
}

// NoteHealth notes what a worker answered to a question of its health sent at a moment:
// for how much longer it is cold.
func (r *Registry) NoteHealth(worker *Worker, left time.Duration, sent time.Time) {
	worker.mutex.Lock()
	defer worker.mutex.Unlock()
	worker.warmth.learnHealth(left, sent, r.options.Now())
}
