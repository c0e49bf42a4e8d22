package config

import (
	"slices"
	"strings"

	"github.com/cloverwheel/cloverwheel/internal/fault"
	"github.com/cloverwheel/cloverwheel/internal/id"
	"github.com/cloverwheel/cloverwheel/internal/template"
)

// past is the head with the changes that led to it. A copy of it is a
// consistent view that stays valid, so that readers work outside the machine.
type past struct {
	head    *template.Configuration
	history []Record // ascending, the last one made the head; only appended to
}

// record finds an accepted version that is still kept.
func (p past) record(version uint64) (Record, bool) {
	if len(p.history) == 0 {
		return Record{}, false
	}
	first := p.history[0].Entry.Version
	if version < first || version > p.head.Version {
		return Record{}, false
	}
	return p.history[version-first], true
}

// accepted finds an accepted entry by its change id.
func (p past) accepted(changeID string) (Record, bool) {
	for _, record := range slices.Backward(p.history) {
		if record.Entry.ChangeID == changeID {
			return record, true
		}
	}
	return Record{}, false
}

// lastChange returns the version that last put or removed an object, as far as
// the history goes.
func (p past) lastChange(object string) uint64 {
	kind, name, _ := strings.Cut(object, " ")
	if kind == "template" {
		if found, ok := p.head.Template(id.Template(name)); ok {
			return found.Version
		}
	} else if found, ok := p.head.Tenant(id.Tenant(name)); ok {
		return found.Version
	}
	for _, record := range slices.Backward(p.history) {
		if slices.Contains(touchedObjects(record.Entry.Change), object) {
			return record.Entry.Version
		}
	}
	return 0
}

// conflicting lists the change's objects that have changed since base.
func (p past) conflicting(base uint64, change template.Change) []string {
	var objects []string
	for _, object := range touchedObjects(change) {
		if p.lastChange(object) > base {
			objects = append(objects, object)
		}
	}
	return objects
}

// rollback returns the change from the head back to a kept version, limited to
// objects unless that is empty. ok is false when the version is not kept.
func (p past) rollback(to uint64, objects []string) (change template.Change, ok bool) {
	if !p.reaches(to) {
		return change, false
	}
	before := p.at(to)
	var touched template.Change
	for version := to + 1; version <= p.head.Version; version++ {
		record, _ := p.record(version)
		touched = joined(touched, record.Entry.Change)
	}
	return limited(undoing(before, touched), objects), true
}

// at returns the configuration as it was at a kept version.
func (p past) at(version uint64) *template.Configuration {
	past := p.head
	for current := p.head.Version; current > version; current-- {
		record, _ := p.record(current)
		past = past.With(current-1, record.Undo)
	}
	return past
}

func (p past) historyOf(request HistoryRequest) History {
	var history History
	for _, record := range slices.Backward(p.history) {
		if request.Limit > 0 && len(history.Items) == request.Limit {
			break
		}
		entry := record.Entry
		if request.Object != "" && !slices.Contains(touchedObjects(entry.Change), request.Object) {
			continue
		}
		history.Items = append(history.Items, HistoryItem{
			Version: entry.Version, ChangeID: entry.ChangeID, Author: entry.Author,
			Message: entry.Message, Made: entry.Made, Differs: recordDiff(record),
		})
	}
	return history
}

// recordDiff compares what a change touched before and after it.
func recordDiff(record Record) []FieldDiff {
	var empty template.Configuration
	before := empty.With(0, record.Undo)
	after := empty.With(0, record.Entry.Change)
	return differences(before, after, record.Entry.Change)
}

func (p past) diff(request DiffRequest) (Diff, error) {
	to := request.To
	if to == 0 {
		to = p.head.Version
	}
	for _, version := range []uint64{request.From, to} {
		if !p.reaches(version) {
			return Diff{}, fault.Newf(fault.NotFound, "choose versions from the history", "version %d is not kept", version)
		}
	}
	var touched template.Change
	for version := min(request.From, to) + 1; version <= max(request.From, to); version++ {
		record, _ := p.record(version)
		touched = joined(touched, record.Entry.Change)
	}
	return Diff{From: request.From, To: to, Differs: differences(p.at(request.From), p.at(to), touched)}, nil
}

// reaches reports whether every change after a version is kept.
func (p past) reaches(version uint64) bool {
	if version == p.head.Version {
		return true
	}
	_, kept := p.record(version + 1)
	return version < p.head.Version && kept
}

// after returns the entries accepted after a version, or nothing when they are
// not all kept.
func (p past) after(version uint64) []Entry {
	if version >= p.head.Version || !p.reaches(version) {
		return nil
	}
	var entries []Entry
	for next := version + 1; next <= p.head.Version; next++ {
		record, _ := p.record(next)
		entries = append(entries, record.Entry)
	}
	return entries
}
