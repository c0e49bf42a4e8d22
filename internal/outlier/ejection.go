package outlier

import "time"

// An ejected worker receives trial requests only: first a single one, then rounds that double in
// size as long as none fails.
const (
	// initialTrialDelay is the time between an ejection and the first trial.
	initialTrialDelay = 800 * time.Millisecond
	// maxTrialDelay bounds the delay, which doubles with each failed first trial and each relapse.
	maxTrialDelay = 2 * time.Second
	// finalRoundSize is the number of trials in the last round; the worker is readmitted if all
	// succeed.
	finalRoundSize = 4
	// trialTimeout is how long the outcomes of a round are awaited before it is offered again.
	trialTimeout = 1200 * time.Millisecond
	// maxOffers is the maximum number of nodes that each trial is offered to.
	maxOffers = 8
	// outcomeWeight is the smoothing factor of the failure rate over trial outcomes.
	outcomeWeight = 0.3
	// untriedTimeout is how long an ejection lasts without a trial outcome.
	untriedTimeout = 10 * time.Second
	// relapseWindow is how soon after its readmission a worker must be ejected again for the trial
	// delay to double.
	relapseWindow = 10 * time.Second
)

// ejection is the state of an ejected worker.
type ejection struct {
	since       time.Time
	failureRate float64       // at the ejection, then smoothed over trial outcomes
	delay       time.Duration // before a first trial; doubles when that fails
	nextTrial   time.Time     // earliest time of the next trial
	roundSize   int           // number of trials in this round
	succeeded   int           // successful trials in this round
	offered     int           // offers made in this round
	// offersPerTrial is the number of nodes that each trial is offered to. It doubles when no
	// outcome arrives, since a node may have no request suitable for a trial.
	offersPerTrial int
	lastOutcome    time.Time
}

func newEjection(failureRate float64, delay time.Duration, now time.Time) *ejection {
	return &ejection{since: now, failureRate: failureRate, delay: delay, nextTrial: now.Add(delay), roundSize: 1, offersPerTrial: 1, lastOutcome: now}
}

// delayAfter returns the trial delay of a new ejection. last is the delay of the previous one (0
// if none), which ended at readmittedAt.
func delayAfter(last time.Duration, readmittedAt, now time.Time) time.Duration {
	if last == 0 || now.Sub(readmittedAt) > relapseWindow {
		return initialTrialDelay
	}
	return min(2*last, maxTrialDelay)
}

// offerTrial reports whether the calling node may make a trial, and counts the offer.
func (e *ejection) offerTrial(now time.Time) bool {
	if now.Before(e.nextTrial) {
		return false
	}
	if e.offered >= e.roundSize*e.offersPerTrial {
		e.offered = 0 // no outcome arrived in time: offer the round again
		e.offersPerTrial = min(2*e.offersPerTrial, maxOffers)
	}
	e.offered++
	if e.offered >= e.roundSize*e.offersPerTrial {
		e.nextTrial = now.Add(trialTimeout)
	}
	return true
}

// recordOutcome processes trial outcomes and reports whether the worker is readmitted. Requests
// that end while no trial is offered were sent before the ejection or in a failed round; they are
// ignored.
func (e *ejection) recordOutcome(requests, failures int, now time.Time) (readmit bool) {
	if e.offered == 0 || requests == 0 {
		return false
	}
	e.lastOutcome = now
	e.failureRate += outcomeWeight * (ratio(float64(failures), float64(requests)) - e.failureRate)
	if failures > 0 {
		e.restart(now)
		return false
	}
	e.succeeded += requests
	if e.succeeded < e.roundSize {
		return false
	}
	if e.roundSize >= finalRoundSize {
		return true
	}
	e.roundSize, e.offered, e.succeeded = 2*e.roundSize, 0, 0
	e.nextTrial = now
	return false
}

// restart begins a new series of trials after a failure. Only the failure of a first trial
// lengthens the delay. A later one may be chance, since healthy workers fail some requests too;
// the next series then follows after initialTrialDelay.
func (e *ejection) restart(now time.Time) {
	delay := initialTrialDelay
	if e.roundSize == 1 {
		e.delay = min(2*e.delay, maxTrialDelay)
		delay = e.delay
	}
	e.nextTrial = now.Add(delay)
	e.roundSize, e.offered, e.succeeded = 1, 0, 0
}

// isUntried reports whether no trial outcome has arrived for untriedTimeout.
func (e *ejection) isUntried(now time.Time) bool { return now.Sub(e.lastOutcome) > untriedTimeout }
