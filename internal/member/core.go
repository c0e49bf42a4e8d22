package member

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"
	"unique"

	"github.com/cloverwheel/cloverwheel/internal/id"
	"github.com/cloverwheel/cloverwheel/internal/peer"
)

// Core is the membership protocol of one node, without I/O and without a clock
// of its own. It is not safe for concurrent use.
type Core struct {
	timing  Timing
	random  *rand.Rand
	self    Member
	records map[id.Node]*record // of all other nodes, the dead included
	living  int                 // records that are not dead
	table   uint64              // digest of the living records

	ring     []id.Node // this round's targets of probes, in random order
	ringNext int
	pending  newsQueue
	suspects map[id.Node]*record
	probes   map[uint64]*probe
	probed   uint64 // identifier of the last probe

	health       int     // 0 is healthy; each point widens this node's timeouts
	allowance    float64 // messages of gossip that may still be sent
	hastened     int     // bursts still due though there may be no news
	superseded   bool
	gone         bool // this node has said farewell
	changed      bool
	lastTick     time.Time
	voidBefore   time.Time // failures of what was sent before count for nothing
	nextProbe    time.Time
	nextDead     time.Time
	nextSync     time.Time
	nextForget   time.Time
	nextRepair   time.Time // earliest exchange because of unequal digests
	lastPeerSync map[id.Node]time.Time

	stats Stats
}

// Stats counts what the protocol has met since it started.
type Stats struct {
	Probes          uint64
	FailedProbes    uint64 // direct probes without an answer
	Suspicions      uint64 // raised by this node
	Deaths          uint64 // members that this node has seen die
	Refutations     uint64 // suspicions of this node that it denied
	FalseDeaths     uint64 // declarations of this node's death that it denied
	Syncs           uint64
	Pauses          uint64 // of this process, found by missing ticks
	Health          int
	PendingUpdates  int
	RememberedDeath int
}

// record is what a node knows of another.
type record struct {
	member    Member
	changedAt time.Time  // of the state
	suspicion *suspicion // set while the state is Suspect
	deadBy    []id.Node  // who concluded its death, or the node itself
}

// NewCore returns the core of a node that knows only itself.
func NewCore(self Member, timing Timing, seed uint64, now time.Time) *Core {
	self.State, self.Leaves = Alive, false
	c := &Core{
		timing:       timing.withDefaults(),
		random:       rand.New(rand.NewPCG(seed, uint64(self.Incarnation))),
		self:         self,
		records:      map[id.Node]*record{},
		pending:      newNewsQueue(),
		suspects:     map[id.Node]*record{},
		probes:       map[uint64]*probe{},
		lastPeerSync: map[id.Node]time.Time{},
		lastTick:     now,
		allowance:    burstAllowance,
		changed:      true,
	}
	c.nextProbe = now.Add(c.jitter(c.timing.ProbeInterval))
	c.nextDead = now.Add(c.jitter(c.timing.DeadProbeInterval))
	c.nextSync = now.Add(c.jitter(c.timing.SyncInterval))
	c.nextForget = now.Add(c.timing.DeadRetention)
	c.pending.add(detailedUpdateOf(c.self))
	return c
}

// jitter returns a random part of wait, so that nodes do not act in step.
func (c *Core) jitter(wait time.Duration) time.Duration {
	return time.Duration(c.random.Int64N(int64(wait) + 1))
}

// Self returns this node as it announces itself.
func (c *Core) Self() Member { return c.self }

// Superseded reports whether a later process runs under this node's name.
func (c *Core) Superseded() bool { return c.superseded }

// Stats returns the counters.
func (c *Core) Stats() Stats {
	stats := c.stats
	stats.Health = c.health
	stats.PendingUpdates = c.pending.len()
	stats.RememberedDeath = len(c.records) - c.living
	return stats
}

// TakeChanged reports whether the view has changed since the last call.
func (c *Core) TakeChanged() bool {
	changed := c.changed
	c.changed = false
	return changed
}

// View returns the picture of the cluster.
func (c *Core) View() *View {
	view := &View{Self: c.self, Members: make([]Member, 0, c.living+1)}
	view.Members = append(view.Members, c.self)
	for _, r := range c.records {
		if r.member.State != Dead && r.member.Address != "" {
			view.Members = append(view.Members, r.member)
		}
	}
	slices.SortFunc(view.Members, func(a, b Member) int { return strings.Compare(string(a.Node), string(b.Node)) })
	return view
}

// Lookup returns what is known of a node, even if it is dead.
func (c *Core) Lookup(node id.Node) (Member, bool) {
	if node == c.self.Node {
		return c.self, true
	}
	if r, ok := c.records[node]; ok {
		return r.member, true
	}
	return Member{}, false
}

