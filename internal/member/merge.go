package member

import (
	"time"

	"github.com/cloverwheel/cloverwheel/internal/id"
)

// verdict is what became of an update.
type verdict uint8

const (
	verdictKnown   verdict = iota // nothing new
	verdictAdopted                // it was news
	verdictStale                  // newer things are known already
	verdictLacking                // it cannot be used without its details
)

// apply takes in one piece of news.
func (c *Core) apply(now time.Time, update Update) verdict {
	if update.Node == c.self.Node {
		return c.applyToSelf(update)
	}
	r, known := c.records[update.Node]
	if !known {
		return c.meet(now, update)
	}
	order := update.compare(r.member)
	if order < 0 {
		return verdictStale
	}
	if order == 0 {
		return c.confirm(now, r, update)
	}
	unmet := update.Incarnation != r.member.Incarnation || r.member.Address == ""
	if unmet && update.State != Dead && update.Details == nil {
		return verdictLacking
	}
	if c.doubts(now, r, update) {
		return c.applyDoubted(now, r, update)
	}
	c.adopt(now, r, update)
	return verdictAdopted
}

// applyToSelf denies what others wrongly believe of this node.
func (c *Core) applyToSelf(update Update) verdict {
	if update.Incarnation > c.self.Incarnation {
		c.superseded = true
		return verdictKnown
	}
	if update.Incarnation < c.self.Incarnation {
		return verdictStale
	}
	if c.gone || rank(update.State) == 0 || update.Refutation < c.self.Refutation {
		return verdictKnown
	}
	c.stats.Refutations++
	if update.State == Dead {
		c.stats.FalseDeaths++
	}
	c.worsen(1)
	c.self.Refutation = update.Refutation + 1
	c.announceSelf()
	return verdictAdopted
}

// meet takes in news of a node that has no record.
func (c *Core) meet(now time.Time, update Update) verdict {
	if update.State != Dead && update.Details == nil {
		return verdictLacking
	}
	r := &record{member: Member{Node: update.Node, State: Dead}, changedAt: now}
	c.records[update.Node] = r
	c.adopt(now, r, update)
	return verdictAdopted
}

// confirm takes in who else suspects a node.
func (c *Core) confirm(now time.Time, r *record, update Update) verdict {
	if r.suspicion == nil {
		return verdictKnown
	}
	hastened := update.Refused && !r.suspicion.refused
	if hastened {
		c.resuspect(now, r, update)
	}
	if !r.suspicion.confirm(update.By) && !hastened {
		return verdictKnown
	}
	c.pending.add(c.accusation(r))
	return verdictAdopted
}

// adopt replaces a record's state by newer news and spreads it.
func (c *Core) adopt(now time.Time, r *record, update Update) {
	before := r.member
	c.table ^= tableDigest(before)
	if update.Incarnation != before.Incarnation && update.Details == nil {
		r.member = Member{Node: before.Node}
	}
	if update.Details != nil {
		r.member = withDetails(r.member, update.Details)
	}
	r.member.Incarnation, r.member.Refutation = update.Incarnation, update.Refutation
	r.member.State, r.member.Leaves = update.State, update.Leaves
	c.table ^= tableDigest(r.member)
	r.changedAt = now
	c.changed = true
	c.count(before.State, update.State)
	r.deadBy = nil
	if update.State == Dead {
		r.deadBy = update.By
	}
	c.resuspect(now, r, update)
	if before.State == Dead && update.State != Dead {
		c.addToRing(update.Node)
	}
	c.pending.add(update)
}

// doubts reports whether a rumour of death is not to be believed at once,
// because the node has not been suspect here for as long as a denial takes.
// After a cut has healed, each side still holds the other for dead; thanks to
// this no node loses its healthy neighbours by hearing so.
func (c *Core) doubts(now time.Time, r *record, update Update) bool {
	if update.State != Dead || update.farewell() || r.member.State == Dead || update.Incarnation != r.member.Incarnation {
		return false
	}
	if r.suspicion == nil {
		return true
	}
	denial := c.timing.shortestSuspicion(c.nodes())
	if r.suspicion.refused {
		denial = r.suspicion.shortest
	}
	return now.Sub(r.suspicion.started) < denial
}

// applyDoubted takes a rumour of death for a suspicion.
func (c *Core) applyDoubted(now time.Time, r *record, update Update) verdict {
	update.State = Suspect
	if update.compare(r.member) == 0 {
		return c.confirm(now, r, update)
	}
	c.adopt(now, r, update)
	return verdictAdopted
}

func (c *Core) count(before, after State) {
	switch {
	case before == Dead && after != Dead:
		c.living++
	case before != Dead && after == Dead:
		c.living--
		c.stats.Deaths++
	}
}

// resuspect starts or ends the suspicion that belongs to the new state.
func (c *Core) resuspect(now time.Time, r *record, update Update) {
	if r.member.State != Suspect {
		r.suspicion = nil
		delete(c.suspects, r.member.Node)
		return
	}
	r.suspicion = newSuspicion(now, c.timing, c.nodes(), c.health)
	if update.Refused {
		r.suspicion = newRefusal(now, c.timing, c.nodes())
	}
	r.suspicion.confirm(update.By)
	c.suspects[r.member.Node] = r
}

// suspect raises a suspicion of this node's own.
func (c *Core) suspect(now time.Time, m Member, by []id.Node, refused bool) {
	r, ok := c.records[m.Node]
	if !ok || r.member.Incarnation != m.Incarnation || r.member.Refutation != m.Refutation || r.member.State == Dead {
		return
	}
	if r.member.State != Suspect {
		c.stats.Suspicions++
	}
	update := updateOf(r.member)
	update.State, update.By, update.Refused = Suspect, by, refused
	c.apply(now, update)
}

// applyAll takes in all news of a message and reports whether details of some
// node are lacking.
func (c *Core) applyAll(now time.Time, updates []Update) (lacking bool) {
	for _, update := range updates {
		if c.apply(now, update) == verdictLacking {
			lacking = true
		}
	}
	return lacking
}
