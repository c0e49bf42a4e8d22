package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/cloverwheel/cloverwheel/internal/fault"
	"github.com/cloverwheel/cloverwheel/internal/gateway/wire"
)

// defaultRetryAfter is told where waiting helps but nobody said how long.
const defaultRetryAfter = time.Second

// statusClosed is logged for a caller that went away; nobody receives it.
const statusClosed = 499

// statusOf maps codes to HTTP statuses. Stock clients repeat 408, 409, 429 and
// 5xx unless X-Should-Retry says no, so every answer carries that header.
var statusOf = map[fault.Code]int{
	fault.Invalid:            http.StatusBadRequest,
	fault.TooLarge:           http.StatusRequestEntityTooLarge,
	fault.Unauthorized:       http.StatusUnauthorized,
	fault.NotFound:           http.StatusNotFound,
	fault.UnknownModel:       http.StatusNotFound,
	fault.ModelForbidden:     http.StatusForbidden,
	fault.KeyReused:          http.StatusUnprocessableEntity,
	wire.HistoryDiverged:     http.StatusUnprocessableEntity,
	fault.ProgramEnded:       http.StatusGone,
	fault.LimitReached:       http.StatusUnprocessableEntity,
	fault.DeadlinePassed:     http.StatusGatewayTimeout,
	fault.BudgetExhausted:    http.StatusPaymentRequired,
	fault.RateLimited:        http.StatusTooManyRequests,
	fault.Overloaded:         http.StatusServiceUnavailable,
	fault.Unavailable:        http.StatusServiceUnavailable,
	fault.StaleConfiguration: http.StatusServiceUnavailable,
	fault.OutcomeUnknown:     http.StatusBadGateway,
	fault.EngineFailed:       http.StatusBadGateway,
	fault.ToolFailed:         http.StatusBadGateway,
	fault.ToolTimeout:        http.StatusGatewayTimeout,
	fault.Conflict:           http.StatusConflict,
	fault.Internal:           http.StatusInternalServerError,
}

// waitingHelps lists the codes that always carry Retry-After.
var waitingHelps = map[fault.Code]bool{
	fault.RateLimited:        true,
	fault.Overloaded:         true,
	fault.Unavailable:        true,
	fault.StaleConfiguration: true,
}

// public turns any error into what a caller may see.
func public(err error) *fault.Error {
	if errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled) {
		return fault.New(fault.Unavailable, "the request timed out", "repeat it with the same Idempotency-Key").
			WithRan(fault.RanUnknown).WithRetryAfter(defaultRetryAfter)
	}
	seen := *fault.From(err)
	if seen.Code == fault.NotLeader || seen.Code == fault.Fenced {
		seen.Code = fault.Unavailable
		seen.Message = "the program's leader is changing; repeat the request with the same Idempotency-Key"
	}
	if seen.RetryAfter == 0 && waitingHelps[seen.Code] {
		seen.RetryAfter = defaultRetryAfter
	}
	return &seen
}

// fail answers with a typed error.
func (g *Gateway) fail(w http.ResponseWriter, r *http.Request, err error) {
	seen := public(err)
	noteFault(r.Context(), seen)
	status, known := statusOf[seen.Code]
	if !known {
		status = http.StatusInternalServerError
	}
	header := w.Header()
	header.Set(wire.HeaderShouldRetry, strconv.FormatBool(seen.RetryAfter > 0))
	if seen.RetryAfter > 0 {
		header.Set("Retry-After", strconv.Itoa(int(math.Ceil(seen.RetryAfter.Seconds()))))
		header.Set("Retry-After-Ms", strconv.FormatInt(seen.RetryAfter.Milliseconds(), 10))
	}
	writeJSON(w, status, wire.ErrorAnswer{Error: wire.FromFault(seen)})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", wire.MediaJSON)
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // a failure means that the caller is gone
}

func (g *Gateway) noRoute(w http.ResponseWriter, r *http.Request) {
	g.fail(w, r, fault.Newf(fault.NotFound, "see docs/OPERATIONS.md for the resources", "there is no resource %s", r.URL.Path))
}
