// Package quota enforces each tenant's rate limit over all nodes together: no sliding window of
// time holds more requests than the limit and its tolerance allow, even when processes crash, pause
// or are partitioned.
//
// A tenant's limit is divided into a few shares. Each share belongs to a slot of the directory, and
// the owner of that slot issues permits for it: before a node sends a request to a worker, it asks
// an owner for a permit, and an owner issues no more in any window than its share. An unused permit
// is returned.
//
// An owner counts issued permits in memory only. For one window, the next owner of the slot assumes
// that its predecessors used up the base part of the share. An owner that needs more than the base
// part first allows the tenant's full limit: it records in the store that the full share may be
// used, so that its successor assumes that. So most of each limit stays usable after a loss of all
// nodes, and normal operation needs no writes.
package quota