// nodes counts the living, this node included.
func (c *Core) nodes() int { return c.living + 1 }

// Tick lets time pass and returns what is to be sent now. It should be called
// every GossipInterval.
func (c *Core) Tick(now time.Time) []Send {
	c.noticePause(now)
	c.expireSuspicions(now)
	c.forgetDead(now)
	var sends []Send
	if !now.Before(c.nextProbe) {
		c.nextProbe = now.Add(c.timing.ProbeInterval)
		sends = append(sends, c.startProbe(now)...)
	}
	if !now.Before(c.nextDead) {
		c.nextDead = now.Add(c.timing.DeadProbeInterval)
		sends = append(sends, c.probeDead()...)
	}
	if !now.Before(c.nextSync) {
		c.nextSync = now.Add(c.timing.SyncInterval)
		sends = append(sends, c.syncRandom(now)...)
	}
	return append(sends, c.burst()...)
}

// noticePause gives every suspect the time that this process has missed, since
// its denial may be waiting unread.
func (c *Core) noticePause(now time.Time) {
	gap := now.Sub(c.lastTick)
	c.lastTick = now
	c.allowance = min(burstAllowance, c.allowance+burstRefill*gap.Seconds())
	if gap < pauseFactor*c.timing.GossipInterval {
		return
	}
	c.stats.Pauses++
	c.voidBefore = now
	c.worsen(2)
	for _, suspect := range c.suspects {
		suspect.suspicion.started = suspect.suspicion.started.Add(gap)
	}
}

func (c *Core) expireSuspicions(now time.Time) {
	for _, node := range sortedNodes(c.suspects) {
		suspect := c.suspects[node]
		if now.Before(suspect.suspicion.deadline()) {
			continue
		}
		update := updateOf(suspect.member)
		update.State, update.By, update.Refused = Dead, suspect.suspicion.by, suspect.suspicion.refused
		c.adopt(now, suspect, update)
	}
}

// forgetDead drops those who died long ago. Until then old news cannot bring
// them back to life.
func (c *Core) forgetDead(now time.Time) {
	if now.Before(c.nextForget) {
		return
	}
	c.nextForget = now.Add(c.timing.DeadRetention / 16)
	for node, r := range c.records {
		if r.member.State == Dead && now.Sub(r.changedAt) >= c.timing.DeadRetention {
			delete(c.records, node)
			delete(c.lastPeerSync, node)
		}
	}
}

// worsen and recover move the score of local health.
func (c *Core) worsen(points int) { c.health = min(c.health+points, maxHealth) }
func (c *Core) recover()          { c.health = max(c.health-1, 0) }

// Hasten makes the next bursts of gossip happen though no member has changed, so
// that riders' news spreads in less than a second.
func (c *Core) Hasten() {
	c.hastened = max(c.hastened, 1+transmitLimit(c.nodes())/gossipFanout)
}

// Leave announces that this node stops; it takes no new work any more.
func (c *Core) Leave() {
	if c.self.Leaves {
		return
	}
	c.self.State, c.self.Leaves = Leaving, true
	c.self.Refutation++
	c.announceSelf()
}

// Farewell announces that this node is gone, and returns the messages that tell
// a few others, who pass it on.
func (c *Core) Farewell() []Send {
	c.gone = true
	update := updateOf(c.self)
	update.State, update.By = Dead, []id.Node{c.self.Node}
	c.pending.add(update)
	c.Hasten()
	return c.gossip()
}

// announceSelf spreads this node's own state.
func (c *Core) announceSelf() {
	c.changed = true
	c.pending.add(updateOf(c.self))
}

// withDetails fills in the fixed parts of a member, sharing equal zone names.
func withDetails(m Member, details *Details) Member {
	m.Address, m.Public = details.Address, details.Public
	m.Zone = unique.Make(details.Zone).Value()
	m.Region = unique.Make(details.Region).Value()
	return m
}

// sortedNodes makes iteration repeatable for a given seed.
func sortedNodes[V any](set map[id.Node]V) []id.Node {
	nodes := make([]id.Node, 0, len(set))
	for node := range set {
		nodes = append(nodes, node)
	}
	slices.Sort(nodes)
	return nodes
}

// target is what a message needs to know of its receiver.
type target struct {
	Node        id.Node // empty where only the address is known
	Incarnation id.Incarnation
	Address     peer.Address
}

func targetOf(m Member) target {
	return target{Node: m.Node, Incarnation: m.Incarnation, Address: m.Address}
}
