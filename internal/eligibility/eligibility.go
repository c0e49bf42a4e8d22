// Package eligibility decides whether a request may be sent to a worker. Every send is checked: first
// tries, retries and resumed streams. The decision is a pure function of its inputs; any further
// restriction belongs here as another input.
package eligibility

import (
	"slices"

	"github.com/cloverwheel/cloverwheel/internal/locality"
)

// Verdict is the result of a check. Verdicts after NeedsWarmupPermit forbid sending.
type Verdict int

// Results of Check.
const (
	// Allowed: the request may be sent.
	Allowed Verdict = iota
	// NeedsWarmupPermit: the worker is cold; the request may be sent only with a permit from the worker's
	// warm-up limit.
	NeedsWarmupPermit
	// Draining: the worker is draining, and must not get this request or no request at all.
	Draining
	// Evacuated: the worker's zone is being evacuated and must get no new work.
	Evacuated
	// OutsideRegions: the worker is in a region where the request must not be served.
	OutsideRegions
	// OtherVersion: the worker runs a software version that must not serve the request, usually not the one
	// that began its stream. Versions write streams that do not fit together.
	OtherVersion
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
	case OutsideRegions:
		return "outside_regions"
	default:
		return "other_version"
	}
}

// Refused reports whether the request must not be sent at all.
func (v Verdict) Refused() bool { return v > NeedsWarmupPermit }

// Request holds the properties of a request that are checked.
type Request struct {
	Regions  locality.Regions // where it may be served; nil allows all regions
	Versions Versions         // which software versions may serve it
	// AcceptsDraining means that no other worker can serve the request, so that it may be sent to a draining one while that one serves.
	AcceptsDraining bool
}

// Versions restricts a request to workers of some software versions. The zero value allows all. Versions have no order, and a
// worker may not name its version, so the empty name is one of them.
type Versions struct {
	restricted bool
	names      []string
}

// OnlyVersions returns the restriction to the given software versions; with none of them, no worker may serve the request.
func OnlyVersions(names ...string) Versions { return Versions{restricted: true, names: names} }

// Allow reports whether a worker of a software version may serve the request.
func (v Versions) Allow(name string) bool { return !v.restricted || slices.Contains(v.names, name) }

// Worker holds the properties of a worker that are checked.
type Worker struct {
	Region    string
	Version   string // software version
	Draining  bool   // the worker is draining
	Serving   bool   // the worker is draining, but is known to serve what reaches it now
	Evacuated bool   // the worker's zone is being evacuated
	Cold      bool   // the worker is not known to be warm
}

// Check returns whether a request may be sent to a worker. If several restrictions apply it returns the
// most permanent one, such as OutsideRegions rather than Evacuated.
func Check(request Request, worker Worker) Verdict {
	switch {
	case !request.Versions.Allow(worker.Version):
		return OtherVersion
	case !request.Regions.Allow(worker.Region):
		return OutsideRegions
	case worker.Evacuated:
		return Evacuated
	case worker.Draining && !(request.AcceptsDraining && worker.Serving):
		return Draining
	case worker.Cold:
		return NeedsWarmupPermit
	default:
		return Allowed
	}
}
