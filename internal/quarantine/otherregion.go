package quarantine

import (
	"context"
	"maps"
	"slices"

	"github.com/cloverwheel/cloverwheel/internal/budget"
	"github.com/cloverwheel/cloverwheel/internal/locality"
)

// otherRegions tells whether this node has a reason to compare with nodes of other regions. Messages to them are slow and expensive, so nodes
// usually compare within their region, and changes reach the other regions as they occur.
type otherRegions struct {
	compared bool                   // a node of another region has answered a comparison since this process started
	missed   map[budget.Holder]bool // nodes that a change has not reached and that have not answered a comparison since
}

// recordMissed records that a change has not reached a node.
func (r *Replicator) recordMissed(node budget.Holder) {
	if !r.isInOtherRegion(node) {
		return
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.otherRegion.missed == nil {
		r.otherRegion.missed = map[budget.Holder]bool{}
	}
	r.otherRegion.missed[node] = true
}

// syncOtherRegion compares with a node of another region if a change has not reached it, or if none has answered since this process
// started: all nodes of this region may have ended together, and then only others know what they knew.
func (r *Replicator) syncOtherRegion(ctx context.Context) {
	partner, ok := r.partnerInOtherRegion()
	if !ok || !r.compare(ctx, partner) {
		return
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.otherRegion.compared = true
	delete(r.otherRegion.missed, partner)
}

// partnerInOtherRegion returns the node of another region to compare with; ok is false if there is no reason to.
func (r *Replicator) partnerInOtherRegion() (partner budget.Holder, ok bool) {
	known := slices.DeleteFunc(r.otherNodes(), func(node budget.Holder) bool { return !r.isInOtherRegion(node) })
	r.mutex.Lock()
	defer r.mutex.Unlock()
	maps.DeleteFunc(r.otherRegion.missed, func(node budget.Holder, _ bool) bool { return !slices.Contains(known, node) })
	if len(r.otherRegion.missed) > 0 {
		return anyOf(slices.Collect(maps.Keys(r.otherRegion.missed)))
	}
	if r.otherRegion.compared {
		return budget.Holder{}, false
	}
	return anyOf(known)
}

func (r *Replicator) isInOtherRegion(node budget.Holder) bool {
	return r.options.Location.DistanceTo(zoneOf(node)) == locality.OtherRegion
}
