package config

import (
	"time"

	"github.com/cloverwheel/cloverwheel/internal/shard"
	"github.com/cloverwheel/cloverwheel/internal/template"
)

// recentWeight bounds the latest changes that each node keeps for others: 256
// changes of one object, or fewer that change more. Who is further behind gets
// the whole configuration.
const recentWeight = 512

// take puts accepted entries in force. Entries at or below the version in force
// are passed over; it reports false when an entry in between is missing.
func (s *Service) take(entries []Entry) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	next := s.Current()
	for i := range entries {
		entry := &entries[i]
		if entry.Version <= next.Version {
			continue
		}
		if entry.Version != next.Version+1 {
			s.install(next)
			return false
		}
		next = next.With(entry.Version, entry.Change)
		s.remember(*entry)
	}
	s.install(next)
	return true
}

// takeWhole puts a whole configuration in force, unless it is not newer.
func (s *Service) takeWhole(configuration *template.Configuration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if configuration.Version > s.Current().Version || s.options.mutant == takeLower {
		s.recent, s.recentSum = nil, 0 // not contiguous any more
		s.install(configuration)
	}
}

// install replaces the version in force by a higher one, never by a lower one.
// The caller holds the mutex.
func (s *Service) install(next *template.Configuration) {
	before := s.Current()
	if next.Version <= before.Version && (s.options.mutant != takeLower || next.Version == before.Version) {
		return
	}
	s.inForce.Store(&installed{configuration: s.shared(next), since: time.Now()})
	s.options.Log.WithField("version", next.Version).WithField("before", before.Version).Info("configuration in force")
}

// shared prefers the object that a replica of shard 0 on this node holds
// anyway, so that the configuration is in memory once.
func (s *Service) shared(next *template.Configuration) *template.Configuration {
	if s.options.Proposer == nil {
		return next
	}
	s.options.Proposer.Peek(HeadShard, func(machine shard.Machine) {
		if head := s.options.Part(machine).Head(); head.Version == next.Version {
			next = head
		}
	})
	return next
}

func (s *Service) remember(entry Entry) {
	s.recent = append(s.recent, entry)
	s.recentSum += weight(entry.Change)
	if s.recentSum <= 2*recentWeight {
		return
	}
	first := 0
	for s.recentSum > recentWeight && first < len(s.recent)-1 {
		s.recentSum -= weight(s.recent[first].Change)
		first++
	}
	s.recent = append([]Entry(nil), s.recent[first:]...)
}

// since returns the entries after a version, or false when they are not all kept.
func (s *Service) since(version uint64) ([]Entry, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if version >= s.Current().Version {
		return nil, true
	}
	if len(s.recent) == 0 || s.recent[0].Version > version+1 {
		return nil, false
	}
	missing := s.recent[version+1-s.recent[0].Version:]
	return append([]Entry(nil), missing...), true
}
