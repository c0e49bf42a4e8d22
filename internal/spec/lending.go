package spec

// This file specifies how the owners of a slot lend what a limit allows (packages directory
// and quota): a row of the table says who owns the slot and whether more than the ordinary
// part may have been lent; owners remember what they lent in memory only, lend while a proof
// of ownership is young enough, and assume of their predecessors what the row allows.
// Writes to the row are conditional on its revision, may take effect late, and their answers
// may be lost. Time passes in ticks between any two steps.

const (
	lendingNodes = 2
	// lendWindow is how many ticks a request counts after that in which it was lent, and
	// lendLease for how many a proof lets an owner lend.
	lendWindow = 2
	lendLease  = 2
	// What a share lends in a window: lendWhole, of it lendOrdinary without a word in the
	// table; lendReserve is the tolerance.
	lendWhole    = 2
	lendOrdinary = 1
	lendReserve  = 0
	maxTicks     = 10
)

// LendingMutant is a fault seeded into lending. Zero seeds none.
type LendingMutant int

// The seeded faults.
const (
	NoLendingMutant     LendingMutant = iota
	LendsAtOnce                       // a new owner does not wait for its predecessor's lease to end
	WokenOwnerLends                   // an owner lends whatever the age of its proof
	OwnershipFromAnswer               // a proof of ownership holds from when its answer came
	AssumesNothing                    // a new owner takes nothing for lent before its time
	UnsettledForgotten                // a successor takes an owner of a moment for one that knows all
	LendsBeforeRaised                 // an owner lends the whole before the table has its word
	LowersTooLate                     // an owner lends the whole until the table has its word that it does not
	ResumesAtOnce                     // an owner that had lowered lends the whole again without a new word
)

// LendingBounds limits the states that are explored.
type LendingBounds struct {
	Ticks   int
	Claims  int
	Writes  int // other writes of the row
	Crashes int
	// Owned begins with a slot that node 0 has owned for long, and Raised with one of which
	// the whole may be lent.
	Owned  bool
	Raised bool
}

// slotRow is the slot's row in the table.
type slotRow struct {
	revision  uint8
	owner     uint8 // process number; 0: nobody
	node      uint8 // where that process runs
	unsettled bool
	raised    bool
}

// rowWrite is a write under way, conditional on a revision; none if next has no revision.
type rowWrite struct {
	condition uint8
	next      slotRow
	by        uint8 // process that waits for the answer
	sent      uint8
}

// Answers to the question whether a process owns the slot.
const (
	stillOwned    = 1
	notOwnedAsSet = 2
)

// lendingNode is a process and what it knows.
type lendingNode struct {
	process uint8 // 0: none runs
	known   slotRow
	owns    bool
	since   uint8 // it lends from then on
	proven  uint8 // moment of its proof
	prior   slotRow
	asked   uint8 // moment at which it asked whether it owns the slot; 0: it has not
	askedOf uint8 // revision
	answer  uint8 // 0: none yet
	lent    [maxTicks + 1]uint8
	lowered bool
	lending bool // by a word that the table has confirmed, the whole may be lent
}

// LendingState is a state of the model.
type LendingState struct {
	now       uint8
	row       slotRow
	processes uint8 // that were started
	claims    uint8
	writes    uint8
	crashes   uint8
	flight    [2]rowWrite
	nodes     [lendingNodes]lendingNode
	lent      [maxTicks + 1]uint8 // by all processes that ever were
}

// Lending is the model. It implements Model.
type Lending struct {
	Bounds LendingBounds
	Mutant LendingMutant
}

// Initial implements Model.
func (l Lending) Initial() LendingState {
	s := LendingState{now: 1, processes: lendingNodes}
	for index := range s.nodes {
		s.nodes[index].process = uint8(index + 1)
	}
	if !l.Bounds.Owned {
		return s
	}
	s.now = lendWindow
	s.row = slotRow{revision: 1, owner: s.nodes[0].process, raised: l.Bounds.Raised}
	for index := range s.nodes {
		s.nodes[index].known = s.row
	}
	s.nodes[0].owns, s.nodes[0].proven, s.nodes[0].lending = true, s.now, l.Bounds.Raised
	return s
}

