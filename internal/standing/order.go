package standing

import (
	"cmp"
	"time"
)

// longestStill is how long a program whose time is lost may get no further before it comes as if it
// were in time: its caller still waits for it.
const longestStill = time.Second

// tightShare is the part of what a program needs still below which its slack is tight: one turn in
// four that waits as long as it runs uses it up.
const tightShare = 0.25

// Class is how a program comes among those of the same urgency.
type Class int

// The classes, first to last.
const (
	Tight    Class = iota // under way, with little slack
	UnderWay              // under way, with more, or nothing is known of its time
	Late                  // under way, and its time is lost
	New                   // it has had no turn yet
)

// String implements fmt.Stringer.
func (c Class) String() string {
	switch c {
	case Tight:
		return "tight"
	case UnderWay:
		return "under_way"
	case Late:
		return "late"
	default:
		return "new"
	}
}

// Classify tells a program's class.
func Classify(program Program) Class {
	slack, known := program.Slack()
	switch {
	case program.Begins && !program.Returns:
		return New
	case program.Lost() && program.Waited < longestStill:
		return Late
	case known && !program.Lost() && float64(slack) < tightShare*float64(program.Needs):
		return Tight
	default:
		return UnderWay
	}
}

// Compare orders programs that wait for the same room: below zero if a comes before b. The more
// urgent come first; then by class; then the one that can wait the shortest.
func Compare(a, b Program) int {
	return cmp.Or(
		cmp.Compare(a.Urgency, b.Urgency),
		cmp.Compare(Classify(a), Classify(b)),
		compareSlack(a, b),
	)
}

// compareSlack puts the least slack that is not lost first, then those of which nothing is known, then
// what is lost.
func compareSlack(a, b Program) int {
	slackOfA, _ := a.Slack()
	slackOfB, _ := b.Slack()
	return cmp.Or(cmp.Compare(hope(a), hope(b)), cmp.Compare(slackOfA, slackOfB))
}

// hope is 0 for a program that can be in time, 1 if nothing is known of that, and 2 if it cannot.
func hope(program Program) int {
	switch {
	case program.Lost():
		return 2
	case !program.Timed:
		return 1
	default:
		return 0
	}
}

// Band is the range of a worker's priorities that requests of one urgency share; First comes first.
type Band struct{ First, Last int }

// Priority is the priority within its band that a worker is told for a program's request. A narrow
// band tells fewer classes apart.
func (b Band) Priority(program Program) int {
	class := Classify(program)
	width := b.Last - b.First + 1
	step := 0
	switch {
	case width >= classes:
		step = int(class)
	case class == New:
		step = width - 1
	case class == Late:
		step = (width - 1) / 2
	}
	return b.First + max(0, step)
}

// classes is how many there are.
const classes = int(New) + 1
