package forward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cloverwheel/cloverwheel/internal/backend"
	"github.com/cloverwheel/cloverwheel/internal/eventstream"
	"github.com/cloverwheel/cloverwheel/internal/fault"
	"github.com/cloverwheel/cloverwheel/internal/memory"
	"github.com/cloverwheel/cloverwheel/internal/timing"
)

const (
	// streamIdleTimeout is how long a stream may go without data before the node checks whether its
	// worker still accepts connections.
	streamIdleTimeout = 200 * time.Millisecond
	// resendDelay, times the number of sends so far, is the delay before the request is sent
	// again after a failure.
	resendDelay = 15 * time.Millisecond
)

// unknownLength is the length of every stream, since another worker may resume it.
const unknownLength = -1

// errClientGone reports that the client no longer accepts data.
var errClientGone = errors.New("the client disconnected")

// errSlowClient reports that the worker closed a stream after the client had blocked it for
// slowClientDelay or longer. Workers close connections that are not read for some seconds.
var errSlowClient = errors.New("the client read the answer too slowly, and the worker closed the connection")

// errNoOutputMemory reports that the node has too little memory to hold the output of a turn that it stores.
var errNoOutputMemory = errors.New("not enough memory for the output of the turn; send the turn again")

const (
	// freeOutputBytes is the size of a turn's output up to which it needs no reservation, and outputStep the step in which memory
	// for longer ones is reserved, in bytes.
	freeOutputBytes = 16 << 10
	outputStep      = 64 << 10
	// keptOutputFactor is the memory that a byte of a turn's output takes: as it grows, it is copied. copiedOutputFactor is the same if the
	// output is copied to other nodes: it is held twice, and sent.
	keptOutputFactor   = 2
	copiedOutputFactor = 5
)

// slowClientDelay is the least write time of an event after which a broken stream is attributed
// to the client. Workers wait for several seconds; an event is usually written in well below a
// millisecond.
const slowClientDelay = time.Second

// errTooManyEvents reports that a worker sent more events than the request may generate. Its tokens were not reserved.
var errTooManyEvents = errors.New("the worker sent more events than the request may generate; check the worker")

// serveStream relays a worker's events until the proper end of the stream. If the route allows
// it, a broken stream is resumed after the last event.
func (x *exchange) serveStream(ctx context.Context, perEvent int) *fault.Error {
	x.clock.enter(stepPlace, time.Now())
	for x.sends < maxSends {
		worker, cleared, refusal := x.nextWorker(ctx)
		if refusal != nil {
			return refusal
		}
		if !cleared {
			continue
		}
		done, refusal := x.tryStream(ctx, worker, perEvent)
		x.releaseWorker()
		if done {
			return refusal
		}
		x.clock.enter(stepPlace, time.Now())
		x.delayResend(ctx)
		if ctx.Err() != nil {
			return x.endedError(ctx)
		}
	}
	return x.exhaustedError()
}

func (x *exchange) delayResend(ctx context.Context) {
	if len(x.attempts.counted) == 0 {
		return
	}
	_ = timing.Sleep(ctx, time.Duration(x.sends)*resendDelay)
}

// tryStream sends the request to one worker. If done, the request is over; otherwise it may be
// sent again.
func (x *exchange) tryStream(ctx context.Context, worker *backend.Worker, perEvent int) (done bool, refusal *fault.Error) {
	defer worker.Begin()()
	limited, watcher := x.watch(ctx, worker, streamIdleTimeout, false)
	defer watcher.stop()
	x.clock.enter(stepFirstEvent, time.Now())
	defer x.reportNoFirstEvent()
	answer, err := x.send(limited, worker)
	if err != nil {
		return x.handleFailure(ctx, limited, worker, err)
	}
	defer answer.Close(false)
	if answer.Declined {
		return x.handleDecline(worker, answer), nil
	}
	x.recordAttempt(worker)
	if answer.Status != http.StatusOK || !answer.Stream {
		return x.handleNonStream(ctx, limited, worker, watcher, answer)
	}
	err = x.relayEvents(worker, watcher, answer, perEvent)
	switch {
	case err == nil:
		answer.Close(true)
		x.recordHarmless()
		return true, nil
	case errors.Is(err, errClientGone):
		return true, x.endedError(ctx)
	case errors.Is(err, errSlowClient):
		x.recordSendFailure(worker, "unread")
		return true, fault.New(fault.DeadlinePassed, errSlowClient.Error(), "read the answer faster, or send the request again if it may be repeated").WithRan(fault.RanUnknown)
	case errors.Is(err, errNoOutputMemory) || errors.Is(err, eventstream.ErrNoMemory): // other workers would change nothing
		x.recordSendFailure(worker, "no memory")
		return true, fault.New(fault.Overloaded, err.Error(), "check whether the request took effect before sending it again").WithRan(fault.RanUnknown)
	default:
		return x.handleFailure(ctx, limited, worker, err)
	}
}

