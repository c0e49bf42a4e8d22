package experience

import (
	"sync"
	"time"
)

// maxBoards bounds the number of groups.
const maxBoards = 256

// Options configure Boards.
type Options[Group comparable] struct {
	// Members returns the keys of a group's workers, in a stable order.
	Members func(Group) []string
	// Busy returns the utilization of a group's capacity; nil means 0.
	Busy func(Group) float64
	// OnChange is called for each decision; nil ignores them. Boards is locked meanwhile, so
	// OnChange must not call its methods.
	OnChange func(Group, Change)
}

// Boards holds a Board per group. It is safe for concurrent use.
type Boards[Group comparable] struct {
	options Options[Group]
	mutex   sync.Mutex
	boards  map[Group]*groupBoard
}

type groupBoard struct {
	*Board
	lastUsed time.Time
}

// NewBoards returns an empty set of boards.
func NewBoards[Group comparable](options Options[Group]) *Boards[Group] {
	return &Boards[Group]{options: options, boards: map[Group]*groupBoard{}}
}

// Learn merges the report of the node from about a group's workers. It ignores the report if there
// are too many groups.
func (b *Boards[Group]) Learn(group Group, from string, samples []Sample, now time.Time) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if board := b.boardOf(group, now); board != nil {
		board.Add(from, samples, now)
	}
}

// Verdicts returns the verdicts on a group's workers for one node; see Board.Verdicts. It returns
// nil if there are too many groups.
func (b *Boards[Group]) Verdicts(group Group, now time.Time) []Verdict {
	members := b.options.Members(group)
	busy := 0.0
	if b.options.Busy != nil {
		busy = b.options.Busy(group)
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	board := b.boardOf(group, now)
	if board == nil {
		return nil
	}
	board.SetBusy(busy)
	return board.Verdicts(members, now)
}

// boardOf returns the board of a group, created if necessary, or nil if there are too many. The
// caller holds the mutex.
func (b *Boards[Group]) boardOf(group Group, now time.Time) *groupBoard {
	existing, ok := b.boards[group]
	if !ok {
		b.dropIdle(now)
		if len(b.boards) >= maxBoards {
			return nil
		}
		existing = &groupBoard{Board: New(b.changeHandler(group))}
		b.boards[group] = existing
	}
	existing.lastUsed = now
	return existing
}

func (b *Boards[Group]) changeHandler(group Group) func(Change) {
	if b.options.OnChange == nil {
		return nil
	}
	return func(change Change) { b.options.OnChange(group, change) }
}

// dropIdle removes boards that have not been used for stateTTL. The caller holds the mutex.
func (b *Boards[Group]) dropIdle(now time.Time) {
	for group, board := range b.boards {
		if now.Sub(board.lastUsed) > stateTTL {
			delete(b.boards, group)
		}
	}
}
