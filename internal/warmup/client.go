package warmup

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/cloverwheel/cloverwheel/internal/budget"
	"github.com/cloverwheel/cloverwheel/internal/forward"
	"github.com/cloverwheel/cloverwheel/internal/timing"
)

const (
	// The timeout of a call to an owner follows the observed response times of its node,
	// within these bounds.
	minOwnerTimeout = 30 * time.Millisecond
	maxOwnerTimeout = 80 * time.Millisecond
	// maxDenialTTL bounds how long a refusal is cached for a worker: permits may become free
	// earlier than the owner estimated.
	maxDenialTTL = 100 * time.Millisecond
	// unavailableWait is the retry delay if no owner may issue permits. A restarted owner is
	// back within 2 s, and a failed one is replaced within 5 s.
	unavailableWait = 700 * time.Millisecond
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
	// RequestColdPermit asks the owner of a worker's slot for a permit.
	RequestColdPermit(ctx context.Context, owner budget.Holder, request Request) (Answer, error)
}

// Outcome is the result of asking an owner for a permit for a cold worker.
type Outcome string

// Outcomes of a call to an owner.
const (
	OutcomeGranted     Outcome = "lent"   // a permit was issued
	OutcomeExhausted   Outcome = "empty"  // the owner may issue none now
	OutcomeUnavailable Outcome = "silent" // no process answered that may issue permits
)

// ClientOptions configures a Client.
type ClientOptions struct {
	Self   budget.Holder
	Slots  Slots
	Owners Owners
	Peers  Peers
	// ResponseTimes estimates the response times of other nodes. With nil, the shortest timeouts
	// are used.
	ResponseTimes timing.TimeoutFunc
	Allocator     *Allocator // of this process; used for slots that it owns
	// OnOutcome receives the outcome of each call, for metrics.
	OnOutcome func(Outcome)
}

// Client obtains permits for requests to cold workers. It implements forward.WarmupLimiter.
type Client struct {
	options ClientOptions

	mutex  sync.Mutex
	denied map[denialKey]time.Time // expiry times of cached refusals
}

// denialKey identifies the kind of request that an owner refused.
type denialKey struct {
	worker string
	begins bool
}

var _ forward.WarmupLimiter = (*Client)(nil)

// NewClient returns a client without cached refusals.
func NewClient(options ClientOptions) *Client {
	return &Client{options: options, denied: map[denialKey]time.Time{}}
}

// Acquire implements forward.WarmupLimiter. While a refusal is cached for the worker, it returns the
// remaining delay without a call.
func (c *Client) Acquire(ctx context.Context, request forward.WarmupRequest) forward.WarmupPermit {
	asked := time.Now()
	kind := denialKey{worker: request.Worker, begins: request.FirstTurn}
	if wait := c.deniedFor(kind, asked); wait > 0 {
		return forward.WarmupPermit{RetryAfter: wait}
	}
	answer, reached := c.askOwner(ctx, Request{Worker: request.Worker, Zone: request.Zone, Service: request.Service, Begins: request.FirstTurn})
	switch {
	case !reached:
		c.options.OnOutcome(OutcomeUnavailable)
		return forward.WarmupPermit{RetryAfter: unavailableWait}
	case !answer.Lent:
		c.options.OnOutcome(OutcomeExhausted)
		c.cacheDenial(kind, answer.Wait)
		return forward.WarmupPermit{RetryAfter: answer.Wait}
	default:
		c.options.OnOutcome(OutcomeGranted)
		return forward.WarmupPermit{ExpiresAt: asked.Add(PermitTTL)}
	}
}

// askOwner asks the owner of a worker's slot for a permit. reached is false if no process answers
// that owns the slot and may issue permits.
func (c *Client) askOwner(ctx context.Context, request Request) (answer Answer, reached bool) {
	slot := c.options.Slots.slotOf(request.Worker, request.Zone)
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
	answer, err := c.options.Peers.RequestColdPermit(limited, owner, request)
	if err != nil && ctx.Err() != nil {
		return Answer{}, false
	}
	if err != nil || !answer.Owner {
		c.options.Owners.RecordNoAnswer(slot, owner)
		return Answer{}, false
	}
	c.options.Owners.RecordAnswer(slot)
	return answer, answer.Able
}

// deniedFor returns how long a refusal is still cached; 0 or less if none is.
func (c *Client) deniedFor(kind denialKey, now time.Time) time.Duration {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.denied[kind].Sub(now)
}

// cacheDenial caches a refusal for at most maxDenialTTL, and drops expired ones.
func (c *Client) cacheDenial(kind denialKey, wait time.Duration) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	now := time.Now()
	maps.DeleteFunc(c.denied, func(_ denialKey, until time.Time) bool { return !until.After(now) })
	c.denied[kind] = now.Add(min(wait, maxDenialTTL))
}
