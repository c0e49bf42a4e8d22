package history

import (
	"time"

	"github.com/apex/log"
)

// throttlingTime is how long the table counts as throttling after it has throttled a read.
const throttlingTime = 2 * time.Second

// throttling is a time in which the table throttles reads. The zero value is none.
type throttling struct {
	since time.Time // when the table first throttled a read
	last  time.Time // when it last did
	reads int       // that were throttled
}

// add counts a read that was throttled now. It reports whether it is the first.
func (t *throttling) add(now time.Time) (first bool) {
	if t.reads == 0 {
		t.since = now
	}
	t.last = now
	t.reads++
	return t.reads == 1
}

// lasts reports whether the table has throttled a read lately.
func (t *throttling) lasts(now time.Time) bool {
	return t.reads > 0 && now.Sub(t.last) <= throttlingTime
}

// logEnd logs the end of a time in which reads were throttled; none: nothing.
func (t *throttling) logEnd(logger log.Interface) {
	if t.reads > 0 {
		logger.WithField("after_ms", time.Since(t.since).Milliseconds()).WithField("throttled", t.reads).
			Info("no conversation waits to be read any more")
	}
}
