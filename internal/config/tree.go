package config

import (
	"cmp"
	"slices"
	"sync"

	"github.com/cloverwheel/cloverwheel/internal/id"
	"github.com/cloverwheel/cloverwheel/internal/member"
	"github.com/cloverwheel/cloverwheel/internal/peer"
)

// fanOut is the number of children of each node in the tree. At 420 nodes the
// tree has three levels below the leader.
const fanOut = 8

// treeKey ranks the nodes for their places in the tree.
const treeKey = "config"

// ancestorCache keeps the path to the root while the view stays the same.
type ancestorCache struct {
	mutex  sync.Mutex
	view   *member.View
	leader id.Node
	path   []peer.Address
}

// ancestors lists the nodes from this node's parent in the tree up to the
// leader of shard 0. Nodes whose views differ may see different trees; that
// costs time at worst, because each answer carries its own age.
func (s *Service) ancestors() []peer.Address {
	view := s.options.Members()
	var leader member.Member
	if route, ok := s.options.Proposer.Route(HeadShard); ok {
		leader = route.Leader
	}
	s.chain.mutex.Lock()
	defer s.chain.mutex.Unlock()
	if s.chain.view != view || s.chain.leader != leader.Node {
		s.chain.view, s.chain.leader = view, leader.Node
		s.chain.path = ancestorsIn(view, leader)
	}
	return s.chain.path
}

// ancestorsIn lays the usable members out as a heap with the leader at its root.
func ancestorsIn(view *member.View, leader member.Member) []peer.Address {
	if leader.Node == view.Self.Node {
		return nil
	}
	var names []id.Node
	for _, m := range view.Members {
		if m.Node == view.Self.Node || (m.Usable() && m.Node != leader.Node) {
			names = append(names, m.Node)
		}
	}
	names = id.Rank(treeKey, names)
	var path []peer.Address
	for place := slices.Index(names, view.Self.Node) + 1; place > fanOut; {
		place = (place - 1) / fanOut
		parent, _ := view.Lookup(names[place-1])
		path = append(path, parent.Address)
	}
	if leader.Address != "" {
		path = append(path, leader.Address)
	}
	return path
}

// targets lists who must get a new version, nearest places together so that
// few messages cross zones, and suspects last so that nobody waits behind them.
func targets(view *member.View) []peer.Address {
	var members []member.Member
	for _, m := range view.Members {
		if m.State != member.Dead && m.Node != view.Self.Node {
			members = append(members, m)
		}
	}
	slices.SortStableFunc(members, func(a, b member.Member) int {
		return cmp.Or(
			cmp.Compare(boolRank(a.State == member.Suspect), boolRank(b.State == member.Suspect)),
			cmp.Compare(a.Region, b.Region), cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Node, b.Node))
	})
	addresses := make([]peer.Address, len(members))
	for i, m := range members {
		addresses[i] = m.Address
	}
	return addresses
}

func boolRank(value bool) int {
	if value {
		return 1
	}
	return 0
}
