// Package admit decides when the calls that wait at one worker run. It is pure:
// a plan depends on a snapshot of the worker's queue and memory, a time and the
// options.
//
// Admission is by tokens of KV memory, not by the number of calls: what is let
// in never needs more memory than the engine has, so the engine never has to
// preempt. The order is by tenant priority, fair shares between tenants, and
// then by what shortens whole programs. A call that has waited for the
// starvation bound goes before all that have not, in order of arrival, and
// nothing is let in past it.
package admit
