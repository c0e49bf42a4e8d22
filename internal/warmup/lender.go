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

// Request asks the owner of a worker's slot for one request to it.
type Request struct {
	Worker  string
	Zone    string // where the worker stands
	Service string // that it belongs to
	Begins  bool   // the request begins a program, or belongs to none
}

// Answer is the owner's word.
type Answer struct {
	Owner bool // the process asked owns the worker's slot
	Able  bool // and may lend now
	Lent  bool
	Wait  time.Duration // if nothing was lent: until something may be
	Used  int           // requests that count now
	Most  int           // that may
}

// Leases tell which slots this process owns.
type Leases interface {
	Lease(slot int) (directory.Lease, bool)
}

// Lender lends requests to the cold workers whose slots this process owns.
type Lender struct {
	leases Leases
	slots  Slots
	// bearing tells what a cold worker of a service bears, by the configuration in force.
	bearing func(service string) Bearing

	mutex    sync.Mutex
	accounts map[string]*account // by worker
	swept    time.Time
}

// account is what this process has lent of a worker's allowance.
type account struct {
	lease  uint64 // number of the lease under which it was lent
	window *quota.SlidingWindow
	used   time.Time
}

// NewLender returns a lender that has lent nothing.
func NewLender(leases Leases, slots Slots, bearing func(service string) Bearing) *Lender {
	return &Lender{leases: leases, slots: slots, bearing: bearing, accounts: map[string]*account{}, swept: time.Now()}
}

// Slots tells to which slot each worker belongs: one of its own region, whose owner is near
// those who send to it. All nodes agree on it.
type Slots struct {
	Layout directory.Layout
	Places *locality.Map
}

// of is the slot of a worker that stands in a zone.
func (s Slots) of(worker, zone string) int {
	return s.Layout.SlotIn(s.Places.Region(zone), xxhash.Sum64String(worker))
}

// Answer lends a request, or says when it may.
func (l *Lender) Answer(request Request) Answer {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	now := time.Now()
	lease, owned := l.leases.Lease(l.slots.of(request.Worker, request.Zone))
	bearing := l.bearing(request.Service)
	answer := Answer{Owner: owned, Able: owned && bearing.PerSecond > 0 && lease.Valid(now)}
	if !answer.Able {
		return answer
	}
	if begins := beginOf(lease); now.Before(begins) {
		answer.Wait = begins.Sub(now)
		return answer
	}
	lent := l.account(request.Worker, lease, bearing, now)
	answer.Used, answer.Most = lent.window.Total(now), bearing.most()
	most := answer.Most
	if request.Begins {
		most = max(1, int(beginPart*float64(most)))
	}
	if answer.Used >= most {
		answer.Wait = lent.window.UntilFree(answer.Used+1-most, now)
		return answer
	}
	lent.window.Add(1, now)
	answer.Lent = true
	return answer
}

// beginOf is when an owner begins to lend: nothing lent before counts then. The owner before
// it may have ended while one before that could still lend; its slot is not settled then.
func beginOf(lease directory.Lease) time.Time {
	begin := lease.Since.Add(Window)
	if lease.Before.All {
		begin = begin.Add(directory.LongestLease)
	}
	return begin
}

// account returns what was lent to a worker under a lease. It begins with what comes from
// nodes that have not heard yet that the worker is cold.
func (l *Lender) account(worker string, lease directory.Lease, bearing Bearing, now time.Time) *account {
	l.sweep(now)
	known, ok := l.accounts[worker]
	if !ok || known.lease != lease.Number {
		known = &account{lease: lease.Number, window: quota.NewSlidingWindow(Window, now)}
		known.window.Add(bearing.unheard(), now)
		l.accounts[worker] = known
	}
	known.used = now
	return known
}

// sweep forgets workers that nobody asked for lately: they are warm or gone.
func (l *Lender) sweep(now time.Time) {
	if now.Sub(l.swept) < 2*Window {
		return
	}
	l.swept = now
	maps.DeleteFunc(l.accounts, func(_ string, known *account) bool { return now.Sub(known.used) > 2*Window })
}
