package quota

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cloverwheel/cloverwheel/internal/directory"
	"github.com/cloverwheel/cloverwheel/internal/staleness"
	"github.com/cloverwheel/cloverwheel/internal/tenant"
)

const (
	// allowThreshold is the part of the base allowance at which an owner allows a tenant's
	// full limit in the store, so that the row is written before the rest of the share is needed.
	allowThreshold = 0.95
	// revokeThreshold is the part of the base allowance below which an owner revokes the full
	// limit: while it is allowed, the successor assumes after a crash that all of it was used.
	revokeThreshold = 0.6
	// writeTimeout bounds a write that allows or revokes a full limit, and writeInterval is the
	// shortest time between the starts of two such writes for a share.
	writeTimeout  = time.Second
	writeInterval = 500 * time.Millisecond
	// programTTL is how long a program counts as running after its last request.
	programTTL = 4 * time.Second
)

// Request asks the owner of a share for a permit for one request of a tenant.
type Request struct {
	Tenant   string
	Share    int
	Program  string // program that the request belongs to; empty: none
	UnderWay bool   // the program is running: it was granted a request before
	// Patience is how long the request may be held until a booked permit becomes valid.
	Patience time.Duration
}

// Answer is an owner's answer to a Request.
type Answer struct {
	Owner    bool // the process owns the share's slot
	Able     bool // the process also may issue permits now
	Lent     bool // a permit was issued
	UnderWay bool // the program is running, according to the request or the owner
	// Wait is the time until the permit is valid, or the retry delay if none was issued.
	Wait time.Duration
	// Soon is, if no permit was issued, the time until one that is booked now would be valid;
	// zero: none can be booked.
	Soon  time.Duration
	Used  int // permits issued for the share in the last window
	Most  int // how many may be issued in a window under the owner's lease
	Proof staleness.Proof
}

// Leases looks up the slots that this process owns, and records which tenants' full limits are allowed.
type Leases interface {
	// Lease returns this process's lease of a slot; ok is false if another process owns it.
	Lease(slot int) (directory.Lease, bool)
	// AllowFullLimit records in the store that all of a tenant's share may be issued, and reports
	// whether that was confirmed.
	AllowFullLimit(ctx context.Context, slot int, tenant string) bool
	// RevokeFullLimit removes that record.
	RevokeFullLimit(ctx context.Context, slot int, tenant string)
}

// Allocator issues permits for the shares whose slots this process owns. It is safe for
// concurrent use.
type Allocator struct {
	leases    Leases
	layout    directory.Layout
	tolerance Tolerance
	origin    time.Time // start of step 0 of all windows
	// limitOf returns a tenant's limit in the current configuration. ok is false if that is
	// not known to be fresh enough.
	limitOf func(tenant string) (tenant.Limit, bool)
	proof   func() staleness.Proof

	mutex       sync.Mutex
	accounts    map[shareKey]*shareAccount
	programRate rateEstimate
	lastSweep   time.Time
}

// shareKey identifies a share of a tenant's limit.
type shareKey struct {
	tenant string
	share  int
}

// shareAccount counts the permits that this process has issued of a share.
type shareAccount struct {
	lease    uint64 // number of the lease under which they were issued
	window   windowCounter
	programs programs // running programs
	// requestRetries and programRetries are the times at which refused requests and refused new
	// programs were asked to retry.
	requestRetries retryTimes
	programRetries retryTimes
	writePending   bool      // a write that allows or revokes the full limit is in progress
	baseOnly       bool      // the base allowance is the limit, even if the store still allows the full one
	lastWrite      time.Time // start of the last write
	lastUsed       time.Time
}

// AllocatorOptions configures an Allocator.
type AllocatorOptions struct {
	Leases    Leases
	Layout    directory.Layout
	Tolerance Tolerance
	// LimitOf returns a tenant's limit; ok is false if it is not known to be fresh enough.
	LimitOf func(tenant string) (tenant.Limit, bool)
	// Proof returns the proof of freshness that is sent with each answer.
	Proof func() staleness.Proof
}

// NewAllocator returns an allocator that has issued no permits.
func NewAllocator(options AllocatorOptions) *Allocator {
	now := time.Now()
	return &Allocator{
		leases:      options.Leases,
		layout:      options.Layout,
		tolerance:   options.Tolerance.withDefaults(),
		limitOf:     options.LimitOf,
		proof:       options.Proof,
		origin:      now,
		accounts:    map[shareKey]*shareAccount{},
		programRate: newRateEstimate(now),
		lastSweep:   now,
	}
}

