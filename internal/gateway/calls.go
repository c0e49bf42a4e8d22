package gateway

import (
	"net/http"
	"strconv"
	"time"

	"github.com/google/uuid"
	"github.com/gorilla/mux"

	"github.com/cloverwheel/cloverwheel/internal/dispatch"
	"github.com/cloverwheel/cloverwheel/internal/fault"
	"github.com/cloverwheel/cloverwheel/internal/gateway/wire"
	"github.com/cloverwheel/cloverwheel/internal/id"
)

// postCall answers POST /v1/programs/{program}/calls.
func (g *Gateway) postCall(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	var body wire.Call
	err := g.readJSON(w, r, &body, strict)
	if err == nil {
		err = g.checkFresh()
	}
	if err != nil {
		g.fail(w, r, err)
		return
	}
	request, err := callRequest(programOf(r), tenantOf(r.Context()), body, r.Header.Get(wire.HeaderKey), arrived)
	if err != nil {
		g.fail(w, r, err)
		return
	}
	asked := g.callQuery(request)
	asked.stream = body.Stream
	asked.usage = true
	g.reply(w, r, asked)
}

func callRequest(program id.Program, tenant id.Tenant, body wire.Call, headerKey string, arrived time.Time) (dispatch.CallRequest, error) {
	key, err := chooseKey(headerKey, body.Key)
	if err != nil {
		return dispatch.CallRequest{}, err
	}
	messages, err := wire.Histories(body.Messages)
	if err != nil {
		return dispatch.CallRequest{}, err
	}
	if len(messages) == 0 && body.Tool == nil {
		return dispatch.CallRequest{}, fault.New(fault.Invalid, "the call has neither messages nor a tool", "send the program's new messages")
	}
	if body.MaxTokens < 0 {
		return dispatch.CallRequest{}, fault.New(fault.Invalid, "max_tokens is negative", "send a positive number, or none for the template's default")
	}
	request := dispatch.CallRequest{
		Program:       program,
		Tenant:        tenant,
		Key:           key,
		Number:        body.Number,
		Messages:      messages,
		Model:         id.Model(body.Model),
		Adapter:       id.Adapter(body.Adapter),
		MaxTokens:     body.MaxTokens,
		Repeatable:    body.Repeatable == nil || *body.Repeatable,
		Arrived:       arrived,
		ExpectedPause: seconds(body.ExpectedPauseSeconds),
	}
	if body.Tool != nil {
		request.Tool = &dispatch.ToolCall{Name: body.Tool.Name, Arguments: body.Tool.Arguments, CallID: body.Tool.CallID}
	}
	return request, nil
}

// chooseKey takes the key of the header or the body, or makes one.
func chooseKey(header, body string) (string, error) {
	if header != "" && body != "" && header != body {
		return "", fault.Newf(fault.Invalid, "send one of them", "the body's key and the %s header differ", wire.HeaderKey)
	}
	key := header
	if key == "" {
		key = body
	}
	if key == "" {
		key = uuid.NewString()
	}
	return key, checkKey(key)
}

// fetchByNumber answers GET /v1/programs/{program}/calls/{number}.
func (g *Gateway) fetchByNumber(w http.ResponseWriter, r *http.Request) {
	number, err := strconv.ParseUint(mux.Vars(r)["number"], 10, 64)
	if err != nil || number == 0 {
		g.fail(w, r, fault.New(fault.Invalid, "calls are numbered from 1", "send the number that the call's answer carried"))
		return
	}
	g.fetch(w, r, dispatch.FetchRequest{Call: number})
}

// fetchByKey answers GET /v1/programs/{program}/calls?key=KEY.
func (g *Gateway) fetchByKey(w http.ResponseWriter, r *http.Request) {
	key := r.URL.Query().Get("key")
	if key == "" {
		g.fail(w, r, fault.New(fault.Invalid, "no key given", "send the call's idempotency key as ?key=, or ask by number"))
		return
	}
	g.fetch(w, r, dispatch.FetchRequest{Key: key})
}

// fetch answers whole, or as a stream to those who accept one or resume one.
func (g *Gateway) fetch(w http.ResponseWriter, r *http.Request, request dispatch.FetchRequest) {
	resume := r.Header.Get(wire.HeaderResume)
	from, err := parsePosition(resume)
	if err != nil {
		g.fail(w, r, err)
		return
	}
	request.Program = programOf(r)
	request.Tenant = tenantOf(r.Context())
	asked := g.fetchQuery(request)
	asked.from = from
	asked.stream = resume != "" || r.Header.Get("Accept") == wire.MediaEvents || r.URL.Query().Get("stream") == "true"
	asked.usage = true
	g.reply(w, r, asked)
}
