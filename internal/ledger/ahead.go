package ledger

import (
	"context"
	"time"

	"github.com/cloverwheel/cloverwheel/internal/id"
)

const (
	// aheadLow is the time at the tenant's rate for which tokens are always
	// drawn, where the budget allows.
	aheadLow = time.Hour
	// aheadFull is the time for which a draw is made.
	aheadFull = 2 * time.Hour
	// firstCalls is the number of calls of the same size that a draw is for at least.
	firstCalls = 16
	// meterWindow is the time over which a tenant's rate is measured.
	meterWindow = time.Minute
)

// aheadPolicy says how much to draw ahead; tests draw less.
type aheadPolicy struct {
	low, full time.Duration
	calls     int64
}

// meter estimates the rate at which a tenant reserves tokens.
type meter struct {
	began  time.Time
	tokens int64
	rate   float64 // tokens a second over the windows before
}

// add counts tokens at now and returns the present rate.
func (m *meter) add(now time.Time, tokens int64) float64 {
	if elapsed := now.Sub(m.began); elapsed >= meterWindow {
		m.rate = (m.rate + float64(m.tokens)/elapsed.Seconds()) / 2
		m.began, m.tokens = now, 0
	}
	m.tokens += tokens
	return max(m.rate, float64(m.tokens)/meterWindow.Seconds())
}

func (s *Service) rate(tenant id.Tenant, tokens int64) float64 {
	now := time.Now()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	m, ok := s.meters[tenant]
	if !ok {
		m = &meter{began: now}
		s.meters[tenant] = m
	}
	return m.add(now, tokens)
}

func (s *Service) drawer(shard id.Shard) *drawer {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	d, ok := s.drawers[shard]
	if !ok {
		d = &drawer{service: s, shard: shard}
		s.drawers[shard] = d
	}
	return d
}

// drawAhead starts a draw, without waiting for it, when less than aheadLow is
// drawn and the budget has more.
func (s *Service) drawAhead(request ReserveRequest, result Result) {
	rate := s.rate(request.Tenant, request.Tokens)
	low := max(int64(rate*s.ahead.low.Seconds()), s.ahead.calls/2*request.Tokens)
	if result.Spare >= low || result.Balance.Drawn >= result.Balance.Budget {
		return
	}
	s.drawer(s.shardOf(request.Tenant)).enqueue(s.wantOf(request, result, rate))
}

// drawFor waits for a draw that covers the request.
func (s *Service) drawFor(ctx context.Context, request ReserveRequest, result Result) error {
	rate := s.rate(request.Tenant, 0)
	return s.drawer(s.shardOf(request.Tenant)).draw(ctx, s.wantOf(request, result, rate))
}

func (s *Service) wantOf(request ReserveRequest, result Result, rate float64) want {
	balance := result.Balance
	// Base is known to the row alone, so what was used counts from there.
	used := balance.Drawn - result.Base - result.Spare
	return want{
		Tenant: request.Tenant,
		Period: balance.Period,
		Length: request.Budget.Period,
		Budget: balance.Budget,
		Used:   used,
		Ahead:  max(int64(rate*s.ahead.full.Seconds()), s.ahead.calls*request.Tokens),
	}
}
