package forward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cloverwheel/cloverwheel/internal/backend"
	"github.com/cloverwheel/cloverwheel/internal/fault"
	"github.com/cloverwheel/cloverwheel/internal/httpconn"
)

const (
	// wholeBytes is up to which size an answer is read before it is passed on, so
	// that one that breaks off can still be replaced.
	wholeBytes = 256 << 10
	// safeStall is how long a safe request waits for a silent worker before it
	// looks whether that is still there.
	safeStall = 100 * time.Millisecond
)

// plain serves a request that is answered in one piece.
func (x *exchange) plain(ctx context.Context) *fault.Error {
	x.service = x.route.Service(x.route.Draw())
	x.body = x.request.Body
	if refusal := x.admit(ctx); refusal != nil {
		return refusal
	}
	for x.sends < maxSends {
		worker, refusal := x.choose(ctx)
		if refusal != nil {
			return refusal
		}
		cleared, refusal := x.clear(ctx, worker)
		if refusal != nil {
			return refusal
		}
		if !cleared {
			x.leavePlace()
			continue
		}
		done, refusal := x.tryPlain(ctx, worker)
		x.leavePlace()
		if done {
			return refusal
		}
		if ctx.Err() != nil {
			return x.ended(ctx)
		}
	}
	return x.exhausted()
}

// exhausted is the answer when a request was sent often enough.
func (x *exchange) exhausted() *fault.Error {
	if !x.attempts.any() {
		return x.noWorker(fault.Newf(fault.Unavailable, "come back after the time given", "no worker of service %q can be reached", x.service))
	}
	return fault.New(fault.EngineFailed, "the worker broke off", "send the request again if it may be repeated").WithRan(fault.RanUnknown)
}

// tryPlain asks one worker. done means that the request has its final answer:
// refusal, or the one passed on if that is nil.
func (x *exchange) tryPlain(ctx context.Context, worker *backend.Worker) (done bool, refusal *fault.Error) {
	defer worker.Begin()()
	repeatable := x.route.Repeatable()
	limited, dog := x.watch(ctx, worker, safeStall, !repeatable)
	if !repeatable {
		dog.timer.Stop()
	}
	defer dog.stop()
	answer, err := x.send(limited, worker)
	if err != nil {
		return x.failed(ctx, limited, worker, err)
	}
	defer answer.Close(false)
	if answer.Declined {
		return x.declined(worker, answer), nil
	}
	if repeatable {
		dog.heard()
	}
	x.mayHaveRun(worker)
	release, held := x.hold(answer)
	if !held {
		return true, x.pass(answer, nil)
	}
	defer release()
	body, err := io.ReadAll(io.LimitReader(answer.Body, wholeBytes+1))
	if err != nil {
		return x.failed(ctx, limited, worker, err)
	}
	if len(body) > wholeBytes {
		return true, x.pass(answer, body)
	}
	answer.Close(true)
	if answer.Status >= http.StatusInternalServerError {
		worker.Broke(time.Now())
		x.noteTried(worker, strconv.Itoa(answer.Status))
		if repeatable && x.mayRunElsewhere() {
			x.exclude(worker.Key())
			return false, nil
		}
	} else {
		worker.Answered()
	}
	return true, x.whole(answer, body)
}

// hold reports whether an answer is read whole before it is passed on, and counts it against the
// node's memory until it is released: clients that read a byte a second may hold as many answers as
// there are connections. What has no room is passed on as it comes, and takes a buffer alone.
func (x *exchange) hold(answer *Answer) (release func(), held bool) {
	if answer.Length > wholeBytes {
		return nil, false
	}
	if x.options.Admit == nil {
		return func() {}, true
	}
	bytes := answer.Length
	if bytes < 0 {
		bytes = wholeBytes
	}
	return x.options.Admit(bytes)
}

// whole passes on an answer that was read whole. If it cannot be written, its client
// is gone: there is nobody else to tell.
func (x *exchange) whole(answer *Answer, body []byte) *fault.Error {
	x.answered = true
	if err := x.out.Answer(answer.Status, answer.Header, body); err != nil {
		return fault.Newf(fault.DeadlinePassed, "nothing is to be done", "the client left before its answer was written: %v", err).WithRan(fault.RanYes)
	}
	return nil
}

// pass passes on an answer that is too long to be held, after what was read of it.
func (x *exchange) pass(answer *Answer, begun []byte) *fault.Error {
	x.started = true
	if err := x.out.Start(answer.Status, answer.Header, answer.Length); err != nil {
		return x.ended(x.client)
	}
	buffer := make([]byte, 32<<10)
	piece := begun
	for {
		if len(piece) > 0 {
			if err := x.out.Event(piece); err != nil {
				return x.ended(x.client)
			}
		}
		count, err := answer.Body.Read(buffer)
		piece = buffer[:count]
		if errors.Is(err, io.EOF) && count == 0 {
			answer.Close(true)
			x.out.End()
			return nil
		}
		if err != nil && !errors.Is(err, io.EOF) {
			return x.exhausted()
		}
	}
}

// declined notes a worker's word that it did not run the request.
func (x *exchange) declined(worker *backend.Worker, answer *Answer) bool {
	_, _ = io.Copy(io.Discard, io.LimitReader(answer.Body, wholeBytes))
	answer.Close(true)
	worker.Declined(time.Now())
	x.place.Declined()
	x.noteTried(worker, "declined")
	x.declines++
	x.noteDecline()
	x.exclude(worker.Key())
	x.options.Metrics.Declines.Inc()
	return false
}

// notReached notes that nothing was written to a worker.
func (x *exchange) notReached(worker *backend.Worker, err error) {
	id := worker.Key()
	x.exclude(id)
	if errors.Is(err, httpconn.ErrCrowded) {
		worker.Declined(time.Now())
		x.declines++
		return
	}
	worker.Unreachable(time.Now())
	if x.attempts.hasEnded(id, err) {
		x.drop(worker, observedEnded)
	}
}

// failed decides what a broken exchange means: whether the request is over, or
// another worker may be asked.
func (x *exchange) failed(ctx, limited context.Context, worker *backend.Worker, err error) (bool, *fault.Error) {
	id := worker.Key()
	written := !errors.Is(err, httpconn.ErrNotWritten)
	if written {
		x.mayHaveRun(worker)
	}
	if ctx.Err() != nil {
		return true, x.ended(ctx)
	}
	cause := context.Cause(limited)
	x.noteFailure(worker, err, cause)
	if !written {
		x.notReached(worker, err)
		return false, nil
	}
	silent := errors.Is(cause, errSilent)
	switch {
	case silent: // which says nothing of the worker
	case errors.Is(cause, errUnreachable): // and may work on the request all the same
		worker.Unreachable(time.Now())
		x.exclude(id)
	default:
		worker.Broke(time.Now())
		x.attempts.noteBreak(id, err)
	}
	if !x.route.Repeatable() {
		return true, fault.New(fault.EngineFailed, "the worker broke off", "look up whether it took effect before sending it again").WithRan(fault.RanUnknown)
	}
	if silent {
		return false, nil // the worker is there: it is asked again, on a new connection
	}
	if x.mayRunElsewhere() {
		x.exclude(id)
	}
	return false, nil
}