// handleNonStream handles an answer that is not a stream.
func (x *exchange) handleNonStream(ctx, limited context.Context, worker *backend.Worker, watcher *watchdog, answer *Answer) (bool, *fault.Error) {
	answer.Body = &watchedBody{Reader: answer.Body, watcher: watcher}
	release, buffered := x.reserveBuffer(answer)
	if !buffered && x.headSent {
		return true, x.exhaustedError()
	}
	if !buffered {
		return true, x.relayAnswer(ctx, worker, watcher, answer, nil)
	}
	defer release()
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxBufferedAnswer+1))
	if err != nil {
		return x.handleFailure(ctx, limited, worker, err)
	}
	if len(body) > maxBufferedAnswer && !x.headSent {
		return true, x.relayAnswer(ctx, worker, watcher, answer, body)
	}
	answer.Close(len(body) <= maxBufferedAnswer)
	x.recordHarmless()
	failure := answer.Status >= http.StatusInternalServerError
	if failure {
		worker.RecordFailure(time.Now())
		x.recordSendFailure(worker, strconv.Itoa(answer.Status))
	}
	if failure && x.route.Repeatable() && x.sends < maxSends {
		if x.mayRunElsewhere() {
			x.exclude(worker.Key())
		}
		return false, nil
	}
	if x.headSent {
		return true, x.exhaustedError()
	}
	if refusal := x.writeAnswer(answer, body); refusal != nil {
		return true, refusal
	}
	return true, fault.New(fault.EngineFailed, "the worker's answer is not a stream", "see the worker's answer for its reason").WithRan(fault.RanYes)
}

// relayEvents relays complete events until the proper end of the stream.
func (x *exchange) relayEvents(worker *backend.Worker, watcher *watchdog, answer *Answer, perEvent int) error {
	buffer := memory.NewGrant(x.options.ReserveMemory)
	defer buffer.Release()
	reader := eventstream.NewReader(answer.Body, buffer)
	var previous time.Time
	var writeTime time.Duration // of the previous event to the client
	for {
		event, err := reader.Next()
		if errors.Is(err, io.EOF) {
			worker.RecordSuccess()
			return x.sendHead(answer)
		}
		if err != nil && writeTime >= slowClientDelay {
			return errors.Join(errSlowClient, err)
		}
		if err != nil {
			return err
		}
		watcher.received()
		if x.clientHas(event) {
			continue
		}
		if !event.IsComment && x.mayNotGenerateMore(perEvent) {
			return errTooManyEvents
		}
		receivedAt := time.Now()
		x.clock.enter(stepStream, receivedAt)
		watcher.relaying.Store(true)
		x.recordRelayed(worker)
		err = x.relayEvent(answer, event)
		now := time.Now()
		watcher.delivered(now)
		if err != nil {
			return err
		}
		writeTime = now.Sub(receivedAt)
		if !previous.IsZero() && perEvent > 0 {
			worker.RecordTokenTime(now.Sub(previous) / time.Duration(perEvent))
		}
		previous = now
	}
}

// mayNotGenerateMore reports whether the client has got as many events as the request may generate at most.
func (x *exchange) mayNotGenerateMore(perEvent int) bool {
	most := x.request.MaxOutputTokens
	return perEvent > 0 && most > 0 && x.events*perEvent >= most
}

// clientHas reports whether the client already has the event. Event IDs are ascending numbers.
func (x *exchange) clientHas(event eventstream.Event) bool {
	last, err := strconv.ParseUint(x.lastEventID, 10, 64)
	if err != nil {
		return false
	}
	id, err := strconv.ParseUint(string(event.ID), 10, 64)
	return err == nil && id <= last
}

// sendHead sends the head of the answer to the client, once per request.
func (x *exchange) sendHead(answer *Answer) error {
	if x.headSent {
		return nil
	}
	x.headSent = true
	x.reportFirstEvent()
	x.options.Metrics.FirstEvent.Observe(time.Since(x.startTime).Seconds())
	if err := x.out.WriteHead(answer.Status, answer.Header, unknownLength); err != nil {
		return errClientGone
	}
	return nil
}

// keepOutput appends an event's data to the output of a turn that is stored. It reports whether there is memory for it.
func (x *exchange) keepOutput(data []byte) bool {
	if !x.reserveOutput(len(x.output) + len(data) + len("\n")) {
		return false
	}
	x.output = append(append(x.output, data...), '\n')
	return true
}

// reserveOutput reserves the memory of an output with a length in bytes. It reports whether there is enough.
func (x *exchange) reserveOutput(length int) bool {
	return length <= freeOutputBytes || x.outputMemory.Grow(int64(length)*x.outputMemoryFactor(), outputStep)
}

// countEvent counts an event that the client gets next, and keeps it if the turn is stored. It reports whether there is memory for it.
func (x *exchange) countEvent(event eventstream.Event) bool {
	if x.route.StoreTurns && !x.keepOutput(event.Data) {
		return false
	}
	x.copyEvent(event)
	x.events++
	if len(event.ID) > 0 {
		x.lastEventID = string(event.ID)
	}
	return true
}

// relayEvent relays an event or a comment to the client.
func (x *exchange) relayEvent(answer *Answer, event eventstream.Event) error {
	if err := x.sendHead(answer); err != nil {
		return err
	}
	if !event.IsComment && !x.countEvent(event) {
		return errNoOutputMemory
	}
	if err := x.out.Write(event.Raw); err != nil {
		return errClientGone
	}
	return nil
}
