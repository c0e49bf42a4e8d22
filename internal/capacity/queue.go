package capacity

import (
	"cmp"
	"slices"
	"time"

	"github.com/cloverwheel/cloverwheel/internal/scheduling"
)

const (
	// defaultSlackStep is the assumed slack per level of urgency of a program without a known
	// deadline.
	defaultSlackStep = 500 * time.Millisecond
	// latePenalty is the slack assumed for a program that will miss its deadline anyway, so that
	// others go first.
	latePenalty = 2 * time.Second
	// maxQueued limits the queries held per group.
	maxQueued = 256
)

// startDeadline returns the time by which a program's request has to start. Queries are ordered by
// this absolute time, so that later arrivals cannot starve a waiting one.
func startDeadline(program scheduling.Program, now time.Time) time.Time {
	slack, known := program.Slack()
	switch {
	case !known:
		return now.Add(time.Duration(program.Urgency+1) * defaultSlackStep)
	case slack < 0:
		return now.Add(latePenalty)
	default:
		return now.Add(slack)
	}
}

// queryQueue holds queries in the order in which they get capacity.
type queryQueue []*Query

// insert adds a query at its position.
func (q *queryQueue) insert(query *Query) {
	index, _ := slices.BinarySearchFunc(*q, query, compareQueries)
	*q = slices.Insert(*q, index, query)
}

// compareQueries orders queries by start deadline, then by order of submission.
func compareQueries(a, b *Query) int {
	return cmp.Or(a.startBy.Compare(b.startBy), cmp.Compare(a.number, b.number))
}

// remove removes a query and reports whether it was queued.
func (q *queryQueue) remove(query *Query) bool {
	index := slices.Index(*q, query)
	if index < 0 {
		return false
	}
	*q = slices.Delete(*q, index, index+1)
	return true
}

// ahead returns the number of queued queries that come before the given one, which may be queued or
// not.
func (q queryQueue) ahead(query *Query) int {
	index, _ := slices.BinarySearchFunc(q, query, compareQueries)
	return index
}
