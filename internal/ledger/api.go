package ledger

import (
	"time"

	"github.com/cloverwheel/cloverwheel/internal/id"
	"github.com/cloverwheel/cloverwheel/internal/template"
)

// Peer methods that the leader of a tenant's shard serves.
const (
	MethodReserve = "ledger.reserve" // ReserveRequest → Reservation
	MethodSettle  = "ledger.settle"  // SettleRequest → Balance
	MethodBalance = "ledger.balance" // BalanceRequest → Balance
)

// ReserveRequest sets the worst case of one call aside. Repeating it with the
// same Request changes nothing, except that the time limit starts again. A
// Budget without tokens is no limit, and nothing is kept of the request.
type ReserveRequest struct {
	Tenant  id.Tenant
	Request id.Request
	Tokens  int64
	Budget  template.Budget // of the configuration in force at the caller
	Version uint64          // of that configuration; a higher one wins
}

// Reservation answers a ReserveRequest. A refusal is fault.BudgetExhausted with
// RanNo; its RetryAfter says when waiting helps. A Request that was settled
// before is refused with fault.Conflict.
type Reservation struct {
	Tokens int64
	Left   int64 // of the budget in this period
}

// SettleRequest replaces a reservation by what was spent; zero gives it all
// back. Repeating it changes nothing.
type SettleRequest struct {
	Tenant  id.Tenant
	Request id.Request
	Spent   int64
}

// BalanceRequest reads a tenant's balance.
type BalanceRequest struct{ Tenant id.Tenant }

// Balance is a tenant's account in the present period.
type Balance struct {
	Tenant   id.Tenant
	Budget   int64
	Spent    int64 // with what was lost together with an earlier group of the shard
	Reserved int64
	Drawn    int64 // recorded in the table as handed to this ledger
	Period   time.Time
}

// FateKind says what became of a reserved request.
type FateKind uint8

// The fates of a request.
const (
	// FateRunning: it may still run. Also the answer when nobody knows.
	FateRunning FateKind = iota
	// FateOver: it has an outcome, and Spent is what it used.
	FateOver
	// FateVoid: it was never started and, by a committed promise, never will be.
	FateVoid
	// FateLost: its program is not known any more, so it may have run. It is
	// charged in full.
	FateLost
)

// Fate is what the program's shard knows of a request.
type Fate struct {
	Kind  FateKind
	Spent int64
}
