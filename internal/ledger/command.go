package ledger

import (
	"time"

	"github.com/cloverwheel/cloverwheel/internal/id"
	"github.com/cloverwheel/cloverwheel/internal/peer"
)

// Command is one entry of a shard's log for this machine; one of the pointers
// or Draws is set.
type Command struct {
	// Epoch of the group. A higher one than an account has seen means that the
	// shard may have lost entries, so the account starts again.
	Epoch uint64
	// Now is the proposer's clock. The machine's clock never goes back.
	Now     time.Time
	Reserve *ReserveRequest
	// Limit is the time after which a reservation is asked about.
	Limit  time.Duration
	Settle *SettleRequest
	Draws  []Draw
	Sweep  *Sweep
}

// Draw records what the table has for one tenant's period.
type Draw struct {
	Tenant id.Tenant
	Period time.Time
	// Base was drawn before this group epoch and counts as spent.
	Base int64
	// Drawn is the sum of all draws in the period, Base included.
	Drawn int64
}

// Claim names a reservation.
type Claim struct {
	Tenant  id.Tenant
	Request id.Request
}

// Sweep renews or charges reservations that passed their limit, and forgets
// accounts of past periods.
type Sweep struct {
	Renew []Claim
	// Forfeit charges reservations in full, because nobody knows their outcome.
	Forfeit []Claim
}

// Encode returns the command in gob.
func (c Command) Encode() ([]byte, error) { return peer.Encode(c) }

// DecodeCommand reads what Encode wrote.
func DecodeCommand(data []byte) (Command, error) {
	var command Command
	return command, peer.Decode(data, &command)
}

// Verdict is what became of a reservation.
type Verdict uint8

// The verdicts.
const (
	// Granted: the tokens are set aside.
	Granted Verdict = iota + 1
	// Undrawn: the budget allows it, but too little is drawn.
	Undrawn
	// Exhausted: the budget does not allow it in this period.
	Exhausted
	// Blocked: other reservations hold what is left; some of it will come back.
	Blocked
	// AlreadySettled: the request was settled before.
	AlreadySettled
)

// Result is what Machine.Apply returns.
type Result struct {
	Verdict  Verdict // of a reservation
	Tokens   int64   // set aside for the request, now or before
	Balance  Balance
	Left     int64     // of the budget in this period
	Spare    int64     // drawn and neither spent nor reserved
	Base     int64     // drawn in earlier epochs
	Renewal  time.Time // of the budget; zero: never
	Recorded bool      // of a settlement: it changed something
}
