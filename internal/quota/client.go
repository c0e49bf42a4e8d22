package quota

import (
	"context"
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cloverwheel/cloverwheel/internal/budget"
	"github.com/cloverwheel/cloverwheel/internal/directory"
	"github.com/cloverwheel/cloverwheel/internal/fault"
	"github.com/cloverwheel/cloverwheel/internal/forward"
	"github.com/cloverwheel/cloverwheel/internal/staleness"
	"github.com/cloverwheel/cloverwheel/internal/timing"
)

const (
	// The timeout of a call to an owner follows the observed response times of its node,
	// within these bounds.
	minOwnerTimeout = 60 * time.Millisecond
	maxOwnerTimeout = 200 * time.Millisecond
	// minHedgeDelay is the shortest time without an answer after which the next owner is
	// asked in parallel. The delay is longer if the node asked last usually takes longer.
	minHedgeDelay = 20 * time.Millisecond
	// unusedPermitTTL is how long a returned permit may be used by another request of the
	// same tenant. It is short because the permit counts from its issue, not from its use.
	unusedPermitTTL = 50 * time.Millisecond
	// unavailableRetryAfter is the retry delay if no owner responds; up to half as much jitter
	// is added. A restarted owner is back within 2 s, and a failed one is replaced within 5 s.
	unavailableRetryAfter = 700 * time.Millisecond
	// maxHoldPart is the part of a request's remaining time for which it may be held until
	// its booked permit becomes valid.
	maxHoldPart = 0.8
)

// Owners looks up which process owns a slot.
type Owners interface {
	// Owner returns the owner of a slot. ok is false if the owner is unknown or has just
	// failed to answer.
	Owner(slot int) (budget.Holder, bool)
	// RecordAnswer records that the owner of a slot answered, and RecordNoAnswer that the process
	// that was asked did not answer as the owner.
	RecordAnswer(slot int)
	RecordNoAnswer(slot int, asked budget.Holder)
}

// Peers sends calls to other nodes.
type Peers interface {
	// RequestPermit asks the owner of a share for a permit.
	RequestPermit(ctx context.Context, owner budget.Holder, request Request) (Answer, error)
}

// ClientOptions configures a Client.
type ClientOptions struct {
	Self   budget.Holder
	Layout directory.Layout
	Region string // of this node
	Owners Owners
	Peers  Peers
	// ResponseTimes estimates the response times of other nodes. With nil, the shortest timeouts
	// are used.
	ResponseTimes timing.TimeoutFunc
	Allocator     *Allocator // of this process; used for slots that it owns
	// OnProof receives the proof of freshness in an answer and the time when the call was sent.
	OnProof func(proof staleness.Proof, sent time.Time)
	// OnOutcome receives the outcome of each call, for metrics.
	OnOutcome func(Outcome)
}

// Outcome is the result of asking the owner of a share for a permit.
type Outcome string

// Outcomes of a call to an owner.
const (
	OutcomeGranted     Outcome = "lent"   // a permit was issued
	OutcomeExhausted   Outcome = "empty"  // the owner may issue none now
	OutcomeUnavailable Outcome = "silent" // no process answered that may issue permits
)

func (a shareAnswer) outcome() Outcome {
	switch {
	case a.Lent:
		return OutcomeGranted
	case a.reached:
		return OutcomeExhausted
	default:
		return OutcomeUnavailable
	}
}

// Client obtains permits for requests against their tenants' limits. It implements
// forward.RateLimiter.
type Client struct {
	options ClientOptions

	mutex         sync.Mutex
	unused        map[string][]time.Time  // expiry times of returned permits, by tenant
	programShares map[string]programShare // by tenant and program
	lastSweep     time.Time
}

// programShare is the share whose owner admitted a program. Only that owner counts the
// program as running.
type programShare struct {
	share    int
	lastUsed time.Time
}

var _ forward.RateLimiter = (*Client)(nil)

// NewClient returns a client without cached permits.
func NewClient(options ClientOptions) *Client {
	return &Client{options: options, unused: map[string][]time.Time{}, programShares: map[string]programShare{}, lastSweep: time.Now()}
}

