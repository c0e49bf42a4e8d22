// Package shard keeps replicated state machines. A shard is a log and a
// deterministic Machine over it, held by a group of replicas in different
// zones. Replica is the pure core of one member: it takes messages, ticks and
// proposals and gives back messages and committed entries. Host runs the
// replicas of one node over the peer transport, creates groups through the
// platform's table, replaces lost members and recovers lost groups.
package shard
