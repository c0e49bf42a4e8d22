package httpjson

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cloverwheel/cloverwheel/internal/fault"
)

const (
	retryAfter       = "Retry-After"
	maxErrorBody     = 64 << 10
	defaultRetryWait = time.Second
)

// ErrorBody is the JSON shape of a refusal or failure.
type ErrorBody struct {
	Code    fault.Code `json:"code"`
	Message string     `json:"message"`
	Ran     fault.Ran  `json:"ran"`
	RetryMS int64      `json:"retry_after_ms,omitempty"`
	Hint    string     `json:"hint,omitempty"`
}

// BodyOf returns the JSON shape of err.
func BodyOf(err error) ErrorBody {
	typed := fault.From(err)
	return ErrorBody{
		Code:    typed.Code,
		Message: typed.Message,
		Ran:     typed.Ran,
		RetryMS: typed.RetryAfter.Milliseconds(),
		Hint:    typed.Hint,
	}
}

// Fault returns the typed error that b describes.
func (b ErrorBody) Fault() *fault.Error {
	return &fault.Error{
		Code:       b.Code,
		Message:    b.Message,
		Ran:        b.Ran,
		RetryAfter: time.Duration(b.RetryMS) * time.Millisecond,
		Hint:       b.Hint,
	}
}

// statusFault reads a refusal. A service that does not answer in our own shape
// is understood by its status code alone.
func (c *Client) statusFault(response *http.Response) error {
	payload, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBody))
	wait := parseRetryAfter(response.Header.Get(retryAfter))
	var body ErrorBody
	if json.Unmarshal(payload, &body) == nil && body.Code != "" && body.Ran != "" {
		typed := body.Fault()
		if typed.RetryAfter == 0 {
			typed.RetryAfter = wait
		}
		return typed
	}
	return c.byStatus(response.StatusCode, wait)
}

func (c *Client) byStatus(status int, wait time.Duration) *fault.Error {
	service := c.options.Service
	switch status {
	case http.StatusNotFound:
		return fault.Newf(fault.NotFound, "check the name", "the %s has no such item", service)
	case http.StatusConflict, http.StatusPreconditionFailed:
		return fault.Newf(fault.Conflict, "read it again and decide anew", "the %s has moved on", service)
	case http.StatusTooManyRequests:
		return fault.Newf(fault.RateLimited, "wait and try again", "the %s limits its rate", service).
			WithRetryAfter(max(wait, defaultRetryWait))
	case http.StatusServiceUnavailable:
		// An intermediary may say so after it passed the request on.
		return c.unknown("status 503").WithRetryAfter(wait)
	case http.StatusUnauthorized, http.StatusForbidden:
		return fault.Newf(fault.Unauthorized, "correct the credentials", "the %s refused access", service)
	}
	if status/100 == 4 {
		return fault.Newf(fault.Invalid, "correct the request", "the %s answered with status %d", service, status)
	}
	return c.unknown("status " + strconv.Itoa(status))
}

// parseRetryAfter reads the header in seconds; anything else counts as absent.
func parseRetryAfter(header string) time.Duration {
	seconds, err := strconv.ParseFloat(header, 64)
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds * float64(time.Second))
}

// statuses maps codes to HTTP statuses; other codes answer with 500.
var statuses = map[fault.Code]int{
	fault.Invalid:      http.StatusBadRequest,
	fault.TooLarge:     http.StatusRequestEntityTooLarge,
	fault.Unauthorized: http.StatusUnauthorized,
	fault.NotFound:     http.StatusNotFound,
	fault.UnknownModel: http.StatusNotFound,
	fault.Conflict:     http.StatusConflict,
	fault.Fenced:       http.StatusConflict,
	fault.RateLimited:  http.StatusTooManyRequests,
	fault.Overloaded:   http.StatusTooManyRequests,
	fault.Unavailable:  http.StatusServiceUnavailable,
	fault.ToolFailed:   http.StatusBadGateway,
	fault.ToolTimeout:  http.StatusGatewayTimeout,
}

// WriteError answers with err in the shape of ErrorBody.
func WriteError(w http.ResponseWriter, err error) {
	body := BodyOf(err)
	status, known := statuses[body.Code]
	if !known {
		status = http.StatusInternalServerError
	}
	if body.RetryMS > 0 {
		seconds := (body.RetryMS + 999) / 1000
		w.Header().Set(retryAfter, strconv.FormatInt(seconds, 10))
	}
	write(w, status, body)
}

// Write answers with body as JSON.
func Write(w http.ResponseWriter, body any) { write(w, http.StatusOK, body) }

func write(w http.ResponseWriter, status int, body any) {
	w.Header().Set(contentType, jsonType)
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// Read decodes the JSON body of r, of at most limit bytes, into target.
func Read(w http.ResponseWriter, r *http.Request, limit int64, target any) error {
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, limit)).Decode(target); err != nil {
		return fault.Newf(fault.Invalid, "send valid JSON within the limit", "unreadable body: %v", err)
	}
	return nil
}
