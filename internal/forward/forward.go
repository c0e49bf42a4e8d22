package forward

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"github.com/cloverwheel/cloverwheel/internal/admission"
	"github.com/cloverwheel/cloverwheel/internal/backend"
	"github.com/cloverwheel/cloverwheel/internal/budget"
	"github.com/cloverwheel/cloverwheel/internal/fault"
	"github.com/cloverwheel/cloverwheel/internal/history"
	"github.com/cloverwheel/cloverwheel/internal/room"
	"github.com/cloverwheel/cloverwheel/internal/route"
	"github.com/cloverwheel/cloverwheel/internal/standing"
	"github.com/cloverwheel/cloverwheel/internal/tenant"
	"github.com/cloverwheel/cloverwheel/internal/wait"
)

// Options of a Forwarder.
type Options struct {
	Workers   *backend.Registry
	Transport Transport
	Budgets   *budget.Book
	History   *history.Keeper
	// Neighbours asks other nodes for what was said; nil: only the table is asked.
	Neighbours Neighbours
	// Turns tells which node ran a turn, where that is remembered; nil: nobody does.
	Turns Turns
	// Patience is how long other nodes' answers are seen to take; nil: not known.
	Patience wait.Patience
	// Freshness tells whether keys may be believed; nil: always.
	Freshness Freshness
	// Limits lends what tenants may ask for; nil: nobody has a limit.
	Limits Limits
	// Allowance lends requests to cold workers; nil: they get none.
	Allowance Allowance
	// Admit counts bytes that are held against the node's memory, until they are released; nil:
	// they are not counted.
	Admit func(bytes int64) (release func(), ok bool)
	// Finder finds workers that this node does not keep; nil: it keeps all.
	Finder Finder
	// Room finds workers that have room; nil: nobody keeps account of it.
	Room Room
	// Prober asks workers whether they are warm where nothing else tells; nil: nobody does.
	Prober Prober
	// Isolated reports whether this node reaches neither the table nor nodes elsewhere;
	// nil: it always does.
	Isolated func() bool
	// Standing learns how long programs take; nil: nothing is known of it.
	Standing *standing.Learner
	// Admission decides which programs begin; nil: all do.
	Admission *admission.Gate
	Metrics   *Metrics
	Logger    log.Interface
}

// Forwarder serves requests by the configuration in force.
type Forwarder struct {
	options       Options
	configuration atomic.Pointer[route.Configuration]
}

// New returns a forwarder that knows no configuration yet.
func New(options Options) *Forwarder { return &Forwarder{options: options} }

// Configuration returns the configuration in force; nil if none is known.
func (f *Forwarder) Configuration() *route.Configuration { return f.configuration.Load() }

// SetConfiguration puts a configuration in force, unless it is older than the
// one that is.
func (f *Forwarder) SetConfiguration(next *route.Configuration) bool {
	for {
		present := f.configuration.Load()
		if present != nil && next.Version <= present.Version {
			return false
		}
		if f.configuration.CompareAndSwap(present, next) {
			return true
		}
	}
}

// Tuning of retries.
const (
	// retryAfter is when a client should come back if no worker can take its request.
	retryAfter = 120 * time.Millisecond
	// startRetryAfter is when it should come back to a node that knows no configuration.
	startRetryAfter = 250 * time.Millisecond
	// holdShare of the objective is how long a request waits for a worker to
	// have room before it is refused.
	holdShare   = 4
	longestHold = 60 * time.Millisecond
	holdPause   = 12 * time.Millisecond
	// maxSends bounds how often one request is sent, whatever its route allows.
	maxSends = 8
	// afterLimit is how long an answer may take on its way at the time limit.
	afterLimit = 10 * time.Millisecond
)

