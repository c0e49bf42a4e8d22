package dispatch

import (
	"context"
	"slices"
	"sort"
	"strings"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/cloverwheel/cloverwheel/internal/engine"
	"github.com/cloverwheel/cloverwheel/internal/fault"
	"github.com/cloverwheel/cloverwheel/internal/program"
)

// stream buffers the answer of one call and feeds any number of readers. The
// engine's side never waits for a reader; the buffer is bounded by the call's
// largest answer.
type stream struct {
	call uint64

	mutex   sync.Mutex
	attempt int    // that text comes from, or that goes on after it
	text    []byte // all of the answer so far
	marks   []mark // ends of the engine's chunks, in order
	version int    // of text; it rises when text is not just added to
	// parts are the ends of what earlier attempts made of text, in order.
	parts []part
	// wordless is set by tokens without text, as those of a tool call.
	wordless bool
	sent     bool // a reader has had some of text
	answer   *Answer
	failure  *fault.Error
	done     bool
	changed  chan struct{} // closed and replaced at each change
}

// mark says that the first bytes of a text are its first tokens.
type mark struct {
	tokens int
	bytes  int
}

// part says that an attempt made the text up to so many tokens, or went on
// after what attempts before it made.
type part struct {
	attempt int
	tokens  int
}

func newStream(call uint64) *stream {
	return &stream{call: call, changed: make(chan struct{})}
}

// notify wakes all readers. The mutex is held.
func (s *stream) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *stream) end() mark {
	if len(s.marks) == 0 {
		return mark{}
	}
	return s.marks[len(s.marks)-1]
}

// begin prepares for the text of an attempt and returns what it goes on after.
// Text with part of a tool call is not gone on with but let go.
func (s *stream) begin(attempt int) engine.Partial {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.attempt == attempt || s.done {
		return engine.Partial{}
	}
	if s.wordless {
		s.reset()
	}
	s.parts = append(s.parts, part{attempt: s.attempt, tokens: s.end().tokens})
	s.attempt = attempt
	s.notify()
	return engine.Partial{Text: string(s.text), Tokens: s.end().tokens}
}

// reset lets the text go. The mutex is held.
func (s *stream) reset() {
	s.version++
	s.text = nil
	s.marks = nil
	s.parts = nil
	s.wordless = false
}

// stuck reports whether no further attempt can make an answer that goes on
// after what was sent: part of a tool call cannot be gone on with.
func (s *stream) stuck() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.wordless && s.sent
}

// holds reports whether the first tokens of an attempt are those of the text.
// The mutex is held.
func (s *stream) holds(attempt, tokens int) bool {
	if attempt == s.attempt {
		return true
	}
	return slices.ContainsFunc(s.parts, func(p part) bool { return p.attempt == attempt && tokens <= p.tokens })
}

// tokens returns how many tokens the buffer holds.
func (s *stream) tokens() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.end().tokens
}

// add appends a chunk of an attempt. Chunks that are there already, or that
// leave a gap, are dropped: the whole answer comes with the outcome.
func (s *stream) add(attempt int, chunk engine.Chunk) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.done || attempt != s.attempt {
		return
	}
	if chunk.Offset != s.end().tokens && !s.cutFor(chunk) {
		return
	}
	s.text = append(s.text, chunk.Text...)
	s.wordless = s.wordless || chunk.Text == ""
	s.marks = append(s.marks, mark{tokens: chunk.Offset + chunk.Tokens, bytes: len(s.text)})
	s.notify()
}

// cutFor takes the end of the text away, if chunk repeats it and has more, as
// after a restore. The mutex is held.
func (s *stream) cutFor(chunk engine.Chunk) bool {
	at := s.markAt(chunk.Offset)
	if at.tokens != chunk.Offset || chunk.Offset+chunk.Tokens <= s.end().tokens || !strings.HasPrefix(chunk.Text, string(s.text[at.bytes:])) {
		return false
	}
	s.text = s.text[:at.bytes:at.bytes]
	s.marks = slices.DeleteFunc(s.marks, func(m mark) bool { return m.tokens > at.tokens })
	return true
}

// restore takes in what a caller has had of the present attempt's text, where
// this leadership has less of it.
func (s *stream) restore(from place) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	known := s.attempt == 0 || s.attempt == from.attempt
	if s.done || !known || from.offset <= s.end().tokens || len(from.text) == 0 || !strings.HasPrefix(from.text, string(s.text)) {
		return
	}
	s.attempt = from.attempt
	s.text = append(s.text, from.text[len(s.text):]...)
	s.marks = append(s.marks, mark{tokens: from.offset, bytes: len(s.text)})
	s.sent = true
	s.notify()
}

// mayBegin reports whether the text begins, or may yet begin, by what a caller
// has had of it. The mutex is held.
func (s *stream) mayBegin(from place) bool {
	common := min(len(from.text), len(s.text))
	return from.text != "" && from.text[:common] == string(s.text[:common])
}

// endOfText is the end of the last chunk that has text. The mutex is held.
func (s *stream) endOfText() mark {
	last := s.end()
	first := sort.Search(len(s.marks), func(i int) bool { return s.marks[i].bytes >= last.bytes })
	if last.bytes == 0 || s.done {
		return last
	}
	return s.marks[first]
}

