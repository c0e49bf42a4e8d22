package history

import (
	"context"
	"sync"

	"golang.org/x/sync/errgroup"
)

// partialChain is a chain of which some turns are known. Only add may be called concurrently.
type partialChain struct {
	ids []string // of all turns, oldest first

	mutex sync.Mutex
	turns []*Turn // by index; nil: not known
}

// newPartialChain returns the chain that ends with a turn, of which only the given turns are known: that turn and those just before it.
func newPartialChain(latest []*Turn) *partialChain {
	last := latest[len(latest)-1]
	p := &partialChain{ids: append(last.Ancestors[:len(last.Ancestors):len(last.Ancestors)], last.ID)}
	p.turns = make([]*Turn, len(p.ids))
	p.add(len(p.ids)-1, latest)
	return p
}

// add adds what was read of the turn at an index: the turn and those just before it.
func (p *partialChain) add(index int, read []*Turn) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for offset, turn := range read {
		p.turns[index-len(read)+1+offset] = turn
	}
}

// addCached adds those of the missing turns that are cached.
func (p *partialChain) addCached(cached func(id string) *Turn) {
	for index, id := range p.ids {
		if p.turns[index] == nil {
			p.turns[index] = cached(id)
		}
	}
}

// toRead returns the indexes of turns whose rows may hold all that are missing; empty: none is. Those of long turns, and those that builds
// without blocks wrote, hold fewer: what is still missing then is read next, in the same way.
func (p *partialChain) toRead() (indexes []int) {
	for index := len(p.ids) - 1; index >= 0; {
		if p.turns[index] != nil {
			index--
			continue
		}
		indexes = append(indexes, index)
		index -= blockTurns(index + 1)
	}
	return indexes
}

// AdmittedChain is Chain with a limit: admit is called with the size of the chain in bytes, and its error is returned.
func (s *TurnStore) AdmittedChain(ctx context.Context, id string, admit func(bytes int64) error) ([]*Turn, error) {
	chain := s.CachedChain(id)
	if chain == nil {
		var err error
		if chain, err = s.readChain(ctx, id); err != nil {
			return nil, err
		}
	}
	total := int64(0)
	for _, turn := range chain {
		total += int64(turn.Size())
	}
	if err := admit(total); err != nil {
		return nil, err
	}
	return chain, nil
}

// readTurnsOf reads the turns of a conversation that are not cached.
func (s *TurnStore) readTurnsOf(ctx context.Context, shared *reading) ([]*Turn, error) {
	latest, err := s.fetch(ctx, shared, shared.id)
	if err != nil {
		return nil, err
	}
	chain := newPartialChain(latest)
	chain.addCached(s.cachedTurn)
	for indexes := chain.toRead(); len(indexes) > 0; indexes = chain.toRead() {
		group, limited := errgroup.WithContext(ctx)
		group.SetLimit(maxParallelCalls)
		for _, index := range indexes {
			group.Go(func() error {
				read, err := s.fetch(limited, shared, chain.ids[index])
				if err == nil {
					chain.add(index, read)
				}
				return err
			})
		}
		if err := group.Wait(); err != nil {
			return nil, err
		}
	}
	return chain.turns, nil
}

// fetch returns a turn from the cache, else from the store with the earlier turns that its rows hold, oldest first.
func (s *TurnStore) fetch(ctx context.Context, shared *reading, id string) ([]*Turn, error) {
	if known := s.cachedTurn(id); known != nil {
		return []*Turn{known}, nil
	}
	if err := s.limiter.acquire(ctx, shared.order); err != nil {
		return nil, err
	}
	defer s.limiter.release()
	turns, err := s.read(ctx, shared, id)
	if err != nil {
		return nil, err
	}
	if err := shared.admit(turns); err != nil {
		return nil, err
	}
	s.CacheChain(ctx, turns)
	return turns, nil
}
