package spec

import "slices"

type accountAdder func(action Action, next AccountState)

// runStep: a turn runs at node n with tokens that the node holds.
func (a Account) runStep(s AccountState, n int, add accountAdder) {
	turn := uint8(a.Bounds.Turn)
	if s.nodes[n].free < turn || int(s.generated) >= a.Bounds.Budget+a.Bounds.Turn {
		return
	}
	s.nodes[n].free -= turn
	s.generated += turn
	add(Action{"%[1]d runs a turn", [3]int{n}}, s)
}

// drawStep: node n sends a transaction that draws from a row.
func (a Account) drawStep(s AccountState, n, row int, add accountAdder) {
	node := &s.nodes[n]
	lacking := a.Bounds.Turn - int(node.free)
	tokens := a.drawn(row, a.Bounds.limit(row)-int(node.known[row].drawn), lacking)
	if node.waits != 0 || node.stopped || lacking <= 0 || tokens <= 0 {
		return
	}
	if a.send(&s, n, doubt{row: uint8(row), tokens: uint8(tokens)}, node.known[row].drawn+uint8(tokens)) {
		add(Action{"%[1]d draws %[2]d from row %[3]d", [3]int{n, tokens, row}}, s)
	}
}

// drawn is how many tokens are drawn from a row of which so many are left. The
// elastic one gives a turn all that it lacks while it is not used up.
func (a Account) drawn(row, left, lacking int) int {
	elastic := row == elasticRow || a.Mutant == TwoRowsGoPast
	switch {
	case elastic && left <= 0 && a.Mutant == GoesPastTwice:
		return lacking
	case left <= 0:
		return 0
	case elastic:
		return max(lacking, min(left, lacking+drawnAhead))
	default:
		return min(left, lacking+drawnAhead)
	}
}

// stopStep: node n stops. What it holds is to go back.
func (a Account) stopStep(s AccountState, n int, add accountAdder) {
	node := &s.nodes[n]
	tokens := node.free
	if a.Mutant == UsedIsGivenBack {
		tokens = node.drew
	}
	if node.waits != 0 || node.stopped || tokens == 0 {
		return
	}
	if a.Mutant != GivenBackStays {
		node.free = 0
	}
	node.stopped, node.leaving = true, tokens
	add(Action{"%[1]d stops with %[2]d", [3]int{n, int(tokens)}}, s)
}

// returnStep: node n, which stops, sends a transaction that gives back to a row. It
// does so again when the row turns out to have changed without it. What another
// transaction may have given back already stays where it is.
func (a Account) returnStep(s AccountState, n, row int, add accountAdder) {
	node := &s.nodes[n]
	doubtful := node.returnsInDoubt()
	if a.Mutant == DoubtIsForgotten {
		doubtful = 0
	}
	tokens := min(node.leaving-min(node.leaving, doubtful), node.known[row].drawn)
	if node.waits != 0 || tokens == 0 || node.doubtsOf(row) {
		return
	}
	if a.send(&s, n, doubt{row: uint8(row), returns: tokens}, node.known[row].drawn-tokens) {
		add(Action{"%[1]d gives %[2]d back to row %[3]d", [3]int{n, int(tokens), row}}, s)
	}
}

// doubtsOf reports whether a transaction on a row is in doubt.
func (n *accountNode) doubtsOf(row int) bool {
	return slices.ContainsFunc(n.doubts[:], func(d doubt) bool { return d.sequence != 0 && int(d.row) == row })
}

// returnsInDoubt is how many tokens may have been given back.
func (n *accountNode) returnsInDoubt() (tokens uint8) {
	for _, d := range n.doubts {
		tokens += d.returns
	}
	return tokens
}

// repeatStep: the transaction in slot i is sent a second time.
func (a Account) repeatStep(s AccountState, i int, add accountAdder) {
	slot := a.freeSlot(s.flight)
	if !s.flight[i].used || slot < 0 || int(s.repeats) >= a.Bounds.Repeats {
		return
	}
	s.repeats++
	s.flight[slot] = s.flight[i]
	add(Action{"the transaction of %[1]d is sent again", [3]int{int(s.flight[i].node)}}, s)
}

// send puts a transaction in flight, if the bounds allow it.
func (a Account) send(s *AccountState, n int, planned doubt, drawn uint8) bool {
	node := &s.nodes[n]
	slot, doubted := a.freeSlot(s.flight), freeDoubt(node.doubts)
	if slot < 0 || doubted < 0 || int(node.sequence) >= a.Bounds.Draws {
		return false
	}
	node.sequence++
	node.waits = node.sequence
	planned.sequence = node.sequence
	node.doubts[doubted] = planned
	s.flight[slot] = draw{
		used: true, node: uint8(n), process: node.process, sequence: node.sequence, row: planned.row,
		version: node.known[planned.row].version, drawn: drawn, tokens: planned.tokens,
	}
	return true
}

