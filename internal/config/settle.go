package config

import (
	"context"
	"fmt"
	"time"

	"github.com/cloverwheel/cloverwheel/internal/fault"
	"github.com/cloverwheel/cloverwheel/internal/outside"
	"github.com/cloverwheel/cloverwheel/internal/shard"
)

// settleInterval is how often the leader looks for a change that an earlier
// leader, or a table that was down, left half way.
const settleInterval = time.Second

// settleTimeout bounds the work on what is left, so that a new change is
// refused soon while the table is down.
const settleTimeout = 2 * time.Second

// runSettle completes what is left pending while this node leads shard 0.
func (s *Service) runSettle(ctx context.Context) error {
	ticker := time.NewTicker(settleInterval)
	defer ticker.Stop()
	for {
		s.settleIfLeader(ctx)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

func (s *Service) settleIfLeader(ctx context.Context) {
	if _, leads := s.options.Proposer.Leads(HeadShard); !leads {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, applyTimeout)
	defer cancel()
	if s.lockApplying(ctx) != nil {
		return
	}
	defer s.unlockApplying()
	if left, err := s.settle(ctx); err != nil {
		s.options.Log.WithError(err).WithField("change", left).Warn("configuration not settled")
	}
}

// settle brings shard 0 and the table to the same version: entries that only
// the table knows are adopted in a new group epoch, and a pending entry is
// carried into the table. left is the change that is pending still. The caller
// holds the applying lock.
func (s *Service) settle(ctx context.Context) (left string, err error) {
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	present, err := s.standing(ctx)
	if err != nil {
		return "", err
	}
	if !present.reconciled {
		if err := s.reconcile(ctx, present); err != nil {
			return "", err
		}
		if present, err = s.standing(ctx); err != nil {
			return "", err
		}
	}
	if present.pending == nil {
		return "", nil
	}
	return present.pending.ChangeID, s.complete(ctx, present.pending)
}

// standing is where shard 0 is.
type standing struct {
	epoch uint64 // of the group
	past
	pending    *Entry
	reconciled bool // with the table, in this epoch
}

func (s *Service) standing(ctx context.Context) (standing, error) {
	position, _ := s.options.Proposer.Leads(HeadShard)
	present := standing{epoch: position.Epoch}
	err := s.options.Proposer.Query(ctx, HeadShard, func(machine shard.Machine) {
		part := s.options.Part(machine)
		present.past = part.past
		present.pending = part.Pending()
		present.reconciled = part.reconciledAt(position.Epoch)
	})
	return present, err
}

// reconcile adopts the entries that the table has and shard 0 lost together
// with its majority. Then it moves the table by one version, so that a leader of
// the epoch before, which may be paused in the middle of its write, can move it
// no more. It is needed once in each group epoch.
func (s *Service) reconcile(ctx context.Context, present standing) error {
	row, err := s.table.head(ctx)
	if err != nil {
		return err
	}
	if err := s.adopt(ctx, present.head.Version, row); err != nil {
		return err
	}
	if err := s.fence(ctx, present.epoch); err != nil {
		return err
	}
	_, err = s.propose(ctx, Command{Reconcile: &Reconciliation{Epoch: present.epoch}})
	return err
}

// adopt takes over the table's entries after a version.
func (s *Service) adopt(ctx context.Context, after uint64, row outside.Row) error {
	entries, err := s.table.entries(ctx, after, row)
	if err != nil {
		return err
	}
	for i := range entries {
		adopted, err := s.propose(ctx, Command{Adopt: &entries[i]})
		if err != nil {
			return err
		}
		if adopted.Verdict == Done {
			s.inForceHere(adopted.Head, entries[i])
		}
	}
	return nil
}

// fence makes one version in this epoch: the pending one, or one without a
// change. A cluster without any version needs none.
func (s *Service) fence(ctx context.Context, epoch uint64) error {
	present, err := s.standing(ctx)
	if err != nil {
		return err
	}
	entry := present.pending
	if (entry == nil && present.head.Version == 0) || s.options.mutant == skipFence {
		return nil
	}
	if entry == nil {
		entry = &Entry{
			Version: present.head.Version + 1, ChangeID: fmt.Sprintf("epoch-%d", epoch),
			Author: fenceAuthor, Message: "shard 0 was made anew", Made: time.Now(),
		}
		prepared, err := s.propose(ctx, Command{Prepare: entry})
		if err != nil {
			return err
		}
		if prepared.Verdict != Done {
			return fault.New(fault.Unavailable, "another leader is making the epoch's first version", "try again").WithRetryAfter(retryAfter)
		}
	}
	return s.complete(ctx, entry)
}

// fenceAuthor marks the versions without a change in the history.
const fenceAuthor = "cloverwheel"
