package member

import (
	"time"

	"github.com/cloverwheel/cloverwheel/internal/id"
	"github.com/cloverwheel/cloverwheel/internal/peer"
)

// syncTimeout bounds an exchange of whole tables.
const syncTimeout = 5 * time.Second

// minPeerSync is the least time between two exchanges with one node.
const minPeerSync = 5 * time.Second

// repairInterval is the least time between two exchanges that this node starts
// because a probe showed another table.
const repairInterval = 2 * time.Second

// syncRandom compares tables with a random member.
func (c *Core) syncRandom(now time.Time) []Send {
	for _, m := range c.pickMembers(1, nil) {
		return c.syncWith(now, targetOf(m))
	}
	return nil
}

// syncWith compares tables with a node, unless it was done just now.
func (c *Core) syncWith(now time.Time, to target) []Send {
	if last, ok := c.lastPeerSync[to.Node]; ok && now.Sub(last) < minPeerSync {
		return nil
	}
	if to.Node != "" {
		c.lastPeerSync[to.Node] = now
	}
	return []Send{c.syncSend(now, to, nil)}
}

func (c *Core) syncSend(now time.Time, to target, push []Update) Send {
	c.stats.Syncs++
	return Send{
		Kind:    SendSync,
		To:      to,
		Sync:    SyncRequest{Self: detailedUpdateOf(c.self), Digest: c.digest(), Push: push},
		Timeout: syncTimeout,
		sent:    now,
	}
}

// Join returns the requests that introduce this node to others by address.
func (c *Core) Join(now time.Time, addresses []peer.Address) []Send {
	var sends []Send
	for _, address := range addresses {
		if address != c.self.Address {
			sends = append(sends, c.syncSend(now, target{Address: address}, nil))
		}
	}
	return sends
}

// Unknown returns those addresses at which no living member is known.
func (c *Core) Unknown(addresses []peer.Address) []peer.Address {
	known := map[peer.Address]bool{c.self.Address: true}
	for _, r := range c.records {
		if r.member.State != Dead {
			known[r.member.Address] = true
		}
	}
	var unknown []peer.Address
	for _, address := range addresses {
		if !known[address] {
			unknown = append(unknown, address)
		}
	}
	return unknown
}

// digest hashes the table of the living, this node included, in any order.
func (c *Core) digest() uint64 { return c.table ^ digest(c.self) }

// tableDigest is a record's share of the digest.
func tableDigest(m Member) uint64 {
	if m.State == Dead {
		return 0
	}
	return digest(m)
}

// quietDigest is the digest while no news is under way, and 0 otherwise.
func (c *Core) quietDigest() uint64 {
	if c.pending.len() > 0 {
		return 0
	}
	return c.digest()
}

// repair compares tables with a node that answered a probe, if both have no
// news to spread and yet hold different tables.
func (c *Core) repair(now time.Time, send Send, answer Message) []Send {
	own := c.quietDigest()
	if own == 0 || answer.Digest == 0 || own == answer.Digest || now.Before(c.nextRepair) {
		return nil
	}
	c.nextRepair = now.Add(repairInterval)
	return c.syncWith(now, send.To)
}

// HandleSync answers an exchange of tables.
func (c *Core) HandleSync(now time.Time, request SyncRequest) SyncAnswer {
	c.apply(now, request.Self)
	if request.Push != nil {
		corrections := c.applyPush(now, request.Push)
		return SyncAnswer{Self: detailedUpdateOf(c.self), Records: corrections}
	}
	answer := SyncAnswer{Self: detailedUpdateOf(c.self)}
	if r, ok := c.records[request.Self.Node]; ok && rank(r.member.State) > 0 {
		answer.Records = append(answer.Records, c.accusation(r))
	}
	if request.Digest == c.digest() {
		answer.Same = true
		return answer
	}
	for _, node := range sortedNodes(c.records) {
		if r := c.records[node]; r.member.State != Dead && r.member.Address != "" {
			answer.Records = append(answer.Records, c.tableEntry(r))
		}
	}
	return answer
}

// tableEntry is what an exchange says of a record.
func (c *Core) tableEntry(r *record) Update {
	update := c.accusation(r)
	update.Details = detailedUpdateOf(r.member).Details
	return update
}

// applyPush takes in what the other side holds newer and returns where it errs.
func (c *Core) applyPush(now time.Time, push []Update) []Update {
	var corrections []Update
	for _, update := range push {
		if c.apply(now, update) != verdictStale {
			continue
		}
		if r, ok := c.records[update.Node]; ok {
			corrections = append(corrections, c.tableEntry(r))
		}
	}
	return corrections
}

// Synced takes in the answer to an exchange and returns the push, if the other
// side lacks anything.
func (c *Core) Synced(now time.Time, send Send, answer SyncAnswer) []Send {
	c.apply(now, answer.Self)
	answered := map[id.Node]bool{answer.Self.Node: true, c.self.Node: true}
	var push []Update
	for _, update := range answer.Records {
		answered[update.Node] = true
		if c.apply(now, update) == verdictStale && update.Node != c.self.Node {
			push = append(push, c.tableEntry(c.records[update.Node]))
		}
	}
	if send.Sync.Push != nil || answer.Same {
		return nil
	}
	for _, node := range sortedNodes(c.records) {
		if r := c.records[node]; !answered[node] && r.member.State != Dead && r.member.Address != "" {
			push = append(push, c.tableEntry(r))
		}
	}
	if len(push) == 0 {
		return nil
	}
	to := target{Node: answer.Self.Node, Incarnation: answer.Self.Incarnation, Address: send.To.Address}
	return []Send{c.syncSend(now, to, push)}
}
