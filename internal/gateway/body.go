package gateway

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/cloverwheel/cloverwheel/internal/fault"
)

// strictness says whether unknown fields of a body are refused.
type strictness bool

// Our own resources are strict; stock clients send fields that we don't know.
const (
	strict  strictness = true
	lenient strictness = false
)

// readBody reads a whole body within the limit.
func (g *Gateway) readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	controller := http.NewResponseController(w)
	// A connection without deadlines, as in tests, is read without one.
	_ = controller.SetReadDeadline(time.Now().Add(g.options.ReadTimeout))
	defer func() { _ = controller.SetReadDeadline(time.Time{}) }()
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, g.options.MaxBody))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, fault.Newf(fault.TooLarge, "send a smaller one; a program call needs only its new messages",
			"the body is over the limit of %d bytes", tooLarge.Limit)
	}
	if err != nil {
		return nil, fault.Newf(fault.Invalid, "send it again", "the body could not be read: %v", err)
	}
	return body, nil
}

// readJSON decodes the body into target, a pointer.
func (g *Gateway) readJSON(w http.ResponseWriter, r *http.Request, target any, mode strictness) error {
	body, err := g.readBody(w, r)
	if err != nil {
		return err
	}
	return decodeJSON(body, target, mode)
}

func decodeJSON(body []byte, target any, mode strictness) error {
	if mode == lenient {
		return badJSON(json.Unmarshal(body, target))
	}
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(target); err != nil {
		return badJSON(err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return badJSON(errors.New("more than one JSON value"))
	}
	return nil
}

func badJSON(err error) error {
	if err == nil {
		return nil
	}
	var typed *fault.Error
	if errors.As(err, &typed) {
		return typed
	}
	return fault.Newf(fault.Invalid, "correct the JSON", "the body is not what this resource takes: %v", err)
}
