package placement

// Name identifies a placement policy. The values appear in settings and reports.
type Name string

// The placement policies. The first three are baselines for comparison.
const (
	// RoundRobin takes the workers in turn.
	RoundRobin Name = "round_robin"
	// LeastRequests takes the worker with the fewest queued and running calls.
	LeastRequests Name = "least_requests"
	// Sticky keeps a program at its first worker, which LeastRequests chooses.
	Sticky Name = "sticky"
	// ExpectedCompletion takes the worker where the call is expected to complete first.
	ExpectedCompletion Name = "expected_completion"
)

// Names lists all policies, baselines first.
var Names = []Name{RoundRobin, LeastRequests, Sticky, ExpectedCompletion}

// Policy is a placement policy. For ablation studies, parts of the cost that ExpectedCompletion compares
// can be left out.
type Policy struct {
	Name Name
	// IgnoreCache leaves out the prefill of uncached tokens, and the delay that it causes for other
	// calls.
	IgnoreCache bool
	// IgnoreWait leaves out the queueing time.
	IgnoreWait bool
	// IgnoreOthers leaves out the delay that the call's prefill causes for other calls at the
	// worker.
	IgnoreOthers bool
	// IgnoreZones leaves out the round trip to the worker.
	IgnoreZones bool
}

// Probes reports whether the policy uses load, so that candidates must be probed, and whether it ranks
// all workers of the model instead of a shortlist.
func (p Policy) Probes() (load, all bool) {
	switch p.Name {
	case RoundRobin:
		return false, true
	case LeastRequests, Sticky:
		return true, true
	default:
		return true, false
	}
}