// Check implements Model.
func (l Lending) Check(s LendingState) string {
	if inWindow(s.lent, s.now) > lendWhole+lendReserve {
		return "more was lent in a window than the limit allows"
	}
	return ""
}

// inWindow counts what was lent in the window that ends now.
func inWindow(lent [maxTicks + 1]uint8, now uint8) (count int) {
	for tick := int(now); tick >= 0 && tick > int(now)-lendWindow; tick-- {
		count += int(lent[tick])
	}
	return count
}

// lendingAdder takes a step.
type lendingAdder func(format string, node int, next LendingState)

// Steps implements Model.
func (l Lending) Steps(s LendingState) []Step[LendingState] {
	var steps []Step[LendingState]
	add := func(format string, node int, next LendingState) {
		steps = append(steps, Step[LendingState]{Action: Action{Format: format, Values: [3]int{node, int(s.now), 0}}, Next: next})
	}
	if int(s.now) < l.Bounds.Ticks {
		next := s
		next.now++
		add("time passes after %[2]d", 0, next)
	}
	for slot := range s.flight {
		l.tableSteps(s, slot, add)
	}
	for index := range s.nodes {
		l.lendStep(s, index, add)
		l.claimStep(s, index, add)
		l.proofSteps(s, index, add)
		l.rewriteSteps(s, index, add)
		l.readStep(s, index, add)
		l.crashStep(s, index, add)
	}
	return steps
}

// lendable is how much an owner may lend in the window that ends now.
func (l Lending) lendable(node lendingNode, now uint8) int {
	most := lendOrdinary
	if node.known.raised && node.lending && !node.lowered || l.Mutant == LendsBeforeRaised {
		most = lendWhole
	}
	if l.Mutant == LowersTooLate && node.known.raised {
		most = lendWhole
	}
	if now >= node.since+lendWindow || l.Mutant == AssumesNothing {
		return most
	}
	switch {
	case node.prior.unsettled && l.Mutant != UnsettledForgotten:
		return 0
	case node.prior.raised:
		return min(most, lendReserve)
	default:
		return min(most, lendWhole-lendOrdinary+lendReserve)
	}
}

func (l Lending) lendStep(s LendingState, index int, add lendingAdder) {
	node := s.nodes[index]
	inLease := node.proven != 0 && s.now < node.proven+lendLease || l.Mutant == WokenOwnerLends
	if !node.owns || !inLease || s.now < node.since || inWindow(node.lent, s.now) >= l.lendable(node, s.now) {
		return
	}
	next := s
	next.nodes[index].lent[s.now]++
	next.lent[s.now]++
	add("node %[1]d lends at %[2]d", index, next)
}

// send puts a write under way. It reports whether there is room for it.
func send(s *LendingState, write rowWrite) bool {
	for slot := range s.flight {
		if s.flight[slot].next.revision == 0 {
			s.flight[slot] = write
			return true
		}
	}
	return false
}

// claimStep: a process takes the slot over, whether or not its owner lives.
func (l Lending) claimStep(s LendingState, index int, add lendingAdder) {
	node := s.nodes[index]
	if node.process == 0 || node.owns || int(s.claims) >= l.Bounds.Claims {
		return
	}
	next := s
	next.claims++
	wanted := slotRow{revision: node.known.revision + 1, owner: node.process, node: uint8(index), unsettled: true, raised: node.known.raised}
	if send(&next, rowWrite{condition: node.known.revision, next: wanted, by: node.process, sent: s.now}) {
		add("node %[1]d claims the slot at %[2]d", index, next)
	}
}

// rewriteSteps: an owner writes that it knows all that was lent, that it lends the whole from
// now on, or that it does not any more.
func (l Lending) rewriteSteps(s LendingState, index int, add lendingAdder) {
	node := s.nodes[index]
	if !node.owns || int(s.writes) >= l.Bounds.Writes {
		return
	}
	write := func(format string, change func(next *slotRow), lower bool) {
		next := s
		next.writes++
		wanted := node.known
		wanted.revision++
		wanted.unsettled = wanted.unsettled && s.now < node.since+lendWindow
		change(&wanted)
		if lower && l.Mutant != LowersTooLate {
			next.nodes[index].lowered = true
		}
		if send(&next, rowWrite{condition: node.known.revision, next: wanted, by: node.process, sent: s.now}) {
			add(format, index, next)
		}
	}
	if !node.known.raised || node.lowered {
		write("node %[1]d raises at %[2]d", func(next *slotRow) { next.raised = true }, false)
	}
	if l.Mutant == ResumesAtOnce && node.lowered {
		next := s
		next.nodes[index].lowered = false
		add("node %[1]d lends the whole again at %[2]d", index, next)
	}
	if node.known.raised && !node.lowered && inWindow(node.lent, s.now) <= lendOrdinary {
		write("node %[1]d lowers at %[2]d", func(next *slotRow) { next.raised = false }, true)
	}
	if node.known.unsettled && s.now >= node.since+lendWindow {
		write("node %[1]d settles at %[2]d", func(*slotRow) {}, false)
	}
}

