package capacity

import (
	"maps"
	"time"
)

const (
	// missesToSuspect is the number of consecutive queries without an answer after which a
	// coordinator is skipped. A single message may be lost.
	missesToSuspect = 2
	// initialBackoff and maxBackoff bound the time for which a suspected coordinator receives nothing.
	// After that a report without a query probes it.
	initialBackoff = 500 * time.Millisecond
	maxBackoff     = 4 * time.Second
	// suspectTTL is how long an entry is kept after its last backoff ended.
	suspectTTL = time.Minute
)

// suspects are the coordinators that failed to answer, by process name. The type reads no clock.
type suspects map[string]*suspect

type suspect struct {
	misses  int           // consecutive misses; a conclusive one counts as missesToSuspect
	backoff time.Duration // 0: not suspected yet
	retryAt time.Time     // when the backoff ends
}

// recordMiss records that a process did not answer; if conclusive, one miss suffices to suspect it. It
// reports whether the process is newly suspected.
func (s suspects) recordMiss(process string, conclusive bool, now time.Time) (changed bool) {
	maps.DeleteFunc(s, func(_ string, entry *suspect) bool { return now.Sub(entry.retryAt) > suspectTTL })
	entry, ok := s[process]
	if !ok {
		entry = &suspect{retryAt: now}
		s[process] = entry
	}
	entry.misses++
	if conclusive {
		entry.misses = max(entry.misses, missesToSuspect)
	}
	if entry.misses < missesToSuspect || now.Before(entry.retryAt) {
		return false
	}
	changed = entry.backoff == 0
	entry.backoff = min(max(2*entry.backoff, initialBackoff), maxBackoff)
	entry.retryAt = now.Add(entry.backoff)
	return changed
}

// recordAnswer clears a process that answered and reports whether it was suspected.
func (s suspects) recordAnswer(process string) (changed bool) {
	entry, ok := s[process]
	delete(s, process)
	return ok && entry.backoff > 0
}

// suspected reports whether queries have to skip a process. They do so even after the
// backoff, until the process answers or its entry expires.
func (s suspects) suspected(process string) bool {
	entry, ok := s[process]
	return ok && entry.backoff > 0
}

// inBackoff reports whether a process must not be probed with a report either.
func (s suspects) inBackoff(process string, now time.Time) bool {
	return s.suspected(process) && now.Before(s[process].retryAt)
}
