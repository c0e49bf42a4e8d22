package quarantine

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cloverwheel/cloverwheel/internal/timing"
)

// maxEntries is the number of keys that a node remembers, about 1 MB of memory. A worker that ends with 16 requests adds up to 48.
const maxEntries = 10_000

// sweepPeriod is the least time between removals of lapsed entries.
const sweepPeriod = time.Second

// Tracker holds what this node knows of suspected and quarantined work. It is safe for concurrent use.
type Tracker struct {
	// onChange is called with what this node has changed, without the mutex; nil: nobody is told.
	onChange func(changes)
	// flush waits until other nodes know of the changes; nil likewise.
	flush func(context.Context)

	loading atomic.Bool // this node has just started and may not know what others know
	created time.Time
	lastRun atomic.Int64 // when the process last noted that it runs, in nanoseconds since created; 0: it does not note it
	size    atomic.Int64 // of entries
	mutex   sync.Mutex
	entries map[Key]*record
	sweptAt time.Time // when lapsed entries were last removed

	claims claims
}

// record is the state of a key and when it was last changed.
type record struct {
	state     State
	changedAt time.Time
}

func (r *record) lapsed(now time.Time) bool { return now.Sub(r.changedAt) >= r.state.ttl() }

// NewTracker returns a tracker that knows of no ends.
func NewTracker() *Tracker {
	return &Tracker{created: time.Now(), claims: claims{node: rand.Uint64()}, entries: map[Key]*record{}}
}

// Loading reports whether this node has just started and may not know yet what others know. It ends within startTimeout.
func (t *Tracker) Loading() bool { return t.loading.Load() }

// stalled reports whether the process has not run for a while, and has not caught up since.
func (t *Tracker) stalled() bool {
	lastRun := t.lastRun.Load()
	return lastRun != 0 && time.Since(t.created)-time.Duration(lastRun) > stallThreshold
}

// noteRunning records that the process runs and has missed no messages that it knows of.
func (t *Tracker) noteRunning() { t.lastRun.Store(max(1, int64(time.Since(t.created)))) }

// AwaitCurrent waits until a process that did not run for a while knows what it has missed, at most maxStallWait.
func (t *Tracker) AwaitCurrent(ctx context.Context) {
	for waited := time.Duration(0); t.stalled() && waited < maxStallWait; waited += stallPoll {
		if timing.Sleep(ctx, stallPoll) != nil {
			return
		}
	}
}

// Empty reports whether nothing is known of any work. It is cheap, so that requests cost nothing while no worker ends.
func (t *Tracker) Empty() bool { return t.size.Load() == 0 }

// Evidence returns what is known of a request's work.
func (t *Tracker) Evidence(keys Keys) Evidence {
	evidence := Evidence{keys: keys}
	if t.Empty() {
		return evidence
	}
	now := time.Now()
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for index, key := range keys.list() {
		if known, ok := t.entries[key]; ok && key != 0 && !known.lapsed(now) {
			age := now.Sub(known.changedAt)
			evidence.states[index], evidence.ages[index] = known.state.atAge(age), age
		}
	}
	return evidence
}

// RecordEnd records that a worker ended while it ran a request's work, which was sent to it when the evidence was seen. It
// returns the evidence since then.
func (t *Tracker) RecordEnd(keys Keys, seen Evidence) Evidence {
	now := time.Now()
	t.mutex.Lock()
	t.dropLapsed(now)
	changed := make([]Entry, 0, keyKinds)
	for index, key := range keys.list() {
		if key == 0 {
			continue
		}
		known := t.recordOf(key, now)
		known.state, known.changedAt = known.state.afterEnd(seen.states[index]), now
		changed = append(changed, known.entry(key, now))
	}
	t.mutex.Unlock()
	t.publish(changes{Entries: changed})
	return t.Evidence(keys)
}

// RecordAnswer records that a worker has answered a request's work completely: it does not end workers. It reports whether that
// has cleared a suspicion.
func (t *Tracker) RecordAnswer(keys Keys) (cleared bool) {
	if t.Empty() {
		return false
	}
	now := time.Now()
	t.mutex.Lock()
	var changed []Entry
	for _, key := range keys.list() {
		if known, ok := t.entries[key]; ok && known.state.Ends > 0 {
			known.state, known.changedAt = known.state.afterAnswer(), now
			changed = append(changed, known.entry(key, now))
		}
	}
	t.mutex.Unlock()
	t.publish(changes{Entries: changed})
	return len(changed) > 0
}

