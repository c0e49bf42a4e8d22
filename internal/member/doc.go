// Package member decides which nodes are alive, suspect, leaving or dead. Each
// node probes one other node per interval in random order, asks others to probe
// it indirectly before it suspects it, and declares it dead only after a
// suspicion that the suspect had time to refute. Changes ride on probes and on
// short bursts of gossip, so the cost for a node does not grow with the number
// of nodes. Core holds all decisions and does no I/O; Service runs it.
package member
