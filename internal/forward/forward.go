package forward

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"github.com/cloverwheel/cloverwheel/internal/admission"
	"github.com/cloverwheel/cloverwheel/internal/backend"
	"github.com/cloverwheel/cloverwheel/internal/budget"
	"github.com/cloverwheel/cloverwheel/internal/fault"
	"github.com/cloverwheel/cloverwheel/internal/history"
	"github.com/cloverwheel/cloverwheel/internal/memory"
	"github.com/cloverwheel/cloverwheel/internal/quarantine"
	"github.com/cloverwheel/cloverwheel/internal/route"
	"github.com/cloverwheel/cloverwheel/internal/scheduling"
	"github.com/cloverwheel/cloverwheel/internal/timing"
)

// Options configures a Forwarder. Workers, Transport, Budgets, History, Metrics and Logger are
// required.
type Options struct {
	Workers   *backend.Registry
	Transport Transport
	Budgets   *budget.Accounts
	History   *history.TurnStore
	// HistoryPeers fetches conversation history from other nodes; nil: it is read from the store.
	HistoryPeers HistoryPeers
	// TurnDirectory is the directory of which node ran which turn; nil: there is none.
	TurnDirectory TurnDirectory
	// ResponseTimes returns how long other nodes usually take to respond; nil: the lower bounds apply.
	ResponseTimes timing.TimeoutFunc
	// ConfigFreshness reports whether the configuration is recent enough to accept keys; nil: always.
	ConfigFreshness ConfigFreshness
	// RateLimiter enforces the tenants' rate limits; nil: there are none.
	RateLimiter RateLimiter
	// WarmupLimiter grants requests to cold workers; nil: they get none.
	WarmupLimiter WarmupLimiter
	// ReserveMemory reserves memory of the node for buffered bytes until release is called; ok is false
	// if there is none left. nil: buffers are not counted.
	ReserveMemory memory.Reserve
	// ReserveLong is the same for long histories, which leave a part of that memory to others.
	ReserveLong memory.Reserve
	// Finder looks up workers that this node has not loaded; nil: all are loaded.
	Finder WorkerFinder
	// Capacity finds workers with free capacity; nil: workers are chosen by local information only.
	Capacity Capacity
	// Origins remembers which software version began each stream; nil: streams of earlier requests are continued only
	// while the listed workers of their service all run one version.
	Origins StreamOrigins
	// Copies keeps copies of what clients have got of turns that are stored; nil: no turn that is stored can be resumed by its client.
	Copies StreamCopies
	// Quarantine remembers under which work workers ended; nil: this forwarder remembers it for itself.
	Quarantine *quarantine.Tracker
	// Prober queries workers' health when there is no other information on whether they are warm;
	// nil: they are not queried.
	Prober Prober
	// Isolated reports whether this node can reach neither the store nor nodes in other zones; nil:
	// never.
	Isolated func() bool
	// Estimator estimates how long programs take; nil: there are no estimates.
	Estimator *scheduling.Estimator
	// Admission decides which programs may start; nil: all may.
	Admission *admission.Controller
	Metrics   *Metrics
	Logger    log.Interface
}

// Forwarder serves requests according to the current configuration.
type Forwarder struct {
	options       Options
	configuration atomic.Pointer[route.Configuration]
	cutOff        atomic.Pointer[time.Time] // end of a planned stop; nil: the node is not closing
	beforeClosing atomic.Int64              // requests in progress that began while cutOff was nil
}

// New returns a forwarder without a configuration. It refuses requests until SetConfiguration is
// called.
func New(options Options) *Forwarder {
	if options.Quarantine == nil {
		options.Quarantine = quarantine.NewTracker()
	}
	return &Forwarder{options: options}
}

// Configuration returns the current configuration; nil if there is none yet.
func (f *Forwarder) Configuration() *route.Configuration { return f.configuration.Load() }

// SetConfiguration replaces the configuration if next has a higher version, and reports whether
// it did.
func (f *Forwarder) SetConfiguration(next *route.Configuration) bool {
	for {
		current := f.configuration.Load()
		if current != nil && next.Version <= current.Version {
			return false
		}
		if f.configuration.CompareAndSwap(current, next) {
			return true
		}
	}
}

// Retry and wait times.
const (
	// retryAfter is the retry delay for clients whose request reached its time limit, and the
	// least one when no worker can take the request; up to as much is then added at random.
	retryAfter = 120 * time.Millisecond
	// noConfigRetryAfter is the retry delay for clients of a node without a configuration.
	noConfigRetryAfter = 250 * time.Millisecond
	// A request waits for a worker to become available for Objective/selectWaitDivisor, at most
	// maxSelectWait, and checks every selectPollInterval. Then it is refused.
	selectWaitDivisor  = 4
	maxSelectWait      = 60 * time.Millisecond
	selectPollInterval = 12 * time.Millisecond
	// maxSends limits how often one request is sent, whatever its route allows.
	maxSends = 8
	// deadlineMargin is reserved for the final answer to reach the client before its deadline.
	deadlineMargin = 10 * time.Millisecond
)

// jitteredRetryAfter returns a retry delay that differs between clients, so that they do not all come back at once.
func jitteredRetryAfter() time.Duration { return retryAfter + rand.N(retryAfter) }

// NoConfigurationError returns the refusal of a node without a configuration, which cannot know what is allowed.
func NoConfigurationError() *fault.Error {
	return fault.New(fault.Unavailable, "this node has not loaded a configuration yet", "retry after the delay in Retry-After").WithRetryAfter(noConfigRetryAfter)
}

// noRouteError returns the refusal of a request without a route.
func noRouteError(configuration *route.Configuration) *fault.Error {
	return fault.Newf(fault.NotFound, "check the host and path, or ask the operator to add a route", "configuration version %d has no route for this host and path", configuration.Version)
}

