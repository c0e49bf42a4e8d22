package worker

import (
	"context"
	"sync"
	"time"

	"github.com/cloverwheel/cloverwheel/internal/engine"
	"github.com/cloverwheel/cloverwheel/internal/fault"
	"github.com/cloverwheel/cloverwheel/internal/id"
)

// stream keeps one request's answer, so that any number of readers can follow
// it at their own pace without holding the engine up.
type stream struct {
	request id.Request

	mutex   sync.Mutex
	chunks  []engine.Chunk
	tokens  int
	outcome *engine.Outcome
	failure error
	ended   time.Time // zero while it runs
	changed chan struct{}
}

func newStream(request id.Request) *stream {
	return &stream{request: request, changed: make(chan struct{})}
}

// startAfter makes what earlier attempts made the beginning of the answer, for
// readers that join from before it.
func (s *stream) startAfter(partial engine.Partial) {
	if partial.Tokens > 0 {
		s.add(engine.Chunk{Tokens: partial.Tokens, Text: partial.Text})
	}
}

// add appends a chunk that continues the answer; what is known already is skipped.
func (s *stream) add(chunk engine.Chunk) (tokens int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !s.ended.IsZero() || chunk.Offset+chunk.Tokens <= s.tokens {
		return s.tokens
	}
	s.chunks = append(s.chunks, chunk)
	s.tokens = chunk.Offset + chunk.Tokens
	s.wake()
	return s.tokens
}

// end closes the stream; only the first end counts.
func (s *stream) end(outcome *engine.Outcome, failure error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !s.ended.IsZero() {
		return
	}
	s.outcome = outcome
	s.failure = failure
	s.ended = time.Now()
	s.wake()
}

func (s *stream) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// follow sends the answer from a token offset until its end. A stream that
// ended without an outcome returns its failure.
func (s *stream) follow(ctx context.Context, offset int, send func(Event) error) error {
	next := 0
	for {
		chunks, done, changed := s.from(next)
		next += len(chunks)
		for index := range chunks {
			if chunks[index].Offset+chunks[index].Tokens <= offset {
				continue
			}
			if err := send(Event{Chunk: &chunks[index]}); err != nil {
				return err
			}
		}
		if done {
			return s.sendEnd(send)
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return fault.New(fault.Unavailable, "the reader went away", "resume the stream").WithRan(fault.RanUnknown)
		}
	}
}

// from returns the chunks from an index on, whether there will be no more, and
// what to wait on for a change.
func (s *stream) from(index int) (chunks []engine.Chunk, done bool, changed <-chan struct{}) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	chunks = s.chunks[index:len(s.chunks):len(s.chunks)]
	return chunks, !s.ended.IsZero(), s.changed
}

func (s *stream) sendEnd(send func(Event) error) error {
	if s.outcome == nil {
		return s.failure
	}
	return send(Event{Outcome: s.outcome})
}

// status is what the stream says of its request.
func (s *stream) status() engine.RequestStatus {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	switch {
	case s.ended.IsZero():
		return engine.RequestStatus{State: engine.RequestRunning, Tokens: s.tokens}
	case s.outcome != nil:
		return engine.RequestStatus{State: engine.RequestFinished, Outcome: *s.outcome, Tokens: s.tokens}
	default:
		return engine.RequestStatus{State: engine.RequestFailed, Tokens: s.tokens}
	}
}

// inDoubt reports whether the stream ended without a run that is known of: its
// engine or the next owner can say more.
func (s *stream) inDoubt() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.failure != nil && fault.From(s.failure).Ran != fault.RanYes
}

func (s *stream) offset() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.tokens
}

// endedBefore reports whether the stream ended before a time.
func (s *stream) endedBefore(at time.Time) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return !s.ended.IsZero() && s.ended.Before(at)
}
