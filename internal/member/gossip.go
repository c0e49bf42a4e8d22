package member

import (
	"slices"

	"github.com/cloverwheel/cloverwheel/internal/id"
)

// burst is gossip within this node's allowance, so that much news at once, as
// after the loss of a zone, lasts longer instead of costing more a second.
func (c *Core) burst() []Send {
	if c.allowance < gossipFanout {
		return nil
	}
	sends := c.gossip()
	c.allowance -= float64(len(sends))
	return sends
}

// gossip tells a few random members the news, if there is any.
func (c *Core) gossip() []Send {
	if c.pending.len() == 0 && c.hastened == 0 {
		return nil
	}
	if c.hastened > 0 {
		c.hastened--
	}
	var sends []Send
	for _, m := range c.pickMembers(gossipFanout, nil) {
		sends = append(sends, Send{
			Kind:    SendGossip,
			To:      targetOf(m),
			Message: c.request(m.Node, m.Incarnation),
			Timeout: c.probeTimeout(),
		})
	}
	if len(sends) == 0 {
		c.pending.clear() // nobody to tell; whoever joins takes the whole table
	}
	return sends
}

// request composes a message that this node sends on its own account.
func (c *Core) request(to id.Node, incarnation id.Incarnation) Message {
	message := c.compose(to, incarnation)
	message.Updates = append(message.Updates, c.pending.take(maxUpdates, transmitLimit(c.nodes()))...)
	return message
}

// answer composes the answer to a message. News in it does not count as sent,
// for it mostly goes to a node that has just brought it.
func (c *Core) answer(to id.Node, incarnation id.Incarnation) Message {
	message := c.compose(to, incarnation)
	message.Updates = append(message.Updates, c.pending.peek(maxAnswerUpdates)...)
	return message
}

// compose builds a message without news, but with what the receiver might deny.
func (c *Core) compose(to id.Node, incarnation id.Incarnation) Message {
	message := Message{
		From:            c.self.Node,
		FromIncarnation: c.self.Incarnation,
		To:              to,
		ToIncarnation:   incarnation,
		Digest:          c.quietDigest(),
	}
	if r, ok := c.records[to]; ok && rank(r.member.State) > 0 {
		message.Updates = append(message.Updates, c.accusation(r))
	}
	return message
}

// accusation is the news of a record and who vouches for it. A node that hears
// it of itself can deny it; one that missed a farewell believes it.
func (c *Core) accusation(r *record) Update {
	update := updateOf(r.member)
	update.By = r.deadBy
	if r.suspicion != nil {
		update.By, update.Refused = r.suspicion.by, r.suspicion.refused
	}
	return update
}

// pickMembers returns up to count random living members that keep accepts; a
// nil keep accepts all.
func (c *Core) pickMembers(count int, keep func(Member) bool) []Member {
	var picked []Member
	for _, node := range c.randomRing(count) {
		r, ok := c.records[node]
		if !ok || r.member.State == Dead || r.member.Address == "" {
			continue
		}
		if keep != nil && !keep(r.member) {
			continue
		}
		picked = append(picked, r.member)
		if len(picked) == count {
			break
		}
	}
	return picked
}

// randomRing samples more nodes of the ring than wanted, since some may be dead.
func (c *Core) randomRing(wanted int) []id.Node {
	const spare = 4
	if len(c.ring) <= spare*wanted {
		shuffled := slices.Clone(c.ring)
		c.shuffle(shuffled)
		return shuffled
	}
	sample := make([]id.Node, 0, spare*wanted)
	for range spare * wanted {
		node := c.ring[c.random.IntN(len(c.ring))]
		if !slices.Contains(sample, node) {
			sample = append(sample, node)
		}
	}
	return sample
}

func (c *Core) shuffle(nodes []id.Node) {
	c.random.Shuffle(len(nodes), func(i, j int) { nodes[i], nodes[j] = nodes[j], nodes[i] })
}

// addToRing puts a node at a random place among this round's remaining targets.
func (c *Core) addToRing(node id.Node) {
	if slices.Contains(c.ring, node) {
		return
	}
	remaining := len(c.ring) - c.ringNext
	c.ring = slices.Insert(c.ring, c.ringNext+c.random.IntN(remaining+1), node)
}

// nextTarget returns the next member to probe; each round meets every living
// member once, in a new order.
func (c *Core) nextTarget() (Member, bool) {
	for range 2 * (len(c.ring) + 1) {
		if c.ringNext >= len(c.ring) {
			c.newRound()
		}
		if len(c.ring) == 0 {
			return Member{}, false
		}
		node := c.ring[c.ringNext]
		c.ringNext++
		if r, ok := c.records[node]; ok && r.member.State != Dead && r.member.Address != "" {
			return r.member, true
		}
	}
	return Member{}, false
}

func (c *Core) newRound() {
	c.ring = c.ring[:0]
	c.ringNext = 0
	for _, node := range sortedNodes(c.records) {
		if c.records[node].member.State != Dead {
			c.ring = append(c.ring, node)
		}
	}
	c.shuffle(c.ring)
}

// Announcing reports whether news of this node itself still waits to be spread.
func (c *Core) Announcing() bool { return c.pending.holds(c.self.Node) }
