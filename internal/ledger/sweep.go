package ledger

import (
	"context"
	"time"

	"github.com/cloverwheel/cloverwheel/internal/id"
	"github.com/cloverwheel/cloverwheel/internal/shard"
)

const (
	// sweepInterval is how often reservations past their limit are asked about.
	sweepInterval = 15 * time.Second
	// sweepTimeout bounds the sweep of one shard.
	sweepTimeout = 10 * time.Second
	// sweepBatch bounds the reservations asked about in one sweep of a shard.
	sweepBatch = 128
)

func (s *Service) sweepAll(ctx context.Context) {
	for number := range s.options.Shards {
		swept := id.Shard(number)
		if position, leads := s.options.Proposer.Leads(swept); leads {
			s.sweep(ctx, swept, position)
		}
	}
}

// sweep asks what became of reservations whose limit has passed, so that what
// was set aside for calls that never ran comes back.
func (s *Service) sweep(ctx context.Context, swept id.Shard, position shard.Position) {
	ctx, cancel := context.WithTimeout(ctx, sweepTimeout)
	defer cancel()
	found, err := s.look(ctx, swept)
	if err != nil {
		return
	}
	for _, renewal := range found.renewals {
		s.drawer(swept).enqueue(renewal)
	}
	if len(found.late) == 0 && !found.forgettable {
		return
	}
	var sweep Sweep
	for _, overdue := range found.late {
		settle := s.judge(ctx, overdue, &sweep)
		if settle == nil {
			continue
		}
		if _, err := s.propose(ctx, swept, Command{Epoch: position.Epoch, Now: time.Now(), Settle: settle}); err != nil {
			return
		}
	}
	if _, err := s.propose(ctx, swept, Command{Epoch: position.Epoch, Now: time.Now(), Sweep: &sweep}); err != nil {
		s.options.Log.WithError(err).WithField("shard", swept).Warn("ledger not swept")
	}
}

// findings is what a sweep has to deal with.
type findings struct {
	late        []Overdue
	renewals    []want
	forgettable bool
}

func (s *Service) look(ctx context.Context, swept id.Shard) (findings, error) {
	var found findings
	now := time.Now()
	err := s.options.Proposer.Query(ctx, swept, func(machine shard.Machine) {
		part := s.options.Part(machine)
		found.late = part.overdue(now)
		found.renewals = part.renewals(now, s.ahead.low, s.ahead.full)
		found.forgettable = part.forgettable(now)
	})
	found.late = found.late[:min(len(found.late), sweepBatch)]
	return found, err
}

// judge decides on one reservation: it returns its settlement, or adds it to
// those that are renewed or charged in full. Nothing comes back unless the
// program's shard promises that the request is over or never starts.
func (s *Service) judge(ctx context.Context, overdue Overdue, sweep *Sweep) *SettleRequest {
	claim := overdue.Claim
	fate := s.fate(ctx, overdue)
	switch fate.Kind {
	case FateOver:
		return &SettleRequest{Tenant: claim.Tenant, Request: claim.Request, Spent: fate.Spent}
	case FateVoid:
		return &SettleRequest{Tenant: claim.Tenant, Request: claim.Request}
	case FateLost:
		s.metrics.forfeited.Inc()
		s.options.Log.WithField("tenant", claim.Tenant).WithField("request", claim.Request).Warn("reservation of unknown outcome charged")
		sweep.Forfeit = append(sweep.Forfeit, claim)
	default:
		sweep.Renew = append(sweep.Renew, claim)
	}
	return nil
}

// fate asks the program's shard, or waits for the time after which nobody can
// be running the request any more.
func (s *Service) fate(ctx context.Context, overdue Overdue) Fate {
	if s.options.Inquire == nil {
		if time.Since(overdue.Made) < s.options.ForfeitAfter {
			return Fate{Kind: FateRunning}
		}
		return Fate{Kind: FateLost}
	}
	fate, err := s.options.Inquire(ctx, overdue.Claim.Tenant, overdue.Claim.Request)
	if err != nil {
		return Fate{Kind: FateRunning}
	}
	return fate
}
