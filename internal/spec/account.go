package spec

import (
	"cmp"
	"slices"
)

// This file specifies how nodes that keep nothing hold a program to its budget
// (package budget): conditional transactions on the rows of its shares, answers that
// are lost, effects that come late, tokens handed from node to node, and nodes that
// die. A turn may reach past the one row that is elastic, while that is not used up.

// Sizes of an AccountState.
const (
	accountNodes = 2
	accountRows  = 2
	elasticRow   = 0
	maxInFlight  = 3
	maxUnsure    = 3
	drawnAhead   = 1 // beyond a turn's need
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
	DoubtIsForgotten                // what may have been given back to one row is given back to the next
	TwoRowsGoPast                   // a turn may reach past either row
	GoesPastTwice                   // a turn may reach past a row that is used up
	RepeatedDrawIsNew               // the answer to a repeated draw brings its tokens again
)

// AccountBounds limits the states that are explored.
type AccountBounds struct {
	Budget    int // tokens that the program may generate, but for the most of one turn
	Turn      int // tokens that a turn generates
	Rows      int // that the budget is divided over
	Draws     int // transactions of one process
	InFlight  int // of them and of others at a time, at most maxInFlight
	Crashes   int // of all nodes together
	HandOvers int
	Repeats   int // transactions sent a second time, on another connection
}

// limit is a row's part of the budget.
func (b AccountBounds) limit(row int) int {
	limit := b.Budget / b.Rows
	if row == elasticRow {
		limit += b.Budget % b.Rows
	}
	return limit
}

// accountRow is a row of the table.
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
	row      uint8
	version  uint8 // that the row must have
	drawn    uint8 // that it writes
	tokens   uint8 // that it draws
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
	row      uint8
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
	known    [accountRows]accountRow
	waits    uint8 // sequence of the transaction that it waits for; 0: none
	doubts   [maxUnsure]doubt
	stopped  bool // has given back; its process ends
}

// AccountState is one state of the row, the nodes and the transactions in flight.
type AccountState struct {
	rows      [accountRows]accountRow
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
	if int(s.generated) >= a.Bounds.Budget+a.Bounds.Turn {
		return "the budget and the most of one turn were generated"
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
		for row := range a.Bounds.Rows {
			a.drawStep(s, n, row, add)
			a.readStep(s, n, row, add)
			a.returnStep(s, n, row, add)
		}
		a.giveUpStep(s, n, add)
		a.handOverSteps(s, n, add)
		a.stopStep(s, n, add)
		a.accountCrashStep(s, n, add)
	}
	for i := range maxInFlight {
		a.tableSteps(s, i, add)
		a.repeatStep(s, i, add)
	}
	return steps
}
