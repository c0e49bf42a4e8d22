package forward

import (
	"math/rand/v2"
	"strings"
	"time"

	"github.com/cloverwheel/cloverwheel/internal/eligibility"
	"github.com/cloverwheel/cloverwheel/internal/fault"
)

// evacuatedRetryAfter is the retry delay for a service whose zones are all evacuated; up to half
// as much is added at random. An operator ends an evacuation by hand, so an earlier retry would
// fail again.
const evacuatedRetryAfter = 2 * time.Second

// checkRouteOpen refuses a request whose route has no open service. It runs before the request
// takes budget tokens or counts against its tenant's rate limit.
func (x *exchange) checkRouteOpen() *fault.Error {
	var refusal *fault.Error
	for _, target := range x.route.Targets {
		if target.Weight <= 0 {
			continue
		}
		if refusal = x.checkServiceOpen(target.Service, nil); refusal == nil {
			return nil
		}
	}
	return refusal
}

// checkServiceOpen refuses a request if all workers of the service, or all in only, are in zones
// that the request may not use. It returns nil if one is not, or if there are no workers. Unlike
// a lack of capacity, closed zones do not open while the request waits.
func (x *exchange) checkServiceOpen(service string, only []string) *fault.Error {
	reason, evacuated := x.options.Workers.ClosedReason(service, x.allowedRegions(), only)
	var refusal *fault.Error
	switch reason {
	case eligibility.Evacuated:
		refusal = fault.Newf(fault.ZoneEvacuated, "retry once the operator has ended one of these evacuations",
			"all permitted workers of service %q are in evacuated zones (%s)", service, strings.Join(evacuated, ", ")).
			WithRetryAfter(evacuatedRetryAfter + rand.N(evacuatedRetryAfter/2))
	case eligibility.OutsideRegions:
		refusal = fault.Newf(fault.OutsideRegions, "ask the operator to add workers there or to allow more regions",
			"service %q has no workers in the regions that the route and the tenant both allow (%s)", service, strings.Join(x.allowedRegions(), ", "))
	default:
		return nil
	}
	return x.withRan(refusal)
}

// withRan returns a refusal that says whether the request may have run at a worker.
func (x *exchange) withRan(refusal *fault.Error) *fault.Error {
	if x.attempts.any() {
		return refusal.WithRan(fault.RanUnknown)
	}
	return refusal
}
