package server

import (
	"time"

	"github.com/apex/log"

	"github.com/cloverwheel/cloverwheel/internal/evacuation"
	"github.com/cloverwheel/cloverwheel/internal/store"
	"github.com/cloverwheel/cloverwheel/internal/tablesync"
)

// newEvacuationTracker returns the tracker of evacuated zones, which logs and counts each change.
// reopened is called for each zone that is no longer evacuated, and returns how many of its
// workers are assumed to be cold.
func newEvacuationTracker(options Options, reopened func(zone string, revision store.Version) (cold int)) *evacuation.Tracker {
	return evacuation.New(func(change evacuation.Change) {
		cold := 0
		if !change.Evacuated {
			cold = reopened(change.Zone, change.Revision)
		}
		options.Metrics.Evacuation(change)
		options.Logger.WithFields(log.Fields{
			"zone":         change.Zone,
			"evacuated":    change.Evacuated,
			"revision":     uint64(change.Revision),
			"source":       string(change.Source),
			"cold_workers": cold,
		}).Info("evacuation state of zone changed")
	})
}

// replaceOperatorRows applies a complete read of the operator's rows. A zone without a row is no
// longer evacuated.
func (s *Server) replaceOperatorRows(read tablesync.Snapshot) {
	s.evacuations.ApplyFullRead(read.Version, s.evacuationOrders(read.Rows))
	s.applyConfigurations(read.Rows)
}

// applyOperatorRows applies changed operator rows. A configuration that arrives with a page of
// the initial read is ignored until the read is complete: a node must have all evacuated zones
// before it serves.
func (s *Server) applyOperatorRows(rows []store.Row) {
	for _, order := range s.evacuationOrders(rows) {
		s.evacuations.Apply(order, evacuation.FromStore)
	}
	if s.evacuations.Known() {
		s.applyConfigurations(rows)
	}
}

// evacuationOrders returns the evacuation orders that the rows contain.
func (s *Server) evacuationOrders(rows []store.Row) (orders []evacuation.Word) {
	if s.options.RowDecoders.Evacuation == nil {
		return nil
	}
	for _, row := range rows {
		if zone, ok := s.options.RowDecoders.Evacuation(row); ok {
			orders = append(orders, evacuation.Word{Zone: zone, Evacuated: !row.Gone, Revision: row.Version})
		}
	}
	return orders
}

// operatorStalenessRatio is the part of EvacuateWithin after which the operator's rows must be
// current again following a store failure. The rest is for reading all rows.
const operatorStalenessRatio = 0.8

// maxOperatorStaleness is how soon after a store failure the operator's rows must be current
// again; 0: as soon as the feed delivers them.
func (s Settings) maxOperatorStaleness() time.Duration {
	if s.EvacuateWithin == 0 {
		return s.MaxStaleness
	}
	return min(s.MaxStaleness, time.Duration(operatorStalenessRatio*float64(s.EvacuateWithin)))
}
