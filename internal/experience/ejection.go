package experience

import "time"

// An ejected worker gets no requests but trials. These come singly first, then in rounds that
// double while none fails.
const (
	// firstWait is how long after its ejection a worker is first tried.
	firstWait = 800 * time.Millisecond
	// longestWait is how long a worker that failed again and again goes untried.
	longestWait = 2 * time.Second
	// lastRound is how many trials the last round has; the worker is back if all are sound.
	lastRound = 4
	// trialLasts is how long the outcome of a trial may take to be told.
	trialLasts = 1200 * time.Millisecond
	// mostPermits is to how many nodes each trial is offered at most.
	mostPermits = 8
	// outcomeWeight is that of the newest outcome in a worker's share of failures.
	outcomeWeight = 0.3
	// untried is after how long a worker is back that nobody has tried.
	untried = 10 * time.Second
	// relapse is how soon after its return a worker must fail for that to count as the same trouble.
	relapse = 10 * time.Second
)

// ejection is a worker's time without requests.
type ejection struct {
	since  time.Time
	share  float64       // of failures; that when it began, and then by its trials
	wait   time.Duration // after a failed trial
	next   time.Time     // when the next trial may be handed out
	round  int           // trials of this round
	sound  int           // of them, those that went well
	handed int           // permits for them that were handed out
	// permits is to how many nodes a trial is offered: more than one if those to which it was
	// offered had no request that may make it.
	permits int
	heard   time.Time // of the last outcome
}

func newEjection(share float64, wait time.Duration, now time.Time) *ejection {
	return &ejection{since: now, share: share, wait: wait, next: now.Add(wait), round: 1, permits: 1, heard: now}
}

// waitAfter is how long a worker waits for its first trial, given its last ejection.
func waitAfter(last time.Duration, back, now time.Time) time.Duration {
	if last == 0 || now.Sub(back) > relapse {
		return firstWait
	}
	return min(2*last, longestWait)
}

// hand reports whether the asker may make a trial.
func (e *ejection) hand(now time.Time) bool {
	if now.Before(e.next) {
		return false
	}
	if e.handed >= e.round*e.permits {
		e.handed = 0 // outcomes have not come
		e.permits = min(2*e.permits, mostPermits)
	}
	e.handed++
	if e.handed >= e.round*e.permits {
		e.next = now.Add(trialLasts)
	}
	return true
}

// outcome takes in how trials ended. It reports whether the worker is back. Requests that end while
// no trial is under way were sent before the ejection, or belong to a round that has failed.
func (e *ejection) outcome(requests, failures int, now time.Time) (back bool) {
	if e.handed == 0 || requests == 0 {
		return false
	}
	e.heard = now
	e.share += outcomeWeight * (share(float64(failures), float64(requests)) - e.share)
	if failures > 0 {
		e.failed(now)
		return false
	}
	e.sound += requests
	if e.sound < e.round {
		return false
	}
	if e.round >= lastRound {
		return true
	}
	e.round, e.handed, e.sound = 2*e.round, 0, 0
	e.next = now
	return false
}

// failed begins anew. The failure of a first trial lengthens the wait for the next one; one after
// sound ones may be chance, as any worker fails a few requests.
func (e *ejection) failed(now time.Time) {
	next := firstWait
	if e.round == 1 {
		e.wait = min(2*e.wait, longestWait)
		next = e.wait
	}
	e.next = now.Add(next)
	e.round, e.handed, e.sound = 1, 0, 0
}

// forgotten reports whether nobody tries the worker.
func (e *ejection) forgotten(now time.Time) bool { return now.Sub(e.heard) > untried }
