package spec

// This file specifies how long a key that was taken away may still open the door
// (package staleness): nodes ask the table, or each other, whether their configuration is
// the newest, and let a key in only by an answer that is young enough. Time passes in
// ticks between any two steps, so every pause and every delay is among what is searched.

const (
	proofNodes = 2
	// keyBound is how many ticks after its removal a key may still open the door, and
	// proofBound how old a proof may be that lets it in: one tick is for the way to the worker.
	keyBound   = 3
	proofBound = keyBound - 1
	// before is the moment of no proof at all; moments are kept as ticks + 1.
	before = 0
)

// ProofMutant is a fault seeded into the proofs. Zero seeds none.
type ProofMutant int

// The seeded faults.
const (
	NoProofMutant     ProofMutant = iota
	CountsFromAnswer              // a proof holds from when its answer came
	PassedWithoutAge              // a node passes its proof on as if it were new
	NotCheckedAgain               // a request is checked when it comes, not when it is sent
	SilenceProves                 // a quiet feed is taken for the word that nothing has changed
	ProvesBeforeForce             // a proof of a newer configuration counts for the older one
	NeverTooOld                   // a node that nobody answers goes on with what it knows
)

// ProofBounds limits the states that are explored.
type ProofBounds struct {
	Ticks     int
	Questions int // of all nodes
}

// question is one that a node has sent. Moments are ticks + 1.
type question struct {
	sent     uint8 // 0: none
	answered bool
	newest   bool  // the answer: the key is gone
	moment   uint8 // since when the answer holds
}

// proofNode is what a node knows.
type proofNode struct {
	newest   bool  // the configuration without the key is in force
	proven   uint8 // what was acknowledged before is in force
	question question
	request  bool // one with the key waits here, let in before
}

// ProofState is a state of the model.
type ProofState struct {
	now     uint8
	removed uint8 // moment at which the operator's change was acknowledged; 0: not yet
	asked   uint8
	nodes   [proofNodes]proofNode
	late    bool // a request ran by a key that had been gone for too long
}

// Proofs is the model. It implements Model.
type Proofs struct {
	Bounds ProofBounds
	Mutant ProofMutant
}

// Initial implements Model.
func (p Proofs) Initial() ProofState { return ProofState{now: 1} }

// Check implements Model.
func (p Proofs) Check(s ProofState) string {
	if s.late {
		return "a request ran by a key that had been taken away for too long"
	}
	return ""
}

// Steps implements Model.
func (p Proofs) Steps(s ProofState) []Step[ProofState] {
	var steps []Step[ProofState]
	push := func(format string, node int, next ProofState) {
		steps = append(steps, Step[ProofState]{Action: Action{Format: format, Values: [3]int{node, int(next.now), 0}}, Next: next})
	}
	if int(s.now) < p.Bounds.Ticks {
		next := s
		next.now++
		push("time passes to %[2]d", 0, next)
	}
	if s.removed == 0 {
		next := s
		next.removed = s.now
		push("the key is taken away at %[2]d", 0, next)
	}
	for index := range s.nodes {
		p.questionSteps(s, index, push)
		p.requestSteps(s, index, push)
	}
	return steps
}

// questionSteps are a node's questions and their answers.
func (p Proofs) questionSteps(s ProofState, index int, push func(string, int, ProofState)) {
	node := s.nodes[index]
	switch {
	case node.question.sent == 0 && int(s.asked) < p.Bounds.Questions:
		next := s
		next.asked++
		next.nodes[index].question = question{sent: s.now}
		push("node %[1]d asks at %[2]d", index, next)
	case node.question.sent != 0 && !node.question.answered:
		next := s
		next.nodes[index].question.answered = true
		next.nodes[index].question.newest = s.removed != 0
		next.nodes[index].question.moment = node.question.sent
		push("the table answers node %[1]d at %[2]d", index, next)
		if p.Mutant == SilenceProves {
			quiet := next
			quiet.nodes[index].question.newest = node.newest
			push("node %[1]d hears nothing until %[2]d", index, quiet)
		}
		other := s.nodes[1-index]
		if other.proven != before {
			told := s
			told.nodes[index].question.answered = true
			told.nodes[index].question.newest = other.newest
			told.nodes[index].question.moment = p.passedOn(s.now, node.question.sent, other.proven)
			push("the other node answers node %[1]d at %[2]d", index, told)
		}
	case node.question.answered:
		next := s
		p.learn(&next, index)
		push("node %[1]d takes the answer at %[2]d", index, next)
		lost := s
		lost.nodes[index].question = question{}
		push("node %[1]d's answer is lost at %[2]d", index, lost)
	}
}

// passedOn is the moment of a proof that another node has told: as old as it was there when
// the answer was made, counted from when the question was sent.
func (p Proofs) passedOn(now, sent, proven uint8) uint8 {
	age := now - proven
	if p.Mutant == PassedWithoutAge {
		age = 0
	}
	if age >= sent {
		return before
	}
	return sent - age
}

// learn takes over a node's answer.
func (p Proofs) learn(s *ProofState, index int) {
	node := &s.nodes[index]
	answer := node.question
	node.question = question{}
	moment := answer.moment
	if p.Mutant == CountsFromAnswer {
		moment = s.now
	}
	if p.Mutant == ProvesBeforeForce && answer.newest && !node.newest {
		node.proven = max(node.proven, moment) // and the configuration comes later
		return
	}
	node.newest = node.newest || answer.newest
	node.proven = max(node.proven, moment)
}

// allowed reports whether a node lets the key in.
func (p Proofs) allowed(s ProofState, index int) bool {
	node := s.nodes[index]
	if node.newest || node.proven == before {
		return false
	}
	return p.Mutant == NeverTooOld || s.now-node.proven < proofBound
}

// requestSteps are requests by the key, which clients send at any time.
func (p Proofs) requestSteps(s ProofState, index int, push func(string, int, ProofState)) {
	if !s.nodes[index].request && p.allowed(s, index) {
		next := s
		next.nodes[index].request = true
		push("node %[1]d lets a request in at %[2]d", index, next)
	}
	if !s.nodes[index].request {
		return
	}
	next := s
	next.nodes[index].request = false
	if !p.allowed(s, index) && p.Mutant != NotCheckedAgain {
		push("node %[1]d refuses the request at %[2]d", index, next)
		return
	}
	next.late = s.removed != 0 && s.now > s.removed+keyBound
	push("node %[1]d's request runs at %[2]d", index, next)
}
