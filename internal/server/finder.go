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
	// prefixHolderLimit is how many workers, over all services, are assigned to hold a shared
	// prompt prefix in their cache. When these workers have no free capacity, others compute the
	// prefix as well.
	prefixHolderLimit = 32
	// prefixHolderTTL is how long the holders of a prefix are cached. The entry is dropped
	// earlier if fewer than minPrefixHolders of them remain registered.
	prefixHolderTTL  = 30 * time.Second
	minPrefixHolders = prefixHolderLimit / 2
	// maxCachedPrefixes bounds the number of prefixes whose holders are cached.
	maxCachedPrefixes = 256
	// lookupTimeout bounds a lookup in the store on the path of a request. On a timeout the
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
	prefixHolders map[string]prefixHolders // by prefix
}

// prefixHolders are the IDs of the workers that hold a prefix, as read from the store.
type prefixHolders struct {
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

// NoteNoCapacity implements forward.WorkerFinder. It makes the kept part of the worker list grow.
func (f *workerFinder) NoteNoCapacity() { f.workerMissing.Store(true) }

// LoadWorker implements forward.WorkerFinder. It reads the record of an unknown worker from the store.
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

// PrefixWorkers implements forward.WorkerFinder. It returns the IDs of the workers that are assigned to hold a
// prompt prefix; nil if the whole list is kept, or if they are unknown.
func (f *workerFinder) PrefixWorkers(ctx context.Context, prefix string) []string {
	if f.follower.Whole() {
		return nil
	}
	if cached := f.cachedHolders(prefix); cached != nil || f.gate.Suspect() {
		return cached
	}
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	rows, err := f.follower.FetchAt(ctx, prefix, prefixHolderLimit)
	f.countResult("keepers", len(rows), err)
	if err != nil {
		return nil
	}
	return f.cacheHolders(prefix, rows)
}

// cachedHolders returns the cached holders of a prefix, or nil if they must be read from the
// store.
func (f *workerFinder) cachedHolders(prefix string) []string {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	cached, ok := f.prefixHolders[prefix]
	if !ok || time.Since(cached.foundAt) > prefixHolderTTL {
		return nil
	}
	remaining := slices.DeleteFunc(slices.Clone(cached.ids), func(id string) bool { return !f.workers.HasID(id) })
	if len(remaining) < minPrefixHolders {
		return nil
	}
	return remaining
}

func (f *workerFinder) cacheHolders(prefix string, rows []store.Row) []string {
	ids := make([]string, 0, len(rows))
	for _, row := range rows {
		ids = append(ids, row.Name)
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if len(f.prefixHolders) >= maxCachedPrefixes {
		clear(f.prefixHolders) // prefixes in use are looked up again
	}
	f.prefixHolders[prefix] = prefixHolders{ids: ids, foundAt: time.Now()}
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
