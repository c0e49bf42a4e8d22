package budget

import (
	"context"
	"errors"
	"maps"
	"sync"
	"time"

	"github.com/cloverwheel/cloverwheel/internal/fault"
	"github.com/cloverwheel/cloverwheel/internal/store"
)

const (
	// aheadTurns is for how many further turns a node draws at once, so that most
	// turns need no call and programs under way outlive short outages.
	aheadTurns = 3
	// aheadShare of what is left is the most that is drawn ahead: what a dying
	// node strands stays small against the budget.
	aheadShare = 4
	// returnAfter is how long tokens of a program whose budget runs low stay at a
	// node that has no use for them.
	returnAfter = 150 * time.Millisecond
	// forgetAfter is how long a program may rest before this node forgets it.
	forgetAfter = 3 * time.Minute
	// tableWait is how long a turn waits for the table before it is refused.
	tableWait = 900 * time.Millisecond
	// retryAfter is when a turn that the table kept waiting should come back.
	retryAfter = 700 * time.Millisecond
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
	limit   int
	once    sync.Once
}

// Reserve reserves tokens for a turn of a program whose budget is limit. It
// fails with fault.BudgetExhausted when the table says that they are not left,
// and with fault.Unavailable when it does not say anything; nothing is
// reserved then.
func (b *Book) Reserve(ctx context.Context, program string, limit, tokens int) (*Reservation, error) {
	account := b.account(program)
	if account.takeFree(tokens) {
		return b.reservation(account, limit, tokens, false), nil
	}
	ctx, cancel := context.WithTimeout(ctx, tableWait)
	defer cancel()
	select {
	case account.turn <- struct{}{}:
	case <-ctx.Done():
		return nil, unavailable(ctx.Err())
	}
	defer func() { <-account.turn }()
	if account.takeFree(tokens) {
		return b.reservation(account, limit, tokens, false), nil
	}
	if err := b.draw(ctx, account, limit, tokens); err != nil {
		return nil, err
	}
	return b.reservation(account, limit, tokens, true), nil
}

func (b *Book) reservation(account *account, limit, tokens int, drawn bool) *Reservation {
	account.mutex.Lock()
	defer account.mutex.Unlock()
	return &Reservation{Tokens: tokens, Home: account.home, Drawn: drawn, book: b, account: account, limit: limit}
}

// draw takes from the account what this node lacks for a turn, and then the
// turn's tokens. The caller holds account.turn.
func (b *Book) draw(ctx context.Context, account *account, limit, tokens int) error {
	certain := false // the row was read by this call
	for {
		if account.takeFree(tokens) {
			return nil
		}
		account.mutex.Lock()
		lacking := tokens - account.free
		left := limit - account.known.Drawn
		account.mutex.Unlock()
		if lacking > left {
			if certain {
				return fault.Newf(fault.BudgetExhausted, "raise the program's budget or start a new program",
					"%d tokens are left of a budget of %d, and the turn may need %d", left, limit, tokens)
			}
			if err := b.read(ctx, account); err != nil {
				return unavailable(err)
			}
			certain = true
			continue
		}
		conflict, err := b.commit(ctx, account, lacking+ahead(left-lacking, tokens))
		if err != nil {
			return unavailable(err)
		}
		certain = conflict
	}
}

// ahead is what is drawn beyond a turn's need.
func ahead(left, tokens int) int {
	return max(0, min(aheadTurns*tokens, left/aheadShare))
}

func (b *Book) read(ctx context.Context, account *account) error {
	page, err := b.options.Store.Range(ctx, account.key.Table, account.key.Part, account.key.Name, account.key.Name+"\x00", 1)
	if err != nil {
		return err
	}
	stored := store.Row{Key: account.key}
	if len(page.Rows) > 0 {
		stored = page.Rows[0]
	}
	return account.learn(b.options.Holder, stored)
}

// commit changes what this node holds by tokens. conflict means that the row
// had changed; it is known now, and nothing was drawn unless it says so.
func (b *Book) commit(ctx context.Context, account *account, tokens int) (conflict bool, err error) {
	transaction, change, next := b.prepare(account, tokens)
	version, err := store.CommitHedged(ctx, b.options.Store, transaction)
	var refused *store.Conflict
	if errors.As(err, &refused) {
		return true, account.learn(b.options.Holder, refused.Find(account.key))
	}
	if err != nil {
		return false, err
	}
	account.mutex.Lock()
	defer account.mutex.Unlock()
	account.known, account.version, account.unsure = next, version, nil
	account.applied(change)
	return false, nil
}

// prepare builds a transaction. Its effect stays unsure until an answer is there.
func (b *Book) prepare(account *account, tokens int) (store.Transaction, draw, row) {
	account.mutex.Lock()
	defer account.mutex.Unlock()
	account.sequence++
	change := draw{sequence: account.sequence, tokens: tokens}
	next := row{Drawn: account.known.Drawn + tokens, Last: maps.Clone(account.known.Last), Home: account.home}
	if next.Last == nil {
		next.Last = map[string]uint64{}
	}
	next.Last[b.options.Holder] = change.sequence
	account.unsure = append(account.unsure, change)
	return store.Transaction{
		Conditions: []store.Condition{{Key: account.key, Version: account.version}},
		Put:        []store.Row{{Key: account.key, Value: next.encode()}},
	}, change, next
}

func unavailable(err error) error {
	return fault.Newf(fault.Unavailable, "come back after the time given",
		"the program's budget cannot be read now: %v", err).WithRetryAfter(retryAfter)
}

func (b *Book) account(program string) *account {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	now := time.Now()
	b.sweep(now)
	known, ok := b.accounts[program]
	if !ok {
		known = newAccount(program)
		b.accounts[program] = known
	}
	known.used = now
	return known
}

// sweep forgets accounts at rest, once in a while.
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
	r.once.Do(func() { r.settle(used, home) })
}

func (r *Reservation) settle(used int, home string) {
	r.account.mutex.Lock()
	r.account.free += max(0, r.Tokens-used)
	r.account.open--
	if home != "" {
		r.account.home = home
	}
	low := r.limit-r.account.known.Drawn < 2*r.Tokens
	idle := r.account.open == 0 && r.account.free > 0
	r.account.mutex.Unlock()
	if low && idle {
		time.AfterFunc(returnAfter, func() { r.book.giveBack(r.account) })
	}
}

// giveBack returns to the account what this node has no use for, so that the
// program's turns through other nodes find it.
func (b *Book) giveBack(account *account) {
	ctx, cancel := context.WithTimeout(context.Background(), tableWait)
	defer cancel()
	select {
	case account.turn <- struct{}{}:
	case <-ctx.Done():
		return
	}
	defer func() { <-account.turn }()
	tokens := account.withdrawFree()
	if tokens == 0 {
		return
	}
	// If this fails, the tokens stay drawn: too little is spent, never too much.
	conflict, err := b.commit(ctx, account, -tokens)
	if err == nil && conflict {
		_, _ = b.commit(ctx, account, -tokens)
	}
}

// withdrawFree takes all free tokens out of this node's hands, if no turn runs.
// They are not used again here, whatever becomes of giving them back.
func (a *account) withdrawFree() int {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.open > 0 {
		return 0
	}
	tokens := a.free
	a.free = 0
	return tokens
}
