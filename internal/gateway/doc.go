// Package gateway serves the HTTP interface of callers and operators. It keeps
// no state: it authenticates, finds the leader of a program's shard, forwards,
// and carries streams over a change of leader without a gap or a repeat.
package gateway
