package backend

import (
	"slices"
	"time"
)

// Update is a change to the worker list: a new or changed entry, or the end of one.
type Update struct {
	Record Record // only its ID is set if the entry has ended
	End    End
}

// End is whether and how an entry has ended.
type End int

// The values of End.
const (
	// NotEnded means that the entry has not ended.
	NotEnded End = iota
	// Removed means that the list has no entry with this ID any more.
	Removed
	// Unusable means that the entry no longer describes a valid worker. Nothing more is sent to
	// the worker of the previous entry.
	Unusable
	// OutOfScope means that the entry is outside the part of the list that this node holds.
	OutOfScope
)

// String implements fmt.Stringer.
func (e End) String() string {
	return [...]string{"stays", "removed", "unusable", "unkept"}[e]
}

// lingerPeriod is how long a removed worker may still be used when its service has no other.
// Entries may have disappeared only because the list is temporarily unavailable.
const lingerPeriod = 1500 * time.Millisecond

// Put adds or updates an entry. It reports whether anything changed.
func (r *Registry) Put(record Record) bool {
	return r.Apply([]Update{{Record: record}})[0]
}

// Remove removes a worker from the list. Its running requests continue.
func (r *Registry) Remove(id string) {
	r.Apply([]Update{{Record: Record{ID: id}, End: Removed}})
}

// Apply applies changes to the list, in order. For each it reports whether anything changed.
func (r *Registry) Apply(updates []Update) (changed []bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	batch := &batch{registry: r, now: r.options.Now(), rosters: map[string]*rosterChange{}}
	changed = make([]bool, len(updates))
	for index, update := range updates {
		if update.End == NotEnded {
			changed[index] = batch.put(update.Record)
		} else {
			changed[index] = batch.end(update.Record.ID, update.End)
		}
	}
	batch.finish()
	return changed
}

// batch is a set of changes that are applied together. The caller holds the registry's mutex.
type batch struct {
	registry *Registry
	now      time.Time
	rosters  map[string]*rosterChange // by service
}

// rosterChange collects the changes to the roster of one service.
type rosterChange struct {
	added     []*Worker
	removed   []*Worker
	lingering []*Worker // removed workers that may still be used for lingerPeriod
}

func (b *batch) roster(service string) *rosterChange {
	change, ok := b.rosters[service]
	if !ok {
		change = &rosterChange{}
		b.rosters[service] = change
	}
	return change
}

// put adds or updates an entry. An entry of another process with the same ID creates a new worker,
// since connections, running requests, failures, token times, cold start and cached context of the
// previous process do not apply to it.
func (b *batch) put(record Record) bool {
	r := b.registry
	known, ok := r.byID(record.ID)
	if ok {
		before := known.Record()
		if record.Revision < before.Revision || record.precedes(before) {
			return false // stale
		}
		if record.sameProcess(before) {
			return known.update(record, b.now)
		}
		if before.precedes(record) {
			known.markReplaced()
		}
		b.drop(known)
	}
	worker := r.newWorker(record, b.now)
	r.workers[worker.key] = worker
	if worker.key != record.ID {
		r.keys[record.ID] = worker.key
	}
	change := b.roster(record.Service)
	change.added = append(change.added, worker)
	return true
}

// end applies the end of an entry.
func (b *batch) end(id string, end End) bool {
	worker, ok := b.registry.byID(id)
	if !ok {
		return false
	}
	draining := worker.Record().Draining
	b.drop(worker)
	if end == Removed && !draining {
		change := b.roster(worker.service)
		change.lingering = append(change.lingering, worker)
	}
	return true
}

// drop removes a worker, so that it gets no new work.
func (b *batch) drop(worker *Worker) {
	delete(b.registry.workers, worker.key)
	delete(b.registry.keys, worker.id)
	change := b.roster(worker.service)
	change.added = slices.DeleteFunc(change.added, func(w *Worker) bool { return w == worker })
	change.removed = append(change.removed, worker)
	worker.markRemoved()
}

// finish applies the collected changes to the rosters.
func (b *batch) finish() {
	r := b.registry
	for service, change := range b.rosters {
		r.services[service] = r.services[service].withChanges(change.removed, change.added)
		lingering := r.stillLingering(service)
		for _, worker := range change.lingering {
			lingering = append(lingering, lingeringWorker{worker: worker, until: b.now.Add(lingerPeriod)})
		}
		r.lingering[service] = lingering
	}
}
