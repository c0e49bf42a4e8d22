package experience

import (
	"sync"
	"time"
)

// mostBoards bounds the groups whose experience a process keeps.
const mostBoards = 256

// Options of Boards.
type Options[Group comparable] struct {
	// Members lists the keys of a group's workers, in an order that does not change by itself.
	Members func(Group) []string
	// Busy is the share of a group's places that are taken; nil: not known, it counts as nothing.
	Busy func(Group) float64
	// OnChange is told each decision; nil: nobody is.
	OnChange func(Group, Change)
}

// Boards are those of the groups that a process keeps. It is safe for concurrent use.
type Boards[Group comparable] struct {
	options Options[Group]
	mutex   sync.Mutex
	boards  map[Group]*groupBoard
}

type groupBoard struct {
	*Board
	newest time.Time // when it was last used
}

// NewBoards returns boards of no group yet.
func NewBoards[Group comparable](options Options[Group]) *Boards[Group] {
	return &Boards[Group]{options: options, boards: map[Group]*groupBoard{}}
}

// Learn takes in what a node has seen of a group's workers.
func (b *Boards[Group]) Learn(group Group, from string, samples []Sample, now time.Time) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if board := b.board(group, now); board != nil {
		board.Add(from, samples, now)
	}
}

// Verdicts is what the answer to one node says of a group's workers.
func (b *Boards[Group]) Verdicts(group Group, now time.Time) []Verdict {
	members := b.options.Members(group)
	busy := 0.0
	if b.options.Busy != nil {
		busy = b.options.Busy(group)
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	board := b.board(group, now)
	if board == nil {
		return nil
	}
	board.SetBusy(busy)
	return board.Verdicts(members, now)
}

// board is that of a group; nil if there are too many. The caller holds the mutex.
func (b *Boards[Group]) board(group Group, now time.Time) *groupBoard {
	known, ok := b.boards[group]
	if !ok {
		b.forget(now)
		if len(b.boards) >= mostBoards {
			return nil
		}
		known = &groupBoard{Board: New(b.changed(group))}
		b.boards[group] = known
	}
	known.newest = now
	return known
}

func (b *Boards[Group]) changed(group Group) func(Change) {
	if b.options.OnChange == nil {
		return nil
	}
	return func(change Change) { b.options.OnChange(group, change) }
}

// forget drops the boards that were not used for long. The caller holds the mutex.
func (b *Boards[Group]) forget(now time.Time) {
	for group, board := range b.boards {
		if now.Sub(board.newest) > forgetAfter {
			delete(b.boards, group)
		}
	}
}
