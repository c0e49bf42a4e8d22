package admission

import (
	"fmt"
	"time"
)

// Load describes how long turns of one urgency queue at a service's workers, as seen by one node over
// the last windowSpan.
type Load struct {
	// New counts first turns of programs that do not return after a refusal. Workers take these last
	// among turns of the same urgency, so they are the first to queue. Others counts all other turns.
	Others, New WaitStats
	Declines    int // turns declined by workers because they were full
	// UnloadedTime is how long a turn takes without queueing; 0 if unknown.
	UnloadedTime time.Duration
	// WorkerFree means that the newest sample is a first event of a new program that did not queue, so that
	// at least one worker has a free slot.
	WorkerFree bool
	// Age is the time since the newest sample of New or Declines; 0 while a turn of a new program is overdue.
	Age time.Duration
	// WasOverloaded means that the queue was overloaded within windowSpan. One sample is then enough to
	// detect overload, since few arrive while first turns are refused.
	WasOverloaded bool
	// Utilization is a report of the workers' utilization over all nodes; nil if there is none.
	Utilization *UtilizationReport
}

// WaitStats summarizes how long turns queued at workers.
type WaitStats struct {
	Events int           // turns whose first event arrived or is overdue
	Waited int           // of these, the turns that queued
	Excess time.Duration // total time that first events took beyond the unloaded time
}

// mean returns the mean excess of a turn, or 0 without events.
func (w WaitStats) mean() time.Duration {
	if w.Events == 0 {
		return 0
	}
	return w.Excess / time.Duration(w.Events)
}

func (w *WaitStats) add(other WaitStats) {
	w.Events += other.Events
	w.Waited += other.Waited
	w.Excess += other.Excess
}

func (w *WaitStats) observe(excess time.Duration, waited bool) {
	w.Events++
	w.Excess += excess
	if waited {
		w.Waited++
	}
}

// String formats the load for a log line. Under first (New) and next (Others) it lists the turns that
// queued, all turns, and the mean excess.
func (l Load) String() string {
	text := fmt.Sprintf("first=%d/%d/%dms next=%d/%d/%dms declines=%d free=%t age_ms=%d",
		l.New.Waited, l.New.Events, l.New.mean().Milliseconds(),
		l.Others.Waited, l.Others.Events, l.Others.mean().Milliseconds(), l.Declines, l.WorkerFree, min(l.Age, time.Hour).Milliseconds())
	if l.Utilization != nil {
		text += fmt.Sprintf(" keeper=%.2f keeper_age_ms=%d", l.Utilization.Share, l.Utilization.Age.Milliseconds())
	}
	return text
}

// UtilizationReport is a report of the utilization of a service's workers.
type UtilizationReport struct {
	Share float64       // share of the workers' slots in use; above 1 if requests queue at workers
	Age   time.Duration // since the report was made
}

// queueWait estimates how long a turn queues at a worker: each multiple of the workers' capacity that
// is queued takes one unloaded turn to clear.
func (u *UtilizationReport) queueWait(unloadedTime time.Duration) time.Duration {
	return time.Duration(max(0, u.Share-fullUtilization) * float64(unloadedTime))
}

// Overloaded reports whether all workers appear to have queues. A recent utilization report takes
// precedence over the node's own samples. Of these, minSamples are required; one is enough if the queue
// was overloaded within windowSpan or if new programs queued for minSamples unloaded turns in all.
// Without evidence the result is false.
func (l Load) Overloaded() bool {
	if l.Utilization != nil && l.Utilization.Age <= MaxUtilizationAge {
		return l.Utilization.Share > fullUtilization
	}
	if l.WorkerFree || l.Age > maxSampleAge {
		return false
	}
	samples := l.New.Events + l.Declines
	enough := samples >= minSamples || samples > 0 && (l.WasOverloaded || l.UnloadedTime > 0 && l.New.Excess >= minSamples*l.UnloadedTime)
	return enough && float64(l.New.Waited+l.Declines) >= overloadedShare*float64(samples)
}