// Merge takes over what other nodes know, and returns the entries that were news.
func (t *Tracker) Merge(entries []Entry) (news []Entry) {
	now := time.Now()
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for _, entry := range entries {
		if entry.Age >= entry.State.ttl() {
			continue
		}
		if known, ok := t.entries[entry.Key]; ok && !known.lapsed(now) && !entry.State.later(known.state) {
			continue
		}
		known := t.recordOf(entry.Key, now)
		known.state, known.changedAt = entry.State, now.Add(-entry.Age)
		news = append(news, entry)
	}
	return news
}

// Entries returns all that is known.
func (t *Tracker) Entries() []Entry {
	now := time.Now()
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.dropLapsed(now)
	entries := make([]Entry, 0, len(t.entries))
	for key, known := range t.entries {
		if !known.lapsed(now) {
			entries = append(entries, known.entry(key, now))
		}
	}
	return entries
}

// Count returns the number of suspected keys and of quarantined keys.
func (t *Tracker) Count() (suspected, quarantined int) {
	now := time.Now()
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for _, known := range t.entries {
		switch {
		case known.lapsed(now) || known.state.Ends == 0:
		case known.state.atAge(now.Sub(known.changedAt)).Ends >= MaxEnds:
			quarantined++
		default:
			suspected++
		}
	}
	return suspected, quarantined
}

// digest returns a number that two trackers with the same states share.
func (t *Tracker) digest() (sum uint64) {
	for _, entry := range t.Entries() {
		sum ^= uint64(hash("state", uint64(entry.Key)+uint64(entry.State.Generation)<<16+uint64(entry.State.Ends)<<8+uint64(entry.State.Trials)))
	}
	return sum
}

func (t *Tracker) publish(changed changes) {
	if t.onChange != nil && !changed.empty() {
		t.onChange(changed)
	}
}

// recordOf returns the record of a key, which is created if there is none, and cleared if it has lapsed. The caller holds the mutex.
func (t *Tracker) recordOf(key Key, now time.Time) *record {
	if known, ok := t.entries[key]; ok {
		if known.lapsed(now) {
			known.state = known.state.afterAnswer()
		}
		return known
	}
	if len(t.entries) >= maxEntries {
		t.evict(now)
	}
	known := &record{changedAt: now}
	t.entries[key] = known
	t.size.Store(int64(len(t.entries)))
	return known
}

// evict drops the oldest key that is not quarantined, or else the oldest. The caller holds the mutex.
func (t *Tracker) evict(now time.Time) {
	t.dropLapsed(now)
	if len(t.entries) < maxEntries {
		return
	}
	var oldest Key
	for key, known := range t.entries {
		if first := t.entries[oldest]; first == nil || known.expendable(first) {
			oldest = key
		}
	}
	delete(t.entries, oldest)
}

// expendable reports whether the record is dropped before another one.
func (r *record) expendable(other *record) bool {
	if quarantined := r.state.Ends >= MaxEnds; quarantined != (other.state.Ends >= MaxEnds) {
		return !quarantined
	}
	return r.changedAt.Before(other.changedAt)
}

// dropLapsed removes the keys that are no longer suspected, at most once in sweepPeriod. The caller holds the mutex.
func (t *Tracker) dropLapsed(now time.Time) {
	if now.Sub(t.sweptAt) < sweepPeriod {
		return
	}
	t.sweptAt = now
	for key, known := range t.entries {
		if known.lapsed(now) {
			delete(t.entries, key)
		}
	}
	t.size.Store(int64(len(t.entries)))
}

func (r *record) entry(key Key, now time.Time) Entry {
	return Entry{Key: key, State: r.state, Age: now.Sub(r.changedAt)}
}

// Quarantined returns the entries of quarantined keys, in ascending order of the keys.
func (t *Tracker) Quarantined() []Entry {
	entries := slices.DeleteFunc(t.Entries(), func(entry Entry) bool { return entry.State.atAge(entry.Age).Ends < MaxEnds })
	slices.SortFunc(entries, func(a, b Entry) int { return cmp.Compare(a.Key, b.Key) })
	return entries
}

// Release ends the quarantine of a key, for an operator. It reports whether the key was known.
func (t *Tracker) Release(key Key) bool { return t.RecordAnswer(Keys{Content: key}) }

// Flush waits until the other nodes that can be reached know of all changes, or ctx ends.
func (t *Tracker) Flush(ctx context.Context) {
	if t.flush != nil {
		t.flush(ctx)
	}
}

// newerThan returns what is known beyond the given entries of the same keys.
func (t *Tracker) newerThan(entries []Entry) (newer []Entry) {
	now := time.Now()
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for _, entry := range entries {
		if known, ok := t.entries[entry.Key]; ok && known.state.later(entry.State) && !known.lapsed(now) {
			newer = append(newer, known.entry(entry.Key, now))
		}
	}
	return newer
}
