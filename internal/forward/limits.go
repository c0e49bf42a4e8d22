package forward

import (
	"context"

	"github.com/cloverwheel/cloverwheel/internal/fault"
)

// Limits lends what tenants may ask for.
type Limits interface {
	// Admit takes one request from what a tenant may still send. Its error is a
	// *fault.Error: RateLimited when the limit is reached, Unavailable when nobody tells.
	Admit(ctx context.Context, ask LimitRequest) error
	// Return gives back what an admitted request did not use.
	Return(tenant string)
}

// LimitRequest asks for one request of a tenant.
type LimitRequest struct {
	Tenant  string
	Program string // that the request belongs to; empty: none
}

// admit counts the request against its tenant's limit. It does so once nothing else stands
// in the way of its being sent: what is taken and not used is lost to the tenant's other
// requests.
func (x *exchange) admit(ctx context.Context) *fault.Error {
	if x.options.Limits == nil || x.tenant == nil || x.tenant.Limit.Unlimited() {
		return nil
	}
	if err := x.options.Limits.Admit(ctx, LimitRequest{Tenant: x.tenant.Name, Program: x.request.Program}); err != nil {
		return x.notPrepared(ctx, err)
	}
	x.admitted = true
	return nil
}

// releaseUnused gives back what the request took of its tenant's limit, if no worker
// can have run it.
func (x *exchange) releaseUnused() {
	if x.admitted && !x.attempts.any() {
		x.options.Limits.Return(x.tenant.Name)
	}
}
