package room

import (
	"sync"

	"github.com/cloverwheel/cloverwheel/internal/budget"
	"github.com/cloverwheel/cloverwheel/internal/directory"
	"github.com/cloverwheel/cloverwheel/internal/locality"
)

// Owners tell which processes own directory slots.
type Owners interface {
	// Owner is the owner of a slot, unless it is unknown or has just not answered.
	Owner(slot int) (budget.Holder, bool)
	// Doubt notes that another process sees the slots otherwise.
	Doubt()
}

// Slots tell who keeps each group: the owner of a slot in the region of the group's workers.
type Slots struct {
	Layout directory.Layout
	Places *locality.Map
	Owners Owners

	orders sync.Map // Group -> []int
}

// keeper is the process that keeps a group, as far as this node knows: the owner of the first slot
// in the group's order that stands in its zone, or else of the first one. Processes that skip names
// are passed over; passed says that one of them would have come before.
func (s *Slots) keeper(group Group, skip func(process string) bool) (keeper budget.Holder, passed, ok bool) {
	for _, slot := range s.order(group) {
		owner, answers := s.Owners.Owner(slot)
		near := locality.ZoneOf(owner.Process) == group.Zone
		switch {
		case owner.Process == "" || ok && !near:
		case !answers || skip(owner.Process):
			passed = true
		case near:
			return owner, passed, true
		default:
			keeper, ok = owner, true
		}
	}
	return keeper, passed, ok
}

// order is the order of the slots whose owners may keep a group.
func (s *Slots) order(group Group) []int {
	if known, ok := s.orders.Load(group); ok {
		return known.([]int)
	}
	order := group.slotOrder(s.Layout.Of(s.Places.Region(group.Zone)))
	s.orders.Store(group, order)
	return order
}
