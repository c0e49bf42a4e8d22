// Package warmup limits the request rate of cold workers over all nodes together: while it warms
// up, no worker receives more requests in any second than it can handle and its tolerance
// allows, even when processes crash, pause or are partitioned.
//
// Each cold worker belongs to a slot of the directory. The owner of that slot issues a permit
// for each request: a node asks for one just before it sends the request, and uses it at once
// or drops it. An owner counts issued permits in memory only, so the next owner of the slot
// issues none until those of its predecessors no longer count.
package warmup

import (
	"time"

	"github.com/cloverwheel/cloverwheel/internal/directory"
)

const (
	// countingPeriod is the period in which a worker's requests are counted.
	countingPeriod = time.Second
	// PermitTTL is how long a permit may be used, from the time when the node asked for it. A
	// call for one takes 1 to 10 ms.
	PermitTTL = 100 * time.Millisecond
	// maxSendDelay is the longest time from using a permit to the arrival of the request at the
	// worker, including the time to open a connection.
	maxSendDelay = 150 * time.Millisecond
	// Window is how long a permit counts. Two requests that arrive within countingPeriod were
	// issued permits at most this far apart.
	Window = countingPeriod + PermitTTL + maxSendDelay
	// UnsettledPeriod is how long a slot with a new owner is unsettled: earlier owners may still issue
	// permits until their leases end, and those count for Window.
	UnsettledPeriod = directory.MaxLeaseDuration + Window
)

const (
	// permitPart is the part of a cold worker's bound that may be issued. The rest covers
	// requests from nodes that have not been informed, or cannot be informed, that the worker is cold.
	permitPart = 0.75
	// propagationDelay is how long nodes may still treat a worker as warm after it turned cold:
	// updates of the worker list take 0.3 to 0.4 s.
	propagationDelay = 400 * time.Millisecond
	// newProgramPart of the permits is available to programs that begin. The rest is kept for
	// running programs, whose context would have to be processed again on another worker.
	newProgramPart = 0.75
)

// ColdCapacity is the request rate that a cold worker of a service can handle, and the tolerated
// excess over it.
type ColdCapacity struct {
	PerSecond float64 // requests; 0: cold workers are not limited
	Overage   float64 // bound on arrivals in a second, as a multiple of PerSecond; 0: no bound unless Slack is set
	Slack     float64 // requests added to that bound
}

// maxPermits returns how many permits may count at any time; at least 1.
func (c ColdCapacity) maxPermits() int {
	limit := c.PerSecond * Window.Seconds()
	if bound := c.PerSecond*c.Overage + c.Slack; bound > 0 {
		limit = min(limit, permitPart*bound)
	}
	return max(1, int(limit))
}

// unpermitted returns the assumed number of requests without a permit in flight to a worker
// that has just turned cold, from nodes that still treat it as warm.
func (c ColdCapacity) unpermitted() int { return int(c.PerSecond * propagationDelay.Seconds()) }
