// Package sim runs workloads in virtual time against modelled engines, with
// the real placement, admission and retention code in between, and compares
// policies. A run depends on nothing but its workload, seed and policy, so its
// results are the same on every machine.
package sim
