package ledger

// mutant is a deliberate fault. Tests set one to show that the check against
// the oracle can fail; elsewhere it is always zero.
type mutant uint8

const (
	// keepAccountInNewEpoch trusts an account that may be older than its spending.
	keepAccountInNewEpoch mutant = iota + 1
	// settleTwice charges a repeated settlement again.
	settleTwice
	// addDraws adds draws up instead of taking over the table's sum.
	addDraws
	// returnOnTimeout gives back a reservation whose outcome nobody knows.
	returnOnTimeout
	// recordBeforeTable records a draw before the table has it.
	recordBeforeTable
	// ignoreTableConflict records a draw that lost its race in the table.
	ignoreTableConflict
)
