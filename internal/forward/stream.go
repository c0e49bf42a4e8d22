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
	"github.com/cloverwheel/cloverwheel/internal/wait"
)

const (
	// streamStall is how long a stream may be silent before it is looked whether
	// its worker is still there.
	streamStall = 200 * time.Millisecond
	// resendPause is the pause before a request goes to the same worker again,
	// growing with each time.
	resendPause = 15 * time.Millisecond
)

// unknownLength is the length of a stream: it may be taken up by another worker.
const unknownLength = -1

// errClient is a client that no longer takes what it is sent.
var errClient = errors.New("the client left")

// errSlowClient is a stream that its worker broke off after its client had not taken what came for
// slowClient or longer: workers cut off answers that are not read for some seconds.
var errSlowClient = errors.New("the client takes its answer too slowly, and the worker cut it off")

// slowClient is how long a client must have kept the node from reading for that. Workers wait for
// some seconds; an event is usually taken in well below a millisecond.
const slowClient = time.Second

// stream passes a worker's events on until their proper end. Where the route
// allows it, a stream that breaks is taken up again after the last event.
func (x *exchange) stream(ctx context.Context, perEvent int) *fault.Error {
	x.clock.enter(stepPlace, time.Now())
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
		done, refusal := x.tryStream(ctx, worker, perEvent)
		x.leavePlace()
		if done {
			return refusal
		}
		x.clock.enter(stepPlace, time.Now())
		x.pauseBeforeResend(ctx)
		if ctx.Err() != nil {
			return x.ended(ctx)
		}
	}
	return x.exhausted()
}

func (x *exchange) pauseBeforeResend(ctx context.Context) {
	if len(x.attempts.counted) == 0 {
		return
	}
	_ = wait.For(ctx, time.Duration(x.sends)*resendPause)
}

// tryStream asks one worker. done means that nothing more is to be asked.
func (x *exchange) tryStream(ctx context.Context, worker *backend.Worker, perEvent int) (done bool, refusal *fault.Error) {
	defer worker.Begin()()
	limited, dog := x.watch(ctx, worker, streamStall, false)
	defer dog.stop()
	x.clock.enter(stepFirstEvent, time.Now())
	defer x.noteNoFirst()
	answer, err := x.send(limited, worker)
	if err != nil {
		return x.failed(ctx, limited, worker, err)
	}
	defer answer.Close(false)
	if answer.Declined {
		return x.declined(worker, answer), nil
	}
	x.mayHaveRun(worker)
	if answer.Status != http.StatusOK || !answer.Stream {
		return x.otherAnswer(ctx, limited, worker, answer)
	}
	err = x.passEvents(worker, dog, answer, perEvent)
	switch {
	case err == nil:
		answer.Close(true)
		return true, nil
	case errors.Is(err, errClient):
		return true, x.ended(ctx)
	case errors.Is(err, errSlowClient):
		x.noteTried(worker, "unread")
		return true, fault.New(fault.DeadlinePassed, errSlowClient.Error(), "read faster, or send the request again if it may be repeated").WithRan(fault.RanUnknown)
	default:
		return x.failed(ctx, limited, worker, err)
	}
}

// otherAnswer handles an answer that is no stream.
func (x *exchange) otherAnswer(ctx, limited context.Context, worker *backend.Worker, answer *Answer) (bool, *fault.Error) {
	body, err := io.ReadAll(io.LimitReader(answer.Body, wholeBytes))
	if err != nil {
		return x.failed(ctx, limited, worker, err)
	}
	answer.Close(true)
	failure := answer.Status >= http.StatusInternalServerError
	if failure {
		worker.Broke(time.Now())
		x.noteTried(worker, strconv.Itoa(answer.Status))
	}
	if failure && x.route.Repeatable() && x.sends < maxSends {
		if x.mayRunElsewhere() {
			x.exclude(worker.Key())
		}
		return false, nil
	}
	if x.started {
		return true, x.exhausted()
	}
	if refusal := x.whole(answer, body); refusal != nil {
		return true, refusal
	}
	return true, fault.New(fault.EngineFailed, "the worker answered without a stream", "see the worker's own answer").WithRan(fault.RanYes)
}

// passEvents passes whole events on until the stream's proper end.
func (x *exchange) passEvents(worker *backend.Worker, dog *watchdog, answer *Answer, perEvent int) error {
	reader := eventstream.NewReader(answer.Body)
	var before time.Time
	var took time.Duration // until the client had taken the event before
	for {
		event, err := reader.Next()
		if errors.Is(err, io.EOF) {
			worker.Answered()
			return x.start(answer)
		}
		if err != nil && took >= slowClient {
			return errors.Join(errSlowClient, err)
		}
		if err != nil {
			return err
		}
		dog.heard()
		if x.has(event) {
			continue
		}
		came := time.Now()
		x.clock.enter(stepStream, came)
		dog.passing.Store(true)
		err = x.passEvent(answer, event)
		now := time.Now()
		dog.taken(now)
		if err != nil {
			return err
		}
		took = now.Sub(came)
		if !before.IsZero() && perEvent > 0 {
			worker.Paced(now.Sub(before) / time.Duration(perEvent))
		}
		before = now
	}
}

// has reports whether the client has the event already: ids rise.
func (x *exchange) has(event eventstream.Event) bool {
	last, err := strconv.ParseUint(x.lastEvent, 10, 64)
	if err != nil {
		return false
	}
	id, err := strconv.ParseUint(string(event.ID), 10, 64)
	return err == nil && id <= last
}

// start passes the head of the first worker's answer on, once.
func (x *exchange) start(answer *Answer) error {
	if x.started {
		return nil
	}
	x.started = true
	x.noteFirst()
	x.options.Metrics.FirstEvent.Observe(time.Since(x.begun).Seconds())
	if err := x.out.Start(answer.Status, answer.Header, unknownLength); err != nil {
		return errClient
	}
	return nil
}

func (x *exchange) passEvent(answer *Answer, event eventstream.Event) error {
	if err := x.start(answer); err != nil {
		return err
	}
	x.events++
	if x.route.Retain {
		x.output = append(append(x.output, event.Data...), '\n')
	}
	if len(event.ID) > 0 {
		x.lastEvent = string(event.ID)
	}
	if err := x.out.Event(event.Raw); err != nil {
		return errClient
	}
	return nil
}