// close ends the stream by the call's outcome.
func (s *stream) close(outcome program.Outcome) {
	if outcome.Fault != nil {
		s.fail(outcome.Fault)
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.done {
		return
	}
	answer := answerOf(outcome)
	s.complete(outcome.Call.Attempt, answer)
	s.answer = &answer
	s.done = true
	s.notify()
}

// complete adds the part of the answer that was not streamed.
func (s *stream) complete(attempt int, answer Answer) {
	content := answer.Message.Content
	if s.attempt != attempt || !strings.HasPrefix(content, string(s.text)) {
		s.reset()
	}
	s.attempt = attempt
	if len(content) == len(s.text) {
		return
	}
	s.text = append(s.text, content[len(s.text):]...)
	tokens := max(answer.Usage.OutputTokens, s.end().tokens)
	s.marks = append(s.marks, mark{tokens: tokens, bytes: len(s.text)})
}

// fail ends the stream by an error.
func (s *stream) fail(problem *fault.Error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.done {
		return
	}
	s.failure = problem
	s.done = true
	s.notify()
}

func answerOf(outcome program.Outcome) Answer {
	return Answer{
		Call:         outcome.Call.Number,
		Message:      outcome.Message,
		FinishReason: outcome.Call.FinishReason,
		Usage:        outcome.Call.Usage,
	}
}

// place is where a caller wants to go on in an answer.
type place struct {
	offset  int    // tokens to be left out
	attempt int    // that made them, or went on after them; zero: unknown
	text    string // of them all; empty: unknown
}

// reader is one caller's place in a stream.
type reader struct {
	stream  *stream
	from    place // used until placed
	placed  bool
	at      mark // what was sent or left out
	version int  // of the text that at is in
	digest  *xxhash.Digest
}

// follow passes the stream's events to send from a place on, until its end or
// until ctx ends. It returns the stream's failure.
func (s *stream) follow(ctx context.Context, from place, send func(CallEvent) error) error {
	r := &reader{stream: s, from: from}
	for {
		event, last, changed, err := r.next()
		if err != nil {
			return err
		}
		if event.Text != "" || last {
			if err := send(event); err != nil {
				return err
			}
		}
		if last {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// next returns all text that the reader has not had, as one event.
func (r *reader) next() (event CallEvent, last bool, changed <-chan struct{}, err error) {
	s := r.stream
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.failure != nil {
		return event, true, nil, s.failure
	}
	event.Call = s.call
	event.Attempt = s.attempt
	event.Offset = r.at.tokens
	ready, err := r.join()
	if err != nil {
		return event, true, nil, err
	}
	if ready {
		r.take(&event)
	}
	if s.done {
		event.Answer = s.answer
	}
	return event, s.done, s.changed, nil
}

// take fills event with the text after the reader's place, without tokens at the
// end that have no text. The stream's mutex is held.
func (r *reader) take(event *CallEvent) {
	end := r.stream.endOfText()
	text := r.stream.text[r.at.bytes:end.bytes]
	event.Offset = r.at.tokens
	event.Tokens = end.tokens - r.at.tokens
	event.Text = string(text)
	_, _ = r.digest.Write(text)
	r.stream.sent = r.stream.sent || len(text) > 0
	r.at = end
}

// join finds the reader's place in the present text. It reports false
// while the text is still shorter than what the reader has had. The stream's
// mutex is held.
func (r *reader) join() (bool, error) {
	s := r.stream
	if !r.placed {
		return r.place()
	}
	if r.version == s.version {
		return true, nil
	}
	if len(s.text) < r.at.bytes {
		if s.done {
			return false, answerDiffers()
		}
		return false, nil
	}
	if xxhash.Sum64(s.text[:r.at.bytes]) != r.digest.Sum64() {
		return false, answerDiffers()
	}
	r.version = s.version
	r.at.tokens = s.tokensAt(r.at.bytes)
	return true, nil
}

// place finds the reader's first place by its token offset.
func (r *reader) place() (bool, error) {
	s := r.stream
	if r.from.offset > 0 && r.from.attempt != 0 && s.attempt != 0 && !s.holds(r.from.attempt, r.from.offset) && !s.mayBegin(r.from) {
		return false, answerDiffers()
	}
	if s.end().tokens < r.from.offset && !s.done {
		return false, nil
	}
	r.placed = true
	r.version = s.version
	r.at = s.markAt(r.from.offset)
	r.digest = xxhash.New()
	_, _ = r.digest.Write(s.text[:r.at.bytes])
	return true, nil
}

// markAt returns the last mark that is not after tokens.
func (s *stream) markAt(tokens int) mark {
	after := sort.Search(len(s.marks), func(i int) bool { return s.marks[i].tokens > tokens })
	if after == 0 {
		return mark{}
	}
	return s.marks[after-1]
}

// tokensAt returns the tokens of the last chunk that ends within bytes.
func (s *stream) tokensAt(bytes int) int {
	after := sort.Search(len(s.marks), func(i int) bool { return s.marks[i].bytes > bytes })
	if after == 0 {
		return 0
	}
	return s.marks[after-1].tokens
}

func answerDiffers() *fault.Error {
	return fault.New(fault.EngineFailed, "the answer was made again and differs from the part already sent",
		"fetch the whole answer by its key").WithRan(fault.RanYes)
}

// over reports whether the stream has ended.
func (s *stream) over() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.done
}
