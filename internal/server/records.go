package server

import (
	"maps"

	"github.com/apex/log"

	"github.com/cloverwheel/cloverwheel/internal/backend"
	"github.com/cloverwheel/cloverwheel/internal/route"
	"github.com/cloverwheel/cloverwheel/internal/store"
	"github.com/cloverwheel/cloverwheel/internal/tablesync"
)

func (s *Server) applyConfigurations(rows []store.Row) {
	for _, row := range rows {
		configuration, ok, err := s.options.RowDecoders.Configuration(row)
		if !ok {
			continue
		}
		if err != nil {
			s.options.Logger.WithError(err).Error("cannot decode configuration; keeping the current one until a valid one is published")
			continue
		}
		removed, added := s.recordKeyChanges(configuration)
		s.origins.applyConfiguration(configuration)
		applied := s.forwarder.SetConfiguration(configuration)
		s.verifier.recordConfiguration(row, configuration)
		s.origins.registerListed()
		s.options.Logger.WithFields(log.Fields{
			"version":  int64(configuration.Version),
			"routes":   configuration.RouteCount(),
			"tenants":  configuration.Tenants.Len(),
			"revision": uint64(row.Version),
			"taken":    applied,

			"keys_removed": removed,
			"keys_added":   added,
		}).Info("configuration received")
		if duplicates := configuration.Tenants.SharedKeys(); duplicates > 0 {
			s.options.Logger.WithField("version", int64(configuration.Version)).WithField("keys", duplicates).
				Error("keys shared by several tenants are rejected; give each tenant its own keys")
		}
	}
}

// recordKeyChanges records in the next configuration which keys of the current one it removes,
// and returns the numbers of removed and added keys.
func (s *Server) recordKeyChanges(next *route.Configuration) (removed, added int) {
	current := s.forwarder.Configuration()
	if current == nil || next.Version <= current.Version {
		return 0, 0
	}
	return next.Tenants.RecordRemovedKeys(current.Tenants, int64(next.Version))
}

// replaceWorkers applies a complete read of the worker list or of the kept part. Workers that are
// not in it are removed, or no longer kept.
func (s *Server) replaceWorkers(read tablesync.Snapshot) {
	listed := make(map[string]bool, len(read.Rows))
	for _, row := range read.Rows {
		listed[row.Name] = true
	}
	end := backend.OutOfScope
	if read.Whole {
		end = backend.Removed
	}
	var updates []backend.Update
	for _, id := range s.workers.IDs() {
		if !listed[id] {
			updates = append(updates, backend.Update{Record: backend.Record{ID: id}, End: end})
		}
	}
	s.invalidEntries.retain(listed)
	s.applyWorkerUpdates(updates)
	s.applyWorkerRows(read.Rows)
	s.workersLoaded.Store(true) // also if the list is empty
}

// applyWorkerRows applies changed rows of the worker list. The first page of a long list is
// enough for the node to become ready.
func (s *Server) applyWorkerRows(rows []store.Row) {
	if len(rows) > 0 {
		defer s.workersLoaded.Store(true)
	}
	updates := make([]backend.Update, 0, len(rows))
	for _, row := range rows {
		if update, changed := s.workerUpdate(row); changed {
			updates = append(updates, update)
		}
	}
	s.applyWorkerUpdates(updates)
}

func (s *Server) applyWorkerUpdates(updates []backend.Update) {
	for index, changed := range s.workers.Apply(updates) {
		if changed {
			s.logWorker(updates[index])
		}
	}
	s.origins.registerListed()
}

// workerUpdate returns the update that a row causes; changed is false if its revision is already
// applied, which is usual for a complete read after its pages.
func (s *Server) workerUpdate(row store.Row) (update backend.Update, changed bool) {
	if row.Gone {
		s.invalidEntries.remove(row.Name)
		return backend.Update{Record: backend.Record{ID: row.Name}, End: backend.Removed}, true
	}
	if row.Version != 0 && s.workers.Revision(row.Name) == uint64(row.Version) {
		return backend.Update{}, false
	}
	record, err := s.options.RowDecoders.Worker(row)
	if err != nil {
		if s.invalidEntries.add(row) {
			s.options.Metrics.InvalidEntries.Inc()
			s.options.Logger.WithError(err).WithField("worker", row.Name).WithField("revision", uint64(row.Version)).
				Warn("skipping invalid entry of the worker list; correct its record")
		}
		return backend.Update{Record: backend.Record{ID: row.Name}, End: backend.Unusable}, true
	}
	s.invalidEntries.remove(row.Name)
	return backend.Update{Record: record}, true
}

func (s *Server) logWorker(update backend.Update) {
	entry := s.options.Logger.WithField("worker", update.Record.Key())
	if update.End != backend.NotEnded {
		entry.WithField("end", update.End.String()).Info("worker removed from this node's list")
		return
	}
	record := update.Record
	if worker, ok := s.workers.WorkerByKey(record.Key()); ok && record.Draining {
		entry = entry.WithField("serves_more_ms", worker.DrainTimeLeft().Milliseconds())
	}
	entry.WithFields(log.Fields{
		"service":  record.Service,
		"address":  record.Address,
		"zone":     record.Zone,
		"version":  record.SoftwareVersion,
		"draining": record.Draining,
		"cold_ms":  record.ColdRemaining.Milliseconds(),
		"revision": record.Revision,
	}).Info("worker updated")
}

// invalidEntries holds the revisions of the worker list entries that do not decode to a worker,
// by name. Each is logged when it appears or changes, not on every read.
type invalidEntries map[string]store.Version

// add records an entry. It reports whether the entry is new or changed.
func (e invalidEntries) add(row store.Row) bool {
	if known, ok := e[row.Name]; ok && known == row.Version {
		return false
	}
	e[row.Name] = row.Version
	return true
}

func (e invalidEntries) remove(name string) { delete(e, name) }

// retain removes the entries that are no longer listed.
func (e invalidEntries) retain(listed map[string]bool) {
	maps.DeleteFunc(e, func(name string, _ store.Version) bool { return !listed[name] })
}
