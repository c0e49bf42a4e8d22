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
	New                   // it has had no turn yet
	Late                  // its time is lost
)

// String implements fmt.Stringer.
func (c Class) String() string {
	switch c {
	case Tight:
		return "tight"
	case UnderWay:
		return "under_way"
	case New:
		return "new"
	default:
		return "late"
	}
}

// Classify tells a program's class.
func Classify(program Program) Class {
	slack, known := program.Slack()
	switch {
	case program.Lost() && program.Waited < longestStill:
		return Late
	case program.Begins && !program.Returns:
		return New
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

// compareSlack puts the least slack first, and those of which nothing is known last.
func compareSlack(a, b Program) int {
	slackOfA, knownOfA := a.Slack()
	slackOfB, knownOfB := b.Slack()
	switch {
	case knownOfA && knownOfB:
		return cmp.Compare(slackOfA, slackOfB)
	case knownOfA:
		return -1
	case knownOfB:
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
	case class == Late:
		step = width - 1
	case class == New:
		step = width / 2
	}
	return b.First + max(0, step)
}

// classes is how many there are.
const classes = int(Late) + 1
