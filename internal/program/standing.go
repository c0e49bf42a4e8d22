package program

import (
	"github.com/cloverwheel/cloverwheel/internal/id"
)

// Standing is what a shard knows of one attempt of a call.
type Standing uint8

// The standings.
const (
	// StandingOpen: the attempt runs or may still be started.
	StandingOpen Standing = iota
	// StandingOver: it has an outcome, and its settlement is known.
	StandingOver
	// StandingVoid: it was never started and, by a committed entry, never will
	// be, or its settlement has been acknowledged.
	StandingVoid
	// StandingForgotten: its program is not known any more.
	StandingForgotten
)

// StandingOf returns what became of an attempt, and for StandingOver the tokens
// that it spent.
func (m *Machine) StandingOf(tenant id.Tenant, request id.Request) (Standing, int64) {
	if settlement, ok := m.Settlements[request]; ok {
		return StandingOver, settlement.Spent
	}
	program, number, attempt, ok := request.Parts()
	view, problem := m.View(program, tenant)
	switch {
	case !ok || problem != nil:
		return StandingForgotten, 0
	case view.Ended || number < view.Turn:
		return StandingVoid, 0
	}
	next := view.Attempt
	if call, known := m.Call(program, number); known {
		next = call.Attempt
	}
	if number == view.Turn && attempt < next {
		return StandingVoid, 0
	}
	return StandingOpen, 0
}
