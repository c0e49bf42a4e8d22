package shard

import (
	"context"
	"strconv"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/cloverwheel/cloverwheel/internal/fault"
	"github.com/cloverwheel/cloverwheel/internal/id"
	"github.com/cloverwheel/cloverwheel/internal/member"
	"github.com/cloverwheel/cloverwheel/internal/peer"
	"github.com/cloverwheel/cloverwheel/internal/timing"
)

// Delays between the attempts of a Locator.
const (
	firstRetryDelay = 5 * time.Millisecond
	maxRetryDelay   = 100 * time.Millisecond
)

// rankKey is the key under which nodes are ranked for a shard.
func rankKey(shard id.Shard) string { return "shard/" + strconv.Itoa(int(shard)) }

// rankedMembers orders the usable members for a shard, best first.
func rankedMembers(shard id.Shard, view *member.View) []member.Member {
	if view == nil {
		return nil
	}
	byNode := make(map[id.Node]member.Member, len(view.Members))
	nodes := make([]id.Node, 0, len(view.Members))
	for _, m := range view.Members {
		if m.Usable() {
			byNode[m.Node] = m
			nodes = append(nodes, m.Node)
		}
	}
	ranked := make([]member.Member, 0, len(nodes))
	for _, node := range id.Rank(rankKey(shard), nodes) {
		ranked = append(ranked, byNode[node])
	}
	return ranked
}

// locator implements Locator over a host's routes and the member view.
type locator struct{ host *Host }

// NewLocator returns a Locator that starts from what host knows of leaders.
func NewLocator(host *Host) Locator { return &locator{host} }

// Do implements Locator.
func (l *locator) Do(ctx context.Context, shard id.Shard, attempt func(context.Context, peer.Address) error) error {
	delay := backoff.NewExponentialBackOff()
	delay.InitialInterval, delay.MaxInterval = firstRetryDelay, maxRetryDelay
	search := &search{host: l.host, shard: shard, refused: map[peer.Address]bool{}}
	for {
		err := l.once(ctx, search, attempt)
		if err == nil {
			return nil
		}
		refusal := fault.From(err)
		retry := refusal.Ran == fault.RanNo && (refusal.Code == fault.NotLeader || refusal.Code == fault.Unavailable)
		if !retry {
			return err
		}
		if refusal.Code == fault.NotLeader && search.follow(peer.Address(refusal.Hint)) {
			continue
		}
		if err := timing.Sleep(ctx, delay.NextBackOff()); err != nil {
			return fault.Newf(fault.Unavailable, "try again", "the leader of shard %d was not found in time (last: %s)", shard, refusal.Message).WithRetryAfter(l.host.options.ElectionTimeout)
		}
	}
}

func (l *locator) once(ctx context.Context, search *search, attempt func(context.Context, peer.Address) error) error {
	address, ok := search.next()
	if !ok {
		return fault.New(fault.Unavailable, "no node is known that could hold the shard", "try again when nodes have been found")
	}
	err := attempt(ctx, address)
	if err != nil {
		search.refuse(address)
	}
	return err
}

// search remembers, within one Do, who was asked in vain.
type search struct {
	host    *Host
	shard   id.Shard
	hint    peer.Address
	refused map[peer.Address]bool
}

// follow takes a hint, unless it names one that refused already.
func (s *search) follow(hint peer.Address) bool {
	if hint == "" || s.refused[hint] {
		return false
	}
	s.hint = hint
	return true
}

func (s *search) refuse(address peer.Address) {
	s.refused[address] = true
	s.hint = ""
}

// next chooses the hinted node, the known leader, or the best-ranked node that
// has not refused. Once all have refused it starts over.
func (s *search) next() (peer.Address, bool) {
	if s.hint != "" {
		return s.hint, true
	}
	if _, leads := s.host.Leads(s.shard); leads && !s.refused[s.host.options.Self.Address] {
		return s.host.options.Self.Address, true
	}
	if route, ok := s.host.Route(s.shard); ok && !s.refused[route.Leader.Address] {
		return route.Leader.Address, true
	}
	members := rankedMembers(s.shard, s.host.view())
	for _, m := range members {
		if !s.refused[m.Address] {
			return m.Address, true
		}
	}
	clear(s.refused)
	if len(members) == 0 {
		return "", false
	}
	return members[0].Address, true
}
