// Package workload reads workload files and turns them into deterministic
// scripts of programs: when each arrives, what each of its calls sends, how
// long the answers are, how long its tools take and which sub-agents it starts.
// The simulator and the HTTP load client run the same scripts.
package workload
