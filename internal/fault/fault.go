// Package fault defines the typed errors that packages, nodes and the API exchange. Each error
// states a remedy and whether the request was executed.
package fault

import (
	"encoding/gob"
	"errors"
	"fmt"
	"time"
)

// Code is the stable, machine-readable kind of an error.
type Code string

// The error codes of the API and of the protocol between nodes.
const (
	Invalid            Code = "invalid_request"
	TooLarge           Code = "body_too_large"
	Unauthorized       Code = "unauthorized"
	NotFound           Code = "not_found"
	UnknownModel       Code = "unknown_model"
	ModelForbidden     Code = "model_forbidden"
	KeyReused          Code = "idempotency_key_reused"
	ProgramEnded       Code = "program_ended"
	LimitReached       Code = "limit_reached"
	DeadlinePassed     Code = "deadline_passed"
	BudgetExhausted    Code = "budget_exhausted"
	RateLimited        Code = "rate_limited"
	Overloaded         Code = "overloaded"
	Unavailable        Code = "unavailable"
	OutcomeUnknown     Code = "outcome_unknown"
	EngineFailed       Code = "engine_failed"
	ToolFailed         Code = "tool_failed"
	ToolTimeout        Code = "tool_timeout"
	Conflict           Code = "version_conflict"
	StaleConfiguration Code = "stale_configuration"
	ZoneEvacuated      Code = "zone_evacuated"
	OutsideRegions     Code = "outside_regions"
	// WorkQuarantined: workers ended while they ran the request's work. It is sent to none again, whatever its Ran says.
	WorkQuarantined Code = "work_quarantined"
	// NotLeader is internal: the receiving node is not the leader of the shard.
	NotLeader Code = "not_leader"
	// Fenced is internal: the request is from an epoch or term that a newer one has replaced.
	Fenced Code = "fenced"
	// Internal indicates a bug in cloverwheel itself.
	Internal Code = "internal"
)

// Ran states whether a rejected or failed request was executed.
type Ran string

// The values of Ran. RanNo guarantees that the request was not executed and never will be.
const (
	RanNo      Ran = "no"
	RanYes     Ran = "yes"
	RanUnknown Ran = "unknown"
)

// Error is the error type shared by all packages. It is encoded with gob between nodes and as JSON
// for API clients.
type Error struct {
	Code    Code   `json:"code"`
	Message string `json:"message"` // what went wrong and, after a semicolon, the remedy
	Ran     Ran    `json:"ran"`
	// RetryAfter is the recommended delay before a retry; zero means that a retry won't help.
	RetryAfter time.Duration `json:"retry_after,omitempty"`
	// Hint carries machine-readable details, such as the leader's address for NotLeader.
	Hint string `json:"hint,omitempty"`
}

func init() { gob.Register(&Error{}) }

// Error implements error.
func (e *Error) Error() string { return string(e.Code) + ": " + e.Message }

// New returns an error for a request that was not executed. remedy says what the reader can do
// about it.
func New(code Code, message, remedy string) *Error {
	return &Error{Code: code, Message: message + "; " + remedy, Ran: RanNo}
}

// Newf is New with a formatted message. remedy comes before the format and its arguments.
func Newf(code Code, remedy, format string, args ...any) *Error {
	return New(code, fmt.Sprintf(format, args...), remedy)
}

// WithRan returns a copy of e with the given execution status.
func (e *Error) WithRan(ran Ran) *Error {
	changed := *e
	changed.Ran = ran
	return &changed
}

// WithRetryAfter returns a copy of e with a recommended delay before a retry.
func (e *Error) WithRetryAfter(wait time.Duration) *Error {
	changed := *e
	changed.RetryAfter = wait
	return &changed
}

// WithHint returns a copy of e with machine-readable details.
func (e *Error) WithHint(hint string) *Error {
	changed := *e
	changed.Hint = hint
	return &changed
}

// From returns the first Error in err's chain. If there is none, it returns an Internal error with
// an unknown execution status.
func From(err error) *Error {
	var typed *Error
	if errors.As(err, &typed) {
		return typed
	}
	return New(Internal, err.Error(), "report it with the log lines around it").WithRan(RanUnknown)
}

// CodeOf returns the code of err. It is empty for nil, and Internal if err's chain has no Error.
func CodeOf(err error) Code {
	if err == nil {
		return ""
	}
	return From(err).Code
}

// Is reports whether err has the given code.
func Is(err error, code Code) bool { return err != nil && CodeOf(err) == code }
