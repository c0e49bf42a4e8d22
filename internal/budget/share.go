package budget

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/cloverwheel/cloverwheel/internal/store"
)

// share is this node's view of one row of a program's account. It is guarded by
// account.sharesLock.
type share struct {
	key       store.Key
	self      Holder
	row       row
	version   store.Version
	confirmed bool // the row, or its absence, was read from the store
	hinted    bool // the row came from another process (see KnownRow)
	sequence  uint64
	inDoubt   []change // transactions of unknown effect, all conditional on version
}

// change is a change of a share's drawn tokens by one transaction.
type change struct {
	sequence uint64
	tokens   int // negative if returned
}

// commitFunc commits a transaction: store.CommitHedged or store.CommitUnlessThrottled.
type commitFunc func(context.Context, store.Store, store.Transaction) (store.Version, error)

// effect sums up what transactions turned out to have done.
type effect struct {
	drawn         int // tokens that this node now holds
	returned      int // tokens that went back to the share
	returnInDoubt int // tokens that may have gone back
}

// add adds the effect of one change.
func (e *effect) add(done change) {
	e.drawn += max(0, done.tokens)
	e.returned += max(0, -done.tokens)
}

// read reads the row from the store and returns the effect of earlier transactions in
// doubt.
func (s *share) read(ctx context.Context, table store.Store) (effect, error) {
	page, err := table.Range(ctx, s.key.Table, s.key.Part, s.key.Name, "", 1)
	if err != nil {
		return effect{}, err
	}
	stored := store.Row{Key: s.key}
	if len(page.Rows) > 0 && page.Rows[0].Key == s.key {
		stored = page.Rows[0]
	}
	return s.applyStored(stored)
}

// commit changes the drawn tokens of the row by tokens. If the row has changed in the
// store, it only takes over the stored row and returns done as false. The effect then is
// that of a transaction in doubt: an earlier one, or an attempt of this one whose answer
// was lost.
func (s *share) commit(ctx context.Context, table store.Store, commit commitFunc, tokens int, worker string) (found effect, done bool, err error) {
	next, planned := s.planChange(tokens, worker)
	version, err := commit(ctx, table, store.Transaction{
		Conditions: []store.Condition{{Key: s.key, Version: s.version}},
		Put:        []store.Row{{Key: s.key, Value: next.encode(time.Now())}},
	})
	var refused *store.Conflict
	if errors.As(err, &refused) {
		found, err = s.applyStored(refused.Find(s.key))
		return found, false, err
	}
	if errors.Is(err, store.ErrNotApplied) {
		s.inDoubt = slices.DeleteFunc(s.inDoubt, func(c change) bool { return c == planned })
	}
	if err != nil {
		return effect{}, false, err
	}
	s.row, s.version, s.inDoubt, s.confirmed = next, version, nil, true
	found.add(planned)
	return found, true, nil
}

// giveBack returns up to tokens tokens to the share. Those reported as returnInDoubt must
// not be returned to another share.
func (s *share) giveBack(ctx context.Context, table store.Store, tokens int, worker string) (total effect) {
	for ctx.Err() == nil {
		wanted := min(tokens-total.returned, s.row.Drawn)
		if wanted <= 0 {
			return total
		}
		found, done, err := s.commit(ctx, table, store.CommitHedged, -wanted, worker)
		total.drawn += found.drawn
		total.returned += found.returned
		if err != nil {
			total.returnInDoubt = s.returnsInDoubt()
		}
		if done || err != nil {
			return total
		}
	}
	return total
}

// returnsInDoubt returns how many tokens the transactions in doubt may have returned.
func (s *share) returnsInDoubt() (tokens int) {
	for _, earlier := range s.inDoubt {
		tokens += max(0, -earlier.tokens)
	}
	return tokens
}

// planChange builds the row that a transaction writes and records the change as in doubt
// until there is an answer.
func (s *share) planChange(tokens int, worker string) (row, change) {
	s.sequence++
	planned := change{sequence: s.sequence, tokens: tokens}
	next := row{
		Drawn:   s.row.Drawn + tokens,
		Holders: maps.Clone(s.row.Holders),
		Newest:  s.self.Process,
		Home:    worker,
	}
	if next.Holders == nil {
		next.Holders = map[string]holding{}
	}
	next.Holders[s.self.Process] = holding{Sequence: planned.sequence, Address: s.self.Address}
	s.inDoubt = append(s.inDoubt, planned)
	return next, planned
}

// applyStored takes over a row from the store and resolves the transactions in doubt. The
// one whose sequence number the row contains took effect. The others were conditional on
// a version that the row no longer has, so they never will.
func (s *share) applyStored(stored store.Row) (found effect, err error) {
	known, err := decode(stored)
	if err != nil {
		return effect{}, err
	}
	s.confirmed = true
	if stored.Version == s.version && s.version != 0 {
		return effect{}, nil
	}
	s.row, s.version = known, stored.Version
	for _, earlier := range s.inDoubt {
		if known.Holders[s.self.Process].Sequence == earlier.sequence {
			found.add(earlier)
		}
	}
	if s.version != 0 {
		s.inDoubt = nil
	}
	return found, nil
}

// undrawn returns how many tokens are left in the share, according to the cached row.
func (s *share) undrawn(limit int) int { return max(0, limit-s.row.Drawn) }
