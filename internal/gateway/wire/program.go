package wire

import (
	"time"

	"github.com/cloverwheel/cloverwheel/internal/dispatch"
	"github.com/cloverwheel/cloverwheel/internal/fault"
)

// CreateProgram is the body of POST /v1/programs.
type CreateProgram struct {
	Template   string            `json:"template"`
	Parameters map[string]string `json:"parameters,omitempty"`
	Parent     string            `json:"parent,omitempty"`   // of a sub-agent
	Deadline   *time.Time        `json:"deadline,omitempty"` // absent: the template's default
	Limits     *ProgramLimits    `json:"limits,omitempty"`
}

// ProgramLimits narrows the template's limits. Zero keeps the template's.
type ProgramLimits struct {
	Turns       int     `json:"turns,omitempty"`
	IdleSeconds float64 `json:"idle_seconds,omitempty"` // between calls
}

// Program is what callers and operators see of a program.
type Program struct {
	ID       string     `json:"id"`
	Object   string     `json:"object"`
	Tenant   string     `json:"tenant"`
	Template string     `json:"template"`
	Parent   string     `json:"parent,omitempty"`
	Created  time.Time  `json:"created"`
	Deadline *time.Time `json:"deadline,omitempty"`
	Turns    int        `json:"turns"`
	Tokens   int        `json:"tokens"` // of history
	Ended    bool       `json:"ended"`
	Reason   string     `json:"reason,omitempty"`
	Error    *ErrorBody `json:"error,omitempty"` // why it was ended, if it was not asked for
}

// ObjectProgram is the object name of a Program.
const ObjectProgram = "program"

// FromProgram converts a program to the wire form.
func FromProgram(p dispatch.Program) Program {
	converted := Program{
		ID:       string(p.Program),
		Object:   ObjectProgram,
		Tenant:   string(p.Tenant),
		Template: string(p.Template),
		Parent:   string(p.Parent),
		Created:  p.Created,
		Turns:    p.Turns,
		Tokens:   p.Tokens,
		Ended:    p.Ended,
		Reason:   p.Reason,
	}
	if !p.Deadline.IsZero() {
		converted.Deadline = &p.Deadline
	}
	if p.Fault != nil {
		converted.Error = FromFault(p.Fault)
	}
	return converted
}

// ProgramList answers an operator's listing. Missing names the nodes that did
// not answer, so that a partial list is not taken for a whole one.
type ProgramList struct {
	Programs []Program `json:"programs"`
	Missing  []string  `json:"missing,omitempty"`
}

// Call is the body of POST /v1/programs/{id}/calls.
type Call struct {
	Messages   []Message `json:"messages"` // the new ones only
	Model      string    `json:"model,omitempty"`
	Adapter    string    `json:"adapter,omitempty"`
	MaxTokens  int       `json:"max_tokens,omitempty"`
	Stream     bool      `json:"stream,omitempty"`
	Number     uint64    `json:"number,omitempty"`     // place in the program's order, from 1
	Repeatable *bool     `json:"repeatable,omitempty"` // absent: true
	Key        string    `json:"key,omitempty"`        // or the Idempotency-Key header
	Tool       *NodeTool `json:"tool,omitempty"`
	// ExpectedPauseSeconds hints how long the program will be away after this call.
	ExpectedPauseSeconds float64 `json:"expected_pause_seconds,omitempty"`
}

// NodeTool asks the node to call a tool that the template registers.
type NodeTool struct {
	Name      string `json:"name"`
	Arguments string `json:"arguments"`
	CallID    string `json:"call_id,omitempty"`
}

// ErrorBody is the error of every refused or failed request.
type ErrorBody struct {
	Code       fault.Code `json:"code"`
	Message    string     `json:"message"`
	Type       string     `json:"type"`
	Ran        fault.Ran  `json:"ran"`
	RetryAfter float64    `json:"retry_after,omitempty"` // seconds
	Details    string     `json:"details,omitempty"`     // of a version conflict: the difference to the present version
}

// ErrorAnswer wraps an ErrorBody, as stock clients expect.
type ErrorAnswer struct {
	Error *ErrorBody `json:"error"`
}

// FromFault converts a typed error to the wire form. Hints stay inside, except
// for a version conflict's.
func FromFault(f *fault.Error) *ErrorBody {
	details := ""
	if f.Code == fault.Conflict {
		details = f.Hint
	}
	return &ErrorBody{
		Details:    details,
		Code:       f.Code,
		Message:    f.Message,
		Type:       errorType(f.Code),
		Ran:        f.Ran,
		RetryAfter: f.RetryAfter.Seconds(),
	}
}

// Fault converts an error body back to a typed error.
func (b *ErrorBody) Fault() *fault.Error {
	return &fault.Error{
		Code:       b.Code,
		Message:    b.Message,
		Ran:        b.Ran,
		RetryAfter: time.Duration(b.RetryAfter * float64(time.Second)),
		Hint:       b.Details,
	}
}

// The error types of the chat-completions interface.
const (
	typeInvalid        = "invalid_request_error"
	typeAuthentication = "authentication_error"
	typePermission     = "permission_error"
	typeNotFound       = "not_found_error"
	typeQuota          = "insufficient_quota"
	typeRateLimit      = "rate_limit_error"
	typeServer         = "server_error"
)

func errorType(code fault.Code) string {
	switch code {
	case fault.Invalid, fault.TooLarge, fault.KeyReused, fault.ProgramEnded, fault.LimitReached, fault.Conflict, HistoryDiverged:
		return typeInvalid
	case fault.Unauthorized:
		return typeAuthentication
	case fault.ModelForbidden:
		return typePermission
	case fault.NotFound, fault.UnknownModel:
		return typeNotFound
	case fault.BudgetExhausted:
		return typeQuota
	case fault.RateLimited:
		return typeRateLimit
	default:
		return typeServer
	}
}

// HistoryDiverged marks a chat completion whose messages do not continue the
// program's history.
const HistoryDiverged fault.Code = "history_diverged"
