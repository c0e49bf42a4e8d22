// Package forward serves client requests by sending them to workers. It finds the route, checks
// the key, reserves the program's tokens, loads the conversation history, chooses workers, relays
// their answers and decides whether a failed request is sent again.
//
// The package is independent of wire formats: its caller passes typed requests and receives typed
// answers through a Responder, and a Transport communicates with the workers.
package forward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/cloverwheel/cloverwheel/internal/backend"
	"github.com/cloverwheel/cloverwheel/internal/fault"
	"github.com/cloverwheel/cloverwheel/internal/httpconn"
	"github.com/cloverwheel/cloverwheel/internal/tenant"
)

// Request is a client's request with its complete body.
type Request struct {
	ID              string
	Method          string
	Target          string // path and query as received
	Host            string
	Path            string
	Header          http.Header // passed on unchanged
	Key             tenant.Key  // hash of the caller's key; zero: none
	Body            []byte
	Timeout         time.Duration // how long the client waits; 0: unknown
	Program         string        // ID of the program that the turn belongs to; empty: none
	TokenBudget     int           // tokens that the program may generate in all; 0: no limit
	MaxOutputTokens int           // maximum number of tokens that this turn generates
	PromptTokens    int           // number of tokens of its prompt
	SharedTokens    int           // of these, tokens in the prefix shared with other programs
	Prompt          string        // names and sizes of the prompt's parts, as received; empty: unknown
	// SharedPrefix names the shared prefix; empty: there is none.
	SharedPrefix string
	// TimeToFinish is the time left until the program must be complete; 0 if that time has
	// passed. HasFinish reports whether it is set.
	HasFinish      bool
	TimeToFinish   time.Duration
	Branch         string // branch of turns within the program; empty: unknown
	ExpectedTokens int    // the caller's estimate of the tokens to be generated; 0: unknown
	Object         string // object that the request concerns; requests for one object go to the same worker; empty: none
	PreviousTurn   string // turn that this one continues; empty: none
	LastEventID    string // ID of the last event that the client has; empty: none
	// ResumedRequest is the ID of the client's earlier request that brought the first event of the stream
	// that this one resumes; empty: unknown, or the client has no event.
	ResumedRequest string
}

// Call is a request as it is sent to a worker.
type Call struct {
	Request     *Request
	Body        [][]byte      // history and request body, in parts
	LastEventID string        // ID of the last event that the client has; empty: none
	Priority    int           // 0 is the most urgent
	Tenant      string        // empty: the request needed no key
	TimeLeft    time.Duration // time left until the deadline; 0: none
	// Used are the connections on which the request was sent before. The transport uses none of them again, and adds its own.
	Used *httpconn.UsedConnections
}

// Answer is a worker's answer. Close must be called.
type Answer struct {
	Status int
	Header http.Header // passed on to the client
	Length int64       // of the body in bytes; -1: unknown
	// EndsWithConnection means that nothing but the end of the connection ends the body.
	EndsWithConnection bool
	Declined           bool // the worker reported that it did not run the request
	// OtherProcess means that the answer is that of another process than the one addressed, which has its address now.
	OtherProcess bool
	Stream       bool // the body is a stream of events
	Body         io.Reader
	// Close ends the exchange. whole reports whether the body was read to its end, so that the
	// connection can be reused.
	Close func(whole bool)
}

// ErrAnswerMismatch reports an answer that belongs to another request.
var ErrAnswerMismatch = errors.New("the worker's answer belongs to another request; the connection is closed")

// Transport sends calls to workers.
type Transport interface {
	// Send sends a call and returns the head of its answer. The error wraps
	// httpconn.ErrNotWritten if nothing of the call reached the worker.
	Send(ctx context.Context, worker *backend.Worker, call Call) (*Answer, error)
}

// Responder sends the answer to the client. Exactly one of Answer, WriteHead and Refuse is called
// first. After WriteHead, Write is called any number of times, then End or Abort once.
type Responder interface {
	// Answer sends a worker's complete answer.
	Answer(status int, header http.Header, body []byte) error
	// WriteHead sends the head of a stream or long answer; length is in bytes, -1 if unknown.
	WriteHead(status int, header http.Header, length int64) error
	// Write sends bytes of the body without delay.
	Write(raw []byte) error
	// End completes the answer.
	End()
	// Abort breaks the connection, so that the client does not take the answer for complete.
	Abort()
	// Refuse sends an error of cloverwheel's own as the final answer.
	Refuse(*fault.Error)
}
