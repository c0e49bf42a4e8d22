package outlier

import (
	"sync"
	"time"
)

// maxBoards bounds the number of groups.
const maxBoards = 256

// Options configure Detectors.
type Options[Group comparable] struct {
	// Members returns the keys of a group's workers, in a stable order.
	Members func(Group) []string
	// Utilization returns the utilization of a group's capacity; nil means 0.
	Utilization func(Group) float64
	// OnChange is called for each decision; nil ignores them. Boards is locked meanwhile, so
	// OnChange must not call its methods.
	OnChange func(Group, Change)
}

// Detectors holds a Detector per group. It is safe for concurrent use.
type Detectors[Group comparable] struct {
	options Options[Group]
	mutex   sync.Mutex
	boards  map[Group]*groupBoard
}

type groupBoard struct {
	*Detector
	lastUsed time.Time
}

// NewDetectors returns an empty set of boards.
func NewDetectors[Group comparable](options Options[Group]) *Detectors[Group] {
	return &Detectors[Group]{options: options, boards: map[Group]*groupBoard{}}
}

// Add merges the report of the node from about a group's workers. It ignores the report if there
// are too many groups.
func (b *Detectors[Group]) Add(group Group, from string, samples []Sample, now time.Time) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if board := b.boardOf(group, now); board != nil {
		board.Add(from, samples, now)
	}
}

// Verdicts returns the verdicts on a group's workers for one node; see Detector.Verdicts. It returns
// nil if there are too many groups.
func (b *Detectors[Group]) Verdicts(group Group, now time.Time) []Verdict {
	members := b.options.Members(group)
	busy := 0.0
	if b.options.Utilization != nil {
		busy = b.options.Utilization(group)
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	board := b.boardOf(group, now)
	if board == nil {
		return nil
	}
	board.SetUtilization(busy)
	return board.Verdicts(members, now)
}

// boardOf returns the board of a group, created if necessary, or nil if there are too many. The
// caller holds the mutex.
func (b *Detectors[Group]) boardOf(group Group, now time.Time) *groupBoard {
	existing, ok := b.boards[group]
	if !ok {
		b.dropIdle(now)
		if len(b.boards) >= maxBoards {
			return nil
		}
		existing = &groupBoard{Detector: New(b.changeHandler(group))}
		b.boards[group] = existing
	}
	existing.lastUsed = now
	return existing
}

func (b *Detectors[Group]) changeHandler(group Group) func(Change) {
	if b.options.OnChange == nil {
		return nil
	}
	return func(change Change) { b.options.OnChange(group, change) }
}

// dropIdle removes boards that have not been used for stateTTL. The caller holds the mutex.
func (b *Detectors[Group]) dropIdle(now time.Time) {
	for group, board := range b.boards {
		if now.Sub(board.lastUsed) > stateTTL {
			delete(b.boards, group)
		}
	}
}
