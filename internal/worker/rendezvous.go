package worker

import (
	"sync"

	"github.com/cloverwheel/cloverwheel/internal/id"
	"github.com/cloverwheel/cloverwheel/internal/member"
)

// scope bounds the nodes that may own a worker.
type scope int

const (
	inZone scope = iota
	inRegion
	anywhere
)

// OwnerOf returns the node that owns a worker: by rendezvous hashing over the
// usable nodes of the worker's zone, else of its region, else of all. It returns
// false when no node is usable.
func OwnerOf(view *member.View, worker id.Worker, zone, region string) (member.Member, bool) {
	for _, within := range []scope{inZone, inRegion, anywhere} {
		if owner := bestOwner(view, worker, zone, region, within); owner != nil {
			return *owner, true
		}
	}
	return member.Member{}, false
}

func bestOwner(view *member.View, worker id.Worker, zone, region string, within scope) *member.Member {
	var best *member.Member
	var bestScore uint64
	key := "worker:" + string(worker)
	for index := range view.Members {
		candidate := &view.Members[index]
		if (within == inZone && candidate.Zone != zone) || (within == inRegion && candidate.Region != region) {
			continue
		}
		if !candidate.Usable() {
			continue
		}
		score := id.Score(key, string(candidate.Node))
		if best == nil || score > bestScore || (score == bestScore && candidate.Node < best.Node) {
			best, bestScore = candidate, score
		}
	}
	return best
}

// ownerCache remembers owners for as long as the view stays the same.
type ownerCache struct {
	mutex  sync.Mutex
	view   *member.View
	owners map[id.Worker]member.Member
}

// find is OwnerOf with a memory.
func (c *ownerCache) find(view *member.View, worker id.Worker, zone, region string) (member.Member, bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.view != view {
		c.view = view
		c.owners = map[id.Worker]member.Member{}
	}
	if owner, ok := c.owners[worker]; ok {
		return owner, true
	}
	owner, ok := OwnerOf(view, worker, zone, region)
	if ok {
		c.owners[worker] = owner
	}
	return owner, ok
}
