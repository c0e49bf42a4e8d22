package engine

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/tmaxmax/go-sse"

	"github.com/cloverwheel/cloverwheel/internal/chat"
	"github.com/cloverwheel/cloverwheel/internal/fault"
	"github.com/cloverwheel/cloverwheel/internal/httpjson"
	"github.com/cloverwheel/cloverwheel/internal/id"
)

// Paths of an engine. Generate and resume answer with server-sent events; all
// others exchange JSON. Events and load are read by GET.
const (
	GeneratePath = "/v1/generate"
	ResumePath   = "/v1/resume"
	LookupPath   = "/v1/lookup"
	CancelPath   = "/v1/cancel"
	HoldPath     = "/v1/hold"
	ReleasePath  = "/v1/release"
	ExportPath   = "/v1/export"
	ImportPath   = "/v1/import"
	DropPath     = "/v1/drop"
	OrderPath    = "/v1/order"
	EventsPath   = "/v1/events"
	LoadPath     = "/v1/load"
)

// AfterParameter is the sequence number after which cache events are wanted.
const AfterParameter = "after"

// Types of the server-sent events of a stream.
const (
	ChunkEvent   = "chunk"   // data: ChunkBody
	OutcomeEvent = "outcome" // data: OutcomeBody; the stream's last event
	ErrorEvent   = "error"   // data: httpjson.ErrorBody; the stream's last event
)

// maxEventSize bounds one event; a resumed stream may send all it has in one.
const maxEventSize = 16 << 20

// Bounds of what may follow a stream's last event on a connection worth keeping.
const (
	drainTime  = 100 * time.Millisecond
	drainBytes = 4 << 10
)

// GenerateBody is a GenerateRequest on the wire.
type GenerateBody struct {
	Request   id.Request     `json:"request"`
	Program   id.Program     `json:"program"`
	Model     id.Model       `json:"model"`
	Adapter   id.Adapter     `json:"adapter,omitempty"`
	Messages  []chat.Message `json:"messages"`
	MaxTokens int            `json:"max_tokens"`
	Priority  int            `json:"priority"`
	Fence     Fence          `json:"fence"`
	Deadline  time.Time      `json:"deadline,omitzero"`
	Partial   Partial        `json:"partial,omitzero"`
}

// ResumeBody asks for a stream from an offset, in tokens.
type ResumeBody struct {
	Request id.Request `json:"request"`
	Offset  int        `json:"offset"`
}

// LookupBody asks for a request's state.
type LookupBody struct {
	Request id.Request `json:"request"`
}

// ChunkBody is a Chunk on the wire.
type ChunkBody struct {
	Offset int    `json:"offset"`
	Tokens int    `json:"tokens"`
	Text   string `json:"text"`
}

// UsageBody is a chat.Usage on the wire.
type UsageBody struct {
	PromptTokens int `json:"prompt_tokens"`
	CachedTokens int `json:"cached_tokens"`
	OutputTokens int `json:"output_tokens"`
}

// OutcomeBody is an Outcome on the wire.
type OutcomeBody struct {
	Message      chat.Message `json:"message"`
	FinishReason string       `json:"finish_reason"`
	Usage        UsageBody    `json:"usage"`
}

// OutcomeBodyOf returns the wire shape of an outcome.
func OutcomeBodyOf(outcome Outcome) OutcomeBody {
	return OutcomeBody{
		Message:      outcome.Message,
		FinishReason: outcome.FinishReason,
		Usage:        UsageBody(outcome.Usage),
	}
}

// Outcome returns what the body describes.
func (b OutcomeBody) Outcome() Outcome {
	return Outcome{Message: b.Message, FinishReason: b.FinishReason, Usage: chat.Usage(b.Usage)}
}

// CancelBody stops a request.
type CancelBody struct {
	Request id.Request `json:"request"`
	Fence   Fence      `json:"fence"`
}

// HoldBody is a Hold on the wire.
type HoldBody struct {
	Program id.Program `json:"program"`
	Segment uint64     `json:"segment,string"`
	Until   time.Time  `json:"until"`
	Fence   Fence      `json:"fence"`
}

// ReleaseBody ends a program's hold.
type ReleaseBody struct {
	Program id.Program `json:"program"`
	Fence   Fence      `json:"fence"`
}

// SegmentBody names cached context to export or drop.
type SegmentBody struct {
	Program id.Program `json:"program,omitempty"`
	Segment uint64     `json:"segment,string"`
	Fence   Fence      `json:"fence"`
}

