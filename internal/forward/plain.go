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
	// maxBufferedAnswer is the largest answer, in bytes, that is read completely before it is
	// passed on, so that a truncated one can still be replaced.
	maxBufferedAnswer = 256 << 10
	// relayBufferBytes is the size of the buffer of an answer that is relayed as it arrives. Many clients that do not read hold one each.
	relayBufferBytes = 16 << 10
	// safeIdleTimeout is how long a safe request waits for data before the node checks whether
	// the worker still accepts connections.
	safeIdleTimeout = 100 * time.Millisecond
)

// servePlain serves a request whose answer is not a stream.
func (x *exchange) servePlain(ctx context.Context) *fault.Error {
	x.service = x.route.Service(x.route.Draw())
	x.body = [][]byte{x.request.Body}
	if refusal := x.takeFromLimit(ctx); refusal != nil {
		return refusal
	}
	for x.sends < maxSends {
		worker, cleared, refusal := x.nextWorker(ctx)
		if refusal != nil {
			return refusal
		}
		if !cleared {
			continue
		}
		done, refusal := x.tryPlain(ctx, worker)
		x.releaseWorker()
		if done {
			return refusal
		}
		if ctx.Err() != nil {
			return x.endedError(ctx)
		}
	}
	return x.exhaustedError()
}

// exhaustedError returns the final answer when the request may not be sent again.
func (x *exchange) exhaustedError() *fault.Error {
	if !x.attempts.any() {
		return x.noWorkerError(fault.Newf(fault.Unavailable, "retry after the delay in Retry-After", "no worker of service %q can be reached", x.service))
	}
	return fault.New(fault.EngineFailed, "the worker failed before the answer was complete", "send the request again if it may be repeated").WithRan(fault.RanUnknown)
}

// tryPlain sends the request to one worker. If done, the request is over: with the refusal, or
// with an answer already passed on.
func (x *exchange) tryPlain(ctx context.Context, worker *backend.Worker) (done bool, refusal *fault.Error) {
	defer worker.Begin()()
	repeatable := x.route.Repeatable()
	limited, watcher := x.watch(ctx, worker, safeIdleTimeout, !repeatable)
	if !repeatable {
		watcher.timer.Stop()
	}
	defer watcher.stop()
	answer, err := x.send(limited, worker)
	if err != nil {
		return x.handleFailure(ctx, limited, worker, err)
	}
	defer answer.Close(false)
	if answer.Declined {
		return x.handleDecline(worker, answer), nil
	}
	if repeatable {
		watcher.received()
		answer.Body = &watchedBody{Reader: answer.Body, watcher: watcher}
	}
	x.recordAttempt(worker)
	release, buffered := x.reserveBuffer(answer)
	if !buffered {
		return true, x.relayAnswer(ctx, worker, watcher, answer, nil)
	}
	defer release()
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxBufferedAnswer+1))
	if err != nil {
		return x.handleFailure(ctx, limited, worker, err)
	}
	if len(body) > maxBufferedAnswer {
		return true, x.relayAnswer(ctx, worker, watcher, answer, body)
	}
	answer.Close(true)
	x.recordHarmless()
	if answer.Status >= http.StatusInternalServerError {
		worker.RecordFailure(time.Now())
		x.recordSendFailure(worker, strconv.Itoa(answer.Status))
		if repeatable && x.mayRunElsewhere() {
			x.exclude(worker.Key())
			return false, nil
		}
	} else {
		worker.RecordSuccess()
	}
	return true, x.writeAnswer(answer, body)
}

// reserveBuffer reports whether the answer is to be read completely before it is passed on, and
// reserves the memory for it until release is called. Without the reservation, slow clients could
// hold as many buffered answers as there are connections. An answer that gets no memory is
// relayed as it arrives.
func (x *exchange) reserveBuffer(answer *Answer) (release func(), held bool) {
	if answer.Length > maxBufferedAnswer {
		return nil, false
	}
	if x.options.ReserveMemory == nil {
		return func() {}, true
	}
	bytes := answer.Length
	if bytes < 0 {
		bytes = maxBufferedAnswer
	}
	return x.options.ReserveMemory(bytes)
}

