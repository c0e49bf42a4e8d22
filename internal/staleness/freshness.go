// Package staleness tracks how recently the active configuration of this node was confirmed to be
// the newest. A removed API key must stop working within a bounded time, even at a node that is
// cut off. A node therefore accepts keys only while it has a recent enough proof.
//
// A proof is a reply from the table, or from a node that holds a proof. Its age counts from when
// the request was sent, by this process's monotonic clock, so a delayed reply or a paused process
// can only make it older.
package staleness

import (
	"sync"
	"time"

	"github.com/cloverwheel/cloverwheel/internal/store"
)

// Proof states that a revision of the configuration was the newest Age ago.
type Proof struct {
	Revision store.Version // version of the configuration's row; 0 means no proof
	Age      time.Duration // upper bound of the proof's age
}

// Tracker holds the most recent proof for the active configuration. It is safe for concurrent use.
type Tracker struct {
	mutex    sync.Mutex
	maxAge   time.Duration // oldest proof with which keys are accepted; 0 means that no proof is needed
	revision store.Version // active revision
	provenAt time.Time     // changes acknowledged before then are active; zero means unknown
	pending  pendingProof  // proof of a revision that is not active yet
}

// pendingProof is a proof with the time at which its request was sent.
type pendingProof struct {
	revision store.Version
	moment   time.Time
}

// dispatchMargin is subtracted from the bound. It covers the time from the check of a key until
// the request reaches its worker, including up to 150 ms for a new connection.
const dispatchMargin = 250 * time.Millisecond

// New returns a tracker without a proof. revokeWithin bounds how long a removed key is still
// accepted; 0 sets no bound.
func New(revokeWithin time.Duration) *Tracker {
	return &Tracker{maxAge: max(0, revokeWithin-dispatchMargin)}
}

// MaxAge returns the maximum age of a proof with which keys are accepted. 0 means that no proof is
// needed.
func (t *Tracker) MaxAge() time.Duration { return t.maxAge }

// SetActive records that a revision has become active. Older revisions are ignored.
func (t *Tracker) SetActive(revision store.Version) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.revision = max(t.revision, revision)
	if t.pending.revision != 0 && t.pending.revision <= t.revision {
		t.advance(t.pending.moment)
		t.pending = pendingProof{}
	}
}

// AddProof records that a revision was the newest at the given time of this process's clock. A proof
// of a revision newer than the active one takes effect once that revision is active.
func (t *Tracker) AddProof(revision store.Version, moment time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if revision <= t.revision {
		t.advance(moment)
		return
	}
	if revision >= t.pending.revision {
		t.pending = pendingProof{revision: revision, moment: moment}
	}
}

// advance replaces the proof by a more recent one. The caller holds the mutex.
func (t *Tracker) advance(moment time.Time) {
	if moment.After(t.provenAt) {
		t.provenAt = moment
	}
}

// Age implements forward.ConfigFreshness.
func (t *Tracker) Age() (age time.Duration, fresh bool) {
	proof := t.Proof()
	return proof.Age, t.maxAge == 0 || proof.Revision != 0 && proof.Age < t.maxAge
}

// Proof returns the current proof. Its Revision is 0 if there is none.
func (t *Tracker) Proof() Proof {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.provenAt.IsZero() {
		return Proof{}
	}
	return Proof{Revision: t.revision, Age: time.Since(t.provenAt)}
}
