// Package cache keeps what is known of one engine's prefix cache and decides
// what becomes of a program's cached context while the program waits on tools.
//
// Residency is learnt from late events with gaps and from the owner's own
// dispatches. After a gap entries are unknown, never present. Retention weighs
// the memory that a context holds until the program's expected return against
// computing it again. Waste is accounted by cause.
package cache
