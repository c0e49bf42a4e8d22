// Package streamcopy keeps copies of what clients have got of turns that are stored once they have ended, so that a node that a client
// asks to resume such a turn, after its connection or node was lost, can store all of it.
//
// The node that relays a turn sends each event to two other nodes, chosen by the hash of the turn, before the event leaves for the client.
// Each request of a client for the turn is an attempt of its own, since two of them may run side by side, with different events: the node
// of the first one may not have noticed that its client has gone. A copy is what the client of an attempt got, the events of the requests
// that it resumed included.
//
// Copies are in memory, for a minute at most, and within a bound. A turn of which no copy reaches as far as its client says is not resumed.
package streamcopy
