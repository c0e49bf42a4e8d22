package server

import (
	"maps"

	"github.com/apex/log"

	"github.com/cloverwheel/cloverwheel/internal/backend"
	"github.com/cloverwheel/cloverwheel/internal/follow"
	"github.com/cloverwheel/cloverwheel/internal/route"
	"github.com/cloverwheel/cloverwheel/internal/store"
)

func (s *Server) takeConfigurations(rows []store.Row) {
	for _, row := range rows {
		configuration, ok, err := s.options.Records.Configuration(row)
		if !ok {
			continue
		}
		if err != nil {
			s.options.Logger.WithError(err).Error("configuration not understood, keeping the one in force")
			continue
		}
		removed, added := s.followKeys(configuration)
		taken := s.forwarder.SetConfiguration(configuration)
		s.knowledge.noteRow(row, configuration)
		s.options.Logger.WithFields(log.Fields{
			"version":  int64(configuration.Version),
			"routes":   configuration.Len(),
			"tenants":  configuration.Tenants.Len(),
			"revision": uint64(row.Version),
			"taken":    taken,

			"keys_removed": removed,
			"keys_added":   added,
		}).Info("configuration")
		if doubled := configuration.Tenants.Doubled(); doubled > 0 {
			s.options.Logger.WithField("version", int64(configuration.Version)).WithField("keys", doubled).
				Error("keys held by several tenants let nobody in; give each tenant its own")
		}
	}
}

// followKeys notes which keys a configuration takes away from those of the one in force.
func (s *Server) followKeys(next *route.Configuration) (removed, added int) {
	present := s.forwarder.Configuration()
	if present == nil || next.Version <= present.Version {
		return 0, 0
	}
	return next.Tenants.Follow(present.Tenants, int64(next.Version))
}

// replaceWorkers takes over the whole list, or the part of it that is kept: who is not on it is gone,
// or not kept any more.
func (s *Server) replaceWorkers(read follow.Reading) {
	listed := make(map[string]bool, len(read.Rows))
	for _, row := range read.Rows {
		listed[row.Name] = true
	}
	end := backend.Unkept
	if read.Whole {
		end = backend.Removed
	}
	var updates []backend.Update
	for _, id := range s.workers.IDs() {
		if !listed[id] {
			updates = append(updates, backend.Update{Record: backend.Record{ID: id}, End: end})
		}
	}
	s.foreign.keepOnly(listed)
	s.applyWorkers(updates)
	s.changeWorkers(read.Rows)
	s.listed.Store(true) // also if there is none
}

// changeWorkers takes over changed entries. A part of a long list is enough to
// begin with.
func (s *Server) changeWorkers(rows []store.Row) {
	if len(rows) > 0 {
		defer s.listed.Store(true)
	}
	updates := make([]backend.Update, 0, len(rows))
	for _, row := range rows {
		if update, news := s.workerUpdate(row); news {
			updates = append(updates, update)
		}
	}
	s.applyWorkers(updates)
}

func (s *Server) applyWorkers(updates []backend.Update) {
	for index, news := range s.workers.Apply(updates) {
		if news {
			s.logWorker(updates[index])
		}
	}
}

// workerUpdate is what a row says of a worker, unless that is known: a list is read as a whole
// after each of its pages was taken over.
func (s *Server) workerUpdate(row store.Row) (update backend.Update, news bool) {
	if row.Gone {
		s.foreign.forget(row.Name)
		return backend.Update{Record: backend.Record{ID: row.Name}, End: backend.Removed}, true
	}
	if row.Version != 0 && s.workers.Revision(row.Name) == uint64(row.Version) {
		return backend.Update{}, false
	}
	record, err := s.options.Records.Worker(row)
	if err != nil {
		if s.foreign.note(row) {
			s.options.Metrics.ForeignEntries.Inc()
			s.options.Logger.WithError(err).WithField("worker", row.Name).WithField("revision", uint64(row.Version)).
				Warn("entry of the list of workers is passed over")
		}
		return backend.Update{Record: backend.Record{ID: row.Name}, End: backend.Unusable}, true
	}
	s.foreign.forget(row.Name)
	return backend.Update{Record: record}, true
}

func (s *Server) logWorker(update backend.Update) {
	entry := s.options.Logger.WithField("worker", update.Record.Key())
	if update.End != backend.Stays {
		entry.WithField("end", update.End.String()).Info("worker gone")
		return
	}
	record := update.Record
	entry.WithFields(log.Fields{
		"service":  record.Service,
		"address":  record.Address,
		"zone":     record.Zone,
		"draining": record.Draining,
		"cold_ms":  record.ColdLeft.Milliseconds(),
		"revision": record.Revision,
	}).Info("worker")
}

// foreignEntries are the entries of the list of workers that name no worker, by name with their
// revisions. Each is logged when it appears or changes, not at each reading.
type foreignEntries map[string]store.Version

// note notes an entry. It reports whether that is news.
func (f foreignEntries) note(row store.Row) bool {
	if known, ok := f[row.Name]; ok && known == row.Version {
		return false
	}
	f[row.Name] = row.Version
	return true
}

func (f foreignEntries) forget(name string) { delete(f, name) }

// keepOnly forgets the entries that are not on the list any more.
func (f foreignEntries) keepOnly(listed map[string]bool) {
	maps.DeleteFunc(f, func(name string, _ store.Version) bool { return !listed[name] })
}
