// Package ownership keeps the fenced epochs of worker owners. Machine is the
// deterministic state over a replicated shard: it hands out a rising epoch for
// each worker. Claimer is the client and the handler around it.
//
// An epoch proves nothing about who owns a worker now; it only orders the
// commands of successive owners, so that an engine refuses the older one's.
package ownership
