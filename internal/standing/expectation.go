package standing

import "time"

const (
	// enoughSeen is how many observations make an estimate.
	enoughSeen = 8
	// idleShare is the quantile of the times of turns that is taken for that where nothing makes
	// a turn wait: under load some turns still meet a free worker.
	idleShare = 0.1
	// usualShare is the quantile of what load does not lengthen.
	usualShare = 0.5
	// mostTurns bounds the turns of a line that are told apart; longer ones count as loops.
	mostTurns = 48
	// countedLines is up to how many lines are counted before all counts are halved.
	countedLines = 512
	// givenShare is the part of the time that callers give at a first turn which their program is
	// taken to need while too little was seen: they give a multiple of it, below two.
	givenShare = 0.6
	// leastGivenShare is the quantile of what callers give below which one is taken to have given
	// more before.
	leastGivenShare = 0.2
	// leastShare and mostShare bound that part where it was seen.
	leastShare = 0.3
	mostShare  = 0.9
)

// expectation is what is expected of the programs that begin on one route.
type expectation struct {
	turn  quantile // of whole turns
	first quantile // until a turn's first event
	pause quantile // between two turns of a line
	given quantile // by callers at first turns
	// leastGiven is what few callers go below at first turns, but for those that come once more.
	leastGiven quantile
	reached    [mostTurns + 1]int
	guesses    guesses
}

// reach counts that a line begins its place-th turn.
func (e *expectation) reach(place int) {
	if place > mostTurns {
		return
	}
	e.reached[place]++
	if e.reached[1] <= countedLines {
		return
	}
	for index := range e.reached {
		e.reached[index] /= 2
	}
}

// following is how many turns follow after the place-th in half of the lines that come so far.
// Being a median, a few lines that never end do not move it.
func (e *expectation) following(place int) (count int, known bool) {
	if place < 1 || place > mostTurns || e.reached[place] < enoughSeen {
		return 0, false
	}
	for next := place + 1; next <= mostTurns && 2*e.reached[next] >= e.reached[place]; next++ {
		count++
	}
	return count, true
}

// needs is what a program takes from the place-th turn of its line on where nothing makes it wait.
func (e *expectation) needs(place int) (needs time.Duration, turns int, known bool) {
	following, known := e.following(place)
	if !known || !e.turn.known() {
		return 0, 0, false
	}
	needs = e.turn.value + time.Duration(following)*(e.turn.value+e.pause.value)
	return needs, following + 1, true
}

// share is which part of the time that callers give at a first turn their programs need.
func (e *expectation) share() float64 {
	needs, _, known := e.needs(1)
	if !known || !e.given.known() {
		return givenShare
	}
	return min(max(float64(needs)/float64(e.given.value), leastShare), mostShare)
}

// whole is what a program needs from its first turn on whose caller gives it so long.
func (e *expectation) whole(given time.Duration) time.Duration {
	if e.leastGiven.known() {
		given = max(given, e.leastGiven.value)
	}
	return time.Duration(e.share() * float64(given))
}

// turnsIn is how many turns fit into a time where nothing makes them wait, one at least; 0: not known.
func (e *expectation) turnsIn(needs time.Duration) int {
	if !e.turn.known() {
		return 0
	}
	each := e.turn.value + e.pause.value
	return max(1, int((needs+each/2)/each))
}
