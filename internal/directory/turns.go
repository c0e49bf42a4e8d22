package directory

import (
	"context"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/cloverwheel/cloverwheel/internal/budget"
)

// maxTurns is the number of most recent turns per program whose processes are recorded. It covers all
// branches of the program, so that a branch that pauses for a few turns of the others is still found.
const maxTurns = 16

// turnRecord records which process ran a turn.
type turnRecord struct {
	turn uint64 // hash of the turn's name
	by   budget.Holder
}

// recordTurn records which process ran a turn.
func (e *entry) recordTurn(turn string, by budget.Holder) {
	if len(e.turns) == maxTurns {
		e.turns = slices.Delete(e.turns, 0, 1)
	}
	e.turns = append(e.turns, turnRecord{turn: xxhash.Sum64String(turn), by: e.intern(by)})
}

// intern returns holder, sharing strings with an equal holder in the entry to save memory.
func (e *entry) intern(holder budget.Holder) budget.Holder {
	for _, known := range e.turns {
		if known.by == holder {
			return known.by
		}
	}
	return holder
}

// ranBy returns the process that ran a turn; the zero Holder if it is not recorded.
func (e *entry) ranBy(turn string) budget.Holder {
	hash := xxhash.Sum64String(turn)
	for _, known := range slices.Backward(e.turns) {
		if known.turn == hash {
			return known.by
		}
	}
	return budget.Holder{}
}

// RecordRun reports to the owner of the program's slot that this process has run a turn. It does not
// wait for the owner's answer.
func (d *Directory) RecordRun(program, turn string) {
	go d.ask(context.Background(), Request{Program: program, From: d.options.Self, Ran: turn})
}

// Lookup returns the other process that ran a turn of a program, as a hint. It returns false if this
// process ran the turn, or if the slot's owner has no record, is unknown or does not answer.
func (d *Directory) Lookup(ctx context.Context, program, turn string) (budget.Holder, bool) {
	answer := d.ask(ctx, Request{Program: program, From: d.options.Self, After: turn})
	return answer.RanBy, answer.RanBy.Process != "" && answer.RanBy != d.options.Self
}
