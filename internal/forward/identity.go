package forward

import (
	"math/rand/v2"
	"time"

	"github.com/cloverwheel/cloverwheel/internal/fault"
	"github.com/cloverwheel/cloverwheel/internal/route"
	"github.com/cloverwheel/cloverwheel/internal/tenant"
)

// Freshness tells how old this node's knowledge of the configuration may be.
type Freshness interface {
	// Age is how long ago the configuration in force was proven to be the newest.
	// fresh tells whether that is lately enough to let a key in.
	Age() (age time.Duration, fresh bool)
}

// staleRetryAfter is when a client should come back to a node that does not know whether
// its key was taken away, spread by half as much. No other node knows either, then, and the
// table has been out of reach for seconds: who comes back soon has used up its tries
// before the table answers.
const staleRetryAfter = 900 * time.Millisecond

// identify finds whose request it is, and whether its key is valid. The request stays that
// tenant's: others read it at the same time.
func (x *exchange) identify() (refusal *fault.Error) {
	x.tenant, refusal = x.holder()
	return refusal
}

// holder is the tenant that holds the request's key now; nil if nobody needs one.
func (x *exchange) holder() (*tenant.Tenant, *fault.Error) {
	age, fresh := time.Duration(0), true
	if x.options.Freshness != nil {
		age, fresh = x.options.Freshness.Age() // before the configuration, which may only be newer
	}
	configuration := x.Configuration()
	if configuration.Tenants == nil || x.route.Open {
		return nil, nil
	}
	x.proofAge = age
	if !fresh {
		return nil, fault.Newf(fault.StaleConfiguration, "come back after the time given",
			"this node cannot tell whether the key is still valid: version %d was last known to be the newest %d ms ago",
			configuration.Version, age.Milliseconds()).WithRetryAfter(staleRetryAfter + rand.N(staleRetryAfter/2))
	}
	holder := configuration.Tenants.ByKey(x.request.Key)
	if holder == nil {
		return nil, unknownKey(configuration, x.request.Key)
	}
	return holder, nil
}

func unknownKey(configuration *route.Configuration, key tenant.Key) *fault.Error {
	if former, ok := configuration.Tenants.Former(key); ok {
		return fault.Newf(fault.Unauthorized, "ask the operator for another key",
			"this key of tenant %q was taken away in version %d", former.Tenant, former.Version)
	}
	return fault.Newf(fault.Unauthorized, "send the key of a tenant", "no tenant of version %d holds this key", configuration.Version)
}

// stillAllowed checks the key again, before the request is sent to a worker: the time
// since it was checked last is not bounded, nor is what a paused node has missed.
func (x *exchange) stillAllowed() *fault.Error {
	if x.tenant == nil {
		return nil
	}
	holder, refusal := x.holder()
	if refusal == nil && (holder == nil || holder.Name != x.tenant.Name) {
		refusal = unknownKey(x.Configuration(), x.request.Key) // the key is another's now, or nobody needs one
	}
	if refusal != nil && x.attempts.any() {
		return refusal.WithRan(fault.RanUnknown)
	}
	return refusal
}

// previous is the name under which the turn is kept that this one goes on from.
func (x *exchange) previous() string { return x.tenant.Scope(x.request.Continue) }
