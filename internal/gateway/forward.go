package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/apex/log"

	"github.com/cloverwheel/cloverwheel/internal/dispatch"
	"github.com/cloverwheel/cloverwheel/internal/fault"
	"github.com/cloverwheel/cloverwheel/internal/id"
	"github.com/cloverwheel/cloverwheel/internal/peer"
	"github.com/cloverwheel/cloverwheel/internal/shard"
)

const (
	reconnectDelay    = 20 * time.Millisecond
	maxReconnectDelay = time.Second
	// giveUpRetryAfter is told with an answer that no leader could be found for.
	giveUpRetryAfter = 2 * time.Second
)

// The reasons for ending the search for a leader.
var (
	errPatience = errors.New("no leader found in time")
	errRefused  = errors.New("the leader refuses and says when to come back")
)

// forwarder carries requests to the leader of a program's shard.
type forwarder struct {
	locator   shard.Locator
	transport peer.Transport
	shards    uint32
	patience  time.Duration
	stall     time.Duration
	timeout   time.Duration
	// attemptTimeout bounds one request with one response; a paused leader
	// would never answer it.
	attemptTimeout time.Duration
	metrics        *metrics
	log            log.Interface
}

// invoke sends a request that may be repeated and waits for its one response.
func invoke[Response, Request any](ctx context.Context, f *forwarder, program id.Program, method string, request Request) (Response, error) {
	var response Response
	err := f.run(ctx, program, func(ctx context.Context, address peer.Address) (bool, error) {
		attemptCtx, cancel := context.WithTimeout(ctx, f.attemptTimeout)
		defer cancel()
		var err error
		response, err = peer.Invoke[Response](attemptCtx, f.transport, address, method, request)
		if err != nil && attemptCtx.Err() != nil && ctx.Err() == nil {
			err = fault.New(fault.Unavailable, "the leader does not answer", "try again").WithRan(fault.RanUnknown)
		}
		return false, err
	})
	return response, err
}

// place is where an answer goes on: an offset in tokens, the attempt that made
// what is before it, and its text if it is all here.
type place struct {
	offset  int
	attempt int
	text    string
}

// open starts an answer's stream at a leader, from a place on.
type open func(ctx context.Context, address peer.Address, from place, receive func(dispatch.CallEvent) error) error

// follow feeds target with an answer, over changes of the leader, until the
// answer is whole, has failed, or target no longer wants it.
func (f *forwarder) follow(ctx context.Context, program id.Program, start open, target *answerBuffer) {
	err := f.run(ctx, program, func(ctx context.Context, address peer.Address) (bool, error) {
		return f.attempt(ctx, program, address, start, target)
	})
	target.fail(err)
}

// attempt receives from one leader. It reports whether a leader was met.
func (f *forwarder) attempt(ctx context.Context, program id.Program, address peer.Address, start open, target *answerBuffer) (bool, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watch := f.watch(ctx, program, address, cancel)
	defer watch.stop()
	err := start(ctx, address, target.place(), func(event dispatch.CallEvent) error {
		watch.touch()
		return target.receive(event)
	})
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, errMoved):
		return true, errMoved
	case errors.Is(cause, errSilent):
		return false, errSilent
	}
	if err == nil && !target.complete() {
		err = fault.New(fault.Unavailable, "the stream ended early", "repeat the request").WithRan(fault.RanUnknown)
	}
	return watch.met(), err
}

// run calls attempt until it succeeds, fails for good, or no leader has been met
// for as long as patience lasts. Attempts whose outcome is unknown are
// repeated, so the request must carry what makes repeating it safe.
func (f *forwarder) run(ctx context.Context, program id.Program, attempt func(context.Context, peer.Address) (bool, error)) error {
	ctx, cancelTimeout := context.WithTimeout(ctx, f.timeout)
	defer cancelTimeout()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	search := newSearch(f.patience, func() { cancel(errPatience) })
	defer search.end()
	for delay := reconnectDelay; ; delay = min(2*delay, maxReconnectDelay) {
		err := f.locator.Do(ctx, id.ShardOfProgram(program, f.shards), func(ctx context.Context, address peer.Address) error {
			search.pause()
			met, err := attempt(ctx, address)
			if met {
				delay = reconnectDelay
				search.renew()
			}
			search.resume()
			if search.note(err) {
				cancel(errRefused)
			}
			return err
		})
		if !f.again(ctx, err) {
			return search.verdict(ctx, err)
		}
		f.metrics.reconnects.Inc()
		f.log.WithFields(log.Fields{"program": program, "error": err}).Info("reconnecting to leader")
		wait(ctx, jitter(delay))
	}
}

// again reports whether the request should be sent once more.
func (f *forwarder) again(ctx context.Context, err error) bool {
	if err == nil || ctx.Err() != nil || errors.Is(err, errUnwanted) {
		return false
	}
	if errors.Is(err, errMoved) {
		return true
	}
	failure := fault.From(err)
	switch failure.Code {
	case fault.NotLeader, fault.Fenced:
		return true
	case fault.Unavailable:
		return failure.Ran == fault.RanUnknown
	}
	return false
}

// search measures how long a leader has been looked for in vain.
type search struct {
	patience  time.Duration
	until     time.Time
	timer     *time.Timer
	uncertain bool         // some attempt may have run
	last      *fault.Error // of the attempts so far
}

func newSearch(patience time.Duration, giveUp func()) *search {
	return &search{patience: patience, until: time.Now().Add(patience), timer: time.AfterFunc(patience, giveUp)}
}

// pause stops the clock while an attempt is under way.
func (s *search) pause() { s.timer.Stop() }

// renew grants the whole patience again.
func (s *search) renew() { s.until = time.Now().Add(s.patience) }

// resume starts the clock again after an attempt.
func (s *search) resume() { s.timer.Reset(time.Until(s.until)) }

func (s *search) end() { s.timer.Stop() }

// note keeps an attempt's error. It reports whether that is final although a
// locator would try on: who says when to come back is not to be asked before.
func (s *search) note(err error) bool {
	if err == nil {
		return false
	}
	s.last = fault.From(err)
	s.uncertain = s.uncertain || s.last.Ran != fault.RanNo
	return s.last.Code == fault.Unavailable && s.last.Ran == fault.RanNo && s.last.RetryAfter > 0
}

// verdict is the final error. Once an attempt may have run, "not run" can no
// longer be promised: that attempt may still be on its way.
func (s *search) verdict(ctx context.Context, err error) error {
	if err == nil || errors.Is(err, errUnwanted) {
		return err
	}
	failure := fault.From(err)
	switch {
	case errors.Is(context.Cause(ctx), errRefused):
		failure = s.last
	case ctx.Err() != nil:
		failure = gaveUp(ctx)
	}
	if failure.Ran == fault.RanNo && s.uncertain {
		return failure.WithRan(fault.RanUnknown)
	}
	return failure
}

func gaveUp(ctx context.Context) *fault.Error {
	if errors.Is(context.Cause(ctx), errPatience) {
		return fault.New(fault.Unavailable, "no leader of the program's shard answers",
			"repeat the request with the same Idempotency-Key, best at another node").WithRetryAfter(giveUpRetryAfter)
	}
	return fault.New(fault.Unavailable, "the request took longer than a gateway waits",
		"fetch the answer with the same Idempotency-Key").WithRan(fault.RanUnknown).WithRetryAfter(giveUpRetryAfter)
}

// jitter spreads a delay over its upper half.
func jitter(delay time.Duration) time.Duration {
	return delay/2 + rand.N(delay/2+1)
}

func wait(ctx context.Context, delay time.Duration) {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
