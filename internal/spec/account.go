package spec

import (
	"cmp"
	"slices"
)

// This file specifies how nodes that keep nothing hold a program to its budget
// (package budget): conditional transactions on one row, answers that are lost,
// effects that come late, tokens handed from node to node, and nodes that die.

// Sizes of an AccountState. A program's tokens are counted in turns: each turn
// takes one.
const (
	accountNodes = 2
	maxInFlight  = 3
	maxUnsure    = 3
	turnsPerDraw = 2 // one for the turn, one ahead
)

// AccountMutant is a fault seeded into the account's protocol. Zero seeds none.
type AccountMutant int

// The seeded faults.
const (
	NoMutant          AccountMutant = iota
	NoCondition                     // the table applies transactions whatever the row's version
	LostAnswerCounts                // a draw whose answer is lost is taken to have had its effect
	AllUnsureCount                  // all draws in doubt are taken to be in the row that is read
	HandedStays                     // tokens that were handed over may be used by their giver, too
	AnswerCountsTwice               // a repeated answer brings the tokens again
	GivenBackStays                  // tokens that were given back may still be used
	IdentityReused                  // a restarted node goes by the name of the one that died
	UsedIsGivenBack                 // a node gives back all that it ever drew
	ReturnsTwice                    // a node gives back again what the row shows as given back
)

// AccountBounds limits the states that are explored.
type AccountBounds struct {
	Budget    int // turns that the program may run
	Draws     int // transactions of one process
	Crashes   int // of all nodes together
	HandOvers int
	Repeats   int // transactions sent a second time, on another connection
}

// accountRow is the row of the table.
type accountRow struct {
	version uint8
	drawn   uint8
	process [accountNodes]uint8 // by node: the process that drew last
	newest  [accountNodes]uint8 // and its sequence number
}

// draw is a transaction in flight.
type draw struct {
	used     bool
	node     uint8
	process  uint8
	sequence uint8
	version  uint8 // that the row must have
	drawn    uint8 // that it writes
}

func compareDraws(a, b draw) int {
	return cmp.Or(
		cmp.Compare(truth(b.used), truth(a.used)),
		cmp.Compare(a.node, b.node),
		cmp.Compare(a.process, b.process),
		cmp.Compare(a.sequence, b.sequence),
	)
}

// doubt is a transaction of unknown effect as its node remembers it.
type doubt struct {
	sequence uint8
	tokens   uint8 // that it draws
	returns  uint8 // that it gives back
}

// accountNode is a node's process.
type accountNode struct {
	process  uint8
	sequence uint8
	free     uint8
	drew     uint8 // all that it ever drew
	leaving  uint8 // on their way back to the table
	known    accountRow
	waits    uint8 // sequence of the transaction that it waits for; 0: none
	doubts   [maxUnsure]doubt
	stopped  bool // has given back; its process ends
}

// AccountState is one state of the row, the nodes and the transactions in flight.
type AccountState struct {
	row       accountRow
	nodes     [accountNodes]accountNode
	flight    [maxInFlight]draw
	generated uint8
	crashes   uint8
	handOvers uint8
	repeats   uint8
}

// Account is the model of the account's protocol.
type Account struct {
	Bounds AccountBounds
	Mutant AccountMutant
}

// Initial implements Model.
func (a Account) Initial() AccountState { return AccountState{} }

// Check implements Model.
func (a Account) Check(s AccountState) string {
	if int(s.generated) > a.Bounds.Budget {
		return "more was generated than the budget"
	}
	return ""
}

// Steps implements Model.
func (a Account) Steps(s AccountState) []Step[AccountState] {
	var steps []Step[AccountState]
	add := func(action Action, next AccountState) {
		slices.SortFunc(next.flight[:], compareDraws) // the order of slots means nothing
		steps = append(steps, Step[AccountState]{action, next})
	}
	for n := range accountNodes {
		a.runStep(s, n, add)
		a.drawStep(s, n, add)
		a.readStep(s, n, add)
		a.giveUpStep(s, n, add)
		a.handOverSteps(s, n, add)
		a.stopStep(s, n, add)
		a.returnStep(s, n, add)
		a.accountCrashStep(s, n, add)
	}
	for i := range maxInFlight {
		a.tableSteps(s, i, add)
		a.repeatStep(s, i, add)
	}
	return steps
}
