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
	"github.com/cloverwheel/cloverwheel/internal/timing"
)

const (
	// accountIdleTimeout is how long a program may be idle before this node drops its
	// account.
	accountIdleTimeout = 3 * time.Minute
	// A node that stops returns the tokens of programs that had a turn within
	// giveBackMaxIdle, at most giveBackParallelism accounts at a time.
	giveBackMaxIdle     = 20 * time.Second
	giveBackParallelism = 4
)

// Options configures Accounts.
type Options struct {
	Store store.Store
	Self  Holder
	Peers Peers // nil: no other node is asked for tokens
	// ResponseTimes estimates the response times of other processes, from which the timeouts of
	// requests follow. Nil means that no latency is known.
	ResponseTimes timing.TimeoutFunc
	// Location is the location of this process. Processes in the same region are asked
	// first.
	Location locality.Location
	// Locator finds processes that ran turns of a program. Nil: only the store is
	// consulted.
	Locator Locator
	// Granter requests grants from directory owners. Nil: the rows hold whole budgets. It
	// must be nil at all nodes or at none.
	Granter Granter
}

// Located is the result of looking up a program with the locator. It may be stale or incomplete.
// It is sent between nodes with gob: its name and those of its fields are part of the encoding.
type Located struct {
	Holders []Holder // other processes that ran turns of the program, newest first
	// Spent is the size, in tokens, of a turn that the store recently refused to some
	// process, and SpentAgo is how long ago. Zero Spent means that no refusal is known.
	Spent    int
	SpentAgo time.Duration
}

// refuses reports whether a recent refusal implies that the store would refuse this turn.
func (l Located) refuses(tokens int) bool {
	return l.Spent > 0 && tokens >= l.Spent && l.SpentAgo < peerExhaustedTTL
}

// refusal returns the error for a turn that refuses reports as refused.
func (l Located) refusal(tokens int) error {
	return fault.Newf(fault.BudgetExhausted, exhaustedRemedy,
		"the turn may need %d tokens, but the store refused %d tokens to another node %v ago", tokens, l.Spent, l.SpentAgo.Round(time.Millisecond))
}

// Locator shares between processes which of them ran turns of a program.
type Locator interface {
	// Locate returns what is recorded for a program and records that this process runs a turn
	// of it.
	Locate(ctx context.Context, program string) Located
	// RecordRefusal records that the store refused a turn of that many tokens.
	RecordRefusal(program string, tokens int)
	// RecordReturned records that tokens were returned to the store, which invalidates
	// earlier refusals.
	RecordReturned(ctx context.Context, program string)
}

// Accounts holds the accounts of the programs that this node serves.
type Accounts struct {
	options           Options
	mutex             sync.Mutex
	accounts          map[string]*account
	unresponsive      map[string]unresponsivePeer // by process: those that did not answer their last request
	recentPeers       []Holder                    // processes seen recently, newest last
	broadcastLimiter  *rate.Limiter               // limits broadcast requests
	lastRequestNumber atomic.Uint64               // numbers requests to other processes
	shareFailures     atomic.Int64                // consecutive calls for shares that failed
	lastShareFailure  atomic.Int64                // time of the last such failure, in Unix nanoseconds
	lastSweep         time.Time
}

// NewAccounts returns Accounts without any account.
func NewAccounts(options Options) *Accounts {
	return &Accounts{
		options:          options,
		accounts:         map[string]*account{},
		unresponsive:     map[string]unresponsivePeer{},
		lastSweep:        time.Now(),
		broadcastLimiter: rate.NewLimiter(broadcastsPerSecond, broadcastsPerSecond),
	}
}

// Reservation is the right to generate up to Tokens tokens. It is ended by Settle.
type Reservation struct {
	Tokens      int
	LastWorker  string   // worker of the program's newest turn; empty if unknown
	Drawn       bool     // this node held too few tokens and had to obtain more
	HandedOver  bool     // another process handed tokens over
	LocatorUsed bool     // the locator returned processes to ask
	Granted     bool     // the owner of the program's directory slot granted tokens
	Holders     []Holder // other processes that may hold tokens of the program, in the order in which they are asked
	account     *account
	once        sync.Once
}

// Claim describes the tokens that a turn needs.
type Claim struct {
	Program string
	Budget  int // tokens that the program may generate in all its turns
	Tokens  int // maximum that this turn may generate
	// Continues says that the program has had a turn, so its rows exist. They are read
	// first, which avoids a transaction that the store would refuse.
	Continues bool
	// MustPersist says that the turn must be written to the store when it ends. While the store
	// is unavailable, recent peers and the owner are not asked for the tokens of such a
	// turn, as it could not end.
	MustPersist bool
	// OnHolders, if not nil, is called with the other processes that may hold tokens of the
	// program, if any are known, before the store is called. It may be called more than
	// once.
	OnHolders func([]Holder)
}

