package dispatch

import (
	"context"

	"github.com/cloverwheel/cloverwheel/internal/ledger"
	"github.com/cloverwheel/cloverwheel/internal/program"
)

// handleFate tells a ledger what became of a reservation that nobody settled.
// The answer is confirmed with a majority, because a stale one would give tokens
// back that are being spent.
func (d *Dispatcher) handleFate(ctx context.Context, request FateRequest) (ledger.Fate, error) {
	number := d.shardOf(request.Request.Program())
	l := d.lead(number)
	if l == nil {
		return ledger.Fate{}, d.notLeader(number)
	}
	var standing program.Standing
	var spent int64
	err := l.query(ctx, func(m *program.Machine) { standing, spent = m.StandingOf(request.Tenant, request.Request) })
	if err != nil {
		return ledger.Fate{}, err
	}
	switch standing {
	case program.StandingOver:
		return ledger.Fate{Kind: ledger.FateOver, Spent: spent}, nil
	case program.StandingVoid:
		return ledger.Fate{Kind: ledger.FateVoid}, nil
	case program.StandingForgotten:
		return ledger.Fate{Kind: ledger.FateLost}, nil
	default:
		return ledger.Fate{Kind: ledger.FateRunning}, nil
	}
}