// RefuseUnrouted refuses a request without a route, whose body is not needed for that. It reports false if there is a route, or no
// configuration yet.
func (f *Forwarder) RefuseUnrouted(request *Request, out Responder) bool {
	configuration := f.Configuration()
	if configuration == nil || configuration.Match(request.Host, request.Path) != nil {
		return false
	}
	refusal := noRouteError(configuration)
	x := &exchange{Forwarder: f, request: request, out: out, startTime: time.Now()}
	out.Refuse(refusal)
	x.logOutcome(refusal)
	return true
}

// Serve answers a request through out, exactly once. ctx must end when the client disconnects.
func (f *Forwarder) Serve(ctx context.Context, request *Request, out Responder) {
	done := f.countBeforeClosing()
	defer done()
	x := &exchange{
		Forwarder: f, request: request, out: out, startTime: time.Now(), clientCtx: ctx, lastEventID: request.LastEventID,
		outputMemory: memory.NewGrant(f.options.ReserveMemory), turnMemory: newTurnMemory(f.options.ReserveLong),
	}
	defer x.outputMemory.Release()
	defer x.turnMemory.release()
	defer x.reportPanic()
	refusal := x.serveAndRelease(ctx)
	if refusal != nil {
		x.resolveBreaks()
		x.awaitEndsShared()
	}
	switch {
	case refusal == nil || x.answered:
	case x.headSent:
		out.Abort()
	default:
		out.Refuse(refusal)
	}
	x.logOutcome(refusal)
}

// serveAndRelease serves the request and releases what it holds at workers and of the tenant's limit, also if it panics.
func (x *exchange) serveAndRelease(ctx context.Context) *fault.Error {
	defer x.returnToLimit()
	defer x.releaseWorker()
	return x.serve(ctx)
}

// reportPanic logs and counts a panic, and closes the client's connection. A fault in the handling of one request must neither end the process
// nor go unseen.
func (x *exchange) reportPanic() {
	cause := recover()
	if cause == nil {
		return
	}
	x.options.Metrics.Panics.Inc()
	x.options.Logger.WithFields(log.Fields{"request": x.request.ID, "worker": x.lastWorker, "sends": x.sends, "cause": fmt.Sprint(cause), "stack": string(debug.Stack())}).
		Error("the handling of a request panicked; its connection is closed")
	x.out.Abort()
}

func (x *exchange) serve(ctx context.Context) *fault.Error {
	configuration := x.Configuration()
	if configuration == nil {
		return NoConfigurationError()
	}
	x.route = configuration.Match(x.request.Host, x.request.Path)
	if x.route == nil {
		return noRouteError(configuration)
	}
	limit := x.timeLimit()
	if limit <= 0 {
		return fault.New(fault.DeadlinePassed, "the request's deadline has passed", "send a longer deadline")
	}
	if refusal := x.checkClosing(limit); refusal != nil {
		return refusal
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	x.clock.enter(stepAdmit, x.startTime)
	if refusal := x.authenticate(); refusal != nil {
		return refusal
	}
	if refusal := x.checkRouteOpen(); refusal != nil {
		return refusal
	}
	if refusal := x.checkQuarantine(); refusal != nil {
		return refusal
	}
	if x.route.Kind != route.Streaming {
		return x.servePlain(ctx)
	}
	return x.serveTurn(ctx, configuration)
}

// timeLimit returns how long the request may take: the shorter of the client's deadline and the
// route's timeout, less deadlineMargin; an hour if neither is set.
func (x *exchange) timeLimit() time.Duration {
	limit := x.route.Timeout
	if limit <= 0 || x.request.Timeout > 0 && x.request.Timeout < limit {
		limit = x.request.Timeout
	}
	if limit == 0 {
		return time.Hour
	}
	return limit - deadlineMargin
}

// send sends the call to a worker. The watchdog may cancel ctx.
func (x *exchange) send(ctx context.Context, worker *backend.Worker) (*Answer, error) {
	x.sends++
	x.lastWorker = worker.Key()
	x.options.Metrics.Sends.Inc()
	x.countSend(worker)
	call := Call{
		Request:     x.request,
		Body:        x.body,
		LastEventID: x.lastEventID,
		Priority:    x.priority(),
		Used:        &x.used,
	}
	x.reportSent()
	if x.tenant != nil {
		call.Tenant = x.tenant.Name
	}
	if deadline, ok := ctx.Deadline(); ok {
		call.TimeLeft = time.Until(deadline)
	}
	x.recordSeen(worker)
	x.logResend(worker, call.TimeLeft)
	x.logContinued(worker)
	answer, err := x.options.Transport.Send(ctx, worker, call)
	if err == nil && answer.EndsWithConnection && !answer.Declined {
		answer.Body = &unframedBody{Reader: answer.Body, ctx: ctx, worker: worker}
	}
	return answer, err
}

func (x *exchange) exclude(worker string) { x.excluded = append(x.excluded, worker) }

// endedError returns the final answer when the time limit has passed or the client has
// disconnected.
func (x *exchange) endedError(ctx context.Context) *fault.Error {
	ran := fault.RanUnknown
	if !x.attempts.any() {
		ran = fault.RanNo
	}
	if x.clientCtx.Err() != nil {
		return fault.New(fault.DeadlinePassed, "the client disconnected before the answer was complete", "no action is needed").WithRan(ran)
	}
	code := fault.DeadlinePassed
	if !errors.Is(ctx.Err(), context.DeadlineExceeded) {
		code = fault.Unavailable
	}
	return fault.New(code, "the request reached its time limit", "send a longer deadline or a smaller request").WithRan(ran).WithRetryAfter(retryAfter)
}
