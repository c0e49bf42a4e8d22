// Package evacuation tracks the zones that the operator has evacuated, whose workers must get
// no new requests. The state of a zone changes only by an update with a newer revision, whether
// that comes from the store or from another node.
package evacuation

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/cloverwheel/cloverwheel/internal/store"
)

// Source is the origin of an update.
type Source string

// Sources of updates.
const (
	FromStore Source = "table" // the store
	FromNode  Source = "node"  // another node
)

// ZoneState is the state of a zone as of a revision of its row.
type ZoneState struct {
	Zone      string
	Evacuated bool // false: the evacuation was ended
	Revision  store.Version
}

// Snapshot is the state that a node has cached. It is complete up to Revision: a zone without a
// ZoneState was not evacuated then. Words newer than Revision are later changes. The zero value is
// empty.
type Snapshot struct {
	Revision store.Version
	Words    []ZoneState // sorted by zone
}

// Change is the start or the end of the evacuation of a zone.
type Change struct {
	ZoneState
	Source Source
}

// state is immutable once it is published.
type state struct {
	known    bool          // a full read of the rows was applied
	revision store.Version // of the last full read, which covers all words up to it
	words    map[string]ZoneState
}

// Tracker holds the latest state of each zone. It is safe for concurrent use. The zero value
// holds no state, and reports no zone as evacuated.
type Tracker struct {
	mutex   sync.Mutex // serializes updates
	current atomic.Pointer[state]
	changed func(Change)
}

// New returns a board that calls changed, if it is not nil, for each zone whose evacuation
// starts or ends. The calls are serialized, and made before the board shows the change. changed
// must not call Hear, Whole or Learn.
func New(changed func(Change)) *Tracker { return &Tracker{changed: changed} }

func (b *Tracker) load() *state {
	if current := b.current.Load(); current != nil {
		return current
	}
	return &state{}
}

// Known reports whether the board has applied a full read of the rows, its own or that of
// another node's snapshot. The read may have been empty.
func (b *Tracker) Known() bool { return b.load().known }

// Evacuated reports whether a zone's workers must get no new requests.
func (b *Tracker) Evacuated(zone string) bool { return b.load().words[zone].Evacuated }

// Apply applies the state of one zone. It is ignored unless it is newer than the cached one and
// the last full read, so that a stale row cannot restart an evacuation that was ended.
func (b *Tracker) Apply(word ZoneState, source Source) {
	b.update(source, func(next *state) { next.apply(word) })
}

// ApplyFullRead applies a full read of the rows at a revision. It ends the evacuation of each zone
// without a row, unless a newer state of the zone is cached. A read older than the last one
// changes no zone.
func (b *Tracker) ApplyFullRead(revision store.Version, rows []ZoneState) {
	b.update(FromStore, func(next *state) {
		next.known = true
		next.merge(Snapshot{Revision: revision, Words: rows})
	})
}

// Merge merges the snapshot of another node.
func (b *Tracker) Merge(snapshot Snapshot) {
	b.update(FromNode, func(next *state) { next.merge(snapshot) })
}

// Snapshot returns the state of the board, to be sent to other nodes.
func (b *Tracker) Snapshot() Snapshot {
	current := b.load()
	words := slices.SortedFunc(maps.Values(current.words), func(one, other ZoneState) int {
		return cmp.Compare(one.Zone, other.Zone)
	})
	return Snapshot{Revision: current.revision, Words: words}
}

func (b *Tracker) update(source Source, change func(*state)) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	before := b.load()
	next := &state{known: before.known, revision: before.revision, words: maps.Clone(before.words)}
	if next.words == nil {
		next.words = map[string]ZoneState{}
	}
	change(next)
	b.notify(before, next, source) // before publishing: a zone reopens only after its workers are marked cold
	b.current.Store(next)
}

// notify calls changed for each zone whose evacuation differs.
func (b *Tracker) notify(before, next *state, source Source) {
	if b.changed == nil {
		return
	}
	for zone, word := range next.words {
		if word.Evacuated != before.words[zone].Evacuated {
			b.changed(Change{ZoneState: word, Source: source})
		}
	}
	for zone, word := range before.words {
		if _, exists := next.words[zone]; !exists && word.Evacuated {
			b.changed(Change{ZoneState: ZoneState{Zone: zone, Revision: next.revision}, Source: source})
		}
	}
}

// apply stores the state of a zone if it is newer than the cached one and the last full read.
func (s *state) apply(word ZoneState) {
	if word.Revision > s.revision && word.Revision > s.words[word.Zone].Revision {
		s.words[word.Zone] = word
	}
}

// merge applies a snapshot. One that is newer than the last full read replaces all states up to
// its revision, so evacuations that ended earlier need no entry. Of an older one, only newer
// words are applied.
func (s *state) merge(snapshot Snapshot) {
	if snapshot.Revision <= s.revision {
		for _, word := range snapshot.Words {
			s.apply(word)
		}
		return
	}
	known := s.words
	s.known = true
	s.revision, s.words = snapshot.Revision, make(map[string]ZoneState, len(snapshot.Words))
	for _, word := range snapshot.Words {
		if word.Evacuated || word.Revision > s.revision {
			s.words[word.Zone] = word
		}
	}
	for _, word := range known {
		s.apply(word)
	}
}
