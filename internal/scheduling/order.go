package scheduling

import (
	"cmp"
	"time"
)

// maxLateWait is how long a late program may go without progress before it is scheduled like one in
// time. It prevents starvation: the caller still waits for the result.
const maxLateWait = time.Second

// tightSlackShare is the slack, as a share of the program's remaining need, below which it is tight. Such
// slack is used up if one turn in four queues for as long as it runs.
const tightSlackShare = 0.25

// Class is the scheduling class of a program among programs of the same urgency.
type Class int

// Scheduling classes, from first to last.
const (
	ClassTight      Class = iota // in progress, with little slack
	ClassInProgress              // in progress, with more slack, without a deadline, or late and without progress for maxLateWait
	ClassLate                    // in progress and late, with progress within maxLateWait
	ClassNew                     // no turn has run yet, and the program is not returning after a refusal
)

// String returns the name of the class for log lines.
func (c Class) String() string {
	switch c {
	case ClassTight:
		return "tight"
	case ClassInProgress:
		return "under_way"
	case ClassLate:
		return "late"
	default:
		return "new"
	}
}

// Classify returns the scheduling class of a program.
func Classify(program Program) Class {
	slack, known := program.Slack()
	switch {
	case program.Begins && !program.Returns:
		return ClassNew
	case program.Late() && program.Waited < maxLateWait:
		return ClassLate
	case known && !program.Late() && float64(slack) < tightSlackShare*float64(program.Needs):
		return ClassTight
	default:
		return ClassInProgress
	}
}

// Compare orders programs that compete for the same capacity. It returns a negative number if a comes
// before b, positive if after, and 0 if they are equal. Programs are ordered by urgency, then by class,
// then by slack, least first.
func Compare(a, b Program) int {
	return cmp.Or(
		cmp.Compare(a.Urgency, b.Urgency),
		cmp.Compare(Classify(a), Classify(b)),
		compareSlack(a, b),
	)
}

// compareSlack orders programs that can meet their deadline first, by least slack, then programs
// without a deadline, then late ones.
func compareSlack(a, b Program) int {
	slackOfA, _ := a.Slack()
	slackOfB, _ := b.Slack()
	return cmp.Or(cmp.Compare(deadlineRank(a), deadlineRank(b)), cmp.Compare(slackOfA, slackOfB))
}

// deadlineRank returns 0 if the program can meet its deadline, 1 if it has none, and 2 if it will be late.
func deadlineRank(program Program) int {
	switch {
	case program.Late():
		return 2
	case !program.Timed:
		return 1
	default:
		return 0
	}
}

// PriorityRange is the range of worker priorities, First to Last inclusive, that requests of one urgency share.
// Workers run lower numbers first.
type PriorityRange struct{ First, Last int }

// Priority returns the worker priority within the range for a program's request. A range with fewer
// priorities than classes maps several classes to the same priority.
func (r PriorityRange) Priority(program Program) int {
	class := Classify(program)
	width := r.Last - r.First + 1
	step := 0
	switch {
	case width >= classCount:
		step = int(class)
	case class == ClassNew:
		step = width - 1
	case class == ClassLate:
		step = (width - 1) / 2
	}
	return r.First + max(0, step)
}

// classCount is the number of classes.
const classCount = int(ClassNew) + 1
