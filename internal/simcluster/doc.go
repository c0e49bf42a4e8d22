// Package simcluster holds tests that run whole clusters, with stand-ins of
// everything outside them, in one process and in virtual time. Faults are drawn
// from a seed, and the histories of clients are checked against the records of
// the stand-ins.
package simcluster
