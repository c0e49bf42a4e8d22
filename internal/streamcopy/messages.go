package streamcopy

import (
	"context"

	"github.com/cloverwheel/cloverwheel/internal/budget"
)

// maxAppendBytes limits the output in one message; a single longer event is sent in a message of its own.
const maxAppendBytes = 512 << 10

// AppendRequest extends the copy of an attempt at another node.
type AppendRequest struct {
	Attempt Attempt // Marks and Output are those of the events from From on only
	From    int     // number of events before them
	Offset  int     // length of the output before them, in bytes
}

// AppendAnswer confirms the events that a node has.
type AppendAnswer struct{ Events int }

// ReadRequest asks a node for its copies of a turn.
type ReadRequest struct {
	Turn   string
	Stream string // ID of the request that brought the first event; empty: unknown
	// LastEventID is the last event that the client has. Events after it are left out of the answer.
	LastEventID string
}

// ReadAnswer holds the copies that a node has and that reach as far as the request asks.
type ReadAnswer struct{ Attempts []Attempt }

// Peers sends messages to other nodes.
type Peers interface {
	AppendStream(ctx context.Context, holder budget.Holder, request AppendRequest) (AppendAnswer, error)
	ReadStream(ctx context.Context, holder budget.Holder, request ReadRequest) (ReadAnswer, error)
}

// valid reports whether the marks of a request fit its output.
func (r AppendRequest) valid() bool {
	end := r.Offset
	for _, mark := range r.Attempt.Marks {
		if mark.End < end {
			return false
		}
		end = mark.End
	}
	return r.From >= 0 && r.Offset >= 0 && end-r.Offset == len(r.Attempt.Output)
}

// empty returns the attempt without its events.
func (a Attempt) empty() Attempt {
	a.Marks, a.Output = nil, nil
	return a
}

// endOf returns the length of the output of the first events, in bytes.
func (a Attempt) endOf(events int) int {
	if events == 0 {
		return 0
	}
	return a.Marks[events-1].End
}

// extend adds those events of a request that the attempt does not have. It reports false if the request does not continue the attempt:
// events between them are missing, or the request has other events.
func (a *Attempt) extend(request AppendRequest) bool {
	known := len(a.Marks) - request.From
	if known < 0 || a.endOf(request.From) != request.Offset {
		return false
	}
	if known >= len(request.Attempt.Marks) {
		return true
	}
	if known > 0 && request.Attempt.endOf(known) != len(a.Output) {
		return false
	}
	a.Output = append(a.Output, request.Attempt.Output[len(a.Output)-request.Offset:]...)
	a.Marks = append(a.Marks, request.Attempt.Marks[known:]...)
	return true
}

// from returns the request that extends a copy which has a number of events, with as many as one message may hold.
func (a Attempt) from(events int) AppendRequest {
	offset := a.endOf(events)
	to := events
	for to < len(a.Marks) && (to == events || a.Marks[to].End-offset <= maxAppendBytes) {
		to++
	}
	request := AppendRequest{Attempt: a.empty(), From: events, Offset: offset}
	request.Attempt.Marks, request.Attempt.Output = a.Marks[events:to:to], a.Output[offset:a.endOf(to)]
	return request
}
