package member

import (
	"math"
	"slices"
	"time"

	"github.com/cloverwheel/cloverwheel/internal/id"
)

// suspicion is the time left to a node that did not answer. It starts long and
// shrinks as further nodes confirm it, so that one slow node alone kills nobody
// quickly.
type suspicion struct {
	started  time.Time
	shortest time.Duration
	longest  time.Duration
	needed   int // confirmations beyond the first that shorten it fully
	refused  bool
	by       []id.Node
}

// newSuspicion starts a suspicion as seen by a node of the given local health.
func newSuspicion(now time.Time, timing Timing, nodes, health int) *suspicion {
	shortest := timing.shortestSuspicion(nodes) * time.Duration(1+health)
	return &suspicion{
		started:  now,
		shortest: shortest,
		longest:  longestSuspicion * shortest,
		needed:   max(0, min(neededConfirmations, nodes-2)),
	}
}

// newRefusal starts the short suspicion of a process that is surely gone.
func newRefusal(now time.Time, timing Timing, nodes int) *suspicion {
	shortest := timing.refusedSuspicion(nodes)
	return &suspicion{started: now, shortest: shortest, longest: shortest, refused: true}
}

// confirm notes who suspects the node and reports whether any of them is new.
func (s *suspicion) confirm(by []id.Node) bool {
	changed := false
	for _, node := range by {
		if len(s.by) <= s.needed && !slices.Contains(s.by, node) {
			s.by = append(s.by, node)
			changed = true
		}
	}
	return changed
}

// deadline is when the suspect counts as dead.
func (s *suspicion) deadline() time.Time {
	if s.needed == 0 {
		return s.started.Add(s.shortest)
	}
	confirmed := min(max(len(s.by)-1, 0), s.needed)
	share := math.Log(float64(confirmed+1)) / math.Log(float64(s.needed+1))
	return s.started.Add(s.longest - time.Duration(share*float64(s.longest-s.shortest)))
}