// Admit implements forward.RateLimiter. It first asks the owner of the program's share, then the
// owners of the other shares if that one refuses or is slow to answer.
func (c *Client) Admit(ctx context.Context, request forward.RateLimitRequest) error {
	if c.takeUnused(request.Tenant) {
		return nil
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	acquisition := &acquisition{client: c, request: request, answers: make(chan shareAnswer, shares)}
	acquisition.first = c.firstShare(request)
	outcome, err := acquisition.run(ctx)
	if err != nil || outcome.issued {
		return err
	}
	if wait, booked := acquisition.book(ctx, &outcome); booked {
		return sleep(ctx, wait)
	}
	return acquisition.refusalError(outcome)
}

// book reserves a permit that becomes valid soon, so that a running program does not fail on
// a brief excess over its tenant's limit. It returns the time until the permit is valid, and
// whether there is one. If the owner refuses after all, book updates the retry delay in outcome.
func (a *acquisition) book(ctx context.Context, outcome *refusals) (wait time.Duration, booked bool) {
	hold := maxHold(ctx)
	if outcome.bookableIn == 0 || outcome.bookableIn > hold {
		return 0, false
	}
	answer, reached := a.client.askOwner(ctx, Request{
		Tenant: a.request.Tenant, Share: outcome.bookableShare, Program: a.request.Program, UnderWay: true, Patience: hold,
	})
	switch {
	case answer.Lent:
		a.client.rememberShare(a.request, outcome.bookableShare)
	case reached:
		outcome.wait = answer.Wait
	}
	return answer.Wait, answer.Lent
}

// maxHold returns how long a request may be held; zero if its context has no deadline.
func maxHold(ctx context.Context) time.Duration {
	deadline, bounded := ctx.Deadline()
	if !bounded {
		return 0
	}
	return time.Duration(maxHoldPart * float64(time.Until(deadline)))
}

// sleep blocks for a duration, or until the context is done, in which case it returns the
// context's error.
func sleep(ctx context.Context, wait time.Duration) error {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

// firstShare returns the share to ask first, one of this node's region. All nodes of a region
// pick the same share for a program, unless they have recorded that another share admitted it.
func (c *Client) firstShare(request forward.RateLimitRequest) int {
	if request.Program == "" {
		local := sharesInRegion(c.options.Layout, c.options.Region, request.Tenant)
		return local[rand.IntN(len(local))]
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if known, ok := c.programShares[programKey(request)]; ok {
		return known.share
	}
	return c.defaultShare(request)
}

func (c *Client) defaultShare(request forward.RateLimitRequest) int {
	local := sharesInRegion(c.options.Layout, c.options.Region, request.Tenant)
	return local[xxhash.Sum64String(request.Program)%uint64(len(local))]
}

func programKey(request forward.RateLimitRequest) string {
	return request.Tenant + "/" + request.Program
}

// rememberShare records the share that admitted a program, if it is not the default one.
func (c *Client) rememberShare(request forward.RateLimitRequest, share int) {
	if request.Program == "" {
		return
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	now := time.Now()
	if now.Sub(c.lastSweep) > programTTL {
		c.lastSweep = now
		maps.DeleteFunc(c.programShares, func(_ string, known programShare) bool { return now.Sub(known.lastUsed) > programTTL })
	}
	if share == c.defaultShare(request) {
		delete(c.programShares, programKey(request))
		return
	}
	c.programShares[programKey(request)] = programShare{share: share, lastUsed: now}
}

// Return implements forward.RateLimiter. The permit stays usable for unusedPermitTTL.
func (c *Client) Return(tenant string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.unused[tenant] = append(c.unused[tenant], time.Now().Add(unusedPermitTTL))
}

// takeUnused takes a returned permit of a tenant and reports whether there was one.
func (c *Client) takeUnused(tenant string) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	unused := c.unused[tenant]
	now := time.Now()
	for len(unused) > 0 && !now.Before(unused[0]) {
		unused = unused[1:]
	}
	if len(unused) == 0 {
		delete(c.unused, tenant)
		return false
	}
	c.unused[tenant] = unused[1:]
	return true
}

// acquisition obtains one permit from the owners of a tenant's shares.
type acquisition struct {
	client   *Client
	request  forward.RateLimitRequest
	first    int // share that is asked first
	asked    int // number of shares asked so far
	answers  chan shareAnswer
	underWay bool // an owner reported that the program is running
}

// shareAnswer is the result of asking one share's owner.
type shareAnswer struct {
	Answer
	share   int
	reached bool // the owner answered and may issue permits
}

// run asks the owners of the shares in turn, the next one as soon as one refuses or is slow to
// answer, until a permit is issued or all were asked. If the context is done first, it returns
// the context's error.
func (a *acquisition) run(ctx context.Context) (outcome refusals, err error) {
	running := 0
	next := func() {
		if a.asked < shares {
			share := (a.first + a.asked) % shares
			a.asked++
			running++
			go a.askShare(ctx, share, a.underWay)
		}
	}
	next()
	hedge := time.NewTimer(a.hedgeDelay())
	defer hedge.Stop()
	for running > 0 {
		select {
		case <-ctx.Done():
			return outcome, ctx.Err()
		case <-hedge.C:
			next()
			hedge.Reset(a.hedgeDelay())
		case answer := <-a.answers:
			running--
			a.client.options.OnOutcome(answer.outcome())
			a.underWay = a.underWay || answer.UnderWay
			switch {
			case answer.Lent:
				a.client.rememberShare(a.request, answer.share)
				return refusals{issued: true}, nil
			case !answer.reached:
				outcome.unavailable++
			default:
				outcome.add(answer)
			}
			next()
		}
	}
	return outcome, nil
}

// hedgeDelay returns how long to wait for the owner asked last before the next one is asked.
func (a *acquisition) hedgeDelay() time.Duration {
	share := (a.first + a.asked - 1) % shares
	owner, _ := a.client.options.Owners.Owner(slotOf(a.client.options.Layout, a.request.Tenant, share))
	return a.client.options.ResponseTimes.For(owner.Process, minHedgeDelay, maxOwnerTimeout)
}

// refusals collects the answers of owners that issued no permit.
type refusals struct {
	issued         bool          // an owner issued a permit; the other fields are then zero
	unavailable    int           // shares whose owner did not answer or may not issue permits
	wait           time.Duration // shortest retry delay
	used, capacity int           // sums over the answers: permits in the last window, and their maximum
	bookableIn     time.Duration // until a permit that is booked now would be valid; zero: none can be booked
	bookableShare  int           // share of that permit
}

func (r *refusals) add(answer shareAnswer) {
	if answer.Soon > 0 && (r.bookableIn == 0 || answer.Soon < r.bookableIn) {
		r.bookableIn, r.bookableShare = answer.Soon, answer.share
	}
	if r.wait == 0 || answer.Wait < r.wait {
		r.wait = answer.Wait
	}
	r.used += answer.Used
	r.capacity += answer.Most
}

// refusalError returns the error for a request that got no permit.
func (a *acquisition) refusalError(outcome refusals) error {
	if outcome.unavailable == shares {
		return fault.Newf(fault.Unavailable, "retry after the delay in Retry-After",
			"no node that can currently enforce the rate limit of tenant %q responded", a.request.Tenant).WithRetryAfter(unavailableRetryAfter + rand.N(unavailableRetryAfter/2))
	}
	return fault.Newf(fault.RateLimited, "retry after the delay in Retry-After, or ask the operator for a higher limit",
		"tenant %q has reached its rate limit: %d of %d allowed requests were counted in the last window (%d of %d shares of the limit responded)",
		a.request.Tenant, outcome.used, outcome.capacity, shares-outcome.unavailable, shares).WithRetryAfter(outcome.wait)
}

// askShare asks the owner of a share and sends its answer to the answers channel.
func (a *acquisition) askShare(ctx context.Context, share int, underWay bool) {
	answer, reached := a.client.askOwner(ctx, Request{
		Tenant: a.request.Tenant, Share: share, Program: a.request.Program, UnderWay: underWay,
	})
	a.answers <- shareAnswer{Answer: answer, share: share, reached: reached}
}

// askOwner asks the owner of the share that a request names. reached is false if no process
// answers that owns the share and may issue permits.
func (c *Client) askOwner(ctx context.Context, request Request) (answer Answer, reached bool) {
	slot := slotOf(c.options.Layout, request.Tenant, request.Share)
	owner, ok := c.options.Owners.Owner(slot)
	if !ok {
		return Answer{}, false
	}
	if owner.Process == c.options.Self.Process {
		answer := c.options.Allocator.Answer(request)
		return answer, answer.Able
	}
	limited, cancel := context.WithTimeout(ctx, c.options.ResponseTimes.For(owner.Process, minOwnerTimeout, maxOwnerTimeout))
	defer cancel()
	sent := time.Now()
	answer, err := c.options.Peers.RequestPermit(limited, owner, request)
	if ctx.Err() != nil && err != nil {
		return Answer{}, false
	}
	if err != nil {
		c.options.Owners.RecordNoAnswer(slot, owner)
		return Answer{}, false
	}
	c.options.OnProof(answer.Proof, sent)
	if !answer.Owner {
		c.options.Owners.RecordNoAnswer(slot, owner)
		return Answer{}, false
	}
	c.options.Owners.RecordAnswer(slot)
	return answer, answer.Able
}
