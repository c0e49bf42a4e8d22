package store

import (
	"context"
	"sync"
	"time"
)

const (
	// sightingGap is the least time between two sightings that are kept, apart from the newest.
	sightingGap = 10 * time.Millisecond
	// maxSightings is the number of sightings that are kept: of the last 2.5 s at least.
	maxSightings = 512
	// maxClockDrift is how much the clocks of the table and of this node may differ in rate.
	maxClockDrift = 0.001
	// clockResolution is the resolution of the table's clock.
	clockResolution = time.Millisecond
)

// Timeline is a Store that knows times before which versions of the table were not committed. An answer that names the table's newest version
// proves that no later version had been committed when the call was sent. If the answer also names the table's clock, it proves the same for
// the moment at which the table read it, which matters for calls that wait: that moment is derived from the other calls, of which the table
// read its clock after they were sent.
type Timeline struct {
	Store

	mutex sync.Mutex
	seen  []sighting // versions and times ascend
	// The table's clock was zero at clockZero or later, as derived from an answer that arrived at clockRead. Zero: no answer has named it.
	clockZero time.Time
	clockRead time.Time
}

// sighting is a time at which, or after which, a version was still the newest.
type sighting struct {
	version Version
	at      time.Time
}

// NewTimeline returns a Timeline of the calls to table that are made through it.
func NewTimeline(table Store) *Timeline { return &Timeline{Store: table} }

// Commit implements Store.
func (t *Timeline) Commit(ctx context.Context, transaction Transaction) (Version, error) {
	sent := time.Now()
	version, err := t.Store.Commit(ctx, transaction)
	if err == nil {
		t.observe(sent, time.Now(), Page{Version: version})
	}
	return version, err
}

// Range implements Store.
func (t *Timeline) Range(ctx context.Context, table, part, from, to string, limit int) (Page, error) {
	sent := time.Now()
	page, err := t.Store.Range(ctx, table, part, from, to, limit)
	if err == nil {
		t.observe(sent, time.Now(), page)
	}
	return page, err
}

// Watch implements Store.
func (t *Timeline) Watch(ctx context.Context, table string, after Version, wait time.Duration) (Page, error) {
	sent := time.Now()
	page, err := t.Store.Watch(ctx, table, after, wait)
	if err == nil {
		t.observe(sent, time.Now(), page)
	}
	return page, err
}

// NotCommittedBefore returns the latest known time before which a version was not committed; ok is false if none is known.
func (t *Timeline) NotCommittedBefore(version Version) (earliest time.Time, ok bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for index := len(t.seen) - 1; index >= 0; index-- {
		if t.seen[index].version < version {
			return t.seen[index].at, true
		}
	}
	return time.Time{}, false
}

// observe records the answer to a call.
func (t *Timeline) observe(sent, received time.Time, page Page) {
	if page.Version == 0 {
		return
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.add(sighting{version: page.Version, at: t.readAt(sent, received, page.Clock)})
}

// readAt returns a time at which, or after which, the table made an answer. clock is what the answer names of the table's clock; 0: nothing.
// The caller holds the mutex.
func (t *Timeline) readAt(sent, received time.Time, clock time.Duration) time.Time {
	if clock <= 0 {
		return sent
	}
	clock -= clockResolution
	zero := sent.Add(-clock)
	known := t.clockZero.Add(-time.Duration(maxClockDrift * float64(received.Sub(t.clockRead))))
	if t.clockZero.IsZero() || zero.After(known) || known.Add(clock).After(received) { // in the last case it is another clock
		t.clockZero, t.clockRead = zero, received
		return sent
	}
	return known.Add(clock)
}

// add adds a sighting and drops those from which no more follows. The caller holds the mutex.
func (t *Timeline) add(next sighting) {
	keep := len(t.seen)
	for keep > 0 && t.seen[keep-1].version >= next.version && !t.seen[keep-1].at.After(next.at) {
		keep--
	}
	t.seen = t.seen[:keep]
	if keep > 0 && !t.seen[keep-1].at.Before(next.at) {
		return // an earlier version was the newest later than that
	}
	if keep > 1 && next.at.Sub(t.seen[keep-2].at) < sightingGap {
		t.seen = t.seen[:keep-1]
	}
	if len(t.seen) >= maxSightings {
		t.seen = append(t.seen[:0], t.seen[1:]...)
	}
	t.seen = append(t.seen, next)
}
