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

// Word is the state of a zone as of a revision of its row. It is sent between nodes with gob: its
// name and those of its fields are part of the encoding.
type Word struct {
	Zone      string
	Evacuated bool // false: the evacuation was ended
	Revision  store.Version
}

// Snapshot is the state that a node has cached. It is complete up to Revision: a zone without a
// Word was not evacuated then. Words newer than Revision are states after later changes. The zero
// value is empty.
type Snapshot struct {
	Revision store.Version
	Words    []Word // sorted by zone
}

// Change is the start or the end of the evacuation of a zone.
type Change struct {
	Word
	Source Source
}

// state is immutable once it is published.
type state struct {
	known    bool          // a full read of the rows was applied
	revision store.Version // of the last full read, which covers all states up to it
	zones    map[string]Word
}

// Tracker holds the latest state of each zone. It is safe for concurrent use. The zero value
// holds no state, and reports no zone as evacuated.
type Tracker struct {
	mutex   sync.Mutex // serializes updates
	current atomic.Pointer[state]
	changed func(Change)
}

// New returns a tracker that calls changed, if it is not nil, for each zone whose evacuation
// starts or ends. The calls are serialized, and made before Evacuated returns the new state. changed
// must not call Apply, ApplyFullRead or Merge.
func New(changed func(Change)) *Tracker { return &Tracker{changed: changed} }

func (t *Tracker) load() *state {
	if current := t.current.Load(); current != nil {
		return current
	}
	return &state{}
}

// Known reports whether the tracker has applied a full read of the rows, its own or that of
// another node's snapshot. The read may have been empty.
func (t *Tracker) Known() bool { return t.load().known }

// Evacuated reports whether a zone's workers must get no new requests.
func (t *Tracker) Evacuated(zone string) bool { return t.load().zones[zone].Evacuated }

// Apply applies the state of one zone. It is ignored unless it is newer than the cached one and
// the last full read, so that a stale row cannot restart an evacuation that was ended.
func (t *Tracker) Apply(zoneState Word, source Source) {
	t.update(source, func(next *state) { next.apply(zoneState) })
}

// ApplyFullRead applies a full read of the rows at a revision. It ends the evacuation of each zone
// without a row, unless a newer state of the zone is cached. A read older than the last one
// changes no zone.
func (t *Tracker) ApplyFullRead(revision store.Version, rows []Word) {
	t.update(FromStore, func(next *state) {
		next.known = true
		next.merge(Snapshot{Revision: revision, Words: rows})
	})
}

// Merge merges the snapshot of another node.
func (t *Tracker) Merge(snapshot Snapshot) {
	t.update(FromNode, func(next *state) { next.merge(snapshot) })
}

// Snapshot returns the state of the tracker, to be sent to other nodes.
func (t *Tracker) Snapshot() Snapshot {
	current := t.load()
	zones := slices.SortedFunc(maps.Values(current.zones), func(one, other Word) int {
		return cmp.Compare(one.Zone, other.Zone)
	})
	return Snapshot{Revision: current.revision, Words: zones}
}

func (t *Tracker) update(source Source, change func(*state)) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	before := t.load()
	next := &state{known: before.known, revision: before.revision, zones: maps.Clone(before.zones)}
	if next.zones == nil {
		next.zones = map[string]Word{}
	}
	change(next)
	t.notify(before, next, source) // before publishing: a zone reopens only after its workers are marked cold
	t.current.Store(next)
}

// notify calls changed for each zone whose evacuation differs.
func (t *Tracker) notify(before, next *state, source Source) {
	if t.changed == nil {
		return
	}
	for zone, zoneState := range next.zones {
		if zoneState.Evacuated != before.zones[zone].Evacuated {
			t.changed(Change{Word: zoneState, Source: source})
		}
	}
	for zone, zoneState := range before.zones {
		if _, exists := next.zones[zone]; !exists && zoneState.Evacuated {
			t.changed(Change{Word: Word{Zone: zone, Revision: next.revision}, Source: source})
		}
	}
}

// apply stores the state of a zone if it is newer than the cached one and the last full read.
func (s *state) apply(zoneState Word) {
	if zoneState.Revision > s.revision && zoneState.Revision > s.zones[zoneState.Zone].Revision {
		s.zones[zoneState.Zone] = zoneState
	}
}

// merge applies a snapshot. One that is newer than the last full read replaces all states up to
// its revision, so evacuations that ended earlier need no entry. Of an older one, only newer
// states are applied.
func (s *state) merge(snapshot Snapshot) {
	if snapshot.Revision <= s.revision {
		for _, zoneState := range snapshot.Words {
			s.apply(zoneState)
		}
		return
	}
	cached := s.zones
	s.known = true
	s.revision, s.zones = snapshot.Revision, make(map[string]Word, len(snapshot.Words))
	for _, zoneState := range snapshot.Words {
		if zoneState.Evacuated || zoneState.Revision > s.revision {
			s.zones[zoneState.Zone] = zoneState
		}
	}
	for _, zoneState := range cached {
		s.apply(zoneState)
	}
}
