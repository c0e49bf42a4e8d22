package backend

import (
	"slices"
	"time"
)

// Update is a change of the list of workers: an entry as it is now, or the end of one.
type Update struct {
	Record Record // with an end, its ID alone
	End    End
}

// End is how an entry ended.
type End int

// Ends.
const (
	// Stays: it has not ended.
	Stays End = iota
	// Removed: the list has no entry of this ID any more.
	Removed
	// Unusable: the list has one that names no worker. Nothing is sent to the worker of the
	// entry before it any more.
	Unusable
	// Unkept: it is outside the part of the list that this node keeps.
	Unkept
)

// String implements fmt.Stringer.
func (e End) String() string {
	return [...]string{"stays", "removed", "unusable", "unkept"}[e]
}

// lingering is how long a worker that left the list may still be used when its
// service has no other: entries also vanish while the list's keeper is down.
const lingering = 1500 * time.Millisecond

// Put takes over an entry. It reports whether that is news.
func (r *Registry) Put(record Record) bool {
	return r.Apply([]Update{{Record: record}})[0]
}

// Remove takes a worker off the list. What it is running goes on.
func (r *Registry) Remove(id string) {
	r.Apply([]Update{{Record: Record{ID: id}, End: Removed}})
}

// Apply takes over changes of the list, in order. It reports of each whether that is news.
func (r *Registry) Apply(updates []Update) (news []bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	batch := &batch{registry: r, now: r.options.Now(), rosters: map[string]*rosterChange{}}
	news = make([]bool, len(updates))
	for index, update := range updates {
		if update.End == Stays {
			news[index] = batch.put(update.Record)
		} else {
			news[index] = batch.end(update.Record.ID, update.End)
		}
	}
	batch.finish()
	return news
}

// batch are changes that are taken over together. The caller holds the registry's mutex.
type batch struct {
	registry *Registry
	now      time.Time
	rosters  map[string]*rosterChange // by service
}

// rosterChange is what changes in the roster of a service.
type rosterChange struct {
	added    []*Worker
	removed  []*Worker
	vanished []*Worker // of the removed, those that may still be used for a while
}

func (b *batch) roster(service string) *rosterChange {
	change, ok := b.rosters[service]
	if !ok {
		change = &rosterChange{}
		b.rosters[service] = change
	}
	return change
}

// put takes over an entry. One of another process under the same ID begins a new worker: of
// connections, running requests, failures, pace, cold time and context of the one before,
// nothing holds for it.
func (b *batch) put(record Record) bool {
	r := b.registry
	known, ok := r.byID(record.ID)
	if ok {
		before := known.Record()
		if record.Revision < before.Revision || record.precedes(before) {
			return false // older than what is known
		}
		if record.sameProcess(before) {
			return known.update(record, b.now)
		}
		if before.precedes(record) {
			known.noteSuccessor()
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

// end takes over the end of an entry.
func (b *batch) end(id string, end End) bool {
	worker, ok := b.registry.byID(id)
	if !ok {
		return false
	}
	draining := worker.Record().Draining
	b.drop(worker)
	if end == Removed && !draining {
		change := b.roster(worker.service)
		change.vanished = append(change.vanished, worker)
	}
	return true
}

// drop lets a worker get nothing more.
func (b *batch) drop(worker *Worker) {
	delete(b.registry.workers, worker.key)
	delete(b.registry.keys, worker.id)
	change := b.roster(worker.service)
	change.added = slices.DeleteFunc(change.added, func(w *Worker) bool { return w == worker })
	change.removed = append(change.removed, worker)
	worker.leave()
}

// finish takes over what has become of the rosters.
func (b *batch) finish() {
	r := b.registry
	for service, change := range b.rosters {
		r.services[service] = r.services[service].changed(change.removed, change.added)
		lingers := r.stillLingering(service)
		for _, worker := range change.vanished {
			lingers = append(lingers, vanished{worker: worker, until: b.now.Add(lingering)})
		}
		r.vanished[service] = lingers
	}
}
