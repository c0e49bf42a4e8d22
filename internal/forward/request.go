// Package forward is the life of one request: it finds the route, reserves the
// program's tokens, reads what was said before, chooses workers, passes the
// answer on and decides what a failure means. It knows no wire format: a door
// hands it typed requests and takes typed answers, a Transport speaks to workers.
package forward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/cloverwheel/cloverwheel/internal/backend"
	"github.com/cloverwheel/cloverwheel/internal/fault"
	"github.com/cloverwheel/cloverwheel/internal/tenant"
)

// Request is a client's request, read whole.
type Request struct {
	ID       string
	Method   string
	Target   string // path and query as they came
	Host     string
	Path     string
	Header   http.Header // passed on unchanged
	Key      tenant.Key  // of the caller; zero: none
	Body     []byte
	Deadline time.Duration // how long the client waits; 0: not said
	Program  string
	Budget   int // tokens that the program may generate; 0: not said
	Output   int // most tokens that this turn generates
	Prompt   int // tokens of its prompt
	Shared   int // of them, those that other programs share
	// SharedPart names what they share; empty: nothing.
	SharedPart string
	// Timed says that Finish was given: it is how long the program may still take before its
	// caller needs it over, 0 if that time has passed.
	Timed    bool
	Finish   time.Duration
	Line     string // the line of turns within the program that it belongs to; empty: not said
	Hint     int    // tokens that its caller guesses it will generate; 0: not said
	Object   string
	Continue string // turn that this one goes on from; empty at the start
	Resume   string // last event that the client has; empty at the start
}

// Call is what a worker is sent.
type Call struct {
	Request  *Request
	Body     []byte
	Resume   string
	Priority int
	Tenant   string        // whose request it is; empty: nobody's
	Left     time.Duration // until the answer is of no use
}

// Answer is a worker's answer. Close must be called.
type Answer struct {
	Status   int
	Header   http.Header // to be passed on
	Length   int64       // of the body; -1: unknown
	Declined bool        // the worker said that it did not run the request
	Stream   bool        // the body is a stream of events
	Body     io.Reader
	// Close ends the exchange; whole says that the body was read to its end.
	Close func(whole bool)
}

// ErrForeign is an answer that belongs to another request.
var ErrForeign = errors.New("the worker answered another request; its connection is dropped")

// Transport speaks to workers.
type Transport interface {
	// Send sends the call. The chain of its error holds httpconn.ErrNotWritten
	// if the worker has seen nothing of it.
	Send(ctx context.Context, worker *backend.Worker, call Call) (*Answer, error)
}

// Responder takes what the client is told. Exactly one of Answer, Start and
// Refuse is called first; after Start, Event any number of times, then End or Abort.
type Responder interface {
	// Answer sends a worker's whole answer.
	Answer(status int, header http.Header, body []byte) error
	// Start sends the head of a worker's stream or long answer; length -1: unknown.
	Start(status int, header http.Header, length int64) error
	// Event passes bytes on at once.
	Event(raw []byte) error
	// End ends the answer as complete.
	End()
	// Abort breaks the connection, so that the answer does not look complete.
	Abort()
	// Refuse sends cloverwheel's own final answer.
	Refuse(*fault.Error)
}
