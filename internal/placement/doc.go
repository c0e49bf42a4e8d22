// Package placement chooses the worker that runs a call. Decisions are pure functions of a
// query, a few probed candidates, a policy and a random source.
//
// A decision has three stages, a file each: feasible drops workers that cannot or must
// not serve the call, rank sorts the rest by the policy, and select picks one of the best.
package placement
