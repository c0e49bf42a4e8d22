package config

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cloverwheel/cloverwheel/internal/fault"
	"github.com/cloverwheel/cloverwheel/internal/outside"
	"github.com/cloverwheel/cloverwheel/internal/peer"
)

const (
	// confirmInterval is how often a node hears of the head. Four levels of the
	// tree stay well within DefaultBound.
	confirmInterval = 300 * time.Millisecond
	// confirmTimeout bounds one question to another node.
	confirmTimeout = 250 * time.Millisecond
	// tableInterval spares the table while a node hears of the head nowhere else.
	tableInterval = 500 * time.Millisecond
	// tableHedge is one in how many times a node asks the table although an
	// ancestor answers, in case the ancestor alone is cut off from the table.
	tableHedge = 64
)

// Fresh implements Source. A node is fresh while the version in force was
// confirmed as the head, by a majority of shard 0 or by the table, no longer
// ago than the bound. The time is this node's own monotonic clock, so a process
// that was paused is stale when it wakes.
func (s *Service) Fresh() error {
	confirmed := s.confirmed.Load()
	if confirmed != nil && (time.Since(*confirmed) <= s.options.Bound || s.options.mutant == alwaysFresh) {
		return nil
	}
	return fault.Newf(fault.StaleConfiguration, "try another node",
		"the configuration head was not confirmed within %s", s.options.Bound).WithRetryAfter(confirmInterval)
}

// runConfirm hears of the head at each interval, and at once when another node
// was heard to have a higher version.
func (s *Service) runConfirm(ctx context.Context) error {
	var lastTable time.Time
	for {
		s.confirm(ctx, &lastTable)
		timer := time.NewTimer(confirmInterval/2 + rand.N(confirmInterval/2))
		select {
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		case holder := <-s.wake:
			s.pullLogged(ctx, holder)
		case <-timer.C:
		}
		timer.Stop()
	}
}

// confirm asks shard 0 itself where this node leads it, then the ancestors in
// the tree, and at last the table.
func (s *Service) confirm(ctx context.Context, lastTable *time.Time) {
	if s.confirmAsLeader(ctx) {
		return
	}
	path := s.ancestors()
	heard := false
	for _, ancestor := range path {
		fresh, answered := s.confirmFrom(ctx, ancestor)
		if fresh {
			return
		}
		heard = heard || answered
	}
	if heard && len(path) > 1 && rand.N(tableHedge) > 0 {
		return // the ancestors that answer ask the table for all below them
	}
	if time.Since(*lastTable) >= tableInterval {
		*lastTable = time.Now()
		s.confirmFromTable(ctx)
	}
}

// confirmAsLeader confirms leadership with a majority and takes the head in.
func (s *Service) confirmAsLeader(ctx context.Context) bool {
	if _, leads := s.options.Proposer.Leads(HeadShard); !leads {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, s.options.Bound/2)
	defer cancel()
	asked := time.Now()
	present, err := s.standing(ctx)
	if err != nil || !present.reconciled {
		return false
	}
	s.take(present.after(s.Current().Version))
	s.takeWhole(present.head)
	s.confirmAt(present.head.Version, asked)
	return true
}

// confirmFrom asks another node for the head and pulls what this node lacks. It
// reports whether that made this node surely fresh for the next interval, and
// whether the other node answered at all.
func (s *Service) confirmFrom(ctx context.Context, address peer.Address) (fresh, answered bool) {
	asked := time.Now()
	short, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	head, err := peer.Invoke[Head](short, s.options.Transport, address, MethodHead, HeadRequest{})
	if err != nil || !head.Confirmed {
		return false, err == nil
	}
	if head.Version > s.Current().Version {
		s.pullLogged(ctx, address)
	}
	// The answer was made after asked, so its age counts from there at most.
	confirmed := asked.Add(-head.Age)
	s.confirmAt(head.Version, confirmed)
	return time.Since(confirmed) <= s.options.Bound-confirmInterval, true
}

// confirmFromTable reads the head's row. A change is acknowledged only after
// that row has moved, so a version that is not lower is the head.
func (s *Service) confirmFromTable(ctx context.Context) {
	asked := time.Now()
	short, cancel := context.WithTimeout(ctx, s.options.Bound/2)
	defer cancel()
	row, err := s.table.head(short)
	if err != nil {
		return
	}
	if row.Version > s.Current().Version {
		s.catchUpFromTable(ctx, row)
	}
	s.confirmAt(row.Version, asked)
}

// catchUpFromTable takes in the entries that the table still holds, for a node
// that reaches the table but no node that is ahead. The entry at the very head
// may still lack shard 0's acknowledgement, but nothing else can ever be in
// force at its version.
func (s *Service) catchUpFromTable(ctx context.Context, head outside.Row) {
	entries, err := s.table.entries(ctx, s.Current().Version, head)
	if err == nil {
		s.take(entries)
	}
}

// confirmAt notes that version was the head at a time, if this node has it.
func (s *Service) confirmAt(version uint64, at time.Time) {
	if s.Current().Version < version {
		return
	}
	for {
		before := s.confirmed.Load()
		if before != nil && !at.After(*before) {
			return
		}
		if s.confirmed.CompareAndSwap(before, &at) {
			return
		}
	}
}

func (s *Service) serveHead(context.Context, HeadRequest) (Head, error) {
	confirmed := s.confirmed.Load()
	if confirmed == nil {
		return Head{}, nil
	}
	return Head{Version: s.Current().Version, Age: time.Since(*confirmed), Confirmed: true}, nil
}
