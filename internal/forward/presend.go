package forward

import (
	"context"
	"fmt"
	"time"

	"github.com/apex/log"

	"github.com/cloverwheel/cloverwheel/internal/backend"
	"github.com/cloverwheel/cloverwheel/internal/eligibility"
	"github.com/cloverwheel/cloverwheel/internal/fault"
	"github.com/cloverwheel/cloverwheel/internal/locality"
)

// WarmupLimiter grants requests to cold workers, whose load is limited while they warm up.
type WarmupLimiter interface {
	// Acquire requests a permit for one request to a cold worker. It takes a few milliseconds while the owner
	// of the worker's allowance responds, and tens of milliseconds if it does not.
	Acquire(ctx context.Context, request WarmupRequest) WarmupPermit
}

// Prober queries the health of workers.
type Prober interface {
	// WarmupLeft queries a worker's health path and returns how much longer the worker is cold; 0:
	// it is warm.
	WarmupLeft(ctx context.Context, worker *backend.Worker, path string) (time.Duration, error)
}

// WarmupRequest asks to send one request to a cold worker.
type WarmupRequest struct {
	Worker    string // the worker's key
	Zone      string // the worker's zone
	Service   string
	FirstTurn bool // the request is the first of its program, or belongs to none
}

// WarmupPermit permits sending one request to a cold worker, or refuses it.
type WarmupPermit struct {
	ExpiresAt  time.Time     // expiry of the permit; zero: refused
	RetryAfter time.Duration // if refused: time until a permit may be available
}

// valid reports whether the permit allows a send now.
func (p WarmupPermit) valid() bool { return time.Now().Before(p.ExpiresAt) }

// maxColdAttempts is the number of cold workers that a request tries to get permission for. After
// that, only warm workers are considered.
const maxColdAttempts = 3

const (
	// healthTimeout limits a health query, without the network round trips.
	healthTimeout = 40 * time.Millisecond
	// healthRoundTrips to the worker's zone are added to the timeout: the connection's and the
	// query's.
	healthRoundTrips = 2
)

// nextWorker chooses a worker and decides whether the request may be sent to it. If cleared is false and there is no refusal,
// another worker must be chosen. A refusal is final.
func (x *exchange) nextWorker(ctx context.Context) (worker *backend.Worker, cleared bool, refusal *fault.Error) {
	worker, refusal = x.chooseWorker(ctx)
	if refusal != nil {
		return nil, false, refusal
	}
	cleared, refusal = x.clear(ctx, worker)
	if cleared {
		refusal = x.checkQuarantine() // time has passed since the choice
	}
	if refusal == nil && !cleared {
		x.releaseWorker()
	}
	return worker, cleared, refusal
}

// clear decides whether the request may still be sent to the chosen worker. It runs just before
// each send, because any time may have passed since the choice, and a paused node may lack
// recent updates. If cleared is false and there is no refusal, another worker must be chosen. A refusal
// is final.
func (x *exchange) clear(ctx context.Context, worker *backend.Worker) (cleared bool, refusal *fault.Error) {
	var permit WarmupPermit
	if x.options.Workers.Check(worker, x.restrictions()) == eligibility.NeedsWarmupPermit {
		permit = x.acquireWarmupPermit(ctx, worker)
	}
	if x.clientCtx.Err() != nil {
		return false, x.endedError(x.clientCtx)
	}
	if refusal := x.recheckKey(); refusal != nil {
		return false, refusal
	}
	verdict := x.options.Workers.Check(worker, x.restrictions())
	if verdict.Refused() || verdict == eligibility.NeedsWarmupPermit && !permit.valid() {
		x.options.Metrics.BlockedSends.WithLabelValues(verdict.String()).Inc()
		x.recordSendFailure(worker, x.blockReason(worker, verdict))
		x.exclude(worker.Key())
		return false, nil
	}
	return true, nil
}

// blockReason returns why a request may not be sent to a worker. For a cold worker it includes
// the source and the age of that information.
func (x *exchange) blockReason(worker *backend.Worker, verdict eligibility.Verdict) string {
	if verdict != eligibility.NeedsWarmupPermit {
		return verdict.String()
	}
	warmth := x.options.Workers.Warmth(worker)
	if warmth.Expired {
		return fmt.Sprintf("metered(lapsed %dms)", warmth.Age.Milliseconds())
	}
	return fmt.Sprintf("metered(%s %dms)", warmth.Source, warmth.Age.Milliseconds())
}

// acquireWarmupPermit requests a permit to send the request to a cold worker. If it is refused, the
// worker's health is queried: a warm worker needs no permit.
func (x *exchange) acquireWarmupPermit(ctx context.Context, worker *backend.Worker) WarmupPermit {
	if x.options.WarmupLimiter == nil {
		return WarmupPermit{}
	}
	x.coldAttempts++
	permit := x.options.WarmupLimiter.Acquire(ctx, WarmupRequest{
		Worker: worker.Key(), Zone: worker.Record().Zone, Service: x.service, FirstTurn: x.home == "",
	})
	if permit.ExpiresAt.IsZero() && x.probeHealth(ctx, worker) {
		return permit
	}
	if permit.ExpiresAt.IsZero() && (x.coldRetryAfter == 0 || permit.RetryAfter < x.coldRetryAfter) {
		x.coldRetryAfter = permit.RetryAfter
	}
	return permit
}

// probeHealth queries the health of a worker for which no permission was granted and whose entry
// in the worker list is outdated. It reports whether the worker is warm.
func (x *exchange) probeHealth(ctx context.Context, worker *backend.Worker) (warm bool) {
	path := x.Configuration().Services[x.service].HealthPath
	if path == "" || x.options.Prober == nil || !x.options.Workers.BeginHealthCheck(worker) {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, healthTimeout+healthRoundTrips*x.options.Workers.RoundTrip(worker))
	defer cancel()
	sent := time.Now()
	left, err := x.options.Prober.WarmupLeft(ctx, worker, path)
	entry := x.options.Logger.WithFields(log.Fields{"worker": worker.Key(), "request": x.request.ID, "cold_ms": left.Milliseconds()})
	if err != nil {
		entry.WithError(err).Warn("health query failed; trying another worker")
		return false
	}
	x.options.Workers.ApplyHealth(worker, left, sent)
	entry.Info("worker answered the health query; updating how long it is cold")
	return left == 0
}

// restrictions returns the properties of the request that decide which workers may get it.
func (x *exchange) restrictions() eligibility.Request {
	return eligibility.Request{Regions: x.allowedRegions(), Versions: x.versions, AcceptsDraining: x.acceptsDraining}
}

// allowedRegions returns the regions that both the route and the tenant allow.
func (x *exchange) allowedRegions() locality.Regions {
	if x.tenant == nil {
		return x.route.Regions
	}
	return x.route.Regions.Intersect(x.tenant.Regions)
}
