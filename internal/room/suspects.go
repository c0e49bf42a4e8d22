package room

import (
	"maps"
	"time"
)

const (
	// missesToSuspect is how many questions in a row go unanswered before a keeper is passed over:
	// one may be lost.
	missesToSuspect = 2
	// firstPause and longestPause bound how long a suspect is told nothing. Then a report tries
	// it, for which nobody waits.
	firstPause   = 500 * time.Millisecond
	longestPause = 4 * time.Second
	// forgetSuspect is after how long one is forgotten that nobody names any more.
	forgetSuspect = time.Minute
)

// suspects are the keepers that do not answer. It knows no clock.
type suspects map[string]*suspect

type suspect struct {
	misses int
	pause  time.Duration
	until  time.Time
}

// missed notes that a process did not answer. It reports whether it is passed over from now on that
// was not before.
func (s suspects) missed(process string, sure bool, now time.Time) (news bool) {
	maps.DeleteFunc(s, func(_ string, known *suspect) bool { return now.Sub(known.until) > forgetSuspect })
	known, ok := s[process]
	if !ok {
		known = &suspect{until: now}
		s[process] = known
	}
	known.misses++
	if sure {
		known.misses = max(known.misses, missesToSuspect)
	}
	if known.misses < missesToSuspect || now.Before(known.until) {
		return false
	}
	news = known.pause == 0
	known.pause = min(max(2*known.pause, firstPause), longestPause)
	known.until = now.Add(known.pause)
	return news
}

// heard notes that a process answered. It reports whether it was passed over.
func (s suspects) heard(process string) (news bool) {
	known, ok := s[process]
	delete(s, process)
	return ok && known.pause > 0
}

// passedOver reports whether no request may wait for a process.
func (s suspects) passedOver(process string) bool {
	known, ok := s[process]
	return ok && known.pause > 0
}

// untried reports whether a process must not be told either.
func (s suspects) untried(process string, now time.Time) bool {
	return s.passedOver(process) && now.Before(s[process].until)
}
