// Package isolation detects that this node has lost both the table, by every path, and the nodes
// of other zones. Such a node can't start programs; it reports that it is not ready, so that new
// clients are routed to other nodes.
//
// An outage of the table alone isolates no node, because nodes of other zones still reply. A node
// that has sent no requests is not isolated either.
package isolation

import (
	"sync"
	"time"
)

const (
	// Nodes of other zones count as unreachable after minMisses consecutive missed replies over at
	// least minMissSpan. Fewer may come from single failed nodes or from a slow local node.
	minMisses   = 4
	minMissSpan = 300 * time.Millisecond
	// probeAfter is how long no node of another zone may have replied before one is probed. An
	// idle node thus sends two probes per second. All nodes of a zone that is cut off must detect
	// it; otherwise those that don't still receive clients.
	probeAfter = 500 * time.Millisecond
	// maxEvidenceAge is how long after the last missed reply a node still counts as isolated.
	// Without this limit a false detection on all nodes of a site could keep all of them not
	// ready.
	maxEvidenceAge = 20 * time.Second
)

// Detector tracks replies from nodes of other zones, or from any other node in a deployment of one
// zone. The zero value is ready to use and has recorded no reply. It is safe for concurrent use.
type Detector struct {
	mutex     sync.Mutex
	lastReply time.Time // last reply from a node of another zone
	misses    int       // consecutive missed replies
	firstMiss time.Time // first of these misses
	lastMiss  time.Time // most recent miss
}

// RecordReply records a reply from a node of another zone.
func (d *Detector) RecordReply(now time.Time) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.lastReply, d.misses = now, 0
}

// NeedsProbe reports whether a node of another zone should be probed because none has replied
// recently.
func (d *Detector) NeedsProbe(now time.Time) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return now.Sub(d.lastReply) >= probeAfter
}

// RecordMiss records that a node of another zone did not reply within the usual time.
func (d *Detector) RecordMiss(now time.Time) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.misses == 0 {
		d.firstMiss = now
	}
	d.misses++
	d.lastMiss = now
}

// PeersUnreachable reports whether the nodes of other zones are unreachable.
func (d *Detector) PeersUnreachable() bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.unreachable()
}

func (d *Detector) unreachable() bool {
	return d.misses >= minMisses && d.lastMiss.Sub(d.firstMiss) >= minMissSpan
}

// Isolated reports whether this node is isolated. tableLost reports that the table is unreachable
// by every path.
func (d *Detector) Isolated(tableLost bool, now time.Time) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return tableLost && d.unreachable() && now.Sub(d.lastMiss) < maxEvidenceAge
}