// exchange is the state of one request.
type exchange struct {
	*Forwarder
	request   *Request
	route     *route.Route
	tenant    *tenant.Tenant // whose request it is; nil: nobody's
	proofAge  time.Duration  // of the configuration by which its key was checked last
	admitted  bool           // it counts against the tenant's limit
	service   string
	home      string
	body      []byte
	out       Responder
	begun     time.Time
	clock     stepClock
	client    context.Context   // ends when the client leaves
	excluded  []string          // workers that are not asked (again)
	attempts  attempts          // workers that may have run the request
	asked     []*backend.Worker // the same
	keepers   []string          // IDs of workers that keep what its prompt shares with others
	sends     int
	tried     []string // what became of each send, for the log
	declines  int
	place     *room.Place    // that the request has at a worker
	found     room.Found     // where there was room, for the log
	roomWait  time.Duration  // how long the request has waited for room
	coldAsks  int            // cold workers asked for since all were last considered
	coldWait  time.Duration  // until a cold worker may take a request; 0: none was denied
	worker    string         // the last one asked
	crossed   backend.Reason // why that is of another region; empty: it is not
	events    int
	drawn     bool // this node lacked tokens for the turn
	handed    bool // and got some from another node
	located   bool // the directory named the nodes to ask
	granted   bool // the owner of a directory slot granted tokens
	told      bool // another node told what was said before
	started   bool // the head of a stream was sent
	answered  bool // the client has its final answer
	lastEvent string
	output    []byte
	standing  program // whose request it is, and how it stands
}

// Serve answers a request. ctx ends when the client leaves.
func (f *Forwarder) Serve(ctx context.Context, request *Request, out Responder) {
	x := &exchange{Forwarder: f, request: request, out: out, begun: time.Now(), client: ctx, lastEvent: request.Resume}
	refusal := x.serve(ctx)
	x.leavePlace()
	x.releaseUnused()
	switch {
	case refusal == nil || x.answered:
	case x.started:
		out.Abort()
	default:
		out.Refuse(refusal)
	}
	x.note(refusal)
}

