package quarantine

import (
	"context"
	"sync"
	"time"
)

// claimTTL is how long a claim holds unless it is given back: longer than most requests run. A node that holds one may be killed.
const claimTTL = 5 * time.Second

// Claim says that a node is about to send suspected work to a worker, or that it no longer runs there. It is sent between nodes with
// gob, so its fields keep their names.
type Claim struct {
	Key    Key
	Worker string
	Node   uint64 // random number of the node's process
	Number uint64 // later claims of the node have higher numbers
	Held   bool
}

// claimID identifies the claims of a node on a worker for one work.
type claimID struct {
	key    Key
	worker string
	node   uint64
}

// knownClaim is the latest claim of a claimID. One that was given back is kept, too, since messages may arrive out of order.
type knownClaim struct {
	number uint64
	held   bool
	until  time.Time
}

// claims are the workers at which suspected work runs, as far as this node knows.
type claims struct {
	mutex  sync.Mutex
	known  map[claimID]knownClaim
	node   uint64 // of this process's own claims
	number uint64 // of the last of these
}

// giveBack returns the end of a claim of this process.
func (c *claims) giveBack(key Key, worker string, now time.Time) Claim {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.number++
	claim := Claim{Key: key, Worker: worker, Node: c.node, Number: c.number}
	c.keep(claim, now)
	return claim
}

// apply takes over a claim, and reports whether it was news.
func (c *claims) apply(claim Claim, now time.Time) (news bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	id := claimID{claim.Key, claim.Worker, claim.Node}
	if known, ok := c.known[id]; ok && known.number >= claim.Number {
		return false
	}
	c.keep(claim, now)
	return true
}

// take returns a new claim of this process unless other work has claimed the worker.
func (c *claims) take(key Key, worker string, now time.Time) (claim Claim, ok bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.heldByOtherLocked(key, worker, now) {
		return Claim{}, false
	}
	c.number++
	claim = Claim{Key: key, Worker: worker, Node: c.node, Number: c.number, Held: true}
	c.keep(claim, now)
	return claim, true
}

// keep records a claim. The caller holds the mutex.
func (c *claims) keep(claim Claim, now time.Time) {
	if c.known == nil {
		c.known = map[claimID]knownClaim{}
	}
	c.known[claimID{claim.Key, claim.Worker, claim.Node}] = knownClaim{number: claim.Number, held: claim.Held, until: now.Add(claimTTL)}
}

// heldByOther reports whether other work than that of the key has claimed a worker.
func (c *claims) heldByOther(key Key, worker string, now time.Time) (held bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.heldByOtherLocked(key, worker, now)
}

// heldByOtherLocked is heldByOther. The caller holds the mutex.
func (c *claims) heldByOtherLocked(key Key, worker string, now time.Time) (held bool) {
	for id, known := range c.known {
		if now.After(known.until) {
			delete(c.known, id)
			continue
		}
		held = held || known.held && id.worker == worker && id.key != key
	}
	return held
}

// Claim claims a worker for suspected work, so that it runs beside no other suspected work: if the worker ends, it is known which of
// them ended it. It tells other nodes, and waits for them at most until ctx ends. ok is false if other work has claimed the worker, too;
// nothing is claimed then. When the work no longer runs there, the claim must be given back by EndClaim.
func (t *Tracker) Claim(ctx context.Context, key Key, worker string) (ok bool) {
	claim, ok := t.claims.take(key, worker, time.Now())
	if !ok {
		return false
	}
	t.publish(changes{Claims: []Claim{claim}})
	t.Flush(ctx)
	if t.Claimed(key, worker) { // another node claimed it at the same time
		t.EndClaim(key, worker)
		return false
	}
	return true
}

// EndClaim gives a claim back.
func (t *Tracker) EndClaim(key Key, worker string) {
	t.publish(changes{Claims: []Claim{t.claims.giveBack(key, worker, time.Now())}})
}

// Claimed reports whether other suspected work has claimed a worker.
func (t *Tracker) Claimed(key Key, worker string) bool {
	return t.claims.heldByOther(key, worker, time.Now())
}
