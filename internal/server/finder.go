package server

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cloverwheel/cloverwheel/internal/backend"
	"github.com/cloverwheel/cloverwheel/internal/follow"
	"github.com/cloverwheel/cloverwheel/internal/store"
)

const (
	// fewestWorkers of each service that the configuration leads to are kept, or all that it has:
	// as many as a node's plain requests go to (backend's shortlist).
	fewestWorkers = 8
	// growPause is the least time between two times that the part grows because requests found
	// no worker.
	growPause = time.Second
	// keeperRows are how many workers keep what some prompts share, of all services together.
	// With 9 model workers in ten and five zones each zone has five or six, of six places each:
	// 30 requests at once, of which the most popular part of 123 programs a second has 5. Where
	// they are full others read it, too.
	keeperRows = 32
	// keepersLast is how long it is remembered who they are, and fewestKeepers how many must be
	// left of them for that: workers come and go.
	keepersLast   = 30 * time.Second
	fewestKeepers = keeperRows / 2
	// mostKeptParts bounds the shared parts whose keepers are remembered.
	mostKeptParts = 256
	// findWait bounds a question to the table on a turn's path. It takes some 6 ms; without its
	// answer the turn goes on and some workers read again what others keep.
	findWait = 60 * time.Millisecond
)

// finder finds workers on a list of which this node keeps a part. It implements forward.Finder.
type finder struct {
	workers  *backend.Registry
	list     *follow.Follower
	gate     *store.Gate
	services func() []string // that the configuration in force leads to; nil: none is known
	count    func(found string)

	short atomic.Bool // a request has found no worker since the part last grew
	grown time.Time   // when it last grew for that; used by the follower alone

	mutex   sync.Mutex
	keepers map[string]keepers // by shared part
}

// keepers are the IDs of workers that keep a shared part, as they were found at a moment.
type keepers struct {
	ids   []string
	found time.Time
}

// enough reports whether the part of the list that is kept is enough for this node.
func (f *finder) enough() bool {
	for _, service := range f.services() {
		if f.workers.Count(service) < fewestWorkers {
			return false
		}
	}
	if f.short.Load() && time.Since(f.grown) > growPause {
		f.short.Store(false)
		f.grown = time.Now()
		return false
	}
	return true
}

// NoteShort implements forward.Finder.
func (f *finder) NoteShort() { f.short.Store(true) }

// Worker implements forward.Finder.
func (f *finder) Worker(ctx context.Context, key string) {
	id := backend.IDOf(key)
	if f.workers.Knows(id) || f.list.Whole() || f.gate.Suspect() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, findWait)
	defer cancel()
	rows, err := f.list.Ask(ctx, id, id+"\x00", 1)
	f.note("worker", len(rows), err)
}

// Keepers implements forward.Finder.
func (f *finder) Keepers(ctx context.Context, sharedPart string) []string {
	if f.list.Whole() {
		return nil
	}
	if known := f.remembered(sharedPart); known != nil || f.gate.Suspect() {
		return known
	}
	ctx, cancel := context.WithTimeout(ctx, findWait)
	defer cancel()
	rows, err := f.list.AskAt(ctx, sharedPart, keeperRows)
	f.note("keepers", len(rows), err)
	if err != nil {
		return nil
	}
	return f.remember(sharedPart, rows)
}

// remembered are the keepers of a shared part; nil if they have to be asked for.
func (f *finder) remembered(sharedPart string) []string {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	known, ok := f.keepers[sharedPart]
	if !ok || time.Since(known.found) > keepersLast {
		return nil
	}
	left := slices.DeleteFunc(slices.Clone(known.ids), func(id string) bool { return !f.workers.Knows(id) })
	if len(left) < fewestKeepers {
		return nil
	}
	return left
}

func (f *finder) remember(sharedPart string, rows []store.Row) []string {
	ids := make([]string, 0, len(rows))
	for _, row := range rows {
		ids = append(ids, row.Name)
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if len(f.keepers) >= mostKeptParts {
		clear(f.keepers) // parts in use are found again
	}
	f.keepers[sharedPart] = keepers{ids: ids, found: time.Now()}
	return ids
}

// note counts what came of a question.
func (f *finder) note(what string, rows int, err error) {
	switch {
	case err != nil:
		f.count(what + "_failed")
	case rows == 0:
		f.count(what + "_none")
	default:
		f.count(what)
	}
}
