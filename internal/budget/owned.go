package budget

import (
	"context"
	"errors"
	"time"

	"github.com/cloverwheel/cloverwheel/internal/store"
)

// Of a large budget the rows hold only a part. The rest is granted from memory, by the owners of
// the program's directory slot: one part by each, and by no more of them than there are parts. So
// programs begin and go on while the table is away, and whatever owners and nodes die, rows and
// grants together stay below the budget and the most of one turn.

const (
	// OwnedParts is how many owners, one after the other, may grant of a program's budget. With
	// two, programs may still begin in an outage that follows the loss of all nodes; each
	// further one would take more out of the rows, where it is there for everybody.
	OwnedParts = 2
	// ownedShare: a part is that much of a budget. It should hold the most of a turn: half of
	// all programs were seen with budgets of 4.5 to 6.2 times that, a quarter with less. The
	// rows keep half, and 95 in 100 programs use at most 43% of their budget.
	ownedShare = 4
	// ownedFrom is the least budget, in tokens, of which owners have parts: those of a smaller
	// one would not hold a turn of 288 tokens, the smallest that agents' turns were seen to ask
	// for. It is a matter of the budget alone: all turns of a program must agree on what the
	// rows hold, also where their sizes differ.
	ownedFrom = 1200
	// awayFailures calls for shares in a row, and none answered since, make a node believe that
	// the table is away; awayFor is for how long after the last of them.
	awayFailures = 2
	awayFor      = time.Second
	// grantWait is how long a turn waits for an owner before it tries the rows again, and grantTries
	// how often an owner is asked that does not answer.
	grantWait  = 200 * time.Millisecond
	grantTries = 3
)

// errOwnerSilent says that what lacks may be granted by an owner that does not answer.
var errOwnerSilent = errors.New("the owner of a part of the program's budget does not answer")

// ownedPart is what one owner may grant of a budget.
func ownedPart(budget int) int {
	if budget < ownedFrom {
		return 0
	}
	return budget / ownedShare
}

// Granter asks owners for what they may grant of a budget.
type Granter interface {
	// Grant asks the owner of a program's slot for its part of the budget. A request that got no
	// answer is repeated by the same number, and brings the same tokens. ok is false if nobody
	// answered.
	// It bounds its own time.
	Grant(ctx context.Context, program string, tokens int, number uint64) (grant Grant, ok bool)
}

// Grant is an owner's answer.
type Grant struct {
	Tokens int    // the asker's from now on; 0: none
	Taker  Holder // who got them before; without a process nobody did
}

// rowTenths is how what the rows hold of a budget with owned parts is divided over them: so that
// the first of them mostly holds a program's first turn, which is one call to the table then.
// While that row's part of the table is down, the elastic one still gives a whole turn.
var rowTenths = [shares]int{elasticShare: 1, 1: 6, 2: 3}

// limit is how much of a budget a row holds. All rows together hold what owners do not.
func (a *account) limit(budget, index int) int {
	part := ownedPart(budget)
	if !a.owned || part == 0 {
		return limitOf(budget, index)
	}
	rows := budget - OwnedParts*part
	if index == elasticShare {
		return rows - rows*rowTenths[1]/10 - rows*rowTenths[2]/10
	}
	return rows * rowTenths[index] / 10
}

// unspent is what is left of the rows, and what owners have of the budget. What is drawn ahead is a
// share of that, not of the rows alone, or programs would come back to the table sooner than those
// whose rows hold all. The caller holds the turn.
func (a *account) unspent(budget int) int {
	left := a.left(budget)
	if a.owned {
		left += OwnedParts * ownedPart(budget)
	}
	return left
}

// granting is a request to an owner under way. Its answer is there once done is closed.
type granting struct {
	done   chan struct{}
	answer Grant
	ok     bool
}

// grant asks the owner for its part of the budget, once in an inquiry. It reports whether the turn
// has its tokens then. The caller holds the account's turn.
func (b *Book) grant(ctx context.Context, account *account, claim Claim, inquiry *inquiry) bool {
	part := ownedPart(claim.Budget)
	if b.options.Granter == nil || part == 0 || inquiry.owner || account.lacks(claim.Tokens) <= 0 {
		return false
	}
	call := b.startGrant(account, part)
	timer := time.NewTimer(grantWait)
	defer timer.Stop()
	select {
	case <-call.done:
	case <-timer.C:
		return account.take(claim.Tokens)
	case <-ctx.Done():
		return false
	}
	if !call.ok {
		return false
	}
	inquiry.owner = true
	inquiry.granted = inquiry.granted || call.answer.Tokens > 0
	if call.answer.Taker.Process != "" {
		account.noteHolders(call.answer.Taker)
		b.ask(ctx, account, claim.Tokens, inquiry)
	}
	return account.take(claim.Tokens)
}

// startGrant returns the account's request to the owner, a new one if none is under way. It goes on
// when the turn that wants it has given up: tokens that arrive later are there for the next turn,
// and for other nodes, which hear from the owner who has them.
func (b *Book) startGrant(account *account, part int) *granting {
	account.mutex.Lock()
	defer account.mutex.Unlock()
	if account.granting != nil {
		return account.granting
	}
	if account.grantNumber == 0 {
		account.grantNumber = b.asks.Add(1)
	}
	call := &granting{done: make(chan struct{})}
	account.granting = call
	go b.runGrant(account, call, part, account.grantNumber)
	return call
}

// runGrant asks until the owner answers, a few times.
func (b *Book) runGrant(account *account, call *granting, part int, number uint64) {
	for range grantTries {
		call.answer, call.ok = b.options.Granter.Grant(context.Background(), account.program, part, number)
		if call.ok {
			break
		}
	}
	account.mutex.Lock()
	defer account.mutex.Unlock()
	account.granting = nil
	if call.ok {
		account.grantNumber = 0
		account.free += call.answer.Tokens
	}
	close(call.done)
}

// ownerSilent reports whether an owner may have tokens for the program and was not heard.
func (b *Book) ownerSilent(claim Claim, inquiry *inquiry) bool {
	return b.options.Granter != nil && ownedPart(claim.Budget) > 0 && !inquiry.owner
}

// noteShare notes whether a share's row answered. That the table takes no more calls is an
// answer, too.
func (b *Book) noteShare(err error) {
	if err == nil || errors.Is(err, store.ErrThrottled) {
		b.failures.Store(0)
		return
	}
	b.failures.Add(1)
	b.failed.Store(time.Now().UnixNano())
}

// suspicious is a Store that knows whether its last calls have failed.
type suspicious interface{ Suspect() bool }

// away reports whether the table has just not answered, whatever was asked for.
func (b *Book) away() bool {
	if table, ok := b.options.Store.(suspicious); ok && table.Suspect() {
		return true
	}
	return b.failures.Load() >= awayFailures && time.Since(time.Unix(0, b.failed.Load())) < awayFor
}
