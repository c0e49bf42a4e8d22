package shard

import (
	"context"
	"slices"
	"time"

	"github.com/cloverwheel/cloverwheel/internal/id"
	"github.com/cloverwheel/cloverwheel/internal/member"
)

// desiredMembers chooses the nodes that should hold a shard: the best-ranked
// usable ones, as few as possible in the same zone.
func desiredMembers(shard id.Shard, view *member.View, replicas int) []member.Member {
	ranked := rankedMembers(shard, view)
	var chosen []member.Member
	taken := map[string]int{}
	for round := 0; len(chosen) < replicas && len(chosen) < len(ranked); round++ {
		for _, m := range ranked {
			if len(chosen) == replicas {
				break
			}
			if taken[m.Zone] == round && !slices.ContainsFunc(chosen, func(c member.Member) bool { return c.Node == m.Node }) {
				taken[m.Zone]++
				chosen = append(chosen, m)
			}
		}
	}
	return chosen
}

// wishes caches the desired members of a shard for one view.
type wishes struct {
	view    *member.View
	members []member.Member
}

func (w *wishes) get(shard id.Shard, view *member.View, replicas int) []member.Member {
	if w.view != view {
		w.view, w.members = view, desiredMembers(shard, view, replicas)
	}
	return w.members
}

// groupPicture is the snapshot that a membership decision is made on.
type groupPicture struct {
	self          ReplicaID
	configuration Configuration
	desired       []member.Member
	caughtUp      map[ReplicaID]bool
	gone          map[ReplicaID]bool // dead, superseded or leaving
	replicas      int
}

// decision is the next step towards the desired members; the zero value is none.
type decision struct {
	change   Change
	transfer ReplicaID
	repair   bool // false: the step only moves what works as it is
}

// decide chooses one step. New members come before old ones go.
func decide(p groupPicture) decision {
	for _, seat := range p.configuration.Seats {
		if seat.Voter {
			continue
		}
		if p.gone[seat.Replica] || !p.wants(seat.Replica) {
			return decision{change: Change{RemoveMember, seat}, repair: true}
		}
		if p.caughtUp[seat.Replica] {
			return decision{change: Change{PromoteLearner, seat}, repair: true}
		}
		return decision{}
	}
	if missing, ok := p.missing(); ok {
		return decision{change: Change{AddLearner, seatOf(missing)}, repair: p.good() < p.replicas}
	}
	if step, ok := p.removeSurplus(); ok {
		return step
	}
	return p.balance()
}

func (p groupPicture) wants(replica ReplicaID) bool {
	return slices.ContainsFunc(p.desired, func(m member.Member) bool { return (ReplicaID{m.Node, m.Incarnation}) == replica })
}

// missing finds a live desired member without a seat.
func (p groupPicture) missing() (member.Member, bool) {
	for _, m := range p.desired {
		if _, ok := p.configuration.Seat(ReplicaID{m.Node, m.Incarnation}); !ok && m.State == member.Alive {
			return m, true
		}
	}
	return member.Member{}, false
}

// good counts the voters that are not gone.
func (p groupPicture) good() int {
	count := 0
	for _, seat := range p.configuration.Seats {
		if seat.Voter && !p.gone[seat.Replica] {
			count++
		}
	}
	return count
}

// removeSurplus removes a gone member, or one that is not desired once all the
// desired ones vote. The leader first hands its leadership on.
func (p groupPicture) removeSurplus() (decision, bool) {
	full := true
	for _, m := range p.desired {
		seat, ok := p.configuration.Seat(ReplicaID{m.Node, m.Incarnation})
		full = full && ok && seat.Voter
	}
	for _, wantGone := range []bool{true, false} {
		for _, seat := range p.configuration.Seats {
			surplus := !wantGone && full && len(p.desired) > 0 && !p.wants(seat.Replica)
			if p.gone[seat.Replica] != wantGone || (!wantGone && !surplus) || len(p.configuration.Seats) == 1 {
				continue
			}
			if seat.Replica != p.self {
				return decision{change: Change{RemoveMember, seat}, repair: wantGone}, true
			}
			if heir, ok := p.heir(); ok {
				return decision{transfer: heir, repair: wantGone}, true
			}
		}
	}
	return decision{}, false
}

