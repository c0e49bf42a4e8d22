package forward

import (
	"context"
	"encoding/binary"
	"strconv"

	"github.com/apex/log"
	"github.com/cespare/xxhash/v2"

	"github.com/cloverwheel/cloverwheel/internal/eventstream"
	"github.com/cloverwheel/cloverwheel/internal/fault"
	"github.com/cloverwheel/cloverwheel/internal/locality"
	"github.com/cloverwheel/cloverwheel/internal/streamcopy"
)

// StreamCopies keeps copies of what clients have got of turns that are stored, at other nodes. A request that resumes such a turn stores
// all of it, not only what this node has relayed.
type StreamCopies interface {
	// Begin returns the recording of what a client gets. Content goes to the regions of ctx only.
	Begin(ctx context.Context, attempt streamcopy.Attempt) *streamcopy.Recording
	// Find returns what a client got of a turn up to and including an event. stream is the ID of the request that brought the first event;
	// empty: unknown.
	Find(ctx context.Context, turn, stream, lastEventID string) (streamcopy.Attempt, streamcopy.Outcome)
}

// copiesEvents reports whether the events of the turn are copied to other nodes: its client may resume it, and it is stored.
func (x *exchange) copiesEvents() bool {
	return x.options.Copies != nil && x.route.StoreTurns && x.route.HasResumableStreams()
}

// outputMemoryFactor is the memory that a byte of the turn's output takes.
func (x *exchange) outputMemoryFactor() int64 {
	if x.copiesEvents() {
		return copiedOutputFactor
	}
	return keptOutputFactor
}

// restoreOutput finds what the client of a turn that is stored has got by its earlier requests. It refuses the request if nobody knows
// that: the turn would be stored without its first events.
func (x *exchange) restoreOutput(ctx context.Context) *fault.Error {
	if !x.route.StoreTurns || x.request.LastEventID == "" {
		return nil
	}
	resumed, outcome := x.findResumed(ctx)
	x.options.Metrics.RestoredOutputs.WithLabelValues(string(outcome)).Inc()
	entry := x.options.Logger.WithFields(log.Fields{
		"request":    x.request.ID,
		"resumes":    x.request.ResumedRequest,
		"last_event": x.request.LastEventID,
		"copy":       string(outcome),
		"events":     len(resumed.Marks),
	})
	if outcome != streamcopy.Found {
		entry.Warn("refusing to resume a turn that is stored: it is not known what its client has got of it")
		return fault.Newf(fault.Unavailable, startAnew, "no node that answers knows for certain the events of this turn up to %q", x.request.LastEventID).
			WithRetryAfter(jitteredRetryAfter())
	}
	if !x.reserveOutput(len(resumed.Output)) {
		return noTurnMemoryError()
	}
	entry.Info("resuming a turn that is stored, with the events that its client has got")
	x.resumed, x.output = resumed, resumed.Output
	return nil
}

// findResumed returns what the client of the turn has got. Without the name of the stream, its requests are known by the program only.
func (x *exchange) findResumed(ctx context.Context) (streamcopy.Attempt, streamcopy.Outcome) {
	stream := ""
	if x.request.ResumedRequest != "" {
		stream = x.tenant.Scope(x.request.ResumedRequest)
	}
	if !x.copiesEvents() || stream == "" && x.request.Program == "" {
		return streamcopy.Attempt{}, streamcopy.NotFound
	}
	return x.options.Copies.Find(locality.WithContentRegions(ctx, x.allowedRegions()), x.turnName(), stream, x.request.LastEventID)
}

// copyEvent copies an event to other nodes before it leaves for the client.
func (x *exchange) copyEvent(event eventstream.Event) {
	if !x.copiesEvents() {
		return
	}
	if x.recording == nil {
		attempt := x.resumed
		attempt.Turn, attempt.Request, attempt.ResumedAt = x.turnName(), x.tenant.Scope(x.request.ID), len(x.resumed.Marks)
		if attempt.Stream == "" {
			attempt.Stream = attempt.Request
		}
		x.recording = x.options.Copies.Begin(locality.WithContentRegions(x.clientCtx, x.allowedRegions()), attempt)
	}
	if !x.recording.Append(x.clientCtx, string(event.ID), event.Data) {
		x.uncopied++
	}
}

// turnName identifies the turn over all requests of its client, which repeat it unchanged.
func (x *exchange) turnName() string {
	hash := xxhash.New()
	for _, part := range [][]byte{[]byte(x.request.Branch), []byte(x.request.PreviousTurn), []byte(x.request.Host), []byte(x.request.Target), x.request.Body} {
		_, _ = hash.Write(binary.BigEndian.AppendUint64(nil, uint64(len(part)))) // it never fails
		_, _ = hash.Write(part)
	}
	return x.tenant.Scope(x.request.Program) + "/" + strconv.FormatUint(hash.Sum64(), 16)
}
