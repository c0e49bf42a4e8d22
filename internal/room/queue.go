package room

import (
	"cmp"
	"slices"
	"time"

	"github.com/cloverwheel/cloverwheel/internal/standing"
)

const (
	// untimedSlack is what a program counts as being able to wait, for each step of its urgency, of
	// which it is not known by when it must be over.
	untimedSlack = 500 * time.Millisecond
	// lostBehind is how far a program stands behind that will be late whatever is done.
	lostBehind = 2 * time.Second
	// maxWaiting bounds the questions that a keeper holds.
	maxWaiting = 256
)

// rank is the moment by which a program's request has to begin. All are ranked by a moment in
// time, so that one who waits comes before all who arrive long after it, whatever they are.
func rank(program standing.Program, now time.Time) time.Time {
	slack, known := program.Slack()
	switch {
	case !known:
		return now.Add(time.Duration(program.Urgency+1) * untimedSlack)
	case slack < 0:
		return now.Add(lostBehind)
	default:
		return now.Add(slack)
	}
}

// queue holds questions in the order in which they get places.
type queue []*Question

// insert puts a question in its place.
func (q *queue) insert(one *Question) {
	index, _ := slices.BinarySearchFunc(*q, one, compareWaiting)
	*q = slices.Insert(*q, index, one)
}

// compareWaiting orders questions.
func compareWaiting(a, b *Question) int {
	return cmp.Or(a.rank.Compare(b.rank), cmp.Compare(a.number, b.number))
}

// remove takes a question out. It reports whether it was there.
func (q *queue) remove(one *Question) bool {
	index := slices.Index(*q, one)
	if index < 0 {
		return false
	}
	*q = slices.Delete(*q, index, index+1)
	return true
}

// ahead is how many questions come before one.
func (q queue) ahead(one *Question) int {
	index, _ := slices.BinarySearchFunc(q, one, compareWaiting)
	return index
}
