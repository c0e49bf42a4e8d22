package budget

import (
	"context"
	"errors"
	"time"

	"github.com/cloverwheel/cloverwheel/internal/store"
)

// For a large budget the rows hold only a part. The rest is granted from memory by the
// owners of the program's directory slot: each owner grants one part, and at most
// OwnedParts owners grant any. Programs can therefore start and continue during a store
// outage. Whichever owners and nodes crash, rows and grants together stay below the
// budget plus the maximum of one turn.

const (
	// OwnedParts is how many successive owners may each grant a part of a program's
	// budget. With two, programs can still start during a store outage that follows the
	// loss of all nodes. Each further part would reduce what the rows hold for all nodes.
	OwnedParts = 2
	// ownedDivisor sets the size of a part as a fraction of the budget. A part should
	// cover the maximum of one turn: half of all programs have budgets of 4.5 to 6.2 times
	// that, a quarter less. The rows keep half of the budget, and 95 in 100 programs use at
	// most 43% of theirs.
	ownedDivisor = 4
	// minOwnedBudget is the smallest budget, in tokens, that has owned parts. The parts
	// of a smaller one would not cover a turn of 288 tokens, a typical small one. It depends on the budget
	// alone, not on the size of a turn, because all turns of a program must agree on what
	// the rows hold.
	minOwnedBudget = 1200
	// The store is considered unavailable after unavailableFailures consecutive failed
	// calls for shares, until unavailableFor after the last of them.
	unavailableFailures = 2
	unavailableFor      = time.Second
	// grantTimeout is how long a turn waits for an owner before it tries the rows again.
	// grantAttempts is how often a request is sent to an owner that does not answer.
	grantTimeout  = 200 * time.Millisecond
	grantAttempts = 3
)

// errOwnerUnresponsive means that the missing tokens may be granted by an owner that does
// not answer.
var errOwnerUnresponsive = errors.New("the owner of a part of the program's budget does not answer")

// ownedPart returns how many tokens one owner may grant of a budget.
func ownedPart(budget int) int {
	if budget < minOwnedBudget {
		return 0
	}
	return budget / ownedDivisor
}

// Granter requests grants from directory owners.
type Granter interface {
	// Grant requests tokens from the owner of a program's directory slot. A request that
	// got no answer is repeated with the same number and then returns the same tokens. ok
	// is false if no owner answered. Grant bounds its own time.
	Grant(ctx context.Context, program string, tokens int, number uint64) (grant Grant, ok bool)
}

// Grant is an owner's answer to a request for tokens. It is sent between nodes with gob,
// so its fields keep their names.
type Grant struct {
	Tokens int    // transferred to the requesting process; 0: none
	Taker  Holder // process that has already received the owner's part; Process is empty if none has
}

// rowTenths is how the rows' part of a budget with owned parts is divided over them, in
// tenths. The first row usually covers a program's first turn, so that this takes one
// store call. While that row is unavailable, the overdraft share can still cover a whole
// turn.
var rowTenths = [shareCount]int{overdraftShare: 1, 1: 6, 2: 3}

// limit returns how many tokens of a budget a row holds. All rows together hold what is
// not reserved for owners.
func (a *account) limit(budget, index int) int {
	part := ownedPart(budget)
	if !a.hasOwnedParts || part == 0 {
		return evenShareLimit(budget, index)
	}
	rows := budget - OwnedParts*part
	if index == overdraftShare {
		return rows - rows*rowTenths[1]/10 - rows*rowTenths[2]/10
	}
	return rows * rowTenths[index] / 10
}

// undrawnWithOwnedParts returns what is left in the rows plus the owned parts.
// Prefetching is sized by this sum; with the rows alone, programs with owned parts would
// call the store more often. The caller holds sharesLock.
func (a *account) undrawnWithOwnedParts(budget int) int {
	left := a.undrawn(budget)
	if a.hasOwnedParts {
		left += OwnedParts * ownedPart(budget)
	}
	return left
}

// grantCall is a running request to an owner. The other fields may be read once done is
// closed.
type grantCall struct {
	done   chan struct{}
	answer Grant
	ok     bool
}

// requestGrant asks the owner for its part of the budget, unless the owner has already
// answered this turn. It reports whether the turn's tokens are reserved. The caller holds
// account.sharesLock.
func (a *Accounts) requestGrant(ctx context.Context, account *account, claim Claim, sources *tokenSources) bool {
	part := ownedPart(claim.Budget)
	if a.options.Granter == nil || part == 0 || sources.ownerAnswered || account.shortfall(claim.Tokens) <= 0 {
		return false
	}
	call := a.startGrant(account, part)
	timer := time.NewTimer(grantTimeout)
	defer timer.Stop()
	select {
	case <-call.done:
	case <-timer.C:
		return account.reserve(claim.Tokens)
	case <-ctx.Done():
		return false
	}
	if !call.ok {
		return false
	}
	sources.ownerAnswered = true
	sources.granted = sources.granted || call.answer.Tokens > 0
	if call.answer.Taker.Process != "" {
		account.addHolders(call.answer.Taker)
		a.requestFromHolders(ctx, account, claim.Tokens, sources)
	}
	return account.reserve(claim.Tokens)
}

// startGrant returns the account's running request to the owner, or starts one. The
// request continues if the turn gives up. Its tokens are then available to the next turn,
// and to other nodes, which the owner refers to this process.
func (a *Accounts) startGrant(account *account, part int) *grantCall {
	account.mutex.Lock()
	defer account.mutex.Unlock()
	if account.grantInFlight != nil {
		return account.grantInFlight
	}
	if account.grantNumber == 0 {
		account.grantNumber = a.lastRequestNumber.Add(1)
	}
	call := &grantCall{done: make(chan struct{})}
	account.grantInFlight = call
	go a.runGrant(account, call, part, account.grantNumber)
	return call
}

// runGrant sends the request up to grantAttempts times, until the owner answers.
func (a *Accounts) runGrant(account *account, call *grantCall, part int, number uint64) {
	for range grantAttempts {
		call.answer, call.ok = a.options.Granter.Grant(context.Background(), account.program, part, number)
		if call.ok {
			break
		}
	}
	account.mutex.Lock()
	defer account.mutex.Unlock()
	account.grantInFlight = nil
	if call.ok {
		account.grantNumber = 0
		account.free += call.answer.Tokens
	}
	close(call.done)
}

// ownerUnanswered reports whether an owner may grant tokens to the program but has not
// answered.
func (a *Accounts) ownerUnanswered(claim Claim, sources *tokenSources) bool {
	return a.options.Granter != nil && ownedPart(claim.Budget) > 0 && !sources.ownerAnswered
}

// recordShareResult records whether a call for a share was answered. Throttling counts as an
// answer; a call that ended because the caller left counts as neither.
func (a *Accounts) recordShareResult(ctx context.Context, err error) {
	switch {
	case err == nil || errors.Is(err, store.ErrThrottled):
		a.shareFailures.Store(0)
	case errors.Is(ctx.Err(), context.Canceled):
	default:
		a.shareFailures.Add(1)
		a.lastShareFailure.Store(time.Now().UnixNano())
	}
}

// suspectReporter is a store that reports whether its recent calls failed.
type suspectReporter interface{ Suspect() bool }

// storeUnavailable reports whether recent calls to the store, for any program, went
// unanswered.
func (a *Accounts) storeUnavailable() bool {
	if table, ok := a.options.Store.(suspectReporter); ok && table.Suspect() {
		return true
	}
	return a.shareFailures.Load() >= unavailableFailures && time.Since(time.Unix(0, a.lastShareFailure.Load())) < unavailableFor
}
