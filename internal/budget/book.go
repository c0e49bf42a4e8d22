package budget

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/cloverwheel/cloverwheel/internal/fault"
	"github.com/cloverwheel/cloverwheel/internal/store"
	"github.com/cloverwheel/cloverwheel/internal/wait"
)

const (
	// aheadTurns is for how many further turns a node draws at once, so that most
	// turns need no call and programs under way outlive short outages.
	aheadTurns = 4
	// aheadShare of what is left is the most that is drawn ahead: what a node
	// holds idle or strands stays small against the budget.
	aheadShare = 6
	// lowTurns is how few turns must be left of a budget for idle tokens to be
	// given back at once.
	lowTurns = 6
	// giveBackAfter is how long a program must rest before its idle tokens are
	// given back: longer than most programs think, or each turn would draw anew.
	giveBackAfter = 700 * time.Millisecond
	// spentFor is for how long a budget that was spent is taken to be so.
	spentFor = time.Second
	// forgetAfter is how long a program may rest before this node forgets it.
	forgetAfter = 3 * time.Minute
	// shareWait is how long one share is waited for before the next is tried.
	shareWait = 130 * time.Millisecond
	// roundPause is the pause after a round in which no share said enough.
	roundPause = 50 * time.Millisecond
	// giveBackWait bounds how long giving back may take.
	giveBackWait = 900 * time.Millisecond
)

// Options of a Book.
type Options struct {
	Store  store.Store
	Holder string // unique to this process
}

// Book holds the accounts that this node works with.
type Book struct {
	options  Options
	mutex    sync.Mutex
	accounts map[string]*account
	swept    time.Time
}

// NewBook returns an empty book.
func NewBook(options Options) *Book {
	return &Book{options: options, accounts: map[string]*account{}, swept: time.Now()}
}

// Reservation is the right to generate up to Tokens.
type Reservation struct {
	Tokens  int
	Home    string // worker of the program's newest turn; empty if unknown
	Drawn   bool   // the table was asked
	book    *Book
	account *account
	budget  int
	once    sync.Once
}

// Reserve reserves tokens for a turn of a program with the budget given. It
// fails with fault.BudgetExhausted when the table says that they are not left,
// and with fault.Unavailable when it says nothing before ctx ends; nothing is
// reserved then.
func (b *Book) Reserve(ctx context.Context, program string, budget, tokens int) (*Reservation, error) {
	account := b.account(program)
	reservation := &Reservation{Tokens: tokens, book: b, account: account, budget: budget}
	if account.take(tokens) {
		account.mutex.Lock()
		reservation.Home = account.home
		account.mutex.Unlock()
		return reservation, nil
	}
	if err := b.draw(ctx, account, budget, tokens); err != nil {
		var spent *fault.Error
		if errors.As(err, &spent) {
			return nil, err
		}
		return nil, fault.Newf(fault.Unavailable, "come back after the time given",
			"the program's budget cannot be read now: %v", err)
	}
	defer func() { <-account.turn }()
	reservation.Home, reservation.Drawn = account.homeOf(), true
	return reservation, nil
}

