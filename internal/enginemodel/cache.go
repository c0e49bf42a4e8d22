package enginemodel

import (
	"cmp"
	"container/heap"
	"slices"
	"time"

	"github.com/cloverwheel/cloverwheel/internal/chat"
	"github.com/cloverwheel/cloverwheel/internal/engine"
	"github.com/cloverwheel/cloverwheel/internal/id"
)

// entry is one cached segment. A referenced or pinned entry has referenced or
// pinned ancestors, so an entry with neither can go once its children have.
type entry struct {
	segment  chat.Segment
	parent   *entry
	adapter  id.Adapter
	children int
	refs     int // running sequences that read it
	pins     int // holds over it
	reuses   int // by requests other than its maker
	maker    id.Request
	last     bool // no call can extend it; see Request.Last
	imported bool
	origin   *entry // of an imported entry
	counted  bool   // as waste
	used     uint64 // tick of the last use
	number   uint64 // of creation
}

func (n *entry) evictable() bool { return n.refs == 0 && n.pins == 0 }

// candidate is a leaf that was evictable when it was queued.
type candidate struct {
	entry *entry
	used  uint64
}

// evictionQueue is a heap of candidates, least recently used first. Candidates
// used since are skipped when they come up.
type evictionQueue []candidate

func (q evictionQueue) Len() int { return len(q) }
func (q evictionQueue) Less(i, j int) bool {
	if q[i].used != q[j].used {
		return q[i].used < q[j].used
	}
	return q[i].entry.number < q[j].entry.number
}
func (q evictionQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *evictionQueue) Push(x any)   { *q = append(*q, x.(candidate)) }
func (q *evictionQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// hold pins the chain that ends with last. Holds are kept in order of their ends.
type hold struct {
	program id.Program
	last    *entry
	until   time.Time
}

// match returns the cached entries of prefix from its start.
func (e *Engine) match(prefix chat.Prefix, adapter id.Adapter) []*entry {
	var found []*entry
	for _, segment := range prefix {
		entry, ok := e.entries[segment.Hash]
		if !ok || entry.adapter != adapter {
			break
		}
		found = append(found, entry)
	}
	return found
}

// CachedTokens returns how much of prefix is cached, from its start.
func (e *Engine) CachedTokens(prefix chat.Prefix, adapter id.Adapter) int {
	total := 0
	for _, entry := range e.match(prefix, adapter) {
		total += entry.segment.Tokens
	}
	return total
}

// store adds a segment under parent and returns its entry, which is evictable.
func (e *Engine) store(segment chat.Segment, parent *entry, r Request) *entry {
	e.created++
	stored := &entry{segment: segment, parent: parent, adapter: r.Adapter, maker: r.ID, number: e.created}
	e.entries[segment.Hash] = stored
	if parent != nil {
		parent.children++
	}
	e.cached += segment.Tokens
	e.evictable += segment.Tokens
	e.touch(stored)
	e.enqueue(stored)
	e.cacheEvent(engine.EventStored, stored)
	return stored
}

// read notes that a request other than its maker found n in the cache. The
// first reading of an import counts for the entry that it was copied from.
func (e *Engine) read(n *entry) {
	n.reuses++
	origin := n.origin
	if origin == nil || origin.reuses > 0 {
		return
	}
	origin.reuses++
	if origin.counted && !origin.last {
		e.account.Recovered += origin.segment.Tokens
	}
}

func (e *Engine) touch(n *entry) {
	e.tick++
	n.used = e.tick
}

// enqueue makes an evictable leaf a candidate for eviction.
func (e *Engine) enqueue(n *entry) {
	if n != nil && n.evictable() && n.children == 0 {
		heap.Push(&e.queueLRU, candidate{entry: n, used: n.used})
	}
}

func (e *Engine) reference(n *entry) {
	if n.evictable() {
		e.evictable -= n.segment.Tokens
	}
	n.refs++
}

func (e *Engine) unreference(n *entry) {
	n.refs--
	e.touch(n)
	if n.evictable() {
		e.evictable += n.segment.Tokens
		e.enqueue(n)
	}
}

func (e *Engine) pin(n *entry) {
	for ; n != nil; n = n.parent {
		if n.evictable() {
			e.evictable -= n.segment.Tokens
		}
		if n.pins == 0 {
			e.held += n.segment.Tokens
		}
		n.pins++
	}
}

func (e *Engine) unpin(n *entry) {
	for ; n != nil; n = n.parent {
		n.pins--
		if n.pins == 0 {
			e.held -= n.segment.Tokens
		}
		if n.evictable() {
			e.evictable += n.segment.Tokens
			e.enqueue(n)
		}
	}
}

// makeRoom evicts until tokens are free and reports whether it succeeded.
func (e *Engine) makeRoom(tokens int) bool {
	for e.free() < tokens && len(e.queueLRU) > 0 {
		next := heap.Pop(&e.queueLRU).(candidate)
		n := next.entry
		current := e.entries[n.segment.Hash] == n && n.used == next.used
		if current && n.evictable() && n.children == 0 {
			e.remove(n, Evicted)
		}
	}
	return e.free() >= tokens
}

// remove takes an evictable leaf out of the cache.
func (e *Engine) remove(n *entry, cause Cause) {
	delete(e.entries, n.segment.Hash)
	e.cached -= n.segment.Tokens
	e.evictable -= n.segment.Tokens
	if n.parent != nil {
		n.parent.children--
		e.enqueue(n.parent)
	}
	e.wasteEntry(cause, n)
	e.cacheEvent(engine.EventRemoved, n)
}

func (e *Engine) cacheEvent(kind engine.EventKind, n *entry) {
	e.sequence++
	event := engine.CacheEvent{Sequence: e.sequence, Kind: kind}
	if n != nil {
		event.Segment = n.segment
		if n.parent != nil {
			event.Parent = n.parent.segment.Hash
		}
	}
	e.emit(Event{Kind: Cache, Cache: event})
}

// Hold pins the cached prefix that ends with segment until a time; a second
// hold of the same program replaces the first. It returns the tokens pinned.
func (e *Engine) Hold(now time.Time, program id.Program, segment uint64, until time.Time) (int, error) {
	e.moveTo(now)
	last, ok := e.entries[segment]
	if !ok {
		return 0, ErrNotCached
	}
	if limit := now.Add(e.options.HoldLimit); until.After(limit) {
		until = limit
	}
	tokens, added := chainTokens(last)
	if float64(e.held+added) > e.options.HoldShare*float64(e.options.MemoryTokens) {
		return 0, ErrNoMemory
	}
	e.pin(last)
	e.release(program)
	at, _ := slices.BinarySearchFunc(e.holds, until, func(h hold, t time.Time) int { return h.until.Compare(t) })
	e.holds = slices.Insert(e.holds, at, hold{program: program, last: last, until: until})
	return tokens, nil
}

// chainTokens counts a chain's tokens and those that no hold pins yet.
func chainTokens(n *entry) (all, unpinned int) {
	for ; n != nil; n = n.parent {
		all += n.segment.Tokens
		if n.pins == 0 {
			unpinned += n.segment.Tokens
		}
	}
	return all, unpinned
}

// Release ends a program's hold and reports whether there was one.
func (e *Engine) Release(now time.Time, program id.Program) bool {
	e.moveTo(now)
	released := e.release(program)
	e.interrupt()
	return released
}

func (e *Engine) release(program id.Program) bool {
	for i, held := range e.holds {
		if held.program == program {
			e.holds = append(e.holds[:i], e.holds[i+1:]...)
			e.unpin(held.last)
			return true
		}
	}
	return false
}

// Drop removes the entry of a segment and the entries below it, unless a
// sequence or a hold needs one of them. It returns the tokens freed.
func (e *Engine) Drop(now time.Time, segment uint64) int {
	e.moveTo(now)
	n, ok := e.entries[segment]
	if !ok || !n.evictable() {
		return 0
	}
	freed := e.dropTree(n)
	e.interrupt()
	return freed
}

func (e *Engine) dropTree(n *entry) int {
	freed := 0
	if n.children > 0 {
		for _, child := range e.childrenOf(n) {
			freed += e.dropTree(child)
		}
	}
	e.remove(n, Dropped)
	return freed + n.segment.Tokens
}

// childrenOf returns the entries below n in order of creation.
func (e *Engine) childrenOf(n *entry) []*entry {
	var children []*entry
	for _, other := range e.entries {
		if other.parent == n {
			children = append(children, other)
		}
	}
	slices.SortFunc(children, func(a, b *entry) int { return cmp.Compare(a.number, b.number) })
	return children
}
