package sim

import (
	"fmt"

	"github.com/cloverwheel/cloverwheel/internal/admit"
	"github.com/cloverwheel/cloverwheel/internal/placement"
	"github.com/cloverwheel/cloverwheel/internal/worker"
)

// Policy is a scheduling policy to compare.
type Policy struct {
	worker.Policy
	// EngineQueue sends every call to the engine at once and leaves the queue to
	// it, as a plain proxy does. It makes the strongest baselines.
	EngineQueue bool
}

// Baseline reports whether the policy is one that others are compared with.
func (p Policy) Baseline() bool {
	return p.EngineQueue || p.Admission.Policy == admit.FirstCome && p.Place.Name != placement.ExpectedCompletion
}

// engineQueueSuffix ends the names of baselines without a queue of their own.
const engineQueueSuffix = "-engine_queue"

// Policies lists all policies: those of package worker and the baselines
// without a queue of their own.
func Policies() []Policy {
	var policies []Policy
	for _, policy := range worker.Policies() {
		policies = append(policies, Policy{Policy: policy})
	}
	for _, name := range []placement.Name{placement.RoundRobin, placement.LeastRequests, placement.Sticky} {
		base, _ := worker.PolicyNamed(string(name))
		base.Name += engineQueueSuffix
		policies = append(policies, Policy{Policy: base, EngineQueue: true})
	}
	return policies
}

// MainPolicies are the baselines that an experiment runs unless told otherwise,
// and ours. Round robin and least requests run with the engines' queues alone:
// the two ways differ by little, and this one takes far less time to simulate.
func MainPolicies() []Policy {
	names := []string{
		string(placement.RoundRobin) + engineQueueSuffix,
		string(placement.LeastRequests) + engineQueueSuffix,
		string(placement.Sticky) + engineQueueSuffix,
		string(placement.Sticky),
		worker.DefaultPolicy,
	}
	var policies []Policy
	for _, name := range names {
		policy, _ := policyNamed(name)
		policies = append(policies, policy)
	}
	return policies
}

// PoliciesNamed finds policies by name.
func PoliciesNamed(names []string) ([]Policy, error) {
	var found []Policy
	for _, name := range names {
		policy, ok := policyNamed(name)
		if !ok {
			return nil, fmt.Errorf("unknown policy %q; the known ones are %q", name, PolicyNames())
		}
		found = append(found, policy)
	}
	return found, nil
}

func policyNamed(name string) (Policy, bool) {
	for _, policy := range Policies() {
		if policy.Name == name {
			return policy, true
		}
	}
	return Policy{}, false
}

// PolicyNames lists the names of all policies.
func PolicyNames() []string {
	var names []string
	for _, policy := range Policies() {
		names = append(names, policy.Name)
	}
	return names
}
