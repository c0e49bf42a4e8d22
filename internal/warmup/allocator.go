package warmup

import (
	"maps"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cloverwheel/cloverwheel/internal/directory"
	"github.com/cloverwheel/cloverwheel/internal/locality"
	"github.com/cloverwheel/cloverwheel/internal/quota"
)

// Request asks the owner of a worker's slot for a permit for one request to the worker.
type Request struct {
	Worker  string
	Zone    string // of the worker
	Service string // of the worker
	Begins  bool   // the request begins a program, or belongs to none
}

// Answer is an owner's answer to a Request.
type Answer struct {
	Owner bool          // the process owns the worker's slot
	Able  bool          // the process also may issue permits now
	Lent  bool          // a permit was issued
	Wait  time.Duration // retry delay if no permit was issued
	Used  int           // permits that count now
	Most  int           // how many may count; a new program gets only a part
}

// Leases looks up the slots that this process owns.
type Leases interface {
	// Lease returns this process's lease of a slot; ok is false if another process owns it.
	Lease(slot int) (directory.Lease, bool)
}

// Allocator issues permits for cold workers whose slots this process owns. It is safe for
// concurrent use.
type Allocator struct {
	leases Leases
	slots  Slots
	// coldCapacity returns the capacity of a cold worker of a service in the current configuration.
	coldCapacity func(service string) ColdCapacity

	mutex     sync.Mutex
	accounts  map[string]*account // by worker
	lastSweep time.Time
}

// account counts the permits that this process has issued for a worker.
type account struct {
	lease    uint64 // number of the lease under which they were issued
	window   *quota.SlidingWindow
	lastUsed time.Time
}

// NewAllocator returns an allocator that has issued no permits.
func NewAllocator(leases Leases, slots Slots, coldCapacity func(service string) ColdCapacity) *Allocator {
	return &Allocator{leases: leases, slots: slots, coldCapacity: coldCapacity, accounts: map[string]*account{}, lastSweep: time.Now()}
}

// Slots assigns each worker to a slot of its own region, so that the owner is close to the
// nodes that send to the worker. All nodes compute the same slot.
type Slots struct {
	Layout directory.Layout
	Zones  *locality.ZoneMap
}

// slotOf returns the slot of a worker in a zone.
func (s Slots) slotOf(worker, zone string) int {
	return s.Layout.SlotIn(s.Zones.Region(zone), xxhash.Sum64String(worker))
}

// Answer issues a permit, or returns when to retry.
func (a *Allocator) Answer(request Request) Answer {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	now := time.Now()
	lease, owned := a.leases.Lease(a.slots.slotOf(request.Worker, request.Zone))
	coldCapacity := a.coldCapacity(request.Service)
	answer := Answer{Owner: owned, Able: owned && coldCapacity.PerSecond > 0 && lease.Valid(now)}
	if !answer.Able {
		return answer
	}
	if start := issueStart(lease); now.Before(start) {
		answer.Wait = start.Sub(now)
		return answer
	}
	account := a.accountFor(request.Worker, lease, coldCapacity, now)
	answer.Used, answer.Most = account.window.Total(now), coldCapacity.maxPermits()
	most := answer.Most
	if request.Begins {
		most = max(1, int(newProgramPart*float64(most)))
	}
	if answer.Used >= most {
		answer.Wait = account.window.UntilFree(answer.Used+1-most, now)
		return answer
	}
	account.window.Add(1, now)
	answer.Lent = true
	return answer
}

// issueStart returns when a new owner may start to issue permits: nothing issued earlier counts
// from then on. If its predecessor's slot was unsettled, an owner before that may still have
// issued permits until its lease ended.
func issueStart(lease directory.Lease) time.Time {
	begin := lease.Since.Add(Window)
	if lease.Prior.All {
		begin = begin.Add(directory.MaxLeaseDuration)
	}
	return begin
}

// accountFor returns the account of a worker under a lease. A new account starts with the
// requests in flight from nodes that still treat the worker as warm.
func (a *Allocator) accountFor(worker string, lease directory.Lease, coldCapacity ColdCapacity, now time.Time) *account {
	a.sweep(now)
	known, ok := a.accounts[worker]
	if !ok || known.lease != lease.Number {
		known = &account{lease: lease.Number, window: quota.NewSlidingWindow(Window, now)}
		known.window.Add(coldCapacity.unpermitted(), now)
		a.accounts[worker] = known
	}
	known.lastUsed = now
	return known
}

// sweep drops the accounts of workers that were not asked for lately, as they are warm or gone.
func (a *Allocator) sweep(now time.Time) {
	if now.Sub(a.lastSweep) < 2*Window {
		return
	}
	a.lastSweep = now
	maps.DeleteFunc(a.accounts, func(_ string, known *account) bool { return now.Sub(known.lastUsed) > 2*Window })
}
