package gateway

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/cloverwheel/cloverwheel/internal/dispatch"
	"github.com/cloverwheel/cloverwheel/internal/fault"
	"github.com/cloverwheel/cloverwheel/internal/gateway/wire"
	"github.com/cloverwheel/cloverwheel/internal/id"
	"github.com/cloverwheel/cloverwheel/internal/peer"
)

// query is one request for an answer, new or past.
type query struct {
	program id.Program
	key     string
	model   string
	stream  bool
	usage   bool     // stream the usage as well
	from    position // what the caller already has
	open    open
	// explain may turn an error of the leader into one that says more; nil keeps it.
	explain func(context.Context, *fault.Error) *fault.Error
}

func (q query) explained(ctx context.Context, failure *fault.Error) *fault.Error {
	if q.explain == nil {
		return failure
	}
	return q.explain(ctx, failure)
}

// callQuery asks the leader to run a call or to join its stream.
func (g *Gateway) callQuery(request dispatch.CallRequest) query {
	return query{
		program: request.Program,
		key:     request.Key,
		model:   string(request.Model),
		open: func(ctx context.Context, address peer.Address, from place, receive func(dispatch.CallEvent) error) error {
			repeated := request
			repeated.Offset, repeated.Attempt, repeated.Received = from.offset, from.attempt, from.text
			return peer.InvokeStream(ctx, g.options.Transport, address, dispatch.MethodCall, repeated, receive)
		},
	}
}

// fetchQuery asks the leader for a past or running call's answer.
func (g *Gateway) fetchQuery(request dispatch.FetchRequest) query {
	return query{
		program: request.Program,
		key:     request.Key,
		open: func(ctx context.Context, address peer.Address, from place, receive func(dispatch.CallEvent) error) error {
			repeated := request
			repeated.Offset, repeated.Attempt, repeated.Received = from.offset, from.attempt, from.text
			return peer.InvokeStream(ctx, g.options.Transport, address, dispatch.MethodFetch, repeated, receive)
		},
	}
}

// ask starts following an answer. It outlives the caller's connection until
// the leader has surely accepted the call.
func (g *Gateway) ask(ctx context.Context, q query) *answerBuffer {
	target := newAnswerBuffer(q.from)
	detached, cancel := context.WithCancel(context.WithoutCancel(ctx))
	finished := make(chan struct{})
	go func() {
		defer cancel()
		defer close(finished)
		g.forward.follow(detached, q.program, q.open, target)
	}()
	context.AfterFunc(ctx, func() {
		target.abandon()
		select {
		case <-finished:
		case <-time.After(g.options.Patience):
			cancel()
		}
	})
	return target
}

// wholeOnly is an offset after every text, so that the leader sends the whole
// answer at its end and no pieces before.
const wholeOnly = 1 << 30

// collect waits for the whole answer.
func (g *Gateway) collect(ctx context.Context, q query) (dispatch.Answer, error) {
	q.from = position{tokens: wholeOnly}
	target := g.ask(ctx, q)
	for {
		select {
		case <-target.ready:
		case <-ctx.Done():
			g.metrics.abandoned.Inc()
			return dispatch.Answer{}, ctx.Err()
		}
		taken := target.take()
		if taken.failure != nil {
			return dispatch.Answer{}, q.explained(ctx, taken.failure)
		}
		if taken.answer != nil {
			return *taken.answer, nil
		}
	}
}

// reply answers a caller whole or as a stream.
func (g *Gateway) reply(w http.ResponseWriter, r *http.Request, q query) {
	noteProgram(r.Context(), q.program)
	if q.stream {
		g.streamReply(w, r, q)
		return
	}
	answer, err := g.collect(r.Context(), q)
	if err != nil {
		setAnswerHeaders(w.Header(), q, 0)
		g.fail(w, r, err)
		return
	}
	noteCall(r.Context(), answer.Call)
	setAnswerHeaders(w.Header(), q, answer.Call)
	writeJSON(w, http.StatusOK, completionOf(q, answer))
}

func setAnswerHeaders(header http.Header, q query, call uint64) {
	header.Set(wire.HeaderProgram, string(q.program))
	if q.key != "" {
		header.Set(wire.HeaderKey, q.key)
	}
	if call > 0 {
		header.Set(wire.HeaderCall, strconv.FormatUint(call, 10))
	}
}

func completionOf(q query, answer dispatch.Answer) wire.Completion {
	return wire.Completion{
		ID:      completionID(q.program, answer.Call),
		Object:  wire.ObjectCompletion,
		Created: time.Now().Unix(),
		Model:   q.model,
		Choices: []wire.Choice{{Message: wire.FromHistory(answer.Message), FinishReason: answer.FinishReason}},
		Usage:   wire.FromUsage(answer.Usage),
		Program: string(q.program),
		Call:    answer.Call,
		Key:     q.key,
	}
}

func completionID(program id.Program, call uint64) string {
	return "chatcmpl-" + string(program) + "-" + strconv.FormatUint(call, 10)
}

// checkFresh refuses new work while the configuration may be out of date, and
// before the cluster has one at all.
func (g *Gateway) checkFresh() error {
	if err := g.options.Config.Fresh(); err != nil {
		return fault.From(err)
	}
	if g.options.Config.Current().Version == 0 {
		return fault.New(fault.StaleConfiguration, "the cluster has no configuration yet", "apply one with 'cloverwheel template apply'").
			WithRetryAfter(unconfiguredRetryAfter)
	}
	return nil
}

// unconfiguredRetryAfter is when a caller of a new cluster comes back.
const unconfiguredRetryAfter = time.Second
