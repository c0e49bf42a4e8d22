// Package quarantine limits how many worker processes may end under the same work.
//
// Some content ends every process that runs it. A node cannot tell such a request from the others that the process was running, so
// it counts, for each work, the ends since a worker last answered it completely. Work under which MaxEnds workers ended one after
// the other is quarantined: it is refused. All nodes share the counts, since a client's next try usually reaches another one.
package quarantine
