package forward

import (
	"context"
	"slices"
	"time"

	"github.com/apex/log"

	"github.com/cloverwheel/cloverwheel/internal/backend"
	"github.com/cloverwheel/cloverwheel/internal/fault"
	"github.com/cloverwheel/cloverwheel/internal/httpconn"
	"github.com/cloverwheel/cloverwheel/internal/quarantine"
	"github.com/cloverwheel/cloverwheel/internal/timing"
)

// maxShareWait is how long the final answer of a request under which a worker ended waits until other nodes know of it. The
// client's next try may reach one of them at once.
const maxShareWait = 250 * time.Millisecond

// endingTime is how long a process may take to end after it closed a connection, on a busy machine.
const endingTime = 30 * time.Millisecond

// suspicion is what a request knows of ends of workers under its work.
type suspicion struct {
	keys        *quarantine.Keys               // nil: not computed yet
	evidence    quarantine.Evidence            // as of the last check before a send
	seen        map[string]quarantine.Evidence // evidence at the send to each worker, by its key; nil: nothing was known
	plannedEnds []string                       // keys of workers whose planned end was due when they closed the request's connection
	lastBreak   time.Time                      // when a worker last closed it
	ended       int                            // workers that ended while they ran the request

	// claimedWorker is the key of the worker that the request has claimed for its work, under claimedKey; empty: none.
	claimedWorker string
	claimedKey    quarantine.Key
}

// keys identify the request's work over all tries of its client. They are computed when they are first needed, since a large
// body takes some time to hash.
func (x *exchange) keys() quarantine.Keys {
	if x.suspicion.keys == nil {
		work := quarantine.Work{
			Program:      x.request.Program,
			Method:       x.request.Method,
			Host:         x.request.Host,
			Target:       x.request.Target,
			Prompt:       x.request.Prompt,
			PreviousTurn: x.request.PreviousTurn,
			Body:         x.request.Body,
		}
		if x.tenant != nil {
			work.Tenant = x.tenant.Name
		}
		keys := quarantine.KeysOf(work)
		x.suspicion.keys = &keys
	}
	return *x.suspicion.keys
}

// workFields returns the fields by which log lines on the same work can be joined.
func (x *exchange) workFields() log.Fields {
	fields := log.Fields{"content": x.keys().Content.String()}
	if x.request.Program != "" {
		fields["program"] = x.request.Program
	}
	return fields
}

// checkQuarantine refuses work under which too many workers have ended. It runs before each send.
func (x *exchange) checkQuarantine() *fault.Error {
	x.suspicion.evidence = quarantine.Evidence{}
	if x.options.Quarantine.Loading() {
		return x.withRan(fault.New(fault.Unavailable, "this node has just started and does not know yet which work ends workers",
			"retry after the delay in Retry-After").WithRetryAfter(noConfigRetryAfter))
	}
	x.options.Quarantine.AwaitCurrent(x.clientCtx)
	if x.options.Quarantine.Empty() {
		return nil
	}
	x.suspicion.evidence = x.options.Quarantine.Evidence(x.keys())
	if x.suspicion.evidence.Ends()+x.attempts.unresolved() >= quarantine.MaxEnds {
		x.resolveBreaks()
		x.suspicion.evidence = x.options.Quarantine.Evidence(x.keys())
	}
	if !x.suspicion.evidence.Quarantined() {
		return nil
	}
	return x.withRan(fault.Newf(fault.WorkQuarantined, "change the request, or ask the operator to release the key",
		"%d workers ended while they ran this work, and it is sent to no other one (key %s)", x.suspicion.evidence.Ends(), x.suspicion.evidence.Key()))
}

// recordSeen records what was known of the work when it was sent to a worker.
func (x *exchange) recordSeen(worker *backend.Worker) {
	if !x.suspicion.evidence.Suspect() && x.options.Quarantine.Empty() {
		return
	}
	if x.suspicion.seen == nil {
		x.suspicion.seen = map[string]quarantine.Evidence{}
	}
	x.suspicion.seen[worker.Key()] = x.suspicion.evidence
}

// checkEnded finds out whether a worker that has closed the request's connection has ended.
func (x *exchange) checkEnded(ctx context.Context, worker *backend.Worker, err error) {
	if !httpconn.ClosedByPeer(err) {
		return
	}
	x.suspicion.lastBreak = time.Now()
	if worker.Leaving() && !worker.ServesWhileDraining() {
		x.suspicion.plannedEnds = append(x.suspicion.plannedEnds, worker.Key())
	}
	limited, cancel := context.WithTimeout(ctx, dialCheckTimeout)
	defer cancel()
	if x.attempts.processEnded(worker.Key(), worker.Pool().ProbeEnded(limited)) {
		x.dropAttempt(worker, observedEnded)
	}
}

// resolveBreaks finds out, before a failed request is answered or its work may be sent to one worker too many, which of the workers
// that closed its connection have ended. The first look may have come while a process was ending.
func (x *exchange) resolveBreaks() {
	ctx, cancel := context.WithTimeout(context.Background(), dialCheckTimeout)
	defer cancel()
	x.dropRestarted()
	for _, worker := range x.attempted {
		if !x.attempts.closedBy(worker.Key()) {
			continue
		}
		_ = timing.Sleep(ctx, endingTime-time.Since(x.suspicion.lastBreak))
		if x.attempts.processEnded(worker.Key(), worker.Pool().ProbeEnded(ctx)) {
			x.dropAttempt(worker, observedEnded)
		}
	}
}

// recordEnd records that a worker has ended while it ran the request. The end of one that was leaving is not the request's fault.
func (x *exchange) recordEnd(worker *backend.Worker, observed string) {
	if slices.Contains(x.suspicion.plannedEnds, worker.Key()) {
		return
	}
	seen := x.suspicion.seen[worker.Key()]
	if x.suspicion.ended > 0 { // the sends of one request follow each other, whatever was known of their ends
		seen = x.options.Quarantine.Evidence(x.keys())
	}
	x.suspicion.ended++
	since := x.options.Quarantine.RecordEnd(x.keys(), seen)
	x.options.Metrics.WorkersEnded.Inc()
	entry := x.options.Logger.WithFields(log.Fields{
		"request":  x.request.ID,
		"worker":   worker.Key(),
		"observed": observed,
		"ends":     since.Ends(),
		"key":      since.Key().String(),
	}).WithFields(x.workFields())
	if since.Quarantined() {
		entry.Warn("a worker ended while it ran the request; its work is quarantined and refused from now on")
		return
	}
	entry.Warn("a worker ended while it ran the request; its work is suspected until a worker answers it")
}

// recordHarmless records that a worker has answered the request completely.
func (x *exchange) recordHarmless() {
	if x.options.Quarantine.Empty() || !x.options.Quarantine.RecordAnswer(x.keys()) {
		return
	}
	x.options.Logger.WithField("request", x.request.ID).WithField("worker", x.lastWorker).WithFields(x.workFields()).
		Info("a worker answered suspected work; it is no longer suspected")
}

// awaitEndsShared waits until other nodes know of the ends under this request.
func (x *exchange) awaitEndsShared() {
	if x.suspicion.ended == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), maxShareWait)
	defer cancel()
	x.options.Quarantine.Flush(ctx)
}
