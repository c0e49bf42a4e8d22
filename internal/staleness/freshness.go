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

// New returns a keeper without a proof. revokeWithin bounds how long a removed key is still
// accepted; 0 sets no bound.
func New(revokeWithin time.Duration) *Tracker {
	return &Tracker{maxAge: max(0, revokeWithin-dispatchMargin)}
}

// MaxAge returns the maximum age of a proof with which keys are accepted. 0 means that no proof is
// needed.
func (k *Tracker) MaxAge() time.Duration { return k.maxAge }

// SetActive records that a revision has become active. Older revisions are ignored.
func (k *Tracker) SetActive(revision store.Version) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.revision = max(k.revision, revision)
	if k.pending.revision != 0 && k.pending.revision <= k.revision {
		k.advance(k.pending.moment)
		k.pending = pendingProof{}
	}
}

// AddProof records that a revision was the newest at the given time of this process's clock. A proof
// of a revision newer than the active one takes effect once that revision is active.
func (k *Tracker) AddProof(revision store.Version, moment time.Time) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if revision <= k.revision {
		k.advance(moment)
		return
	}
	if revision >= k.pending.revision {
		k.pending = pendingProof{revision: revision, moment: moment}
	}
}

// advance replaces the proof by a more recent one. The caller holds the mutex.
func (k *Tracker) advance(moment time.Time) {
	if moment.After(k.provenAt) {
		k.provenAt = moment
	}
}

// Age implements forward.ConfigFreshness.
func (k *Tracker) Age() (age time.Duration, fresh bool) {
	proof := k.Proof()
	return proof.Age, k.maxAge == 0 || proof.Revision != 0 && proof.Age < k.maxAge
}

// Proof returns the current proof. Its Revision is 0 if there is none.
func (k *Tracker) Proof() Proof {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if k.provenAt.IsZero() {
		return Proof{}
	}
	return Proof{Revision: k.revision, Age: time.Since(k.provenAt)}
}
