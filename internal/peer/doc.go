// Package peer provides typed RPC between nodes, with gob as the encoding.
// Handlers are registered by method name on a Mux; Invoke and InvokeStream call
// them through a Transport. HTTPTransport is used in real clusters, MemoryNetwork
// in deterministic tests with fault injection.
package peer