func (a Account) freeSlot(flight [maxInFlight]draw) int {
	for i, d := range flight[:a.Bounds.InFlight] {
		if !d.used {
			return i
		}
	}
	return -1
}

func freeDoubt(doubts [maxUnsure]doubt) int {
	for i, d := range doubts {
		if d.sequence == 0 {
			return i
		}
	}
	return -1
}

// tableSteps: the transaction in slot i reaches the table, and its node hears of
// that or not; or it never does. It may do so long after its node gave it up.
func (a Account) tableSteps(s AccountState, i int, add accountAdder) {
	d := s.flight[i]
	if !d.used {
		return
	}
	s.flight[i] = draw{}
	add(Action{"the transaction of %[1]d is lost", [3]int{int(d.node)}}, s)
	row := &s.rows[d.row]
	done := row.version == d.version || a.Mutant == NoCondition
	if done {
		row.version++
		row.drawn = d.drawn
		row.process[d.node], row.newest[d.node] = d.process, d.sequence
	}
	add(Action{"the table does the transaction of %[1]d: %[2]d, and the answer is lost", [3]int{int(d.node), truth(done)}}, s)
	node := &s.nodes[d.node]
	if a.Mutant == RepeatedDrawIsNew && !done && node.process == d.process && row.newest[d.node] == d.sequence {
		node.free += d.tokens
	}
	if node.process != d.process || node.waits != d.sequence {
		return
	}
	node.waits = 0
	a.learn(&s, int(d.node), int(d.row))
	add(Action{"the table does the transaction of %[1]d: %[2]d, and says so", [3]int{int(d.node), truth(done)}}, s)
}

func truth(done bool) int {
	if done {
		return 1
	}
	return 0
}

// giveUpStep: node n waits no longer for an answer.
func (a Account) giveUpStep(s AccountState, n int, add accountAdder) {
	node := &s.nodes[n]
	if node.waits == 0 {
		return
	}
	if a.Mutant == LostAnswerCounts {
		node.free += node.tokensOf(node.waits)
	}
	node.waits = 0
	add(Action{"%[1]d gives an answer up", [3]int{n}}, s)
}

func (n *accountNode) tokensOf(sequence uint8) uint8 {
	for _, d := range n.doubts {
		if d.sequence == sequence {
			return d.tokens
		}
	}
	return 0
}

// readStep: node n reads a row.
func (a Account) readStep(s AccountState, n, row int, add accountAdder) {
	if s.nodes[n].waits != 0 || s.nodes[n].known[row] == s.rows[row] {
		return
	}
	a.learn(&s, n, row)
	add(Action{"%[1]d reads row %[2]d", [3]int{n, row}}, s)
}

// learn takes over a row. Of the transactions in doubt on it, the one that it shows
// took effect; the others never will, since the row has left their version.
func (a Account) learn(s *AccountState, n, row int) {
	node := &s.nodes[n]
	if node.known[row].version == s.rows[row].version {
		return
	}
	node.known[row] = s.rows[row]
	var others [maxUnsure]doubt
	kept := 0
	for _, d := range node.doubts {
		if int(d.row) != row {
			others[kept] = d
			kept++
			continue
		}
		shown := s.rows[row].process[n] == node.process && s.rows[row].newest[n] == d.sequence
		if d.sequence != 0 && (shown || a.Mutant == AllUnsureCount) {
			node.free += d.tokens
			node.drew += d.tokens
		}
		if d.sequence != 0 && shown && a.Mutant != ReturnsTwice {
			node.leaving -= min(node.leaving, d.returns)
		}
	}
	node.doubts = others
}

// handOverSteps: node n asks the other one for a token that it holds. The answer
// arrives or is lost.
func (a Account) handOverSteps(s AccountState, n int, add accountAdder) {
	giver := &s.nodes[1-n]
	if giver.free == 0 || s.nodes[n].stopped || int(s.handOvers) >= a.Bounds.HandOvers {
		return
	}
	s.handOvers++
	if a.Mutant != HandedStays {
		giver.free--
	}
	add(Action{"%[1]d hands a token over, and the answer is lost", [3]int{1 - n}}, s)
	s.nodes[n].free++
	add(Action{"%[1]d hands a token over", [3]int{1 - n}}, s)
	if a.Mutant == AnswerCountsTwice {
		s.nodes[n].free++
		add(Action{"%[1]d hands a token over, and the answer comes twice", [3]int{1 - n}}, s)
	}
}

// accountCrashStep: node n dies and starts again as another process that knows
// nothing. One that stopped does so, too.
func (a Account) accountCrashStep(s AccountState, n int, add accountAdder) {
	if int(s.crashes) >= a.Bounds.Crashes {
		return
	}
	s.crashes++
	process := s.nodes[n].process + 1
	sequence := uint8(0)
	if a.Mutant == IdentityReused {
		process = s.nodes[n].process
	}
	s.nodes[n] = accountNode{process: process, sequence: sequence}
	add(Action{"%[1]d dies and starts again", [3]int{n}}, s)
}