// Answer issues a permit, or returns when to retry. A request for a share that does not exist
// or is owned by another process gets an answer in which Owner is false.
func (a *Allocator) Answer(request Request) Answer {
	answer := Answer{Proof: a.proof()}
	if request.Share < 0 || request.Share >= shares {
		return answer
	}
	slot := slotOf(a.layout, request.Tenant, request.Share)
	a.mutex.Lock()
	defer a.mutex.Unlock()
	now := time.Now()
	lease, owned := a.leases.Lease(slot)
	limit, known := a.limitOf(request.Tenant)
	answer.Owner = owned
	answer.Able = owned && known && lease.Valid(now)
	if !answer.Able {
		return answer
	}
	allowed := allowancesOf(limit, a.tolerance)
	account := a.accountFor(shareKey{request.Tenant, request.Share}, lease, now)
	most := allowed.available(lease, request.Tenant, now, a.tolerance.Window)
	if account.baseOnly {
		most = min(most, allowed.base)
	}
	a.updateFullLimit(account, slot, request.Tenant, lease, allowed, now)
	answer.Used, answer.Most = account.window.total, int(most)
	answer.UnderWay = request.UnderWay || account.programs.underWay(request.Program, now)
	newProgram := request.Program != "" && !answer.UnderWay
	ahead, fits := account.window.earliest(most)
	wait := startOf(a.origin, account.window.step+ahead, a.tolerance.Window).Sub(now)
	bookable := fits && answer.UnderWay && !now.Add(wait).After(lease.Until) &&
		allowed.mayBook(lease, account.window.booked, now, a.tolerance.Window)
	switch {
	case ahead == 0 && newProgram && !a.hasCapacity(account, allowed, now):
		answer.Wait = a.programRetryAfter(account, now)
	case ahead == 0:
		answer.Lent = true
		a.issue(account, request.Program, 0, now)
	case bookable && wait <= request.Patience:
		answer.Lent, answer.Wait = true, wait
		a.issue(account, request.Program, ahead, now)
	case bookable:
		answer.Soon = wait
		answer.Wait = wait
	default:
		answer.Wait = a.requestRetryAfter(account, most, now)
	}
	return answer
}

// issue counts a permit that becomes valid so many steps ahead. The caller holds the mutex.
func (a *Allocator) issue(account *shareAccount, program string, ahead int64, now time.Time) {
	account.window.add(ahead)
	account.programs.record(program, now)
	a.programRate.count(program)
}

// requestRetryAfter returns the retry delay of a refused request: the time until the share,
// which may issue most permits in a window, has one more than the callers refused earlier will
// take.
func (a *Allocator) requestRetryAfter(account *shareAccount, most float64, now time.Time) time.Duration {
	return account.requestRetries.add(now, func(queue int) time.Duration {
		surplus := account.window.total + 1 - int(most) + queue
		return time.Duration(account.window.untilFree(surplus)) * a.tolerance.Window / steps
	})
}

// programRetryAfter returns how long a new program should wait. It assumes that the active
// programs end evenly spread over a window.
func (a *Allocator) programRetryAfter(account *shareAccount, now time.Time) time.Duration {
	return account.programRetries.add(now, func(queue int) time.Duration {
		return time.Duration(queue+1) * a.tolerance.Window / time.Duration(account.programs.active(now)+1)
	})
}

// hasCapacity reports whether the share can take one more program without cutting off running
// ones. It forecasts the permits in the window that ends forecastPart of a window from now, if
// each program keeps its rate.
func (a *Allocator) hasCapacity(account *shareAccount, allowed allowances, now time.Time) bool {
	ahead := time.Duration(forecastPart * float64(a.tolerance.Window))
	counted := account.window.recent(a.tolerance.Window-ahead, a.tolerance.Window) + account.window.booked
	perSecond := account.programs.perSecond(a.programRate.perSecond, now) + a.programRate.perSecond
	expected := perSecond * ahead.Seconds()
	return float64(counted)+expected <= forecastSlack*allowed.full
}

// accountFor returns the account of a share under a lease, advanced to now. A new lease starts
// a new account: the allowance already deducts what was issued under earlier ones.
func (a *Allocator) accountFor(key shareKey, lease directory.Lease, now time.Time) *shareAccount {
	a.sweep(now)
	known, ok := a.accounts[key]
	if !ok || known.lease != lease.Number {
		known = &shareAccount{lease: lease.Number, programs: programs{}}
		a.accounts[key] = known
	}
	known.lastUsed = now
	known.window.advance(stepOf(a.origin, now, a.tolerance.Window))
	a.programRate.update(a.accounts, now)
	return known
}

// sweep drops the accounts of shares that were not used lately.
func (a *Allocator) sweep(now time.Time) {
	if now.Sub(a.lastSweep) < 2*a.tolerance.Window {
		return
	}
	a.lastSweep = now
	maps.DeleteFunc(a.accounts, func(_ shareKey, known *shareAccount) bool { return now.Sub(known.lastUsed) > 2*a.tolerance.Window })
}

// updateFullLimit allows the tenant's full limit in the store shortly before more than the base
// allowance is needed, and revokes it when usage falls below revokeThreshold. The caller holds the mutex.
func (a *Allocator) updateFullLimit(account *shareAccount, slot int, tenant string, lease directory.Lease, allowed allowances, now time.Time) {
	if account.writePending || now.Sub(account.lastWrite) < writeInterval {
		return
	}
	fullAllowed, total := slices.Contains(lease.FullLimitTenants, tenant), float64(account.window.total+account.window.booked)
	switch {
	case allowed.nearBase(total) && (!fullAllowed || account.baseOnly):
		a.write(account, now, func(ctx context.Context) (baseOnly bool) { return !a.leases.AllowFullLimit(ctx, slot, tenant) })
	case total < revokeThreshold*allowed.base && fullAllowed:
		account.baseOnly = true // before the store is written
		a.write(account, now, func(ctx context.Context) (baseOnly bool) {
			a.leases.RevokeFullLimit(ctx, slot, tenant)
			return true
		})
	}
}

// write runs a write to the store in the background, one at a time for each share. do reports
// whether only the base allowance may be issued after it.
func (a *Allocator) write(account *shareAccount, now time.Time, do func(context.Context) (baseOnly bool)) {
	account.writePending, account.lastWrite = true, now
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), writeTimeout)
		defer cancel()
		baseOnly := do(ctx)
		a.mutex.Lock()
		defer a.mutex.Unlock()
		account.writePending, account.baseOnly = false, baseOnly
	}()
}
