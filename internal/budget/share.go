package budget

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/cloverwheel/cloverwheel/internal/store"
)

// share is one row of a program's account as this node knows it. Only the
// holder of its account's turn may use it.
type share struct {
	key      store.Key
	self     Holder
	known    row
	version  store.Version
	seen     bool // the row, or that there is none, was learnt from the table
	sequence uint64
	unsure   []change // transactions of unknown effect, all on the known version
}

// change is one transaction on a share.
type change struct {
	sequence uint64
	tokens   int // negative when given back
}

// committer makes a transaction: store.CommitHedged, or one that leaves pauses to its caller.
type committer func(context.Context, store.Store, store.Transaction) (store.Version, error)

// effect is what transactions turn out to have done.
type effect struct {
	drawn    int // tokens that are this node's now
	returned int // tokens that are not any more
	doubtful int // tokens that may have been returned
}

// add adds the effect of one change.
func (e *effect) add(done change) {
	e.drawn += max(0, done.tokens)
	e.returned += max(0, -done.tokens)
}

// read learns the row as the table has it, and the effect of earlier transactions.
func (s *share) read(ctx context.Context, table store.Store) (effect, error) {
	page, err := table.Range(ctx, s.key.Table, s.key.Part, s.key.Name, "", 1)
	if err != nil {
		return effect{}, err
	}
	stored := store.Row{Key: s.key}
	if len(page.Rows) > 0 && page.Rows[0].Key == s.key {
		stored = page.Rows[0]
	}
	return s.learn(stored)
}

// commit changes what is drawn by tokens. When the row had changed, nothing
// happens but that it is known then, and done is false. The effect is that of this
// or of an earlier transaction: a try of this one whose answer was lost may be
// what has changed the row.
func (s *share) commit(ctx context.Context, table store.Store, by committer, tokens int, home string) (found effect, done bool, err error) {
	next, planned := s.plan(tokens, home)
	version, err := by(ctx, table, store.Transaction{
		Conditions: []store.Condition{{Key: s.key, Version: s.version}},
		Put:        []store.Row{{Key: s.key, Value: next.encode(time.Now())}},
	})
	var refused *store.Conflict
	if errors.As(err, &refused) {
		found, err = s.learn(refused.Find(s.key))
		return found, false, err
	}
	if errors.Is(err, store.ErrNotDone) {
		s.unsure = slices.DeleteFunc(s.unsure, func(c change) bool { return c == planned })
	}
	if err != nil {
		return effect{}, false, err
	}
	s.known, s.version, s.unsure, s.seen = next, version, nil, true
	found.add(planned)
	return found, true, nil
}

// giveBack gives back up to so many tokens. Those whose return is in doubt at its
// end must not be given back to another share.
func (s *share) giveBack(ctx context.Context, table store.Store, tokens int, home string) (total effect) {
	for ctx.Err() == nil {
		wanted := min(tokens-total.returned, s.known.Drawn)
		if wanted <= 0 {
			return total
		}
		found, done, err := s.commit(ctx, table, store.CommitHedged, -wanted, home)
		total.drawn += found.drawn
		total.returned += found.returned
		if err != nil {
			total.doubtful = s.doubtful()
		}
		if done || err != nil {
			return total
		}
	}
	return total
}

// doubtful is how many tokens transactions of unknown effect may have returned.
func (s *share) doubtful() (tokens int) {
	for _, earlier := range s.unsure {
		tokens += max(0, -earlier.tokens)
	}
	return tokens
}

// plan builds the row that a transaction writes. Its effect is unsure until an
// answer is there.
func (s *share) plan(tokens int, home string) (row, change) {
	s.sequence++
	planned := change{sequence: s.sequence, tokens: tokens}
	next := row{
		Drawn:   s.known.Drawn + tokens,
		Holders: maps.Clone(s.known.Holders),
		Newest:  s.self.Process,
		Home:    home,
	}
	if next.Holders == nil {
		next.Holders = map[string]holding{}
	}
	next.Holders[s.self.Process] = holding{Sequence: planned.sequence, Address: s.self.Address}
	s.unsure = append(s.unsure, planned)
	return next, planned
}

// learn takes over the row as the table has it. Of the unsure transactions the
// one that the row shows took effect; the others were conditional on a version
// that the row has left, so they had none and never will.
func (s *share) learn(stored store.Row) (found effect, err error) {
	known, err := decode(stored)
	if err != nil {
		return effect{}, err
	}
	s.seen = true
	if stored.Version == s.version && s.version != 0 {
		return effect{}, nil
	}
	s.known, s.version = known, stored.Version
	for _, earlier := range s.unsure {
		if known.Holders[s.self.Process].Sequence == earlier.sequence {
			found.add(earlier)
		}
	}
	if s.version != 0 {
		s.unsure = nil
	}
	return found, nil
}

// left is what nobody has drawn, as far as this node knows.
func (s *share) left(limit int) int { return max(0, limit-s.known.Drawn) }