// KeyBody names exported context: the answer to an export, or an import.
type KeyBody struct {
	Key   string `json:"key"`
	Fence Fence  `json:"fence,omitzero"`
}

// OrderBody is an Order on the wire.
type OrderBody struct {
	Kind    OrderKind  `json:"kind"`
	Model   id.Model   `json:"model,omitempty"`
	Adapter id.Adapter `json:"adapter,omitempty"`
	Version string     `json:"version,omitempty"`
	Role    string     `json:"role,omitempty"`
	Fence   Fence      `json:"fence"`
}

// EventBody is a CacheEvent on the wire.
type EventBody struct {
	Sequence uint64    `json:"sequence"`
	Kind     EventKind `json:"kind"`
	Hash     uint64    `json:"hash,string"`
	Tokens   int       `json:"tokens"`
	Parent   uint64    `json:"parent,string"`
}

// EventBodyOf returns the wire shape of a cache event.
func EventBodyOf(event CacheEvent) EventBody {
	return EventBody{
		Sequence: event.Sequence,
		Kind:     event.Kind,
		Hash:     event.Segment.Hash,
		Tokens:   event.Segment.Tokens,
		Parent:   event.Parent,
	}
}

// Event returns what the body describes.
func (b EventBody) Event() CacheEvent {
	return CacheEvent{
		Sequence: b.Sequence,
		Kind:     b.Kind,
		Segment:  chat.Segment{Hash: b.Hash, Tokens: b.Tokens},
		Parent:   b.Parent,
	}
}

// EventsBody is the answer to a question for cache events.
type EventsBody struct {
	Events []EventBody `json:"events"`
}

// LoadBody is a LoadReport on the wire.
type LoadBody struct {
	Taken         time.Time     `json:"taken"`
	Running       int           `json:"running"`
	Queued        int           `json:"queued"`
	MemoryTokens  int           `json:"memory_tokens"`
	UsedTokens    int           `json:"used_tokens"`
	CachedTokens  int           `json:"cached_tokens"`
	HeldTokens    int           `json:"held_tokens"`
	Requests      []id.Request  `json:"requests"`
	Models        []id.Model    `json:"models"`
	Adapters      []id.Adapter  `json:"adapters"`
	HighestEpoch  uint64        `json:"highest_epoch"`
	Instance      string        `json:"instance,omitempty"`
	StepTime      time.Duration `json:"step_time_ns"`
	PrefillTokens int           `json:"prefill_tokens_per_second"`
}

// HTTPOptions configure a client of one engine. Only Address must be set.
type HTTPOptions struct {
	Address   string            // host:port or URL
	Timeout   time.Duration     // of exchanges without a stream; zero: httpjson.DefaultTimeout
	Transport http.RoundTripper // nil: shared by the process
}

type httpClient struct{ http *httpjson.Client }

// NewHTTP returns a client of one engine. Streams have no time limit of their
// own; bound them by the context.
func NewHTTP(options HTTPOptions) Client {
	return &httpClient{http: httpjson.New(httpjson.Options{
		Base:      options.Address,
		Service:   "engine",
		Timeout:   options.Timeout,
		Transport: options.Transport,
	})}
}

// Generate implements Client.
func (c *httpClient) Generate(ctx context.Context, request GenerateRequest, receive func(Chunk) error) (Outcome, error) {
	return c.stream(ctx, GeneratePath, GenerateBody(request), request.Partial.Tokens, receive)
}

// Resume implements Client.
func (c *httpClient) Resume(ctx context.Context, request id.Request, offset int, receive func(Chunk) error) (Outcome, error) {
	return c.stream(ctx, ResumePath, ResumeBody{Request: request, Offset: offset}, offset, receive)
}

// stream passes chunks on from offset, each token once, whatever the engine
// repeats.
func (c *httpClient) stream(ctx context.Context, path string, body any, offset int, receive func(Chunk) error) (Outcome, error) {
	response, err := c.http.Open(ctx, httpjson.Request{Method: http.MethodPost, Path: path, Body: body})
	if err != nil {
		return Outcome{}, err
	}
	defer finish(response.Body)
	for event, err := range sse.Read(response.Body, &sse.ReadConfig{MaxEventSize: maxEventSize}) {
		if err != nil {
			return Outcome{}, broken(err.Error())
		}
		switch event.Type {
		case ChunkEvent:
			offset, err = passOn(event.Data, offset, receive)
			if err != nil {
				return Outcome{}, err
			}
		case OutcomeEvent:
			return outcomeOf(event.Data)
		case ErrorEvent:
			return Outcome{}, errorOf(event.Data)
		}
	}
	return Outcome{}, broken("it ended without an outcome")
}

