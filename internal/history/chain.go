package history

import (
	"context"
	"sync"

	"golang.org/x/sync/errgroup"
)

// partialChain is a chain of which some turns are known. It is safe for concurrent use.
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

// AdmittedChain is Chain with a limit: admit is called, also concurrently, with the size in bytes of each turn, and its error ends the
// reading.
func (s *TurnStore) AdmittedChain(ctx context.Context, id string, admit func(bytes int64) error) ([]*Turn, error) {
	latest, err := s.fetch(ctx, id)
	if err != nil {
		return nil, err
	}
	chain := newPartialChain(latest)
	chain.addCached(s.cachedTurn)
	if err := admitAll(chain.turns, admit); err != nil {
		return nil, err
	}
	for indexes := chain.toRead(); len(indexes) > 0; indexes = chain.toRead() {
		if err := s.readTurns(ctx, chain, indexes, admit); err != nil {
			return nil, err
		}
	}
	return chain.turns, nil
}

// readTurns reads the rows of the turns at these indexes of a chain.
func (s *TurnStore) readTurns(ctx context.Context, chain *partialChain, indexes []int, admit func(bytes int64) error) error {
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxParallelCalls)
	for _, index := range indexes {
		group.Go(func() error {
			read, err := s.fetch(ctx, chain.ids[index])
			if err != nil {
				return err
			}
			chain.add(index, read)
			return admitAll(read, admit)
		})
	}
	return group.Wait()
}

// admitAll calls admit with the sizes of those turns that are known.
func admitAll(turns []*Turn, admit func(bytes int64) error) error {
	total := int64(0)
	for _, turn := range turns {
		if turn != nil {
			total += int64(turn.Size())
		}
	}
	return admit(total)
}
