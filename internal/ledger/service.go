package ledger

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/cloverwheel/cloverwheel/internal/fault"
	"github.com/cloverwheel/cloverwheel/internal/id"
	"github.com/cloverwheel/cloverwheel/internal/outside"
	"github.com/cloverwheel/cloverwheel/internal/peer"
	"github.com/cloverwheel/cloverwheel/internal/shard"
)

// Options wire a Service into a node. All fields without a default are required.
type Options struct {
	Proposer shard.Proposer
	Mux      *peer.Mux
	Table    outside.Table
	Log      log.Interface
	// Registerer takes the metrics; nil keeps them private.
	Registerer prometheus.Registerer
	Shards     uint32
	// Envelope wraps a command for the shard's machine. Nil: Command.Encode.
	Envelope func(Command) ([]byte, error)
	// Part finds this package's part of a shard's machine. Nil: it is a *Machine.
	Part func(shard.Machine) *Machine
	// Inquire asks the program's shard what became of a request whose
	// reservation passed its limit. Nil: nobody knows, and such reservations are
	// charged in full after ForfeitAfter.
	Inquire func(ctx context.Context, tenant id.Tenant, request id.Request) (Fate, error)
	// ForfeitAfter must exceed the longest call. Zero: DefaultForfeitAfter.
	ForfeitAfter time.Duration
}

// DefaultForfeitAfter is how long a reservation of unknown outcome is held.
const DefaultForfeitAfter = time.Hour

func (o *Options) fillDefaults() {
	if o.Envelope == nil {
		o.Envelope = Command.Encode
	}
	if o.Part == nil {
		o.Part = func(machine shard.Machine) *Machine { return machine.(*Machine) }
	}
	if o.ForfeitAfter == 0 {
		o.ForfeitAfter = DefaultForfeitAfter
	}
}

// Service serves the ledgers of the shards that its node leads.
type Service struct {
	options Options
	metrics *metrics
	mutant  mutant
	ahead   aheadPolicy
	// lifetime ends with Close; draws run on it because they outlive requests.
	lifetime context.Context
	end      context.CancelFunc

	mutex   sync.Mutex
	drawers map[id.Shard]*drawer
	meters  map[id.Tenant]*meter
}

// New returns a service and registers its handlers on the Mux.
func New(options Options) *Service {
	options.fillDefaults()
	lifetime, end := context.WithCancel(context.Background())
	s := &Service{
		options: options, metrics: newMetrics(options.Registerer),
		ahead:    aheadPolicy{aheadLow, aheadFull, firstCalls},
		lifetime: lifetime, end: end,
		drawers: map[id.Shard]*drawer{}, meters: map[id.Tenant]*meter{},
	}
	peer.Handle(options.Mux, MethodReserve, s.serveReserve)
	peer.Handle(options.Mux, MethodSettle, s.serveSettle)
	peer.Handle(options.Mux, MethodBalance, s.serveBalance)
	return s
}

// Run sweeps reservations past their limit until ctx ends, and then ends the
// draws that are under way.
func (s *Service) Run(ctx context.Context) error {
	defer s.end()
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			s.sweepAll(ctx)
		}
	}
}

func (s *Service) shardOf(tenant id.Tenant) id.Shard {
	return id.ShardOfTenant(tenant, s.options.Shards)
}

const (
	// drawAttempts bounds how often a reservation waits for a draw.
	drawAttempts = 3
	// blockedRetry is when tokens that other calls hold may have come back.
	blockedRetry = time.Second
	// drawRetry is when the table may answer again.
	drawRetry = 2 * time.Second
)

func (s *Service) serveReserve(ctx context.Context, request ReserveRequest) (Reservation, error) {
	if request.Tokens <= 0 {
		return Reservation{}, fault.Newf(fault.Invalid, "reserve the worst case of the call", "tokens: %d is not positive", request.Tokens)
	}
	if request.Budget.Tokens <= 0 {
		return Reservation{Tokens: request.Tokens, Left: math.MaxInt64}, nil
	}
	for range drawAttempts {
		result, err := s.reserve(ctx, request)
		if err != nil {
			return Reservation{}, err
		}
		if result.Verdict != Undrawn {
			return s.conclude(request, result)
		}
		if err := s.drawFor(ctx, request, result); err != nil {
			return Reservation{}, s.refuse(undrawn(request, err))
		}
	}
	return Reservation{}, s.refuse(undrawn(request, fault.New(fault.Unavailable, "other calls took what was drawn", "try again")))
}