// ExpectedWait estimates the total time that a program with this many turns, beginning now, will queue.
// Each expected decline by a full worker adds minRetryAfter.
func (l Load) ExpectedWait(turns int) time.Duration {
	wait := l.New.mean() + time.Duration(max(0, turns-1))*l.Others.mean()
	if l.Utilization != nil {
		wait = max(wait, time.Duration(max(1, turns))*l.Utilization.queueWait(l.UnloadedTime))
	}
	if l.Declines == 0 {
		return wait
	}
	perTurn := time.Duration(float64(minRetryAfter) * float64(l.Declines) / float64(max(1, l.New.Events+l.Others.Events)))
	return wait + time.Duration(max(1, turns))*perTurn
}

const (
	// windowSpan is how long a sample counts. The span is divided into windowBuckets buckets.
	windowSpan    = 1000 * time.Millisecond
	windowBuckets = 8
	// waitedShare is the excess, as a share of a turn's unloaded time, above which the turn counts as
	// having queued. It is about the slack per turn that callers' deadlines leave.
	waitedShare = 1.0 / 3
)

// bucket holds the samples of one interval of the window.
type bucket struct {
	number      int64 // of the interval, counted from the Unix epoch
	others      WaitStats
	newPrograms WaitStats
	declines    int
	admitted    int // first turns of programs that were admitted
}

// UnloadedTime is how long a turn takes without queueing.
type UnloadedTime struct {
	FirstEvent time.Duration // from sending to the first event
	Total      time.Duration // from arrival to the end
}

// PendingTurn is a turn that was sent to a worker and whose first event has not arrived.
type PendingTurn struct {
	window     *window
	sent       time.Time
	unloaded   UnloadedTime
	newProgram bool
}

// excess returns how long the first event has taken beyond the unloaded time, and whether this counts
// as queueing.
func (s *PendingTurn) excess(now time.Time) (excess time.Duration, waited bool) {
	excess = max(0, now.Sub(s.sent)-s.unloaded.FirstEvent)
	return excess, float64(excess) > waitedShare*float64(s.unloaded.Total)
}

// window holds the samples of one queue over the last windowSpan.
type window struct {
	buckets      [windowBuckets]bucket
	pending      map[*PendingTurn]struct{}
	workerFree   bool
	newestAt     time.Time
	overloadedAt time.Time // when the queue was last found overloaded
	unloadedTime time.Duration
}

// bucketAt returns the bucket of a point in time. A bucket that holds an earlier interval is reset.
func (w *window) bucketAt(now time.Time) *bucket {
	number := now.UnixNano() / int64(windowSpan/windowBuckets)
	b := &w.buckets[number%windowBuckets]
	if b.number != number {
		*b = bucket{number: number}
	}
	return b
}

// firstEvent records the arrival of a turn's first event.
func (w *window) firstEvent(sending *PendingTurn, now time.Time) {
	excess, waited := sending.excess(now)
	if !sending.newProgram {
		w.bucketAt(now).others.observe(excess, waited)
		return
	}
	w.bucketAt(now).newPrograms.observe(excess, waited)
	w.workerFree, w.newestAt = !waited, now
}

// declined records that a full worker declined a turn.
func (w *window) declined(now time.Time) {
	w.bucketAt(now).declines++
	w.workerFree, w.newestAt = false, now
}

// load sums up the window, including pending turns whose first event is overdue. It also returns the
// number of programs admitted within the window.
func (w *window) load(now time.Time) (load Load, admitted int) {
	oldest := now.UnixNano()/int64(windowSpan/windowBuckets) - windowBuckets
	for index := range w.buckets {
		b := &w.buckets[index]
		if b.number <= oldest {
			continue
		}
		load.Others.add(b.others)
		load.New.add(b.newPrograms)
		load.Declines += b.declines
		admitted += b.admitted
	}
	load.WorkerFree, load.Age = w.workerFree, now.Sub(w.newestAt)
	load.UnloadedTime = w.unloadedTime
	load.WasOverloaded = now.Sub(w.overloadedAt) < windowSpan
	for sending := range w.pending {
		excess, waited := sending.excess(now)
		switch {
		case waited && sending.newProgram:
			load.New.observe(excess, true)
			load.Age = 0
		case waited:
			load.Others.observe(excess, true)
		}
	}
	return load, admitted
}
