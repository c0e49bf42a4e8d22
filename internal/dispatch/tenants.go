package dispatch

import (
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/cloverwheel/cloverwheel/internal/fault"
	"github.com/cloverwheel/cloverwheel/internal/id"
	"github.com/cloverwheel/cloverwheel/internal/program"
	"github.com/cloverwheel/cloverwheel/internal/template"
)

const (
	// retryReserve is what a tenant's retry budget starts with and may save up.
	retryReserve = 10.0
	// concurrencyRetryAfter is when a caller comes back whose tenant has too many
	// calls under way.
	concurrencyRetryAfter = 500 * time.Millisecond
	// burstSeconds is how many seconds of its rate a tenant may use at once.
	burstSeconds = 2
	// tenantIdle is after how long without calls a tenant's counters are dropped.
	tenantIdle = 10 * time.Minute
)

// tenants counts what each tenant does at this node. The limits of a template
// are spread evenly over the nodes.
type tenants struct {
	mutex   sync.Mutex
	usage   map[id.Tenant]*usage
	running map[program.CallKey]id.Tenant // accepted calls without an outcome
}

type usage struct {
	limiter *rate.Limiter // nil until there is a rate
	running int
	retries float64 // that may still be made
	last    time.Time
}

func newTenants() *tenants {
	return &tenants{usage: map[id.Tenant]*usage{}, running: map[program.CallKey]id.Tenant{}}
}

func (t *tenants) of(tenant id.Tenant) *usage {
	u := t.usage[tenant]
	if u == nil {
		u = &usage{retries: retryReserve}
		t.usage[tenant] = u
	}
	u.last = time.Now()
	return u
}

// admit counts a new call or refuses it. The caller then either binds the count
// to the accepted call or releases it.
func (t *tenants) admit(effective *template.Effective, nodes int) *fault.Error {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	u := t.of(effective.Tenant)
	limits := effective.Limits
	nodes = max(1, nodes)
	if share := (limits.Concurrency + nodes - 1) / nodes; limits.Concurrency > 0 && u.running >= share {
		return fault.Newf(fault.RateLimited, "wait for earlier calls or raise the template's concurrency",
			"tenant %q has %d calls under way at this node", effective.Tenant, u.running).WithRetryAfter(concurrencyRetryAfter)
	}
	if wait := u.take(limits.CallsPerSecond / float64(nodes)); wait > 0 {
		return fault.Newf(fault.RateLimited, "send calls more slowly or raise the template's calls_per_second",
			"tenant %q exceeds its rate of calls", effective.Tenant).WithRetryAfter(wait)
	}
	u.retries = min(retryReserve, u.retries+effective.RetryShare)
	u.running++
	return nil
}

// take uses one call of the rate, or returns how long to wait for it.
func (u *usage) take(perSecond float64) time.Duration {
	if perSecond <= 0 {
		return 0
	}
	burst := max(1, int(burstSeconds*perSecond))
	switch {
	case u.limiter == nil:
		u.limiter = rate.NewLimiter(rate.Limit(perSecond), burst)
	case u.limiter.Limit() != rate.Limit(perSecond):
		u.limiter.SetLimit(rate.Limit(perSecond))
		u.limiter.SetBurst(burst)
	}
	reservation := u.limiter.Reserve()
	wait := reservation.Delay()
	if wait > 0 {
		reservation.Cancel()
	}
	return wait
}

// release takes back the count of a call that was not accepted.
func (t *tenants) release(tenant id.Tenant) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.of(tenant).running--
}

// bind keeps the count of an accepted call until its outcome.
func (t *tenants) bind(tenant id.Tenant, key program.CallKey) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if _, bound := t.running[key]; bound {
		t.of(tenant).running--
		return
	}
	t.running[key] = tenant
}

// adopt counts a call that an earlier leader accepted.
func (t *tenants) adopt(tenant id.Tenant, key program.CallKey) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if _, bound := t.running[key]; bound {
		return
	}
	t.running[key] = tenant
	t.of(tenant).running++
}

// unbind ends the count of a call that has its outcome.
func (t *tenants) unbind(key program.CallKey) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.drop(key)
}

func (t *tenants) drop(key program.CallKey) {
	tenant, counted := t.running[key]
	if !counted {
		return
	}
	delete(t.running, key)
	t.of(tenant).running--
}

// leave drops the calls of a shard that this node no longer leads.
func (t *tenants) leave(belongs func(id.Program) bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for key := range t.running {
		if belongs(key.Program) {
			t.drop(key)
		}
	}
}

// mayRetry takes one retry from a tenant's budget.
func (t *tenants) mayRetry(tenant id.Tenant) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	u := t.of(tenant)
	if u.retries < 1 {
		return false
	}
	u.retries--
	return true
}

// forgetIdle drops the counters of tenants that have been quiet.
func (t *tenants) forgetIdle(now time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for tenant, u := range t.usage {
		if u.running == 0 && now.Sub(u.last) > tenantIdle {
			delete(t.usage, tenant)
		}
	}
}
