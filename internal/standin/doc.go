// Package standin holds small stand-ins for everything that the platform
// provides: engines, the table, the object store, the machine list and tools.
// Each is one in-memory implementation that tests use directly, also under
// virtual time, with an HTTP server around it. Faults are switched on by code
// or by the servers' administrative endpoint.
package standin