// reportHolders calls OnHolders, if it is set and there are holders.
func (c Claim) reportHolders(others []Holder) {
	if c.OnHolders != nil && len(others) > 0 {
		c.OnHolders(others)
	}
}

// Reserve reserves the tokens of a claim. It fails with fault.BudgetExhausted if the
// store reports the budget as exhausted. It fails with fault.Unavailable if the store
// does not answer before ctx ends, or if a process that may hold or grant tokens does not.
// Nothing is reserved if it fails.
func (a *Accounts) Reserve(ctx context.Context, claim Claim) (*Reservation, error) {
	account := a.accountOf(claim.Program)
	reservation := &Reservation{Tokens: claim.Tokens, account: account}
	if account.reserve(claim.Tokens) {
		reservation.LastWorker, reservation.Holders = account.cachedWorker(), a.responsiveHolders(account)
		return reservation, nil
	}
	var sources tokenSources
	if err := a.draw(ctx, account, claim, &sources); err != nil {
		var reported *fault.Error
		if errors.As(err, &reported) {
			return nil, err
		}
		return nil, fault.Newf(fault.Unavailable, "retry after the delay in Retry-After",
			"cannot read the program's budget: %v", err)
	}
	defer func() { <-account.sharesLock }()
	account.addHoldersFromRows()
	reservation.Holders = a.responsiveHolders(account)
	reservation.LastWorker, reservation.Drawn = account.lastKnownWorker(), true
	reservation.HandedOver, reservation.LocatorUsed, reservation.Granted = sources.handedOver, sources.locatorFound, sources.granted
	return reservation, nil
}

// Settle ends the reservation and frees the unused tokens for the program's next turn.
// worker is the one that ran the turn, empty if none did. Only the first call has an
// effect.
func (r *Reservation) Settle(used int, worker string) {
	r.once.Do(func() {
		r.account.addFree(max(0, r.Tokens-used))
		r.account.setLastWorker(worker)
	})
}

func (a *Accounts) accountOf(program string) *account {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	now := time.Now()
	a.sweep(now)
	known, ok := a.accounts[program]
	if !ok {
		known = newAccount(program, a.options.Self)
		known.hasOwnedParts = a.options.Granter != nil
		a.accounts[program] = known
	}
	known.lastUsed = now
	return known
}

// sweep periodically drops idle accounts and old records of unresponsive processes.
// Tokens that this node still holds for a dropped account stay drawn.
func (a *Accounts) sweep(now time.Time) {
	if now.Sub(a.lastSweep) < accountIdleTimeout/4 {
		return
	}
	a.lastSweep = now
	for program, account := range a.accounts {
		if now.Sub(account.lastUsed) > accountIdleTimeout {
			delete(a.accounts, program)
		}
	}
	for process, known := range a.unresponsive {
		if now.Sub(known.retryAt) > accountIdleTimeout {
			delete(a.unresponsive, process)
		}
	}
}

// GiveBack returns to the store the tokens that this node holds for programs with a
// recent turn. It is called when the node stops. Tokens that cannot be returned before
// ctx ends stay drawn. The result is the number of tokens returned.
func (a *Accounts) GiveBack(ctx context.Context) (returned int) {
	var mutex sync.Mutex
	var group errgroup.Group
	group.SetLimit(giveBackParallelism)
	for _, account := range a.recentAccounts(time.Now()) {
		group.Go(func() error {
			tokens := a.giveBack(ctx, account)
			mutex.Lock()
			defer mutex.Unlock()
			returned += tokens
			return nil
		})
	}
	_ = group.Wait()
	return returned
}

func (a *Accounts) recentAccounts(now time.Time) []*account {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	var recent []*account
	for _, account := range a.accounts {
		if now.Sub(account.lastUsed) < giveBackMaxIdle {
			recent = append(recent, account)
		}
	}
	return recent
}

// giveBack returns an account's free tokens to its shares, at most as many to each share
// as are drawn from it. They need not go back to the share that they came from, as only
// the sum over all shares matters.
func (a *Accounts) giveBack(ctx context.Context, account *account) (returned int) {
	select {
	case account.sharesLock <- struct{}{}:
	case <-ctx.Done():
		return 0
	}
	defer func() { <-account.sharesLock }()
	tokens := account.takeFree()
	for _, share := range account.shares {
		found := share.giveBack(ctx, a.options.Store, tokens, account.lastKnownWorker())
		returned += found.returned
		tokens += found.drawn - found.returned - found.returnInDoubt
	}
	if returned > 0 && a.options.Locator != nil {
		a.options.Locator.RecordReturned(ctx, account.program)
	}
	return returned
}
