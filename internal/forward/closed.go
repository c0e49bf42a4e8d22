package forward

import (
	"math/rand/v2"
	"strings"
	"time"

	"github.com/cloverwheel/cloverwheel/internal/fault"
	"github.com/cloverwheel/cloverwheel/internal/permit"
)

// evacuatedRetryAfter is when a client should come back to a service whose zones are all
// evacuated, spread by half as much. An operator takes evacuations back, which nobody can
// foresee; who comes back within a second finds them standing.
const evacuatedRetryAfter = 2 * time.Second

// nowhere refuses a request that no service of its route can get: at once, and before it
// costs its program tokens or its tenant a place within its limit.
func (x *exchange) nowhere() *fault.Error {
	var refusal *fault.Error
	for _, target := range x.route.Targets {
		if target.Weight <= 0 {
			continue
		}
		if refusal = x.closed(target.Service, nil); refusal == nil {
			return nil
		}
	}
	return refusal
}

// closed refuses a request if the zones of all workers of a service are closed to it, or
// those of the only ones that may be asked; nil if one is open. Waiting a moment helps
// against full workers, not against these.
func (x *exchange) closed(service string, only []string) *fault.Error {
	why, evacuated := x.options.Workers.Closed(service, x.regions(), only)
	var refusal *fault.Error
	switch why {
	case permit.Evacuated:
		refusal = fault.Newf(fault.ZoneEvacuated, "come back once the operator takes one of these evacuations back",
			"all workers of service %q that may be asked stand in evacuated zones (%s)", service, strings.Join(evacuated, ", ")).
			WithRetryAfter(evacuatedRetryAfter + rand.N(evacuatedRetryAfter/2))
	case permit.OutsideRegions:
		refusal = fault.Newf(fault.OutsideRegions, "ask the operator for workers there, or for more regions",
			"service %q has no workers in the regions that the route and the tenant both allow (%s)", service, strings.Join(x.regions(), ", "))
	default:
		return nil
	}
	if x.attempts.any() {
		return refusal.WithRan(fault.RanUnknown)
	}
	return refusal
}