// reserve commits the request, and makes sure that the account it was charged
// to is not one that an earlier group of the shard had left.
func (s *Service) reserve(ctx context.Context, request ReserveRequest) (Result, error) {
	shard := s.shardOf(request.Tenant)
	position, _ := s.options.Proposer.Leads(shard)
	command := Command{Epoch: position.Epoch, Now: time.Now(), Reserve: &request, Limit: renewal}
	result, err := s.propose(ctx, shard, command)
	if err != nil {
		return result, err
	}
	if after, _ := s.options.Proposer.Leads(shard); after.Epoch != position.Epoch {
		return result, fault.New(fault.NotLeader, "the shard's group was made anew", "ask the leader")
	}
	return result, nil
}

// conclude turns a verdict into an answer and draws ahead where little is left.
func (s *Service) conclude(request ReserveRequest, result Result) (Reservation, error) {
	switch result.Verdict {
	case Granted:
		s.metrics.granted.Inc()
		s.drawAhead(request, result)
		return Reservation{Tokens: result.Tokens, Left: result.Left}, nil
	case AlreadySettled:
		return Reservation{}, fault.Newf(fault.Conflict, "use the next attempt's request", "request %s was settled before", request.Request)
	case Blocked:
		return Reservation{}, s.refuse(fault.Newf(fault.BudgetExhausted, "try again when running calls have ended, or ask the operators for a larger budget",
			"tenant %s has %d tokens left beside the calls that run, and the call may need %d", request.Tenant, result.Left, request.Tokens).
			WithRetryAfter(blockedRetry))
	default:
		refusal := fault.Newf(fault.BudgetExhausted, "wait for the budget's next period or ask the operators for a larger one",
			"tenant %s has %d tokens left in this period, and the call may need %d", request.Tenant, result.Left, request.Tokens)
		if !result.Renewal.IsZero() {
			refusal = refusal.WithRetryAfter(max(blockedRetry, time.Until(result.Renewal)))
		}
		return Reservation{}, s.refuse(refusal)
	}
}

// undrawn refuses a call because nothing more can be drawn now.
func undrawn(request ReserveRequest, cause error) *fault.Error {
	if typed := fault.From(cause); typed.Code == fault.NotLeader {
		return typed
	}
	return fault.Newf(fault.BudgetExhausted, "try again when the platform's table answers",
		"what was drawn of the budget of tenant %s is used up and no more could be drawn (%v)", request.Tenant, cause).
		WithRetryAfter(drawRetry)
}

func (s *Service) refuse(refusal *fault.Error) error {
	s.metrics.refused.WithLabelValues(string(refusal.Code)).Inc()
	return refusal
}

func (s *Service) serveSettle(ctx context.Context, request SettleRequest) (Balance, error) {
	if request.Spent < 0 {
		return Balance{}, fault.Newf(fault.Invalid, "give what was spent", "spent: %d is negative", request.Spent)
	}
	shard := s.shardOf(request.Tenant)
	known, err := s.known(ctx, shard, request.Tenant)
	if err != nil || !known {
		return Balance{Tenant: request.Tenant}, err
	}
	position, _ := s.options.Proposer.Leads(shard)
	result, err := s.propose(ctx, shard, Command{Epoch: position.Epoch, Now: time.Now(), Settle: &request})
	return result.Balance, err
}

// known reports whether a tenant has an account. One without a budget has none,
// and its settlements cost no commit.
func (s *Service) known(ctx context.Context, number id.Shard, tenant id.Tenant) (known bool, err error) {
	look := func(machine shard.Machine) { known = s.options.Part(machine).accounts[tenant] != nil }
	if s.options.Proposer.Peek(number, look); known {
		return true, nil
	}
	return known, s.options.Proposer.Query(ctx, number, look)
}

func (s *Service) serveBalance(ctx context.Context, request BalanceRequest) (Balance, error) {
	var balance Balance
	err := s.options.Proposer.Query(ctx, s.shardOf(request.Tenant), func(machine shard.Machine) {
		balance = s.options.Part(machine).Balance(request.Tenant, time.Now())
	})
	return balance, err
}

func (s *Service) propose(ctx context.Context, shard id.Shard, command Command) (Result, error) {
	encoded, err := s.options.Envelope(command)
	if err != nil {
		return Result{}, err
	}
	applied, err := s.options.Proposer.Propose(ctx, shard, encoded)
	if err != nil {
		return Result{}, err
	}
	return applied.(Result), nil
}
