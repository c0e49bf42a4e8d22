package scheduling

import "time"

const (
	// minObservations is the number of observations from which an estimate is used.
	minObservations = 8
	// unloadedQuantile is the quantile of turn durations that is taken as the duration without
	// queueing. Even under load some turns meet a free worker.
	unloadedQuantile = 0.1
	// medianQuantile is used for durations that do not depend on load.
	medianQuantile = 0.5
	// maxCountedTurns is the highest turn number that is counted: a longer line is probably a loop.
	maxCountedTurns = 48
	// maxCountedLines is the number of lines above which all counts are halved, so that old lines lose
	// weight.
	maxCountedLines = 512
	// defaultNeedShare is the share of a caller's budget that a program is assumed to need until
	// estimates are available. Callers' budgets are usually between one and two times the need.
	defaultNeedShare = 0.6
	// lowBudgetQuantile is the quantile of budgets at first turns below which a budget is assumed to
	// be the rest of a larger one, part of which was spent on tries at other nodes.
	lowBudgetQuantile = 0.2
	// minNeedShare and maxNeedShare bound the estimated share.
	minNeedShare = 0.3
	maxNeedShare = 0.9
)

// routeStats holds the estimates for programs on one route.
type routeStats struct {
	turn   quantile // unloaded duration of a turn
	first  quantile // unloaded time until a turn's first event
	pause  quantile // pause between two turns of a line
	budget quantile // time to the deadline at completed first turns, median
	// lowBudget is the same time at lowBudgetQuantile.
	lowBudget quantile
	// linesReached counts lines by the turn numbers that they completed; index 0 is unused.
	linesReached [maxCountedTurns + 1]int
	hints        hintStats
}

// countReached counts a line that completes the turn with this number.
func (r *routeStats) countReached(number int) {
	if number > maxCountedTurns {
		return
	}
	r.linesReached[number]++
	if r.linesReached[1] <= maxCountedLines {
		return
	}
	for index := range r.linesReached {
		r.linesReached[index] /= 2
	}
}

// turnsAfter returns the median number of turns that follow the turn with this number, among lines
// that reach it. As a median it is not skewed by a few endless lines.
func (r *routeStats) turnsAfter(number int) (count int, known bool) {
	if number < 1 || number > maxCountedTurns || r.linesReached[number] < minObservations {
		return 0, false
	}
	for next := number + 1; next <= maxCountedTurns && 2*r.linesReached[next] >= r.linesReached[number]; next++ {
		count++
	}
	return count, true
}

// remaining estimates the time and the turns that a program needs from the turn with this number on, without
// queueing.
func (r *routeStats) remaining(number int) (needs time.Duration, turns int, known bool) {
	following, known := r.turnsAfter(number)
	if !known || !r.turn.known() {
		return 0, 0, false
	}
	needs = r.turn.value + time.Duration(following)*(r.turn.value+r.pause.value)
	return needs, following + 1, true
}

// needShare estimates the share of callers' budgets at first turns that their programs need.
func (r *routeStats) needShare() float64 {
	needs, _, known := r.remaining(1)
	if !known || !r.budget.known() {
		return defaultNeedShare
	}
	return min(max(float64(needs)/float64(r.budget.value), minNeedShare), maxNeedShare)
}

// totalNeed estimates the total time that a program with this budget needs without queueing. A budget
// below lowBudget counts as lowBudget.
func (r *routeStats) totalNeed(budget time.Duration) time.Duration {
	if r.lowBudget.known() {
		budget = max(budget, r.lowBudget.value)
	}
	return time.Duration(r.needShare() * float64(budget))
}

// turnsIn returns how many unloaded turns fit into a duration, at least 1; 0 if unknown.
func (r *routeStats) turnsIn(needs time.Duration) int {
	if !r.turn.known() {
		return 0
	}
	each := r.turn.value + r.pause.value
	return max(1, int((needs+each/2)/each))
}
