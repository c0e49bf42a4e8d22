package budget

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"

	"github.com/cloverwheel/cloverwheel/internal/fault"
	"github.com/cloverwheel/cloverwheel/internal/locality"
	"github.com/cloverwheel/cloverwheel/internal/store"
	"github.com/cloverwheel/cloverwheel/internal/wait"
)

const (
	// forgetAfter is how long a program may rest before this node forgets it.
	forgetAfter = 3 * time.Minute
	// A node that stops gives back the tokens of programs that had a turn within
	// giveBackRecent, giveBackAtOnce of them at the same time.
	giveBackRecent = 20 * time.Second
	giveBackAtOnce = 4
)

// Options of a Book.
type Options struct {
	Store store.Store
	Self  Holder
	Peers Peers // nil: no other node is asked
	// Patience is how long other nodes' answers are seen to take; nil: not known.
	Patience wait.Patience
	// Vantage is where this process runs; others of its region are asked first.
	Vantage locality.Vantage
	// Locator tells who had turns of a program; nil: only the table does.
	Locator Locator
	// Granter asks owners; nil: rows hold whole budgets. It must be nil at all nodes or at none.
	Granter Granter
}

// Located is what is known of a program without the table. It may be wrong or missing.
type Located struct {
	Holders []Holder // other processes that had turns of the program, the newest first
	// Spent is the size of a turn that the table has lately refused to some process,
	// and SpentAgo how long ago; no Spent means that it has refused none.
	Spent    int
	SpentAgo time.Duration
}

// spent reports whether the table would refuse a turn, by its word of a moment ago.
func (l Located) spent(tokens int) bool {
	return l.Spent > 0 && tokens >= l.Spent && l.SpentAgo < othersSpentFor
}

// refusal repeats the table's word that the budget is spent.
func (l Located) refusal(tokens int) error {
	return fault.Newf(fault.BudgetExhausted, spentRemedy,
		"the turn may need %d tokens, and the table refused %d to another node %v ago", tokens, l.Spent, l.SpentAgo.Round(time.Millisecond))
}

// Locator tells what other processes have learnt of a program.
type Locator interface {
	// Locate also notes that this process has a turn of the program.
	Locate(ctx context.Context, program string) Located
	// NoteSpent notes that the table has refused a turn of that size.
	NoteSpent(program string, tokens int)
	// NoteReturned notes that tokens were given back to the table, so that an earlier
	// refusal says nothing any more.
	NoteReturned(ctx context.Context, program string)
}

// Book holds the accounts that this node works with.
type Book struct {
	options  Options
	mutex    sync.Mutex
	accounts map[string]*account
	silent   map[string]silence // processes that did not answer
	nodes    []Holder           // processes met lately, the newest last
	around   *rate.Limiter      // of asking all of them
	asks     atomic.Uint64      // requests to other nodes
	failures atomic.Int64       // calls for shares without an answer, in a row
	failed   atomic.Int64       // when the last of them was, in nanoseconds of the epoch
	swept    time.Time
}

// NewBook returns an empty book.
func NewBook(options Options) *Book {
	return &Book{
		options:  options,
		accounts: map[string]*account{},
		silent:   map[string]silence{},
		swept:    time.Now(),
		around:   rate.NewLimiter(aroundPerSecond, aroundPerSecond),
	}
}

// Reservation is the right to generate up to Tokens.
type Reservation struct {
	Tokens  int
	Home    string   // worker of the program's newest turn; empty if unknown
	Drawn   bool     // more was needed than this node held
	Handed  bool     // another node handed tokens over
	Located bool     // the locator named processes to ask
	Granted bool     // the owner of the program's slot granted tokens
	Others  []Holder // processes that had turns of the program, the newest first
	account *account
	once    sync.Once
}

// Claim asks for the tokens of a turn.
type Claim struct {
	Program string
	Budget  int // tokens that the program may generate
	Tokens  int // most that the turn generates
	// Continues says that the program has had a turn: its rows are there then, and
	// reading them first spares the table a transaction that it would refuse.
	Continues bool
	// Kept says that the turn cannot end without the table. It is not worth
	// running, then, while that is out of reach.
	Kept bool
	// Named is told, before the table is asked, which other processes had turns of the program, if
	// some are known then. It may be called again. Nil: nobody is told.
	Named func([]Holder)
}

