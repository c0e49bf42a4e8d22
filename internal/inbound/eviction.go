package inbound

import "time"

const (
	// minLateness is how far a request must be behind before its connection gives way to another: a crowd that connects at once must
	// not end those whose requests are on their way.
	minLateness = 20 * time.Millisecond
	// heldLateness is how far it must be behind to give way to one that needs the memory it holds, and how far a peer must be behind
	// that does not take its answer: more than a busy processor delays either.
	heldLateness = 250 * time.Millisecond
	// slowLateness is how far it must be behind to give way before a connection that waits for its next request.
	slowLateness = time.Second
	// closingDivisor is the part of the limit that closed connections may exceed it by until their resources are free. net/http keeps a
	// connection whose request it refused unread for half a second.
	closingDivisor = 2 // one half
)

// makeRoom makes room for one more connection. The caller holds the mutex.
func (c *Connections) makeRoom(now time.Time) bool {
	if !c.full() {
		return true
	}
	if c.closing > c.options.Limit/closingDivisor {
		return false
	}
	victim := c.givesWay(now)
	if victim == nil {
		return false
	}
	c.evict(victim, ReasonCrowded, now)
	return true
}

// givesWay returns the connection that gives way to a new one; nil: none does. One whose request is being served gives way only if its
// peer does not take the answer, and after all others. The caller holds the mutex.
func (c *Connections) givesWay(now time.Time) *Connection {
	var slowest, idle, untaken *Connection
	for _, each := range c.open {
		switch {
		case each.sending && !each.waitsForBytes():
			if untaken == nil || each.taken.lateness(now) > untaken.taken.lateness(now) {
				untaken = each
			}
		case each.waitsForBytes() && (slowest == nil || each.progress.lateness(now) > slowest.progress.lateness(now)):
			slowest = each
		case each.phase == phaseIdle && (idle == nil || each.progress.since.Before(idle.progress.since)):
			idle = each
		}
	}
	lateness := time.Duration(0)
	if slowest != nil {
		lateness = slowest.progress.lateness(now)
	}
	switch {
	case lateness >= slowLateness:
		return slowest
	case idle != nil:
		return idle
	case lateness >= minLateness:
		return slowest
	case untaken != nil && untaken.taken.lateness(now) >= heldLateness:
		return untaken
	}
	return nil
}

// evict closes a connection for others and releases its memory. The caller holds the mutex.
func (c *Connections) evict(victim *Connection, reason Reason, now time.Time) {
	c.report.add(reason, victim.RemoteAddr(), len(c.open), now)
	victim.evicted = true
	c.takeOut(victim)
	c.closing++
	victim.freeMemory()
	if err := victim.Conn.Close(); err != nil {
		c.options.Logger.WithError(err).WithField("listener", c.options.Listener).Warn("cannot close a connection for others; its server ends it")
	}
}

// obtain repeats reserve until it succeeds or no other connection gives way. The caller holds the mutex.
func (c *Connections) obtain(connection *Connection, reserve func() bool) bool {
	if connection.evicted {
		return false
	}
	now := time.Now()
	for !reserve() {
		victim := c.slowestHolder(connection, now)
		if victim == nil {
			c.report.add(ReasonMemory, connection.RemoteAddr(), len(c.open), now)
			return false
		}
		c.evict(victim, ReasonSlow, now)
	}
	return true
}

// slowestHolder returns the connection that holds reserved memory and whose request arrives most slowly, and more slowly than that of the
// given one; nil: there is none. The caller holds the mutex.
func (c *Connections) slowestHolder(other *Connection, now time.Time) (slowest *Connection) {
	lateness := max(heldLateness, other.progress.lateness(now))
	for _, each := range c.open {
		if each == other || each.phase != phaseReceiving || !each.holdsMemory() {
			continue
		}
		if behind := each.progress.lateness(now); behind >= lateness {
			slowest, lateness = each, behind
		}
	}
	return slowest
}
