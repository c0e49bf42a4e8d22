// Package dispatch is the role of the node that leads a program's shard. It
// takes in calls, gives each its turn, reserves its budget, has a worker chosen,
// commits its start and only then sends it out, relays its stream to all callers
// that wait for it, and commits its outcome. After a change of leadership it
// takes up what its predecessor left.
package dispatch
