package capacity

import (
	"sync"

	"github.com/cloverwheel/cloverwheel/internal/budget"
	"github.com/cloverwheel/cloverwheel/internal/directory"
	"github.com/cloverwheel/cloverwheel/internal/locality"
)

// SlotOwners resolves the owners of directory slots.
type SlotOwners interface {
	// Owner returns the owner of a slot, and whether it may be contacted: it is known and has not just
	// failed to answer. An unknown owner is empty.
	Owner(slot int) (budget.Holder, bool)
	// RequestRefresh records that another process disagrees on the ownership of slots.
	RequestRefresh()
}

// CoordinatorResolver resolves the coordinator of each group: the owner of a directory slot in the
// region of the group's workers.
type CoordinatorResolver struct {
	Layout     directory.Layout
	Localities *locality.ZoneMap
	Owners     SlotOwners

	ranked sync.Map // cache of slotsFor: Group -> []int
}

// coordinator returns the process that this node considers the coordinator of a group: the first
// answering owner in the group's zone, in the order of its ranked slots, or else the first in
// another zone. Processes for which skip is true are skipped. passed reports that a process of
// higher rank was skipped or does not answer. ok is false if there is no such owner.
func (s *CoordinatorResolver) coordinator(group Group, skip func(process string) bool) (coordinator budget.Holder, passed, ok bool) {
	for _, slot := range s.slotsFor(group) {
		owner, answering := s.Owners.Owner(slot)
		sameZone := locality.ZoneOf(owner.Process) == group.Zone
		switch {
		case owner.Process == "" || ok && !sameZone:
		case !answering || skip(owner.Process):
			passed = true
		case sameZone:
			return owner, passed, true
		default:
			coordinator, ok = owner, true
		}
	}
	return coordinator, passed, ok
}

// slotsFor returns the slots whose owners may coordinate a group, best first.
func (s *CoordinatorResolver) slotsFor(group Group) []int {
	if cached, ok := s.ranked.Load(group); ok {
		return cached.([]int)
	}
	ranked := group.rankSlots(s.Layout.SlotsOf(s.Localities.Region(group.Zone)))
	s.ranked.Store(group, ranked)
	return ranked
}
