// Package eligibility decides whether a request may be sent to a worker. Every send is checked: first
// tries, retries and resumed streams. The decision is a pure function of its inputs; any further
// restriction belongs here as another input.
package eligibility

import "github.com/cloverwheel/cloverwheel/internal/locality"

// Verdict is the result of a check. Verdicts after NeedsWarmupPermit forbid sending.
type Verdict int

// Results of Check.
const (
	// Allowed: the request may be sent.
	Allowed Verdict = iota
	// NeedsWarmupPermit: the worker is cold; the request may be sent only with a permit from the worker's
	// warm-up limit.
	NeedsWarmupPermit
	// Draining: the worker is draining and must get no new work.
	Draining
	// Evacuated: the worker's zone is being evacuated and must get no new work.
	Evacuated
	// OutsideRegions: the worker is in a region where the request must not be served.
	OutsideRegions
)

// String returns the name of a verdict for log lines.
func (v Verdict) String() string {
	switch v {
	case Allowed:
		return "allowed"
	case NeedsWarmupPermit:
		return "metered"
	case Draining:
		return "leaving"
	case Evacuated:
		return "evacuated"
	default:
		return "outside_regions"
	}
}

// Refused reports whether the request must not be sent at all.
func (v Verdict) Refused() bool { return v > NeedsWarmupPermit }

// Request holds the properties of a request that are checked.
type Request struct {
	Regions locality.Regions // where it may be served; nil allows all regions
}

// Worker holds the properties of a worker that are checked.
type Worker struct {
	Region    string
	Draining  bool // the worker is draining
	Evacuated bool // the worker's zone is being evacuated
	Cold      bool // the worker is not known to be warm
}

// Check returns whether a request may be sent to a worker. If several restrictions apply it returns the
// most permanent one, such as OutsideRegions rather than Evacuated.
func Check(request Request, worker Worker) Verdict {
	switch {
	case !request.Regions.Allow(worker.Region):
		return OutsideRegions
	case worker.Evacuated:
		return Evacuated
	case worker.Draining:
		return Draining
	case worker.Cold:
		return NeedsWarmupPermit
	default:
		return Allowed
	}
}
