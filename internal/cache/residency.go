package cache

import (
	"github.com/cloverwheel/cloverwheel/internal/chat"
	"github.com/cloverwheel/cloverwheel/internal/engine"
	"github.com/cloverwheel/cloverwheel/internal/id"
)

// Presence is what is known of a segment at the engine.
type Presence uint8

// The kinds of presence. Absent is the zero value.
const (
	Absent  Presence = iota
	Unknown          // it was present before a gap in the events
	Present
)

// defaultEntryLimit bounds a Residency; what is beyond it is forgotten, which
// costs a wrong guess and never a wrong claim.
const defaultEntryLimit = 1 << 16

// entry is one segment that the engine has or had.
type entry struct {
	tokens   int
	presence Presence
	computed bool // by one of our dispatches and not yet accounted
	reused   bool
	program  id.Program // that computed it
	ended    bool       // program has ended
}

// Residency is the map of one engine's prefix cache. It is not safe for
// concurrent use.
type Residency struct {
	entries  map[uint64]*entry
	limit    int
	sequence uint64 // of the last event taken in
	started  bool
	gaps     int
	waste    Waste
}

// NewResidency returns the map of an engine of which nothing is known.
func NewResidency() *Residency {
	return &Residency{entries: map[uint64]*entry{}, limit: defaultEntryLimit}
}

// Sequence is the number of the last event taken in.
func (r *Residency) Sequence() uint64 { return r.sequence }

// Gaps counts the gaps met so far.
func (r *Residency) Gaps() int { return r.gaps }

// Apply takes events in, in the order in which they came. A jump in the
// sequence makes everything unknown first. Events seen before are skipped.
func (r *Residency) Apply(events []engine.CacheEvent) {
	for _, event := range events {
		if r.started && event.Sequence <= r.sequence {
			continue
		}
		if event.Sequence != r.sequence+1 {
			r.Gap()
		}
		r.started = true
		r.sequence = event.Sequence
		r.apply(event)
	}
}

func (r *Residency) apply(event engine.CacheEvent) {
	switch event.Kind {
	case engine.EventStored:
		r.set(event.Segment).presence = Present
	case engine.EventRemoved:
		r.remove(event.Segment.Hash, Evicted)
	case engine.EventCleared:
		r.Lost()
	}
}

// Gap says that events were lost: what was present is unknown now.
func (r *Residency) Gap() {
	if len(r.entries) > 0 {
		r.gaps++
	}
	for _, known := range r.entries {
		if known.presence == Present {
			known.presence = Unknown
		}
	}
}

// Lost says that the engine's memory is gone.
func (r *Residency) Lost() {
	for hash := range r.entries {
		r.remove(hash, LostWorker)
	}
}

// Restarted says that the engine counts its events from the start again.
func (r *Residency) Restarted() {
	r.Lost()
	r.sequence = 0
	r.started = false
}

// Dispatched records that a call with prefix finished here for program, of
// which cached tokens were found in the engine's cache. All of prefix is
// present then; what was found counts as reused.
func (r *Residency) Dispatched(program id.Program, prefix chat.Prefix, cached int) {
	offset := 0
	for _, segment := range prefix {
		found := offset+segment.Tokens <= cached
		offset += segment.Tokens
		known, existed := r.entries[segment.Hash]
		if !existed {
			known = r.set(segment)
		}
		known.presence = Present
		r.account(known, program, found)
		known.ended = false
	}
}

// account counts a segment of a finished call as reused or computed.
func (r *Residency) account(known *entry, program id.Program, found bool) {
	if found {
		if known.computed && !known.reused {
			r.waste.Reused += int64(known.tokens)
		}
		known.reused = true
		return
	}
	r.wasted(known, Evicted)
	known.computed = true
	known.reused = false
	known.program = program
	r.waste.Computed += int64(known.tokens)
}

// Imported records that an export of prefix was put into the cache.
func (r *Residency) Imported(prefix chat.Prefix) {
	for _, segment := range prefix {
		r.set(segment).presence = Present
	}
}

// Dropping records that we let the segment of a hash go; the entry is absent
// from now on.
func (r *Residency) Dropping(hash uint64) {
	r.remove(hash, Dropped)
}

// Ended records that program is gone, so that what it computed alone is waste
// of another cause when it goes.
func (r *Residency) Ended(program id.Program, prefix chat.Prefix) {
	for _, segment := range prefix {
		if known, ok := r.entries[segment.Hash]; ok && known.program == program {
			known.ended = true
		}
	}
}

func (r *Residency) set(segment chat.Segment) *entry {
	known, ok := r.entries[segment.Hash]
	if !ok {
		r.makeRoom()
		known = &entry{tokens: segment.Tokens}
		r.entries[segment.Hash] = known
	}
	return known
}

// makeRoom forgets any one entry when the map is full.
func (r *Residency) makeRoom() {
	if len(r.entries) < r.limit {
		return
	}
	for hash := range r.entries {
		r.remove(hash, Evicted)
		return
	}
}

func (r *Residency) remove(hash uint64, cause Cause) {
	known, ok := r.entries[hash]
	if !ok {
		return
	}
	r.wasted(known, cause)
	delete(r.entries, hash)
}

// wasted accounts an entry whose context is gone, if nothing has reused it.
func (r *Residency) wasted(known *entry, cause Cause) {
	if !known.computed || known.reused {
		return
	}
	known.computed = false
	if known.ended {
		cause = EndedUnused
	}
	r.waste.add(cause, known.tokens)
}

// Match returns how many tokens of prefix are present from its start, and how
// many more may be, because nothing is known to be absent up to there.
func (r *Residency) Match(prefix chat.Prefix) (present, unknown int) {
	for _, segment := range prefix {
		known, ok := r.entries[segment.Hash]
		if !ok || known.presence == Absent {
			return present, unknown
		}
		if known.presence == Unknown || unknown > 0 {
			unknown += segment.Tokens
			continue
		}
		present += segment.Tokens
	}
	return present, unknown
}

// Presence returns what is known of one segment.
func (r *Residency) Presence(hash uint64) Presence {
	known, ok := r.entries[hash]
	if !ok {
		return Absent
	}
	return known.presence
}

// Waste returns the account so far.
func (r *Residency) Waste() Waste { return r.waste }