// name tells who had turns of the program.
func (c Claim) name(others []Holder) {
	if c.Named != nil && len(others) > 0 {
		c.Named(others)
	}
}

// Reserve reserves the tokens of a claim. It fails with fault.BudgetExhausted
// when the table says that the budget is used up, and with fault.Unavailable when
// it says nothing before ctx ends, or a node that may hold tokens does not answer;
// nothing is reserved then.
func (b *Book) Reserve(ctx context.Context, claim Claim) (*Reservation, error) {
	account := b.account(claim.Program)
	reservation := &Reservation{Tokens: claim.Tokens, account: account}
	if account.take(claim.Tokens) {
		reservation.Home, reservation.Others = account.lastHome(), b.others(account)
		return reservation, nil
	}
	var inquiry inquiry
	if err := b.draw(ctx, account, claim, &inquiry); err != nil {
		var spent *fault.Error
		if errors.As(err, &spent) {
			return nil, err
		}
		return nil, fault.Newf(fault.Unavailable, "come back after the time given",
			"the program's budget cannot be read now: %v", err)
	}
	defer func() { <-account.turn }()
	account.learnHolders()
	reservation.Others = b.others(account)
	reservation.Home, reservation.Drawn = account.homeOf(), true
	reservation.Handed, reservation.Located, reservation.Granted = inquiry.handed, inquiry.named, inquiry.granted
	return reservation, nil
}

// Settle ends the reservation: what was not used is free for the program's next
// turn. home is the worker that ran the turn, empty if none did.
func (r *Reservation) Settle(used int, home string) {
	r.once.Do(func() {
		r.account.add(max(0, r.Tokens-used))
		r.account.setHome(home)
	})
}

func (b *Book) account(program string) *account {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	now := time.Now()
	b.sweep(now)
	known, ok := b.accounts[program]
	if !ok {
		known = newAccount(program, b.options.Self)
		known.owned = b.options.Granter != nil
		b.accounts[program] = known
	}
	known.used = now
	return known
}

// sweep forgets accounts at rest and processes that were silent, once in a while.
// What this node still holds of the accounts stays drawn.
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
	for process, known := range b.silent {
		if now.Sub(known.until) > forgetAfter {
			delete(b.silent, process)
		}
	}
}

// GiveBack returns to the table what this node holds of programs that had a turn
// lately. A node does so when it stops; one that runs hands over what others ask
// for. What cannot be given back before ctx ends stays drawn.
func (b *Book) GiveBack(ctx context.Context) (returned int) {
	var mutex sync.Mutex
	var group errgroup.Group
	group.SetLimit(giveBackAtOnce)
	for _, account := range b.recent(time.Now()) {
		group.Go(func() error {
			tokens := b.giveBack(ctx, account)
			mutex.Lock()
			defer mutex.Unlock()
			returned += tokens
			return nil
		})
	}
	_ = group.Wait()
	return returned
}

func (b *Book) recent(now time.Time) []*account {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	var recent []*account
	for _, account := range b.accounts {
		if now.Sub(account.used) < giveBackRecent {
			recent = append(recent, account)
		}
	}
	return recent
}

// giveBack returns an account's tokens to its shares, as much to each as is drawn
// there: what counts is the sum over all shares.
func (b *Book) giveBack(ctx context.Context, account *account) (returned int) {
	select {
	case account.turn <- struct{}{}:
	case <-ctx.Done():
		return 0
	}
	defer func() { <-account.turn }()
	tokens := account.takeAll()
	for _, share := range account.shares {
		found := share.giveBack(ctx, b.options.Store, tokens, account.homeOf())
		returned += found.returned
		tokens += found.drawn - found.returned - found.doubtful
	}
	if returned > 0 && b.options.Locator != nil {
		b.options.Locator.NoteReturned(ctx, account.program)
	}
	return returned
}
