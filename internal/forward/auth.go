package forward

import (
	"math/rand/v2"
	"time"

	"github.com/cloverwheel/cloverwheel/internal/fault"
	"github.com/cloverwheel/cloverwheel/internal/route"
	"github.com/cloverwheel/cloverwheel/internal/tenant"
)

// ConfigFreshness reports how recent this node's configuration is known to be.
type ConfigFreshness interface {
	// Age returns how long ago the current configuration was last confirmed to be the newest.
	// fresh reports whether that is recent enough to accept keys.
	Age() (age time.Duration, fresh bool)
}

// staleRetryAfter is the retry delay for clients of a node that cannot tell whether a key was
// revoked; up to half as much is added at random. Other nodes then cannot tell either, because
// the store has been unreachable for seconds; a shorter delay would use up the client's retries.
const staleRetryAfter = 900 * time.Millisecond

// authenticate finds the tenant of the request's key. The tenant is set once, because it is read
// concurrently later.
func (x *exchange) authenticate() (refusal *fault.Error) {
	x.tenant, refusal = x.lookUpTenant()
	return refusal
}

// lookUpTenant returns the tenant that holds the request's key now; nil if no key is needed.
func (x *exchange) lookUpTenant() (*tenant.Tenant, *fault.Error) {
	age, fresh := time.Duration(0), true
	if x.options.ConfigFreshness != nil {
		age, fresh = x.options.ConfigFreshness.Age() // read before the configuration, which can then only be newer
	}
	configuration := x.Configuration()
	if configuration.Tenants == nil || x.route.NoAPIKey {
		return nil, nil
	}
	x.configAge = age
	if !fresh {
		return nil, fault.Newf(fault.StaleConfiguration, "retry after the delay in Retry-After",
			"this node cannot tell whether the key is still valid: configuration version %d was last confirmed to be the newest %d ms ago",
			configuration.Version, age.Milliseconds()).WithRetryAfter(staleRetryAfter + rand.N(staleRetryAfter/2))
	}
	holder := configuration.Tenants.ByKey(x.request.Key)
	if holder == nil {
		return nil, unknownKeyError(configuration, x.request.Key)
	}
	return holder, nil
}

func unknownKeyError(configuration *route.Configuration, key tenant.Key) *fault.Error {
	if former, ok := configuration.Tenants.RemovedKey(key); ok {
		return fault.Newf(fault.Unauthorized, "ask the operator for a new key",
			"this key of tenant %q was revoked in configuration version %d", former.Tenant, former.Version)
	}
	return fault.Newf(fault.Unauthorized, "send a valid tenant key", "the key is missing or unknown in configuration version %d", configuration.Version)
}

// recheckKey checks the key again before each send: any time may have passed since the last
// check, and a paused node may lack recent updates.
func (x *exchange) recheckKey() *fault.Error {
	if x.tenant == nil {
		return nil
	}
	holder, refusal := x.lookUpTenant()
	if refusal == nil && (holder == nil || holder.Name != x.tenant.Name) {
		refusal = unknownKeyError(x.Configuration(), x.request.Key) // the key now belongs to another tenant, or keys are no longer needed
	}
	if refusal == nil {
		return nil
	}
	return x.withRan(refusal)
}

// previousTurn is the stored ID of the turn that this one continues.
func (x *exchange) previousTurn() string { return x.tenant.Scope(x.request.PreviousTurn) }
