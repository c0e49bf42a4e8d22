package quota

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cloverwheel/cloverwheel/internal/directory"
	"github.com/cloverwheel/cloverwheel/internal/freshness"
	"github.com/cloverwheel/cloverwheel/internal/tenant"
)

const (
	// raiseAt is the part of what is ordinarily lent at which an owner writes that it
	// will lend more, so that the table has it before it is needed.
	raiseAt = 0.85
	// raiseTimeout bounds that, and raisePause is the pause before it is tried again.
	raiseTimeout = time.Second
	raisePause   = 500 * time.Millisecond
	// newShare of what may be lent is open to programs that begin. The rest is kept for
	// those under way: one that is cut off at its last turn has cost all and brought nothing.
	newShare = 0.75
	// underWayFor is how long after its last request a program counts as under way.
	underWayFor = 4 * time.Second
	// maxPrograms bounds the programs of a tenant that an owner remembers.
	maxPrograms = 4096
)

// Request asks the owner of a share for one request of a tenant.
type Request struct {
	Process  string // that is asked; another one at its address is not the owner
	Tenant   string
	Share    int
	Program  string // that the request belongs to; empty: none
	UnderWay bool   // the program has had a request before
}

// Answer is the owner's word.
type Answer struct {
	Owner    bool // the process asked owns the share's slot
	Able     bool // and may lend now
	Lent     bool
	UnderWay bool          // the program was known to the owner
	Wait     time.Duration // if nothing was lent: until something may be
	Proof    freshness.Proof
}

// Leases tell which slots this process owns.
type Leases interface {
	Lease(slot int) (directory.Lease, bool)
	Raise(ctx context.Context, slot int, tenant string)
}

// Lender lends the shares of limits whose slots this process owns.
type Lender struct {
	process   string
	leases    Leases
	tolerance Tolerance
	origin    time.Time
	// limitOf tells a tenant's limit by the configuration in force, if that is known to be
	// new enough to lend by.
	limitOf func(tenant string) (tenant.Limit, bool)
	proof   func() freshness.Proof

	mutex    sync.Mutex
	accounts map[account]*lent
	swept    time.Time
}

// account names a share of a tenant's limit.
type account struct {
	tenant string
	share  int
}

// lent is what this process has lent of a share.
type lent struct {
	lease    uint64 // number of the lease under which it was lent
	window   window
	programs map[string]time.Time // when one under way last got a request
	raising  bool
	raised   time.Time // when the table was last asked to note that more may be lent
	used     time.Time
}

// LenderOptions of a Lender.
type LenderOptions struct {
	Process   string
	Leases    Leases
	Tolerance Tolerance
	LimitOf   func(tenant string) (tenant.Limit, bool)
	Proof     func() freshness.Proof
}

// NewLender returns a lender that has lent nothing.
func NewLender(options LenderOptions) *Lender {
	now := time.Now()
	return &Lender{
		process:   options.Process,
		leases:    options.Leases,
		tolerance: options.Tolerance.withDefaults(),
		limitOf:   options.LimitOf,
		proof:     options.Proof,
		origin:    now,
		accounts:  map[account]*lent{},
		swept:     now,
	}
}

// Answer lends a request, or says when it may.
func (l *Lender) Answer(request Request) Answer {
	answer := Answer{Proof: l.proof()}
	if request.Process != l.process || request.Share < 0 || request.Share >= shares {
		return answer
	}
	slot := slotOf(request.Tenant, request.Share)
	l.mutex.Lock()
	defer l.mutex.Unlock()
	now := time.Now()
	lease, owned := l.leases.Lease(slot)
	limit, known := l.limitOf(request.Tenant)
	answer.Owner = owned
	answer.Able = owned && known && lease.Valid(now)
	if !answer.Able {
		return answer
	}
	account := l.account(account{request.Tenant, request.Share}, lease, now)
	account.window.advance(stepOf(l.origin, now, l.tolerance.Window))
	allowed := allowancesOf(limit, l.tolerance)
	answer.UnderWay = request.UnderWay || account.underWay(request.Program, now)
	most := allowed.lendable(lease, request.Tenant, now, l.tolerance.Window)
	l.raiseInTime(account, slot, request.Tenant, lease, allowed, now)
	if request.Program != "" && !answer.UnderWay {
		most = min(most, newShare*allowed.whole)
	}
	if float64(account.window.total+1) > most {
		answer.Wait = l.waitFor(account, most)
		return answer
	}
	account.window.add(1)
	account.note(request.Program, now)
	answer.Lent = true
	return answer
}

// waitFor is how long it takes until one more request may be lent of a share that may lend
// so many in a window.
func (l *Lender) waitFor(account *lent, most float64) time.Duration {
	surplus := account.window.total + 1 - int(most)
	return time.Duration(account.window.untilFree(surplus)) * l.tolerance.Window / steps
}

// account returns what was lent of a share under a lease. What was lent under an earlier
// lease is among what that lease's successor assumes.
func (l *Lender) account(name account, lease directory.Lease, now time.Time) *lent {
	l.sweep(now)
	known, ok := l.accounts[name]
	if !ok || known.lease != lease.Number {
		known = &lent{lease: lease.Number, programs: map[string]time.Time{}}
		l.accounts[name] = known
	}
	known.used = now
	return known
}

// sweep forgets shares of which nothing was lent for long.
func (l *Lender) sweep(now time.Time) {
	if now.Sub(l.swept) < 2*l.tolerance.Window {
		return
	}
	l.swept = now
	for name, known := range l.accounts {
		if now.Sub(known.used) > 2*l.tolerance.Window {
			delete(l.accounts, name)
		}
	}
}

// raiseInTime has the table note that more than the ordinary part may be lent, before that
// is needed. The caller holds the mutex.
func (l *Lender) raiseInTime(account *lent, slot int, tenant string, lease directory.Lease, allowed allowances, now time.Time) {
	if contains(lease.Raised, tenant) || account.raising || float64(account.window.total) < raiseAt*allowed.ordinary {
		return
	}
	if now.Sub(account.raised) < raisePause {
		return
	}
	account.raising, account.raised = true, now
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), raiseTimeout)
		defer cancel()
		l.leases.Raise(ctx, slot, tenant)
		l.mutex.Lock()
		defer l.mutex.Unlock()
		account.raising = false
	}()
}

// underWay reports whether a program has had a request lately.
func (a *lent) underWay(program string, now time.Time) bool {
	last, ok := a.programs[program]
	return ok && now.Sub(last) < underWayFor
}

// note remembers a program's request, and forgets programs that have ended.
func (a *lent) note(program string, now time.Time) {
	if program == "" {
		return
	}
	if len(a.programs) >= maxPrograms {
		for name, last := range a.programs {
			if now.Sub(last) >= underWayFor {
				delete(a.programs, name)
			}
		}
	}
	if len(a.programs) < maxPrograms {
		a.programs[program] = now
	}
}

func contains(names []string, name string) bool { return slices.Contains(names, name) }
