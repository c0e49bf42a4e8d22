package gateway

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/cloverwheel/cloverwheel/internal/chat"
	"github.com/cloverwheel/cloverwheel/internal/dispatch"
	"github.com/cloverwheel/cloverwheel/internal/fault"
	"github.com/cloverwheel/cloverwheel/internal/gateway/wire"
	"github.com/cloverwheel/cloverwheel/internal/id"
)

// defaultModel lets stock clients, which must name a model, leave the choice to
// the template.
const defaultModel = "default"

// completeChat answers POST /v1/chat/completions.
func (g *Gateway) completeChat(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	var body wire.CompletionRequest
	err := g.readJSON(w, r, &body, lenient)
	if err == nil {
		err = g.checkFresh()
	}
	if err != nil {
		g.fail(w, r, err)
		return
	}
	request, err := g.completionCall(r, body)
	if err != nil {
		g.fail(w, r, err)
		return
	}
	request.Arrived = arrived
	asked := g.callQuery(request)
	asked.model = body.Model
	asked.stream = body.Stream
	asked.usage = body.StreamOptions != nil && body.StreamOptions.IncludeUsage
	asked.explain = func(ctx context.Context, failure *fault.Error) *fault.Error {
		return g.explainRefusal(ctx, request, r.Header.Get(wire.HeaderKey) != "", failure)
	}
	g.reply(w, r, asked)
}

// completionCall turns a completion, which repeats the whole conversation, into
// a call with the new messages only.
func (g *Gateway) completionCall(r *http.Request, body wire.CompletionRequest) (dispatch.CallRequest, error) {
	program := id.Program(r.Header.Get(wire.HeaderProgram))
	if program == "" {
		return dispatch.CallRequest{}, fault.Newf(fault.Invalid, "create a program and send its id",
			"the %s header is missing", wire.HeaderProgram)
	}
	noteProgram(r.Context(), program)
	if body.Choices > 1 {
		return dispatch.CallRequest{}, fault.New(fault.Invalid, "n is more than 1", "ask for one answer a call")
	}
	messages, err := wire.Histories(body.Messages)
	if err != nil {
		return dispatch.CallRequest{}, err
	}
	key := r.Header.Get(wire.HeaderKey)
	if err := checkKey(key); err != nil {
		return dispatch.CallRequest{}, err
	}
	request := dispatch.CallRequest{
		Program:    program,
		Tenant:     tenantOf(r.Context()),
		Key:        key,
		Adapter:    id.Adapter(body.Adapter),
		MaxTokens:  max(body.MaxTokens, body.MaxCompletionTokens),
		Repeatable: true,
	}
	if body.Model != defaultModel {
		request.Model = id.Model(body.Model)
	}
	return request, g.continueHistory(r.Context(), messages, &request)
}

// continueHistory fills in the new messages of a conversation, their key and
// their number. What precedes the last assistant message is the conversation
// of the call before, whose key is made from it: so that call's answer, found by
// that key, proves the whole prefix by induction, with one read a turn.
func (g *Gateway) continueHistory(ctx context.Context, messages []chat.Message, request *dispatch.CallRequest) error {
	if len(messages) == 0 || messages[len(messages)-1].Role == chat.Assistant {
		return fault.New(fault.Invalid, "the conversation has no new messages", "end it with a user or tool message")
	}
	ownKey := request.Key != ""
	if !ownKey {
		request.Key = conversationKey(messages)
	}
	answered := lastAnswer(messages)
	if answered < 0 {
		request.Messages, request.Number = messages, 1
		return nil
	}
	previous, err := g.previousAnswer(ctx, request, messages[:answered], ownKey)
	if fault.Is(err, fault.NotFound) {
		return g.firstCall(ctx, messages, request)
	}
	if err != nil {
		return err
	}
	if !sameAnswer(previous.Message, messages[answered]) {
		return diverged()
	}
	request.Messages, request.Number = messages[answered+1:], previous.Call+1
	return nil
}

func lastAnswer(messages []chat.Message) int {
	for position, message := range slices.Backward(messages) {
		if message.Role == chat.Assistant {
			return position
		}
	}
	return -1
}

// previousAnswer finds the answer to the conversation before. A caller with
// keys of its own is matched by the number of answers instead.
func (g *Gateway) previousAnswer(ctx context.Context, request *dispatch.CallRequest, before []chat.Message, ownKey bool) (dispatch.Answer, error) {
	lookup := dispatch.FetchRequest{Program: request.Program, Tenant: request.Tenant, Key: conversationKey(before)}
	previous, err := g.collect(ctx, g.fetchQuery(lookup))
	if !ownKey || !fault.Is(err, fault.NotFound) {
		return previous, err
	}
	lookup.Key, lookup.Call = "", 1
	for _, message := range before {
		if message.Role == chat.Assistant {
			lookup.Call++
		}
	}
	return g.collect(ctx, g.fetchQuery(lookup))
}

// firstCall accepts a conversation that brings its own examples of answers, if
// the program has made no call yet.
func (g *Gateway) firstCall(ctx context.Context, messages []chat.Message, request *dispatch.CallRequest) error {
	shown, err := g.show(ctx, request.Program, request.Tenant)
	if err != nil {
		return err
	}
	if shown.Turns > 0 {
		return diverged()
	}
	request.Messages, request.Number = messages, 1
	return nil
}

// explainRefusal names the cause where the leader can't know it: the number and
// perhaps the key of a completion were chosen here.
func (g *Gateway) explainRefusal(ctx context.Context, request dispatch.CallRequest, ownKey bool, failure *fault.Error) *fault.Error {
	if failure.Code == fault.KeyReused && !ownKey {
		return fault.New(wire.HistoryDiverged, "this conversation was answered before under another model, adapter or token limit",
			"repeat it unchanged to read that answer").WithRan(failure.Ran)
	}
	if failure.Code != fault.Invalid && failure.Code != fault.Conflict {
		return failure
	}
	shown, err := g.show(ctx, request.Program, request.Tenant)
	if err == nil && uint64(shown.Turns) >= request.Number {
		return diverged().WithRan(failure.Ran)
	}
	return failure
}

func diverged() *fault.Error {
	return fault.New(wire.HistoryDiverged, "these messages do not continue the program's history",
		"send every earlier message and answer unchanged, or create a new program")
}

// sameAnswer compares what a caller returned with what it was answered.
func sameAnswer(kept, returned chat.Message) bool {
	return kept.Content == returned.Content && slices.Equal(kept.ToolCalls, returned.ToolCalls)
}

// conversationKey is the idempotency key of the call that a whole conversation
// asks for.
func conversationKey(messages []chat.Message) string {
	digest := sha256.New()
	field := func(text string) {
		_, _ = digest.Write([]byte(strconv.Itoa(len(text)) + ":" + text))
	}
	for _, message := range messages {
		field(string(message.Role))
		field(message.Content)
		field(message.ToolCallID)
		field(strconv.Itoa(len(message.ToolCalls)))
		for _, call := range message.ToolCalls {
			field(call.ID)
			field(call.Name)
			field(call.Arguments)
		}
	}
	return "conversation-" + hex.EncodeToString(digest.Sum(nil))
}
