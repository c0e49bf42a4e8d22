package streamorigin

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Origin is where a stream began. It is sent between nodes with gob, so its fields keep their names.
type Origin struct {
	Service string
	Version string // software version of the worker of the first event
	Worker  string // key of the worker of the last known event
}

const (
	// recordTTL is the least time for which a record is kept. It must exceed the time that clients spend on a
	// stream with all their retries.
	recordTTL = time.Minute
	// maxRecords is the number of records from which older ones are dropped before recordTTL, about 3 MB of memory.
	maxRecords = 20_000
)

// records are the origins of streams by the hash of the stream's ID. They are kept in two generations: when the newer one is
// recordTTL old, the older one is dropped.
type records struct {
	mutex      sync.Mutex
	newer      map[uint64]Origin
	older      map[uint64]Origin
	newerSince time.Time
}

func newRecords(now time.Time) *records {
	return &records{newer: map[uint64]Origin{}, newerSince: now}
}

// put records the origin of a stream. The version of an earlier record stays: the client has an event of it.
func (r *records) put(stream uint64, origin Origin, now time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.rotate(now)
	if known, ok := r.find(stream); ok {
		known.Worker = origin.Worker
		origin = known
	}
	r.newer[stream] = origin
}

// get returns the origin of a stream.
func (r *records) get(stream uint64, now time.Time) (Origin, bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.rotate(now)
	return r.find(stream)
}

// find is get with the mutex held.
func (r *records) find(stream uint64) (Origin, bool) {
	if origin, ok := r.newer[stream]; ok {
		return origin, true
	}
	origin, ok := r.older[stream]
	return origin, ok
}

// rotate starts a new generation when the newer one is old or large. The caller holds the mutex.
func (r *records) rotate(now time.Time) {
	age := now.Sub(r.newerSince)
	if age < recordTTL && len(r.newer) < maxRecords/2 {
		return
	}
	r.older, r.newer, r.newerSince = r.newer, map[uint64]Origin{}, now
	if age >= 2*recordTTL {
		r.older = nil
	}
}

// hash returns the key of a stream's record.
func hash(stream string) uint64 { return xxhash.Sum64String(stream) }