// writeAnswer sends a complete answer to the client. If that fails, the client has disconnected.
func (x *exchange) writeAnswer(answer *Answer, body []byte) *fault.Error {
	x.answered = true
	if err := x.out.Answer(answer.Status, answer.Header, body); err != nil {
		return fault.Newf(fault.DeadlinePassed, "no action is needed", "the client disconnected before the answer was written: %v", err).WithRan(fault.RanYes)
	}
	return nil
}

// relayAnswer relays an answer that is not buffered. prefix is what was already read of it.
func (x *exchange) relayAnswer(ctx context.Context, worker *backend.Worker, watcher *watchdog, answer *Answer, prefix []byte) *fault.Error {
	x.headSent = true
	if err := x.out.WriteHead(answer.Status, answer.Header, answer.Length); err != nil {
		return x.endedError(x.clientCtx)
	}
	buffer := make([]byte, relayBufferBytes)
	piece := prefix
	for {
		if len(piece) > 0 {
			watcher.relaying.Store(true)
			err := x.out.Write(piece)
			watcher.delivered(time.Now())
			if err != nil {
				return x.endedError(x.clientCtx)
			}
		}
		count, err := answer.Body.Read(buffer)
		piece = buffer[:count]
		if errors.Is(err, io.EOF) && count == 0 {
			answer.Close(true)
			x.recordHarmless()
			x.out.End()
			return nil
		}
		if err != nil && !errors.Is(err, io.EOF) {
			x.attempts.recordBreak(worker.Key(), err)
			x.checkEnded(ctx, worker, err)
			return x.exhaustedError()
		}
	}
}

// handleDecline records that a worker did not run the request. It returns false: another worker
// may be tried.
func (x *exchange) handleDecline(worker *backend.Worker, answer *Answer) bool {
	skipped, err := io.Copy(io.Discard, io.LimitReader(answer.Body, maxBufferedAnswer))
	answer.Close(err == nil && skipped < maxBufferedAnswer)
	worker.RecordRefusal(time.Now())
	x.slot.MarkDeclined()
	x.recordSendFailure(worker, "declined")
	x.declines++
	if answer.OtherProcess && x.attempts.supplanted(worker.Key()) {
		x.dropAttempt(worker, observedSupplanted)
	}
	x.reportDecline()
	x.exclude(worker.Key())
	x.options.Metrics.Declines.Inc()
	return false
}

// handleUnreached excludes a worker to which nothing was written. A worker at its connection
// limit counts as having declined the request.
func (x *exchange) handleUnreached(worker *backend.Worker, err error) {
	id := worker.Key()
	x.exclude(id)
	if errors.Is(err, httpconn.ErrConnectionLimit) {
		worker.RecordRefusal(time.Now())
		x.declines++
		return
	}
	worker.RecordUnreachable(time.Now())
	if x.attempts.processEnded(id, err) {
		x.dropAttempt(worker, observedEnded)
	}
}

// handleFailure decides what a failed exchange means: whether the request is over (done) or may
// be sent again.
func (x *exchange) handleFailure(ctx, limited context.Context, worker *backend.Worker, err error) (bool, *fault.Error) {
	id := worker.Key()
	written := !errors.Is(err, httpconn.ErrNotWritten)
	if written {
		x.recordAttempt(worker)
	}
	if ctx.Err() != nil {
		return true, x.endedError(ctx)
	}
	cause := context.Cause(limited)
	x.logFailure(worker, err, cause)
	if !written {
		x.handleUnreached(worker, err)
		return false, nil
	}
	deadConnection := errors.Is(cause, errDeadConnection)
	switch {
	case deadConnection: // the worker itself may be healthy
		x.attempts.recordAbandoned(id)
	case errors.Is(cause, errUnreachable): // the worker may still run the request
		worker.RecordUnreachable(time.Now())
		x.attempts.recordAbandoned(id)
		x.exclude(id)
	default:
		worker.RecordFailure(time.Now())
		x.attempts.recordBreak(id, err)
		x.checkEnded(ctx, worker, err)
	}
	if !x.route.Repeatable() {
		return true, fault.New(fault.EngineFailed, "the connection to the worker broke", "check whether the request took effect before sending it again").WithRan(fault.RanUnknown)
	}
	if deadConnection {
		return false, nil // the worker accepts connections: retry it on a new one
	}
	if x.mayRunElsewhere() {
		x.exclude(id)
	}
	return false, nil
}
