// Package streamorigin remembers which software version of a service began each stream, so that a node that a client asks to
// resume a stream, after its connection or node was lost, sends the request to a worker of that version only.
//
// The node that relays a stream's first event sends a record to two other nodes, chosen by the hash of the stream's ID, without
// delaying the event. Another node finds the record there. Records are in memory: a stream whose origin nobody remembers is not
// continued while its service has had workers of several versions.
//
// While a service has had workers of one version only, nothing is sent. The versions that were in use lately are rows of the store
// (see Versions), since nodes that have just started, or that list a part of the workers, do not know them otherwise. A version is
// registered there before a stream begins at it. When a second version is registered or listed, or when the store may be unreachable,
// each node sends the records of its latest streams. It does so, too, for services that share a route with another one, now or until
// lately (see SharedServices): the route does not tell at which of them a stream began.
package streamorigin
