package outside

import (
	"context"
	"net/http"
	"net/url"
	"time"

	"github.com/cloverwheel/cloverwheel/internal/fault"
	"github.com/cloverwheel/cloverwheel/internal/httpjson"
	"github.com/cloverwheel/cloverwheel/internal/id"
)

// RequestParameter carries the request id in a question for an outcome.
const RequestParameter = "request"

// ToolBody is POSTed to a tool service's URL.
type ToolBody struct {
	Request   id.Request `json:"request"`
	Name      string     `json:"name"`
	Arguments string     `json:"arguments"`
}

// ToolAnswerBody is a tool service's answer.
type ToolAnswerBody struct {
	Answer string `json:"answer"`
}

// ToolOutcomes is asked what became of an invocation, without running it. Tool
// services need not offer it.
type ToolOutcomes interface {
	// Outcome returns the answer of an earlier invocation, and fault.NotFound
	// when the service does not know the request.
	Outcome(ctx context.Context, request ToolRequest) (answer string, err error)
}

// Time limits of tool calls.
const (
	// defaultToolTimeout bounds a call without a deadline.
	defaultToolTimeout = 30 * time.Second
	// longestToolCall bounds every call.
	longestToolCall = time.Hour
)

// HTTPTools calls tool services over HTTP. It implements Tools and ToolOutcomes.
type HTTPTools struct {
	client  *httpjson.Client
	timeout time.Duration
}

// NewHTTPTools returns a client of any number of tool services.
// Options.Timeout bounds the calls that have no deadline.
func NewHTTPTools(options Options) *HTTPTools {
	timeout := options.Timeout
	if timeout == 0 {
		timeout = defaultToolTimeout
	}
	options.Timeout = longestToolCall
	return &HTTPTools{client: options.client("tool service"), timeout: timeout}
}

// Invoke implements Tools. It fails with fault.ToolTimeout when the deadline
// passes and with fault.ToolFailed otherwise.
func (t *HTTPTools) Invoke(ctx context.Context, request ToolRequest) (string, error) {
	body := ToolBody{Request: request.Request, Name: request.Name, Arguments: request.Arguments}
	return t.call(ctx, request, httpjson.Request{Method: http.MethodPost, Path: request.URL, Body: body})
}

// Outcome implements ToolOutcomes: GET ?request= at the tool service's URL.
func (t *HTTPTools) Outcome(ctx context.Context, request ToolRequest) (string, error) {
	query := url.Values{RequestParameter: {string(request.Request)}}
	return t.call(ctx, request, httpjson.Request{Method: http.MethodGet, Path: request.URL, Query: query})
}

func (t *HTTPTools) call(ctx context.Context, request ToolRequest, exchange httpjson.Request) (string, error) {
	deadline := request.Deadline
	if deadline.IsZero() {
		deadline = time.Now().Add(t.timeout)
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	var body ToolAnswerBody
	if err := t.client.Call(ctx, exchange, &body); err != nil {
		return "", toolFault(request, err, ctx.Err())
	}
	return body.Answer, nil
}

// toolFault keeps what is known of the run and names the tool.
func toolFault(request ToolRequest, err, expired error) error {
	cause := fault.From(err)
	switch {
	case cause.Code == fault.RateLimited || cause.Code == fault.NotFound:
		return cause
	case expired != nil:
		return fault.Newf(fault.ToolTimeout, "check the tool service or raise the tool's timeout",
			"tool %s did not answer before its deadline", request.Name).WithRan(cause.Ran)
	}
	return fault.Newf(fault.ToolFailed, "check the tool service", "tool %s failed: %s", request.Name, cause.Message).
		WithRan(cause.Ran).WithRetryAfter(cause.RetryAfter)
}
