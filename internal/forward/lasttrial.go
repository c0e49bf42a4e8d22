package forward

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/apex/log"

	"github.com/cloverwheel/cloverwheel/internal/backend"
	"github.com/cloverwheel/cloverwheel/internal/fault"
	"github.com/cloverwheel/cloverwheel/internal/quarantine"
	"github.com/cloverwheel/cloverwheel/internal/timing"
)

const (
	// lastTrialDelay is how long after the last end under it work on its last trial leaves the only usable worker of a service alone. Most
	// workers that this node avoids are back or gone by then.
	lastTrialDelay = 2 * time.Second
	// Work on its last trial waits for a worker at which no other suspected work runs for a share of its remaining time, at most maxTrialWait:
	// clients give a stream up that sends nothing for some seconds. It looks every minTrialPoll to maxTrialPoll, at random, so that works of
	// several nodes do not go on claiming a worker at the same time.
	trialWaitShare = 0.5
	maxTrialWait   = 1500 * time.Millisecond
	minTrialPoll   = 5 * time.Millisecond
	maxTrialPoll   = 30 * time.Millisecond
)

// chooseForLastTrial chooses the worker of work that is quarantined if one more worker ends under it. It waits until no other suspected
// work runs there.
func (x *exchange) chooseForLastTrial(ctx context.Context) (*backend.Worker, *fault.Error) {
	begun := time.Now()
	longest := shareOfDeadline(ctx, trialWaitShare, maxTrialWait)
	for {
		workers := x.suspectWorkers()
		if delay := workers.delay(x.suspicion.evidence); delay > 0 {
			return nil, x.refuseTrial(fmt.Sprintf("service %q has one usable worker left", x.service), delay)
		}
		ordered := x.suspectOrder(workers)
		if len(ordered) == 0 {
			return nil, nil
		}
		if worker := x.claimFirst(ctx, ordered); worker != nil {
			x.logLastTrial(worker, workers, time.Since(begun))
			return worker, nil
		}
		if time.Since(begun) >= longest {
			return nil, x.refuseTrial(fmt.Sprintf("other such work runs at all usable workers of service %q", x.service), 0)
		}
		if timing.Sleep(ctx, minTrialPoll+rand.N(maxTrialPoll-minTrialPoll)) != nil {
			return nil, x.endedError(ctx)
		}
	}
}

// refuseTrial refuses work on its last trial, which may be tried after a delay.
func (x *exchange) refuseTrial(reason string, delay time.Duration) *fault.Error {
	refusal := fault.Newf(fault.Unavailable, "retry after the delay in Retry-After", "%d workers ended while they ran this work, and %s", x.suspicion.evidence.Ends(), reason)
	return x.withRan(refusal.WithRetryAfter(max(delay, retryAfter) + rand.N(retryAfter)))
}

// logLastTrial logs which worker gets work that is quarantined if the worker ends, too.
func (x *exchange) logLastTrial(worker *backend.Worker, workers suspectWorkers, waited time.Duration) {
	x.options.Logger.WithFields(log.Fields{
		"request":     x.request.ID,
		"worker":      worker.Key(),
		"ends":        x.suspicion.evidence.Ends(),
		"last_end_ms": x.suspicion.evidence.SinceLastEnd().Milliseconds(),
		"usable":      len(workers.usable) + workers.elsewhere,
		"returning":   workers.returning,
		"waited_ms":   waited.Milliseconds(),
	}).WithFields(x.workFields()).Info("suspected work gets its last trial at a worker; it is quarantined if that worker ends, too")
}

// delay returns how long work on its last trial leaves the service's only usable worker alone; 0: it may be sent now. Workers that leave
// do not take over the work of the others, so they do not count: waiting for them would be in vain.
func (w suspectWorkers) delay(evidence quarantine.Evidence) time.Duration {
	if len(w.usable)+w.elsewhere != 1 || w.returning == 0 {
		return 0
	}
	return max(0, lastTrialDelay-evidence.SinceLastEnd())
}
