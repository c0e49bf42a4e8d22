package budget

import (
	"context"
	"errors"
	"maps"
	"time"

	"github.com/cloverwheel/cloverwheel/internal/store"
)

// share is one row of a program's account as this node knows it. Only the
// holder of its account's turn may use it.
type share struct {
	key      store.Key
	holder   string
	known    row
	version  store.Version
	sequence uint64
	unsure   []change // transactions of unknown effect, all on the known version
	held     int      // what this node has drawn here and not given back
}

// change is one transaction on a share.
type change struct {
	sequence uint64
	tokens   int // negative when given back
}

// read learns the row as the table has it. drawn is what an earlier transaction
// turns out to have drawn.
func (s *share) read(ctx context.Context, table store.Store) (drawn int, err error) {
	page, err := table.Range(ctx, s.key.Table, s.key.Part, s.key.Name, "", 1)
	if err != nil {
		return 0, err
	}
	stored := store.Row{Key: s.key}
	if len(page.Rows) > 0 && page.Rows[0].Key == s.key {
		stored = page.Rows[0]
	}
	return s.learn(stored)
}

// commit changes what this node holds by tokens. When the row had changed,
// nothing happens but that it is known then, and done is false. drawn is what
// this or an earlier transaction has drawn.
func (s *share) commit(ctx context.Context, table store.Store, tokens int, home string) (drawn int, done bool, err error) {
	next, planned := s.plan(tokens, home)
	version, err := store.CommitHedged(ctx, table, store.Transaction{
		Conditions: []store.Condition{{Key: s.key, Version: s.version}},
		Put:        []store.Row{{Key: s.key, Value: next.encode(time.Now())}},
	})
	var refused *store.Conflict
	if errors.As(err, &refused) {
		drawn, err = s.learn(refused.Find(s.key))
		return drawn, false, err
	}
	if err != nil {
		return 0, false, err
	}
	s.known, s.version, s.unsure = next, version, nil
	return s.applied(planned), true, nil
}

// giveBack lets go of tokens. It returns what an earlier transaction turns out
// to have drawn.
func (s *share) giveBack(ctx context.Context, table store.Store, tokens int, home string) (drawn int) {
	target := s.held - tokens
	for range maxGiveBacks {
		found, done, err := s.commit(ctx, table, -tokens, home)
		drawn += found
		target += found
		if done || err != nil || s.held <= target {
			return drawn
		}
	}
	return drawn
}

// maxGiveBacks bounds the tries to give back while other nodes use the share.
const maxGiveBacks = 3

// plan builds the row that a transaction writes. Its effect is unsure until an
// answer is there.
func (s *share) plan(tokens int, home string) (row, change) {
	s.sequence++
	planned := change{sequence: s.sequence, tokens: tokens}
	next := row{Drawn: s.known.Drawn + tokens, Last: maps.Clone(s.known.Last), Home: home}
	if next.Last == nil {
		next.Last = map[string]uint64{}
	}
	next.Last[s.holder] = planned.sequence
	s.unsure = append(s.unsure, planned)
	return next, planned
}

// learn takes over the row as the table has it. Of the unsure transactions the
// one that the row shows took effect; the others were conditional on a version
// that the row has left, so they had none and never will.
func (s *share) learn(stored store.Row) (drawn int, err error) {
	known, err := decode(stored)
	if err != nil {
		return 0, err
	}
	if stored.Version == s.version && s.version != 0 {
		return 0, nil
	}
	s.known, s.version = known, stored.Version
	for _, earlier := range s.unsure {
		if known.Last[s.holder] == earlier.sequence {
			drawn += s.applied(earlier)
		}
	}
	if s.version != 0 {
		s.unsure = nil
	}
	return drawn, nil
}

// applied takes over the effect of a transaction and returns what it drew. What
// was given back had left this node's hands before.
func (s *share) applied(done change) int {
	s.held += done.tokens
	return max(0, done.tokens)
}

// left is what nobody has drawn, as far as this node knows.
func (s *share) left(limit int) int { return max(0, limit-s.known.Drawn) }
