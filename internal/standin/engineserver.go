package standin

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/gorilla/mux"
	"github.com/rotisserie/eris"
	"github.com/tmaxmax/go-sse"

	"github.com/cloverwheel/cloverwheel/internal/engine"
	"github.com/cloverwheel/cloverwheel/internal/fault"
	"github.com/cloverwheel/cloverwheel/internal/httpjson"
)

// EngineFaultsPath is the administrative endpoint of an engine's own faults:
// GET shows them and PUT replaces them.
const EngineFaultsPath = "/admin/engine"

// EngineHandler serves an engine over HTTP.
func EngineHandler(e *Engine) http.Handler {
	router := mux.NewRouter()
	handleFaults(router, &e.Switch)
	handleEngineAdmin(router, e)
	handleStreams(router, e)
	handleCommands(router, e)
	handleReports(router, e)
	return router
}

func handleEngineAdmin(router *mux.Router, e *Engine) {
	router.HandleFunc(EngineFaultsPath, func(w http.ResponseWriter, _ *http.Request) {
		httpjson.Write(w, e.GetEngineFaults())
	}).Methods(http.MethodGet)
	router.HandleFunc(EngineFaultsPath, post(func(_ context.Context, faults EngineFaults) (any, error) {
		e.SetEngineFaults(faults)
		return faults, nil
	})).Methods(http.MethodPut)
	router.HandleFunc(RecordPath, func(w http.ResponseWriter, _ *http.Request) {
		httpjson.Write(w, e.Record())
	}).Methods(http.MethodGet)
}

func handleStreams(router *mux.Router, e *Engine) {
	router.HandleFunc(engine.GeneratePath, stream(e, func(ctx context.Context, body engine.GenerateBody, receive func(engine.Chunk) error) (engine.Outcome, error) {
		return e.Generate(ctx, engine.GenerateRequest(body), receive)
	})).Methods(http.MethodPost)
	router.HandleFunc(engine.ResumePath, stream(e, func(ctx context.Context, body engine.ResumeBody, receive func(engine.Chunk) error) (engine.Outcome, error) {
		return e.Resume(ctx, body.Request, body.Offset, receive)
	})).Methods(http.MethodPost)
}

func handleCommands(router *mux.Router, e *Engine) {
	command(router, engine.LookupPath, func(ctx context.Context, body engine.LookupBody) (any, error) {
		status, err := e.Lookup(ctx, body.Request)
		return engine.StatusBodyOf(status), err
	})
	command(router, engine.CancelPath, func(ctx context.Context, body engine.CancelBody) (any, error) {
		return empty{}, e.Cancel(ctx, body.Request, body.Fence)
	})
	command(router, engine.HoldPath, func(ctx context.Context, body engine.HoldBody) (any, error) {
		return empty{}, e.Hold(ctx, engine.Hold(body))
	})
	command(router, engine.ReleasePath, func(ctx context.Context, body engine.ReleaseBody) (any, error) {
		return empty{}, e.Release(ctx, body.Program, body.Fence)
	})
	command(router, engine.ExportPath, func(ctx context.Context, body engine.SegmentBody) (any, error) {
		key, err := e.Export(ctx, body.Program, body.Segment, body.Fence)
		return engine.KeyBody{Key: key}, err
	})
	command(router, engine.ImportPath, func(ctx context.Context, body engine.KeyBody) (any, error) {
		return empty{}, e.Import(ctx, body.Key, body.Fence)
	})
	command(router, engine.DropPath, func(ctx context.Context, body engine.SegmentBody) (any, error) {
		return empty{}, e.Drop(ctx, body.Segment, body.Fence)
	})
	command(router, engine.OrderPath, func(ctx context.Context, body engine.OrderBody) (any, error) {
		return empty{}, e.Order(ctx, engine.Order(body))
	})
}

func command[Request any](router *mux.Router, path string, handle func(context.Context, Request) (any, error)) {
	router.HandleFunc(path, post(handle)).Methods(http.MethodPost)
}

func handleReports(router *mux.Router, e *Engine) {
	router.HandleFunc(engine.EventsPath, func(w http.ResponseWriter, r *http.Request) {
		after, err := strconv.ParseUint(r.URL.Query().Get(engine.AfterParameter), 10, 64)
		if err != nil {
			answer(w, nil, fault.Newf(fault.Invalid, "give a sequence number", "unreadable parameter: %v", err))
			return
		}
		events, err := e.Events(r.Context(), after)
		body := engine.EventsBody{Events: make([]engine.EventBody, len(events))}
		for i, event := range events {
			body.Events[i] = engine.EventBodyOf(event)
		}
		answer(w, body, err)
	}).Methods(http.MethodGet)
	router.HandleFunc(engine.LoadPath, func(w http.ResponseWriter, r *http.Request) {
		report, err := e.Load(r.Context())
		answer(w, engine.LoadBody(report), err)
	}).Methods(http.MethodGet)
}

// generation is Generate or Resume on a request in its wire shape.
type generation[Body any] func(context.Context, Body, func(engine.Chunk) error) (engine.Outcome, error)

// stream serves a generation as server-sent events. A failure before the first
// event is an ordinary answer; a lost answer breaks the connection.
func stream[Body any](e *Engine, generate generation[Body]) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var body Body
		if err := httpjson.Read(w, r, maxRequest, &body); err != nil {
			httpjson.WriteError(w, err)
			return
		}
		session, err := sse.Upgrade(w, r)
		if err != nil {
			httpjson.WriteError(w, err)
			return
		}
		begun := false
		outcome, err := generate(r.Context(), body, func(chunk engine.Chunk) error {
			begun = true
			return sendEvent(session, chunkType, engine.ChunkBody(chunk))
		})
		switch {
		case err == nil:
			sendOutcome(session, outcome, e.GetEngineFaults().AnswerTwice)
		case begun && !lost(err):
			_ = sendEvent(session, errorType, httpjson.BodyOf(err))
		default:
			answer(w, nil, err)
		}
	}
}

// The types of events, checked once.
var (
	chunkType   = sse.Type(engine.ChunkEvent)
	outcomeType = sse.Type(engine.OutcomeEvent)
	errorType   = sse.Type(engine.ErrorEvent)
)

func sendOutcome(session *sse.Session, outcome engine.Outcome, twice bool) {
	body := engine.OutcomeBodyOf(outcome)
	if twice {
		_ = sendEvent(session, outcomeType, body)
	}
	_ = sendEvent(session, outcomeType, body)
}

// sendEvent writes one event and flushes it, so that it is not late.
func sendEvent(session *sse.Session, kind sse.EventType, body any) error {
	encoded, err := json.Marshal(body)
	if err != nil {
		return eris.Wrap(err, "encode event")
	}
	message := &sse.Message{Type: kind}
	message.AppendData(string(encoded))
	if err := session.Send(message); err != nil {
		return eris.Wrap(err, "send event")
	}
	return eris.Wrap(session.Flush(), "flush event")
}
