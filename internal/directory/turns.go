package directory

import (
	"context"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/cloverwheel/cloverwheel/internal/budget"
)

// maxTurns is of how many turns of a program, the newest, it is remembered who ran them: of all its
// lines together, so that a line that rests for some turns of the others is still known.
const maxTurns = 16

// ran is who ran a turn.
type ran struct {
	turn uint64 // hash of its name
	by   budget.Holder
}

// noteRan remembers who ran a turn.
func (e *entry) noteRan(turn string, by budget.Holder) {
	if len(e.turns) == maxTurns {
		e.turns = slices.Delete(e.turns, 0, 1)
	}
	e.turns = append(e.turns, ran{turn: xxhash.Sum64String(turn), by: e.same(by)})
}

// same is a holder whose texts are shared with those that are remembered already.
func (e *entry) same(holder budget.Holder) budget.Holder {
	for _, known := range e.turns {
		if known.by == holder {
			return known.by
		}
	}
	return holder
}

// ranBy is who ran a turn; no process if that is not remembered.
func (e *entry) ranBy(turn string) budget.Holder {
	hash := xxhash.Sum64String(turn)
	for _, known := range slices.Backward(e.turns) {
		if known.turn == hash {
			return known.by
		}
	}
	return budget.Holder{}
}

// NoteRan tells the owner of the program's slot that this process has run a turn. It does not wait
// for the owner.
func (d *Directory) NoteRan(program, turn string) {
	go d.ask(context.Background(), Request{Program: program, From: d.options.Self, Ran: turn})
}

// RanBy asks which other process ran a turn of a program. It is a hint, and false where the owner of
// the program's slot does not remember, is not known or does not answer.
func (d *Directory) RanBy(ctx context.Context, program, turn string) (budget.Holder, bool) {
	answer := d.ask(ctx, Request{Program: program, From: d.options.Self, After: turn})
	return answer.RanBy, answer.RanBy.Process != "" && answer.RanBy != d.options.Self
}
