// Package program is the deterministic state machine of the programs of one
// shard: their histories, the order of their calls, and the one outcome of each
// call. It has no clock and does no I/O; every command carries the time of its
// proposer. Package dispatch proposes the commands and does what they permit.
package program