// heir chooses who should lead instead of this node.
func (p groupPicture) heir() (ReplicaID, bool) {
	for _, m := range p.desired {
		replica := ReplicaID{m.Node, m.Incarnation}
		if seat, ok := p.configuration.Seat(replica); ok && seat.Voter && replica != p.self && !p.gone[replica] && p.caughtUp[replica] {
			return replica, true
		}
	}
	return ReplicaID{}, false
}

// balance moves the leadership to the best-ranked member.
func (p groupPicture) balance() decision {
	if len(p.desired) == 0 || p.desired[0].State != member.Alive {
		return decision{}
	}
	best := ReplicaID{p.desired[0].Node, p.desired[0].Incarnation}
	if heir, ok := p.heir(); ok && best != p.self && heir == best {
		return decision{transfer: best}
	}
	return decision{}
}

// minLeadership is how long a leader stays before it is moved without need.
const minLeadership = 2 * time.Second

// maintain takes the next membership step of each led group.
func (h *Host) maintain(context.Context) {
	view := h.view()
	if view == nil {
		return
	}
	now := time.Now()
	for _, g := range h.list() {
		g.maintain(view, now)
	}
}

func (g *group) maintain(view *member.View, now time.Time) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.closed || g.sealed > 0 || !g.replica.Ready() {
		return
	}
	g.announce()
	step := decide(g.picture(view, now))
	if step == (decision{}) || !g.permitted(step, now) {
		return
	}
	if step.transfer != (ReplicaID{}) {
		g.replica.Transfer(step.transfer, now)
	} else if err := g.replica.ProposeChange(step.change, now); err == nil {
		g.host.metrics.changes.Inc()
		g.host.options.Log.WithField("shard", g.shard).WithField("change", step.change.Kind.String()).WithField("node", step.change.Seat.Replica.Node).Info("member change")
	}
	g.drain(nil)
}

// permitted keeps the steps to their rates. A new group serves nothing before it
// has grown, so its growth is not held back.
func (g *group) permitted(step decision, now time.Time) bool {
	if step.repair && !g.grown() {
		return true
	}
	if step.repair || g.host.handing.Load() {
		return g.host.changes.AllowN(now, 1)
	}
	return now.Sub(g.ledSince) >= minLeadership && g.host.moves.AllowN(now, 1)
}

func (g *group) picture(view *member.View, now time.Time) groupPicture {
	configuration, _ := g.replica.Configuration()
	p := groupPicture{
		self: g.host.self, configuration: configuration, replicas: g.host.options.Replicas,
		desired:  g.wished.get(g.shard, view, g.host.options.Replicas),
		caughtUp: map[ReplicaID]bool{}, gone: map[ReplicaID]bool{},
	}
	if g.host.handing.Load() {
		p.desired = slices.DeleteFunc(slices.Clone(p.desired), func(m member.Member) bool { return m.Node == g.host.self.Node })
	}
	for _, seat := range configuration.Seats {
		p.caughtUp[seat.Replica] = g.replica.caughtUp(seat)
		p.gone[seat.Replica] = g.gone(seat.Replica, view, now)
	}
	return p
}

// gone reports whether a member must be replaced: it leaves, or the view lacks
// it and it has not answered lately either.
func (g *group) gone(replica ReplicaID, view *member.View, now time.Time) bool {
	if replica == g.host.self {
		return g.host.handing.Load() || view.Self.State == member.Leaving
	}
	m, ok := view.Lookup(replica.Node)
	if ok && m.Incarnation == replica.Incarnation {
		return m.State == member.Leaving || m.State == member.Dead
	}
	p, ok := g.replica.progress[replica]
	return ok && now.Sub(p.heard) > g.host.options.ElectionTimeout
}

// String names the kind for logs.
func (k ChangeKind) String() string {
	switch k {
	case AddLearner:
		return "add_learner"
	case PromoteLearner:
		return "promote"
	case RemoveMember:
		return "remove"
	}
	return "none"
}

func (h *Host) view() *member.View {
	if h.options.Members == nil {
		return nil
	}
	return h.options.Members()
}

// wanted is the number of replicas that the present cluster can give.
func (h *Host) wanted() int {
	view := h.view()
	usable := 0
	if view != nil {
		for _, m := range view.Members {
			if m.Usable() {
				usable++
			}
		}
	}
	return max(1, min(h.options.Replicas, usable))
}
