// Package memory accounts for the memory that data from outside may use, so that many peers that each send much cannot
// exceed the memory of the process.
package memory

import "sync/atomic"

// Budget is an amount of memory from which users reserve parts before they keep data. It is safe for concurrent use.
type Budget struct {
	limit int64
	used  atomic.Int64
	whole *Budget // the budget of which this one is a part; nil: none
}

// NewBudget returns a budget of limit bytes, none of them reserved.
func NewBudget(limit int64) *Budget { return &Budget{limit: limit} }

// Part returns a budget of limit bytes that are taken from this one.
func (b *Budget) Part(limit int64) *Budget { return &Budget{limit: limit, whole: b} }

// Reserve reserves bytes until release is called, which must happen once. ok is false if less than that is left; nothing is
// reserved then, and release is nil.
func (b *Budget) Reserve(bytes int64) (release func(), ok bool) {
	if bytes > b.limit {
		return nil, false // also if the sum would overflow
	}
	if b.used.Add(bytes) > b.limit {
		b.used.Add(-bytes)
		return nil, false
	}
	if b.whole == nil {
		return func() { b.used.Add(-bytes) }, true
	}
	releaseWhole, ok := b.whole.Reserve(bytes)
	if !ok {
		b.used.Add(-bytes)
		return nil, false
	}
	return func() {
		b.used.Add(-bytes)
		releaseWhole()
	}, true
}

// Limit returns the size of the budget in bytes.
func (b *Budget) Limit() int64 { return b.limit }

// Used returns the number of reserved bytes.
func (b *Budget) Used() int64 { return b.used.Load() }

// Reserve reserves bytes until release is called. ok is false if there is too little left.
type Reserve func(bytes int64) (release func(), ok bool)

// Grant is reserved memory that grows with its use. It is not safe for concurrent use.
type Grant struct {
	reserve  Reserve
	reserved int64
	releases []func()
}

// NewGrant returns a grant of nothing, which grows by reserve; nil: without a limit.
func NewGrant(reserve Reserve) *Grant { return &Grant{reserve: reserve} }

// Grow extends the grant to at least bytes, by steps of step bytes. It returns false if there is too little left.
func (g *Grant) Grow(bytes, step int64) bool {
	if g.reserve == nil || bytes <= g.reserved {
		return true
	}
	more := (bytes - g.reserved + step - 1) / step * step
	release, ok := g.reserve(more)
	if !ok {
		return false
	}
	g.reserved += more
	g.releases = append(g.releases, release)
	return true
}

// Reserved returns the number of reserved bytes.
func (g *Grant) Reserved() int64 { return g.reserved }

// Release releases all of the grant.
func (g *Grant) Release() {
	for _, release := range g.releases {
		release()
	}
	g.reserved, g.releases = 0, nil
}
