// Package enginemodel is a deterministic model of one model engine: continuous
// batching in steps, chunked prefill, limited KV memory that running sequences
// share with a prefix cache, priorities, preemption, holds, export and import,
// and faults. It does no I/O and has no clock: callers pass the time in. The
// simulator drives it in virtual time and the stand-in server in real time.
//
// Every call takes the present time and must not go back in time. Next says
// when Advance has something to do. An Engine is not safe for concurrent use.
package enginemodel
