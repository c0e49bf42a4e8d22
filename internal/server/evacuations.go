package server

import (
	"time"

	"github.com/apex/log"

	"github.com/cloverwheel/cloverwheel/internal/evacuation"
	"github.com/cloverwheel/cloverwheel/internal/follow"
	"github.com/cloverwheel/cloverwheel/internal/store"
)

// newBoard returns the board of evacuated zones of a node, which logs and counts what
// changes on it. reopened is told of zones that are taken back: their workers may be cold.
// It returns how many are taken to be.
func newBoard(options Options, reopened func(zone string, revision store.Version) (cold int)) *evacuation.Board {
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
		}).Info("evacuation")
	})
}

// replaceOperator takes over all of the operator's rows: a zone without a row there is not
// evacuated any more.
func (s *Server) replaceOperator(read follow.Reading) {
	s.board.Whole(read.Version, s.words(read.Rows))
	s.takeConfigurations(read.Rows)
}

// changeOperator takes over changed rows of the operator's. A configuration that comes in a
// part of the first whole read waits for the rest: who has it serves, and must know first
// which zones are evacuated.
func (s *Server) changeOperator(rows []store.Row) {
	for _, word := range s.words(rows) {
		s.board.Hear(word, evacuation.FromTable)
	}
	if s.board.Known() {
		s.takeConfigurations(rows)
	}
}

// words are what rows say of evacuated zones.
func (s *Server) words(rows []store.Row) (words []evacuation.Word) {
	if s.options.Records.Evacuation == nil {
		return nil
	}
	for _, row := range rows {
		if zone, ok := s.options.Records.Evacuation(row); ok {
			words = append(words, evacuation.Word{Zone: zone, Evacuated: !row.Gone, Revision: row.Version})
		}
	}
	return words
}

// evacuateShare of the time after which an evacuation binds is how soon after trouble with
// the table it is known: the rest is for reading the rows as a whole.
const evacuateShare = 0.8

// operatorFresh is how soon after trouble with the table the operator's rows must be known
// again; 0: as soon as a feed tells.
func (s Settings) operatorFresh() time.Duration {
	if s.EvacuateWithin == 0 {
		return s.Fresh
	}
	return min(s.Fresh, time.Duration(evacuateShare*float64(s.EvacuateWithin)))
}
