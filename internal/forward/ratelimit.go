package forward

import (
	"context"

	"github.com/cloverwheel/cloverwheel/internal/fault"
)

// RateLimiter enforces the rate limits of tenants.
type RateLimiter interface {
	// Admit counts one request against its tenant's limit. Its error is a *fault.Error:
	// RateLimited if the limit is reached, Unavailable if no node that manages it responds.
	Admit(ctx context.Context, request RateLimitRequest) error
	// Return undoes the count of an admitted request that did not run.
	Return(tenant string)
}

// RateLimitRequest asks to admit one request of a tenant.
type RateLimitRequest struct {
	Tenant  string
	Program string // program of the request; empty: none
}

// takeFromLimit counts the request against its tenant's limit. It must run after all other
// checks: a request that is counted but not sent reduces what the tenant's other requests may
// use.
func (x *exchange) takeFromLimit(ctx context.Context) *fault.Error {
	if x.options.RateLimiter == nil || x.tenant == nil || x.tenant.Limit.Unlimited() {
		return nil
	}
	if err := x.options.RateLimiter.Admit(ctx, RateLimitRequest{Tenant: x.tenant.Name, Program: x.request.Program}); err != nil {
		return x.prepareError(ctx, err)
	}
	x.limitTaken = true
	return nil
}

// returnToLimit returns the request to its tenant's limit if no worker can have run it.
func (x *exchange) returnToLimit() {
	if x.limitTaken && !x.attempts.any() {
		x.options.RateLimiter.Return(x.tenant.Name)
	}
}