// finish reads the little that follows a stream's last event, so that the
// connection can be used again, and closes it if that does not come at once.
func finish(body io.ReadCloser) {
	timer := time.AfterFunc(drainTime, func() { _ = body.Close() })
	defer timer.Stop()
	_, _ = io.CopyN(io.Discard, body, drainBytes)
	_ = body.Close()
}

// passOn gives a chunk to receive unless all of it came before, and returns
// the offset after it.
func passOn(data string, offset int, receive func(Chunk) error) (int, error) {
	var body ChunkBody
	if err := json.Unmarshal([]byte(data), &body); err != nil {
		return offset, broken("unreadable chunk: " + err.Error())
	}
	end := body.Offset + body.Tokens
	if end <= offset {
		return offset, nil
	}
	if body.Offset != offset {
		return offset, broken("chunk at token " + strconv.Itoa(body.Offset) + " where " + strconv.Itoa(offset) + " was due")
	}
	return end, receive(Chunk(body))
}

func outcomeOf(data string) (Outcome, error) {
	var body OutcomeBody
	if err := json.Unmarshal([]byte(data), &body); err != nil {
		return Outcome{}, broken("unreadable outcome: " + err.Error())
	}
	return body.Outcome(), nil
}

func errorOf(data string) error {
	var body httpjson.ErrorBody
	if err := json.Unmarshal([]byte(data), &body); err != nil || body.Code == "" {
		return broken("unreadable error event")
	}
	return body.Fault()
}

func broken(why string) error {
	return fault.Newf(fault.Unavailable, "look the request up or resume it", "the engine's stream broke: %s", why).
		WithRan(fault.RanUnknown)
}

// Lookup implements Client.
func (c *httpClient) Lookup(ctx context.Context, request id.Request) (RequestStatus, error) {
	var body StatusBody
	if err := c.post(ctx, LookupPath, LookupBody{Request: request}, &body); err != nil {
		return RequestStatus{}, err
	}
	return body.Status(), nil
}

// Cancel implements Client.
func (c *httpClient) Cancel(ctx context.Context, request id.Request, fence Fence) error {
	return c.post(ctx, CancelPath, CancelBody{Request: request, Fence: fence}, nil)
}

// Hold implements Client.
func (c *httpClient) Hold(ctx context.Context, hold Hold) error {
	return c.post(ctx, HoldPath, HoldBody(hold), nil)
}

// Release implements Client.
func (c *httpClient) Release(ctx context.Context, program id.Program, fence Fence) error {
	return c.post(ctx, ReleasePath, ReleaseBody{Program: program, Fence: fence}, nil)
}

// Export implements Client.
func (c *httpClient) Export(ctx context.Context, program id.Program, segment uint64, fence Fence) (string, error) {
	var body KeyBody
	err := c.post(ctx, ExportPath, SegmentBody{Program: program, Segment: segment, Fence: fence}, &body)
	return body.Key, err
}

// Import implements Client.
func (c *httpClient) Import(ctx context.Context, key string, fence Fence) error {
	return c.post(ctx, ImportPath, KeyBody{Key: key, Fence: fence}, nil)
}

// Drop implements Client.
func (c *httpClient) Drop(ctx context.Context, segment uint64, fence Fence) error {
	return c.post(ctx, DropPath, SegmentBody{Segment: segment, Fence: fence}, nil)
}

// Order implements Client.
func (c *httpClient) Order(ctx context.Context, order Order) error {
	return c.post(ctx, OrderPath, OrderBody(order), nil)
}

// Events implements Client.
func (c *httpClient) Events(ctx context.Context, after uint64) ([]CacheEvent, error) {
	query := url.Values{AfterParameter: {strconv.FormatUint(after, 10)}}
	var body EventsBody
	if err := c.http.Call(ctx, httpjson.Request{Method: http.MethodGet, Path: EventsPath, Query: query}, &body); err != nil {
		return nil, err
	}
	events := make([]CacheEvent, len(body.Events))
	for i, event := range body.Events {
		events[i] = event.Event()
	}
	return events, nil
}

// Load implements Client.
func (c *httpClient) Load(ctx context.Context) (LoadReport, error) {
	var body LoadBody
	err := c.http.Call(ctx, httpjson.Request{Method: http.MethodGet, Path: LoadPath}, &body)
	return LoadReport(body), err
}

func (c *httpClient) post(ctx context.Context, path string, body, answer any) error {
	return c.http.Call(ctx, httpjson.Request{Method: http.MethodPost, Path: path, Body: body}, answer)
}