// tableSteps: a write takes effect or is refused, and its answer comes or is lost.
func (l Lending) tableSteps(s LendingState, slot int, add lendingAdder) {
	write := s.flight[slot]
	if write.next.revision == 0 {
		return
	}
	next := s
	next.flight[slot] = rowWrite{}
	if s.row.revision != write.condition {
		add("the table refuses a write at %[2]d", 0, next)
		return
	}
	next.row = write.next
	add("the table does a write at %[2]d, and its answer is lost", 0, next)
	for index := range next.nodes {
		if next.nodes[index].process == write.by {
			answered := next
			l.learn(&answered, index, write.sent, true)
			add("the table does node %[1]d's write at %[2]d", index, answered)
		}
	}
}

// learn lets a process know the row as the table has it. sent is when the write was sent whose
// answer tells it; 0 if it was read.
func (l Lending) learn(s *LendingState, index int, sent uint8, written bool) {
	node := &s.nodes[index]
	earlier := node.known
	node.known = s.row
	if s.row.owner != node.process {
		node.owns, node.lowered, node.lending = false, false, false
		return
	}
	if written {
		node.proven = max(node.proven, sent)
		node.lowered = !s.row.raised && node.lowered
		node.lending = s.row.raised
	}
	if node.owns {
		return
	}
	node.owns = true
	node.lent = [maxTicks + 1]uint8{}
	node.prior = earlier
	node.since = s.now
	if earlier.owner == node.process {
		node.prior.unsettled = true
	}
	mayLive := earlier.owner != 0 && int(earlier.node) != index
	if mayLive && l.Mutant != LendsAtOnce {
		node.since += lendLease
	}
	if !written {
		node.proven = 0
	}
	// The claim itself is not a word that the whole may be lent.
	node.lending = false
}

func (l Lending) readStep(s LendingState, index int, add lendingAdder) {
	if s.nodes[index].process == 0 || s.nodes[index].known == s.row {
		return
	}
	next := s
	l.learn(&next, index, 0, false)
	add("node %[1]d reads the row at %[2]d", index, next)
}

// proofSteps: an owner asks whether it still is, and the table answers.
func (l Lending) proofSteps(s LendingState, index int, add lendingAdder) {
	node := s.nodes[index]
	if !node.owns {
		return
	}
	if node.asked == 0 {
		next := s
		next.nodes[index].asked, next.nodes[index].askedOf = s.now, node.known.revision
		add("node %[1]d asks whether it owns the slot at %[2]d", index, next)
		return
	}
	next := s
	if node.answer == 0 {
		next.nodes[index].answer = notOwnedAsSet
		if s.row.revision == node.askedOf && s.row.owner == node.process {
			next.nodes[index].answer = stillOwned
		}
		add("the table answers node %[1]d at %[2]d", index, next)
		return
	}
	next.nodes[index].asked, next.nodes[index].askedOf, next.nodes[index].answer = 0, 0, 0
	if node.answer == stillOwned {
		moment := node.asked
		if l.Mutant == OwnershipFromAnswer {
			moment = s.now
		}
		next.nodes[index].proven = max(node.proven, moment)
	}
	add("node %[1]d takes the answer at %[2]d", index, next)
}

func (l Lending) crashStep(s LendingState, index int, add lendingAdder) {
	if int(s.crashes) >= l.Bounds.Crashes {
		return
	}
	next := s
	next.crashes++
	next.processes++
	next.nodes[index] = lendingNode{process: next.processes}
	add("node %[1]d dies and starts again at %[2]d", index, next)
}