func (x *exchange) serve(ctx context.Context) *fault.Error {
	configuration := x.Configuration()
	if configuration == nil {
		return fault.New(fault.Unavailable, "this node has no configuration yet", "come back after the time given").WithRetryAfter(startRetryAfter)
	}
	x.route = configuration.Match(x.request.Host, x.request.Path)
	if x.route == nil {
		return fault.Newf(fault.NotFound, "ask the operator for a route", "no route for this host and path in version %d", configuration.Version)
	}
	limit := x.limit()
	if limit <= 0 {
		return fault.New(fault.DeadlinePassed, "no time is left for the request", "allow more time")
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	x.clock.enter(stepAdmit, x.begun)
	if refusal := x.identify(); refusal != nil {
		return refusal
	}
	if refusal := x.nowhere(); refusal != nil {
		return refusal
	}
	if x.route.Kind != route.Streaming {
		return x.plain(ctx)
	}
	return x.turn(ctx, configuration)
}

// limit is how long the request may take; the client's word and the route's.
func (x *exchange) limit() time.Duration {
	limit := x.route.Timeout
	if limit <= 0 || x.request.Deadline > 0 && x.request.Deadline < limit {
		limit = x.request.Deadline
	}
	if limit == 0 {
		return time.Hour
	}
	return limit - afterLimit
}

// choose picks a worker, waiting a moment for one to have room.
func (x *exchange) choose(ctx context.Context) (*backend.Worker, *fault.Error) {
	hold := min(x.route.Objective/holdShare, longestHold)
	for {
		x.dropSucceeded()
		var only []string
		if !x.mayRunElsewhere() {
			only = x.attempts.counted
		}
		if worker, ok := x.options.Workers.Trial(x.query(only)); ok {
			x.takePlace(worker)
			return worker, nil
		}
		if worker := x.findRoom(ctx, only); worker != nil {
			return worker, nil
		}
		worker, err := x.options.Workers.Choose(x.query(only))
		if err == nil {
			x.takePlace(worker)
			return worker, nil
		}
		if refusal := x.closed(x.service, only); refusal != nil {
			return nil, refusal
		}
		left := hold - time.Since(x.begun)
		hopeless := x.declines == 0 && x.coldWait > left // no warm worker may come to have room
		if ctx.Err() != nil || left <= 0 || hopeless {
			return nil, x.noWorker(err)
		}
		x.excluded, x.coldAsks, x.coldWait = nil, 0, 0
		_ = wait.For(ctx, holdPause)
	}
}

// query describes the request to place; no worker but those in only may get it.
func (x *exchange) query(only []string) backend.Query {
	return backend.Query{
		Only:       only,
		Service:    x.service,
		Home:       x.home,
		Key:        x.key(),
		SameObject: x.request.Object != "",
		Prompt:     x.request.Prompt,
		Shared:     x.request.Shared,
		Keepers:    x.keepers,
		Output:     x.request.Output,
		Regions:    x.regions(),
		Spare:      x.movable(""),
		Begins:     x.begins(),
		Warm:       x.coldAsks >= maxColdAsks,
		Exclude:    x.excluded,
	}
}

// begins reports whether the request is a program's first turn, and nobody may have run it.
func (x *exchange) begins() bool {
	return x.route.Kind == route.Streaming && x.home == "" && x.request.Continue == "" && !x.attempts.any()
}

func (x *exchange) noWorker(err error) *fault.Error {
	if x.options.Finder != nil {
		x.options.Finder.NoteShort()
	}
	refusal := fault.From(err)
	if x.declines > 0 {
		refusal = fault.Newf(fault.Overloaded, "come back after the time given", "all workers of service %q are full", x.service)
	}
	if x.coldWait > 0 {
		refusal = fault.Newf(fault.Overloaded, "come back after the time given",
			"workers of service %q are cold and get as much as they bear, no warm one has room", x.service)
	}
	if x.attempts.any() {
		return refusal.WithRan(fault.RanUnknown)
	}
	if x.coldWait > 0 {
		return refusal.WithRetryAfter(x.coldWait + rand.N(retryAfter))
	}
	return refusal.WithRetryAfter(retryAfter + rand.N(retryAfter))
}

// key keeps requests for the same thing at the same worker.
func (x *exchange) key() string {
	switch {
	case x.request.Object != "":
		return x.request.Object
	case x.request.Program != "" && x.route.Kind == route.Streaming:
		return x.tenant.Scope(x.request.Program)
	default:
		return x.request.ID
	}
}

// send sends the call to a worker under a context that the watchdog may end.
func (x *exchange) send(ctx context.Context, worker *backend.Worker) (*Answer, error) {
	x.sends++
	x.worker = worker.Key()
	x.options.Metrics.Sends.Inc()
	x.noteWay(worker)
	call := Call{
		Request:  x.request,
		Body:     x.body,
		Resume:   x.lastEvent,
		Priority: x.priority(),
	}
	x.noteSent()
	if x.tenant != nil {
		call.Tenant = x.tenant.Name
	}
	if deadline, ok := ctx.Deadline(); ok {
		call.Left = time.Until(deadline)
	}
	x.noteResend(worker, call.Left)
	return x.options.Transport.Send(ctx, worker, call)
}

func (x *exchange) exclude(worker string) { x.excluded = append(x.excluded, worker) }

// ended tells the final answer when the request's time is over or its client gone.
func (x *exchange) ended(ctx context.Context) *fault.Error {
	ran := fault.RanUnknown
	if !x.attempts.any() {
		ran = fault.RanNo
	}
	if x.client.Err() != nil {
		return fault.New(fault.DeadlinePassed, "the client left", "nothing is to be done").WithRan(ran)
	}
	code := fault.DeadlinePassed
	if !errors.Is(ctx.Err(), context.DeadlineExceeded) {
		code = fault.Unavailable
	}
	return fault.New(code, "the request's time is over", "allow more time, or send less at once").WithRan(ran).WithRetryAfter(retryAfter)
}