// draw draws what this node lacks for a turn and takes the turn's tokens. If it
// succeeds, the caller holds the account's turn.
func (b *Book) draw(ctx context.Context, account *account, budget, tokens int) error {
	select {
	case account.turn <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	for {
		taken, err := b.drawOnce(ctx, account, budget, tokens)
		if taken {
			return nil
		}
		if err != nil && !fault.Is(err, fault.BudgetExhausted) && wait.For(ctx, roundPause) == nil {
			continue
		}
		<-account.turn
		if err == nil {
			err = ctx.Err()
		}
		return err
	}
}

// drawOnce asks each share once. It fails with fault.BudgetExhausted if all of
// them were read and hold too little.
func (b *Book) drawOnce(ctx context.Context, account *account, budget, tokens int) (taken bool, failure error) {
	if account.take(tokens) {
		return true, nil
	}
	if err := account.stillSpent(budget, tokens); err != nil {
		return false, err
	}
	for index, share := range account.shares {
		limited, cancel := context.WithTimeout(ctx, shareWait)
		err := b.drawFrom(limited, account, share, limitOf(budget, index), budget, tokens)
		cancel()
		if err != nil {
			failure = err
		}
		if account.take(tokens) {
			return true, nil
		}
		if ctx.Err() != nil {
			return false, ctx.Err()
		}
	}
	if failure != nil {
		return false, failure
	}
	account.noteSpent()
	return false, spentError(account.left(budget), budget, tokens)
}

// drawFrom draws from one share until the turn has its tokens or the share has
// none. No error means that the share's row is known for certain.
func (b *Book) drawFrom(ctx context.Context, account *account, share *share, limit, budget, tokens int) error {
	certain := false
	for {
		lacking := account.lacks(tokens)
		if lacking <= 0 {
			return nil
		}
		left := share.left(limit)
		if left == 0 && certain {
			return nil
		}
		if left == 0 {
			drawn, err := share.read(ctx, b.options.Store)
			if err != nil {
				return err
			}
			account.add(drawn)
			certain = true
			continue
		}
		wanted := min(left, lacking+ahead(account.left(budget)-lacking, tokens))
		drawn, done, err := share.commit(ctx, b.options.Store, wanted, account.homeOf())
		if err != nil {
			return err
		}
		account.add(drawn)
		certain = !done
		if done && share.left(limit) == 0 {
			return nil
		}
	}
}

// ahead is what is drawn beyond a turn's need.
func ahead(left, tokens int) int {
	return max(0, min(aheadTurns*tokens, left/aheadShare))
}

func spentError(left, budget, tokens int) error {
	return fault.Newf(fault.BudgetExhausted, "raise the program's budget or start a new program",
		"%d tokens are left of a budget of %d, and the turn may need %d", left, budget, tokens)
}

// noteSpent notes the table's word that the budget is spent.
func (a *account) noteSpent() {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.spent = time.Now()
}

// stillSpent repeats the table's word of a moment ago. The caller holds the turn.
func (a *account) stillSpent(budget, tokens int) error {
	a.mutex.Lock()
	recent := time.Since(a.spent) < spentFor
	a.mutex.Unlock()
	left := a.left(budget)
	if !recent || left >= tokens {
		return nil
	}
	return spentError(left, budget, tokens)
}

func (b *Book) account(program string) *account {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	now := time.Now()
	b.sweep(now)
	known, ok := b.accounts[program]
	if !ok {
		known = newAccount(program, b.options.Holder)
		b.accounts[program] = known
	}
	known.used = now
	return known
}

// sweep forgets accounts at rest, once in a while. What this node still holds
// of them stays drawn.
func (b *Book) sweep(now time.Time) {
	if now.Sub(b.swept) < forgetAfter/4 {
		return
	}
	b.swept = now
	for program, account := range b.accounts {
		if now.Sub(account.used) > forgetAfter {
			delete(b.accounts, program)
		}
	}
}

// Settle ends the reservation: what was not used is free for the program's next
// turn. home is the worker that ran the turn, empty if none did.
func (r *Reservation) Settle(used int, home string) {
	r.once.Do(func() {
		r.account.settle(r.Tokens, used, home)
		time.AfterFunc(giveBackAfter, func() { r.book.giveBack(r.account, r.budget, r.Tokens) })
	})
}

func (a *account) settle(reserved, used int, home string) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.free += max(0, reserved-used)
	a.open--
	a.idle = time.Now()
	if home != "" {
		a.home = home
	}
}

// giveBack returns what this node has no use for when the budget runs low, so
// that the program's turns through other nodes find it. If it fails, the tokens
// stay drawn: too little is spent, never too much.
func (b *Book) giveBack(account *account, budget, tokens int) {
	select {
	case account.turn <- struct{}{}:
	default:
		return // somebody draws for a turn; its end comes back here
	}
	defer func() { <-account.turn }()
	if account.left(budget) >= lowTurns*tokens {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), giveBackWait)
	defer cancel()
	idle := account.withdraw(giveBackAfter)
	if idle == 0 {
		return
	}
	for _, share := range account.shares {
		returned := min(idle, share.held)
		if returned > 0 {
			idle -= returned
			account.add(share.giveBack(ctx, b.options.Store, returned, account.homeOf()))
		}
	}
}
