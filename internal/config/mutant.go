package config

// mutant is a deliberate fault. Tests set one to show that the check against
// the oracle can fail; elsewhere it is always zero.
type mutant uint8

const (
	// takeLower lets an older configuration replace the version in force.
	takeLower mutant = iota + 1
	// acceptWithoutTable acknowledges a change that only shard 0 has.
	acceptWithoutTable
	// skipReconcile leads a new group epoch without looking at the table.
	skipReconcile
	// alwaysFresh starts calls without having heard the head.
	alwaysFresh
	// refuseTakenOver says that a prepared change has not run when another leader
	// may have completed it.
	refuseTakenOver
	// skipFence lets a leader of an earlier epoch go on writing to the table.
	skipFence
)
