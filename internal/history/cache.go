package history

import (
	"context"

	"github.com/cloverwheel/cloverwheel/internal/locality"
)

const (
	// turnMemory is the memory of a cached turn beside its input, output and ancestors, in bytes, and ancestorMemory that of an ancestor's ID.
	turnMemory     = 384
	ancestorMemory = 64
)

// Size returns the memory that the turn takes, in bytes: of its buffers, whatever part of them is used.
func (t *Turn) Size() int {
	return cap(t.Input) + cap(t.Output) + turnMemory + ancestorMemory*len(t.Ancestors)
}

// compact returns the turn with buffers that are no longer than what they hold. Inputs and outputs come in buffers that grew as they arrived.
func (t *Turn) compact() *Turn {
	compacted := *t
	compacted.Input, compacted.Output = withoutRoom(t.Input), withoutRoom(t.Output)
	return &compacted
}

// withoutRoom returns bytes in a buffer of their length.
func withoutRoom(data []byte) []byte {
	if cap(data) == len(data) {
		return data
	}
	exact := make([]byte, len(data))
	copy(exact, data)
	return exact
}

// CachedChain returns a chain if all of it is cached, else nil. It makes no store call.
func (s *TurnStore) CachedChain(id string) []*Turn {
	last := s.cachedTurn(id)
	if last == nil {
		return nil
	}
	chain := make([]*Turn, 0, len(last.Ancestors)+1)
	for _, ancestor := range last.Ancestors {
		known := s.cachedTurn(ancestor)
		if known == nil {
			return nil
		}
		chain = append(chain, known)
	}
	return append(chain, last)
}

// CacheChain caches a chain that another node has read or written.
func (s *TurnStore) CacheChain(ctx context.Context, chain []*Turn) {
	for _, turn := range chain {
		s.cacheTurn(ctx, turn)
	}
}

// replaceCached replaces the cached copy of a turn, if there is one.
func (s *TurnStore) replaceCached(turn *Turn) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if element, ok := s.cache[turn.ID]; ok {
		element.Value = turn
	}
}

func (s *TurnStore) cachedTurn(id string) *Turn {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	element, ok := s.cache[id]
	if !ok {
		return nil
	}
	s.lru.MoveToFront(element)
	return element.Value.(*Turn)
}

// cacheTurn caches a turn if it may be cached in this region, and evicts the least
// recently used turns beyond CacheBytes.
func (s *TurnStore) cacheTurn(ctx context.Context, turn *Turn) {
	if !locality.ContentRegions(ctx).Allow(s.options.Region) {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if _, ok := s.cache[turn.ID]; ok {
		return
	}
	s.cache[turn.ID] = s.lru.PushFront(turn)
	s.cachedBytes += turn.Size()
	for s.cachedBytes > s.options.CacheBytes && s.lru.Len() > 1 {
		oldest := s.lru.Remove(s.lru.Back()).(*Turn)
		delete(s.cache, oldest.ID)
		s.cachedBytes -= oldest.Size()
	}
}
