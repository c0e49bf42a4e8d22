package shard

import (
	"context"
	"time"

	"github.com/cloverwheel/cloverwheel/internal/fault"
)

// Handover hands the leaderships and memberships of this node to other nodes
// before a planned stop. It returns once no group counts on this node, or with
// an error when ctx ends or no other node is left.
func (h *Host) Handover(ctx context.Context) error {
	h.handing.Store(true)
	ticker := time.NewTicker(h.options.TickInterval)
	defer ticker.Stop()
	for {
		left := len(h.list())
		if left == 0 {
			return nil
		}
		if h.wantedElsewhere() == 0 {
			return fault.New(fault.Unavailable, "no other node is left to take over the shards", "start another node first, or rely on the flushed state")
		}
		select {
		case <-ctx.Done():
			return fault.Newf(fault.Unavailable, "give the stop more time or look at the other nodes", "%d shards were not handed over in time", left)
		case <-ticker.C:
		}
	}
}

// wantedElsewhere counts the other nodes that may take over.
func (h *Host) wantedElsewhere() int {
	count := 0
	if view := h.view(); view != nil {
		for _, m := range view.Members {
			if m.Node != h.self.Node && m.Usable() {
				count++
			}
		}
	}
	return count
}
