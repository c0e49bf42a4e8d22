package server

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cloverwheel/cloverwheel/internal/backend"
	"github.com/cloverwheel/cloverwheel/internal/store"
	"github.com/cloverwheel/cloverwheel/internal/tablesync"
)

const (
	// minWorkersPerService is how many workers of each targeted service the node keeps, or all if
	// there are fewer. It equals the size of backend's shortlist, so that requests without affinity
	// find a full one.
	minWorkersPerService = 8
	// growInterval is the minimum time between two extensions of the kept part of the worker
	// list because of requests that found no worker.
	growInterval = time.Second
	// prefixWorkerLimit is how many workers, over all services, are assigned to hold a shared
	// prompt prefix in their cache. When these workers have no free capacity, others compute the
	// prefix as well. Where nine in ten are model workers in five zones, each zone has five or six
	// of six slots each, 30 requests at once; the most used of the prefixes of 123 programs a second
	// has 5 at a time.
	prefixWorkerLimit = 32
	// prefixWorkersTTL is how long the workers of a prefix are cached. The entry is dropped
	// earlier if fewer than minPrefixWorkers of them remain registered.
	prefixWorkersTTL = 30 * time.Second
	minPrefixWorkers = prefixWorkerLimit / 2
	// maxCachedPrefixes bounds the number of prefixes whose workers are cached.
	maxCachedPrefixes = 256
	// lookupTimeout bounds a lookup in the store on the path of a request, which takes some 6 ms. On a timeout the
	// request proceeds, and some workers compute again what others have cached.
	lookupTimeout = 60 * time.Millisecond
)

// workerFinder finds workers in a list of which this node keeps only a part. It implements
// forward.WorkerFinder.
type workerFinder struct {
	workers     *backend.Registry
	follower    *tablesync.Follower
	gate        *store.Gate
	services    func() []string // services targeted by the current configuration; nil: no configuration
	countLookup func(result string)

	workerMissing atomic.Bool // a request found no worker since the kept part last grew
	lastGrown     time.Time   // when the kept part last grew for that reason; used by the follower alone

	mutex         sync.Mutex
	prefixWorkers map[string]prefixWorkers // by prefix
}

// prefixWorkers are the IDs of the workers that hold a prefix, as read from the store.
type prefixWorkers struct {
	ids     []string
	foundAt time.Time
}

// hasEnough reports whether the kept part of the list is sufficient. It is false at most once per
// growInterval after a request found no worker.
func (f *workerFinder) hasEnough() bool {
	for _, service := range f.services() {
		if f.workers.Count(service) < minWorkersPerService {
			return false
		}
	}
	if f.workerMissing.Load() && time.Since(f.lastGrown) > growInterval {
		f.workerMissing.Store(false)
		f.lastGrown = time.Now()
		return false
	}
	return true
}

// RecordNoCapacity implements forward.WorkerFinder. It makes the kept part of the worker list grow.
func (f *workerFinder) RecordNoCapacity() { f.workerMissing.Store(true) }

// LoadWorker implements forward.WorkerFinder. It reads the record of a worker that this node does
// not have from the store.
func (f *workerFinder) LoadWorker(ctx context.Context, key string) {
	id := backend.IDOf(key)
	if f.workers.HasID(id) || f.follower.Whole() || f.gate.Suspect() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	rows, err := f.follower.Fetch(ctx, id, id+"\x00", 1)
	f.countResult("worker", len(rows), err)
}

// PrefixWorkers implements forward.WorkerFinder. It returns the IDs of the workers that are
// assigned to hold a prompt prefix; nil if the whole list is kept, or if they cannot be read.
func (f *workerFinder) PrefixWorkers(ctx context.Context, prefix string) []string {
	if f.follower.Whole() {
		return nil
	}
	if cached := f.cachedPrefixWorkers(prefix); cached != nil || f.gate.Suspect() {
		return cached
	}
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	rows, err := f.follower.FetchAt(ctx, prefix, prefixWorkerLimit)
	f.countResult("keepers", len(rows), err)
	if err != nil {
		return nil
	}
	return f.cachePrefixWorkers(prefix, rows)
}

// cachedPrefixWorkers returns the cached workers of a prefix, or nil if they must be read from the
// store.
func (f *workerFinder) cachedPrefixWorkers(prefix string) []string {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	cached, ok := f.prefixWorkers[prefix]
	if !ok || time.Since(cached.foundAt) > prefixWorkersTTL {
		return nil
	}
	remaining := slices.DeleteFunc(slices.Clone(cached.ids), func(id string) bool { return !f.workers.HasID(id) })
	if len(remaining) < minPrefixWorkers {
		return nil
	}
	return remaining
}

func (f *workerFinder) cachePrefixWorkers(prefix string, rows []store.Row) []string {
	ids := make([]string, 0, len(rows))
	for _, row := range rows {
		ids = append(ids, row.Name)
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if len(f.prefixWorkers) >= maxCachedPrefixes {
		clear(f.prefixWorkers) // prefixes in use are looked up again
	}
	f.prefixWorkers[prefix] = prefixWorkers{ids: ids, foundAt: time.Now()}
	return ids
}

// countResult counts the result of a lookup.
func (f *workerFinder) countResult(target string, rows int, err error) {
	switch {
	case err != nil:
		f.countLookup(target + "_failed")
	case rows == 0:
		f.countLookup(target + "_none")
	default:
		f.countLookup(target)
	}
}
