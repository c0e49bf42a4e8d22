package member

import (
	"time"

	"github.com/cloverwheel/cloverwheel/internal/id"
)

// SendKind says what a Send is for.
type SendKind uint8

// The kinds of Send.
const (
	SendPing   SendKind = iota // a direct probe: Message by MethodPing
	SendGossip                 // news: Message by MethodPing; failure is harmless
	SendRelay                  // a request for an indirect probe by MethodRelay
	SendSync                   // a comparison of tables by MethodSync
)

// Send is one request that the runner sends. Its outcome goes back to the core
// by Answered, Relayed, Synced or Failed.
type Send struct {
	Kind    SendKind
	To      target
	Message Message
	Relay   RelayRequest
	Sync    SyncRequest
	Timeout time.Duration

	probe uint64
	sent  time.Time
}

// probe is one node's probe in progress.
type probe struct {
	member  Member
	asked   int       // relays
	waiting int       // relays without an outcome
	by      []id.Node // who has failed to reach the member
	silent  int       // relays that did not answer
	refusal int       // refused connections, this node's own included
	reached bool
}

func (c *Core) probeTimeout() time.Duration {
	return c.timing.ProbeTimeout * time.Duration(1+c.health)
}

func (c *Core) startProbe(now time.Time) []Send {
	m, ok := c.nextTarget()
	if !ok {
		return nil
	}
	c.stats.Probes++
	c.probed++
	c.probes[c.probed] = &probe{member: m, by: []id.Node{c.self.Node}}
	return []Send{{
		Kind:    SendPing,
		To:      targetOf(m),
		Message: c.request(m.Node, m.Incarnation),
		Timeout: c.probeTimeout(),
		probe:   c.probed,
		sent:    now,
	}}
}

// probeDead keeps trying one of the dead now and then, so that a cut heals by
// itself. One probe per interval whatever their number makes no storm.
func (c *Core) probeDead() []Send {
	if len(c.records) == c.living {
		return nil
	}
	var dead []id.Node
	for _, node := range sortedNodes(c.records) {
		if m := c.records[node].member; m.State == Dead && m.Address != "" && !m.Leaves {
			dead = append(dead, node)
		}
	}
	if len(dead) == 0 {
		return nil
	}
	m := c.records[dead[c.random.IntN(len(dead))]].member
	return []Send{{
		Kind:    SendGossip,
		To:      targetOf(m),
		Message: c.request(m.Node, m.Incarnation),
		Timeout: c.probeTimeout(),
	}}
}

// HandlePing answers a probe or gossip.
func (c *Core) HandlePing(now time.Time, message Message) Message {
	c.applyAll(now, message.Updates)
	answer := c.answer(message.From, message.FromIncarnation)
	if message.ToIncarnation != c.self.Incarnation {
		answer.Updates = append(answer.Updates, detailedUpdateOf(c.self))
	}
	sender, known := c.records[message.From]
	answer.SenderUnknown = !known || sender.member.Incarnation < message.FromIncarnation
	return answer
}

// Answered takes in the answer to a ping or to gossip.
func (c *Core) Answered(now time.Time, send Send, answer Message) []Send {
	if send.To.Node != "" && answer.From != send.To.Node {
		return c.Failed(now, send, false) // another process has taken over the address
	}
	wasDead := c.isDead(answer.From)
	lacking := c.applyAll(now, answer.Updates)
	if send.Kind == SendPing {
		delete(c.probes, send.probe)
		c.recover()
	}
	if lacking || answer.SenderUnknown || wasDead {
		return c.syncWith(now, send.To)
	}
	return c.repair(now, send, answer)
}

func (c *Core) isDead(node id.Node) bool {
	r, ok := c.records[node]
	return ok && r.member.State == Dead
}

// Failed takes in that a request got no answer in time, or that the machine
// refused the connection.
func (c *Core) Failed(now time.Time, send Send, refused bool) []Send {
	if send.sent.Before(c.voidBefore) {
		delete(c.probes, send.probe)
		return nil
	}
	switch send.Kind {
	case SendPing:
		c.stats.FailedProbes++
		if p, ok := c.probes[send.probe]; ok && refused {
			p.refusal++
		}
		return c.askRelays(now, send)
	case SendRelay:
		c.relayDone(now, send, func(p *probe) { p.silent++ })
	}
	return nil
}

// askRelays asks other members, of different zones first, to probe the target.
func (c *Core) askRelays(now time.Time, send Send) []Send {
	p, ok := c.probes[send.probe]
	if !ok {
		return nil
	}
	relays := c.pickRelays(p.member.Node)
	if len(relays) == 0 {
		c.conclude(now, send.probe, p)
		return nil
	}
	var sends []Send
	for _, relay := range relays {
		p.asked++
		p.waiting++
		sends = append(sends, Send{
			Kind:    SendRelay,
			To:      targetOf(relay),
			Relay:   RelayRequest{From: c.self.Node, Target: p.member.Node},
			Timeout: 2 * c.probeTimeout(),
			probe:   send.probe,
			sent:    now,
		})
	}
	return sends
}

func (c *Core) pickRelays(target id.Node) []Member {
	candidates := c.pickMembers(2*relayCount, func(m Member) bool {
		return m.Node != target && m.State != Suspect
	})
	var relays, sameZone []Member
	zones := map[string]bool{}
	for _, m := range candidates {
		if zones[m.Zone] {
			sameZone = append(sameZone, m)
			continue
		}
		zones[m.Zone] = true
		relays = append(relays, m)
	}
	relays = append(relays, sameZone...)
	return relays[:min(relayCount, len(relays))]
}

// RelayPing returns the probe that this node makes for another one. It reports
// false if it does not know the target as living.
func (c *Core) RelayPing(request RelayRequest) (Send, bool) {
	r, ok := c.records[request.Target]
	if !ok || r.member.State == Dead || r.member.Address == "" {
		return Send{}, false
	}
	return Send{
		Kind:    SendGossip,
		To:      targetOf(r.member),
		Message: c.request(r.member.Node, r.member.Incarnation),
		Timeout: c.probeTimeout(),
	}, true
}

// Relayed takes in the outcome of an indirect probe.
func (c *Core) Relayed(now time.Time, send Send, answer RelayAnswer) {
	c.relayDone(now, send, func(p *probe) {
		if answer.Reached {
			p.reached = true
			return
		}
		p.by = append(p.by, send.To.Node)
		if answer.Refused {
			p.refusal++
		}
	})
}

func (c *Core) relayDone(now time.Time, send Send, note func(*probe)) {
	p, ok := c.probes[send.probe]
	if !ok {
		return
	}
	note(p)
	p.waiting--
	if p.waiting == 0 || p.reached {
		c.conclude(now, send.probe, p)
	}
}

// conclude ends a probe. Where all the relays were silent too, this node's own
// connection is in doubt.
func (c *Core) conclude(now time.Time, number uint64, p *probe) {
	delete(c.probes, number)
	if p.silent > 0 && p.silent == p.asked {
		c.worsen(1)
	}
	if !p.reached {
		c.suspect(now, p.member, p.by, p.refusal > 1 && p.refusal == len(p.by))
	}
}
