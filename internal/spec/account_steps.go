package spec

type accountAdder func(action Action, next AccountState)

// runStep: a turn runs at node n with a token that the node holds.
func (a Account) runStep(s AccountState, n int, add accountAdder) {
	if s.nodes[n].free == 0 || int(s.generated) > a.Bounds.Budget {
		return
	}
	s.nodes[n].free--
	s.generated++
	add(Action{"%[1]d runs a turn", [3]int{n}}, s)
}

// drawStep: node n sends a transaction that draws.
func (a Account) drawStep(s AccountState, n int, add accountAdder) {
	node := &s.nodes[n]
	left := a.Bounds.Budget - int(node.known.drawn)
	if node.waits != 0 || node.stopped || node.free > 0 || left <= 0 {
		return
	}
	tokens := uint8(min(turnsPerDraw, left))
	if a.send(&s, n, doubt{tokens: tokens}, node.known.drawn+tokens) {
		add(Action{"%[1]d draws %[2]d", [3]int{n, int(tokens)}}, s)
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

// returnStep: node n, which stops, sends a transaction that gives back. It does so
// again when the row turns out to have changed without it.
func (a Account) returnStep(s AccountState, n int, add accountAdder) {
	node := &s.nodes[n]
	tokens := min(node.leaving, node.known.drawn)
	if node.waits != 0 || tokens == 0 || node.doubts != [maxUnsure]doubt{} {
		return
	}
	if a.send(&s, n, doubt{returns: tokens}, node.known.drawn-tokens) {
		add(Action{"%[1]d gives %[2]d back", [3]int{n, int(tokens)}}, s)
	}
}

// repeatStep: the transaction in slot i is sent a second time.
func (a Account) repeatStep(s AccountState, i int, add accountAdder) {
	slot := freeSlot(s.flight)
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
	slot, doubted := freeSlot(s.flight), freeDoubt(node.doubts)
	if slot < 0 || doubted < 0 || int(node.sequence) >= a.Bounds.Draws {
		return false
	}
	node.sequence++
	node.waits = node.sequence
	planned.sequence = node.sequence
	node.doubts[doubted] = planned
	s.flight[slot] = draw{
		used: true, node: uint8(n), process: node.process, sequence: node.sequence,
		version: node.known.version, drawn: drawn,
	}
	return true
}

func freeSlot(flight [maxInFlight]draw) int {
	for i, d := range flight {
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
	done := s.row.version == d.version || a.Mutant == NoCondition
	if done {
		s.row.version++
		s.row.drawn = d.drawn
		s.row.process[d.node], s.row.newest[d.node] = d.process, d.sequence
	}
	add(Action{"the table does the transaction of %[1]d: %[2]d, and the answer is lost", [3]int{int(d.node), truth(done)}}, s)
	node := &s.nodes[d.node]
	if node.process != d.process || node.waits != d.sequence {
		return
	}
	node.waits = 0
	a.learn(&s, int(d.node))
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

// readStep: node n reads the row.
func (a Account) readStep(s AccountState, n int, add accountAdder) {
	if s.nodes[n].waits != 0 || s.nodes[n].known == s.row {
		return
	}
	a.learn(&s, n)
	add(Action{"%[1]d reads the row", [3]int{n}}, s)
}

// learn takes over the row. Of the transactions in doubt, the one that it shows
// took effect; the others never will, since the row has left their version.
func (a Account) learn(s *AccountState, n int) {
	node := &s.nodes[n]
	if node.known.version == s.row.version {
		return
	}
	node.known = s.row
	for _, d := range node.doubts {
		shown := s.row.process[n] == node.process && s.row.newest[n] == d.sequence
		if d.sequence != 0 && (shown || a.Mutant == AllUnsureCount) {
			node.free += d.tokens
			node.drew += d.tokens
		}
		if d.sequence != 0 && shown && a.Mutant != ReturnsTwice {
			node.leaving -= min(node.leaving, d.returns)
		}
	}
	node.doubts = [maxUnsure]doubt{}
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
