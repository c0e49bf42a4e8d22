package gateway

import (
	"errors"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/cloverwheel/cloverwheel/internal/dispatch"
	"github.com/cloverwheel/cloverwheel/internal/fault"
)

// errUnwanted ends an attempt whose caller has gone.
var errUnwanted = errors.New("the caller has gone")

// position is a place in an answer's text.
type position struct {
	tokens int
	bytes  int
}

// answerBuffer takes in one answer and hands it to the caller's writer. Taking in
// never waits for the writer, so a slow caller holds back nobody; what waits is
// at most one answer.
type answerBuffer struct {
	ready chan struct{} // signalled after each change

	mutex    sync.Mutex
	from     position // where the caller's own copy ends
	received position
	attempt  int            // that the text received comes from; zero: unknown
	marks    []position     // ends of the pieces received, in order, from included
	digest   *xxhash.Digest // of the bytes received since from
	pending  []byte         // received and not yet taken
	text     []byte         // all of the answer's so far; nil unless from is its start
	call     uint64
	// awaitAnswer is set when pieces no longer join up; the rest of the text
	// then comes with the whole answer.
	awaitAnswer bool
	unwanted    bool
	answer      *dispatch.Answer
	failure     *fault.Error
}

func newAnswerBuffer(from position) *answerBuffer {
	return &answerBuffer{
		ready: make(chan struct{}, 1), from: from, received: from, marks: []position{from}, digest: xxhash.New(),
	}
}

// batch is what the writer takes at a time.
type batch struct {
	text    []byte
	end     position // of text
	call    uint64
	answer  *dispatch.Answer
	failure *fault.Error
}

func (b batch) last() bool { return b.answer != nil || b.failure != nil }

// place is where a leader should continue, and what it may have lost.
func (r *answerBuffer) place() place {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return place{offset: r.received.tokens, attempt: r.attempt, text: string(r.text)}
}

// complete reports whether the whole answer has arrived.
func (r *answerBuffer) complete() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.answer != nil || r.failure != nil
}

// receive takes one event in. It fails once the caller has gone: the leader has
// then accepted the call and goes on with it alone.
func (r *answerBuffer) receive(event dispatch.CallEvent) error {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	defer r.signal()
	if event.Call > 0 {
		r.call = event.Call
	}
	r.append(event)
	if event.Answer != nil {
		r.finish(event.Answer)
	}
	if r.unwanted {
		return errUnwanted
	}
	return nil
}

// append adds the part of a piece that is new. A leader may begin before the
// offset asked for, so the piece's beginning is dropped as far as it is here.
func (r *answerBuffer) append(event dispatch.CallEvent) {
	end := event.Offset + event.Tokens
	if r.awaitAnswer || event.Text == "" || end <= r.received.tokens {
		return
	}
	begin, known := r.bytesAt(event.Offset)
	held := r.received.bytes - begin
	if !known || held > len(event.Text) {
		r.awaitAnswer = true
		return
	}
	r.received.tokens = end
	r.attempt = event.Attempt
	r.add(event.Text[held:])
	r.marks = append(r.marks, r.received)
}

// bytesAt returns where a token begins, if a piece ended there.
func (r *answerBuffer) bytesAt(tokens int) (bytes int, known bool) {
	if tokens == 0 {
		return 0, true
	}
	index, known := slices.BinarySearchFunc(r.marks, tokens, func(mark position, tokens int) int {
		return mark.tokens - tokens
	})
	if !known {
		return 0, false
	}
	return r.marks[index].bytes, true
}

func (r *answerBuffer) add(text string) {
	r.received.bytes += len(text)
	_, _ = r.digest.WriteString(text)
	r.pending = append(r.pending, text...)
	if r.from == (position{}) {
		r.text = append(r.text, text...)
	}
}

// finish checks that what was streamed is a part of the answer, and adds what
// is missing of it.
func (r *answerBuffer) finish(answer *dispatch.Answer) {
	content := answer.Message.Content
	streamed := r.received.bytes
	if r.from.bytes > len(content) {
		r.failure = fault.New(fault.Invalid, "the answer is shorter than the event id says", "fetch the whole answer")
		return
	}
	if streamed > len(content) || xxhash.Sum64String(content[r.from.bytes:streamed]) != r.digest.Sum64() {
		r.failure = fault.New(fault.EngineFailed, "the streamed text is not that of the stored answer",
			"fetch the whole answer by its call number or key").WithRan(fault.RanYes)
		return
	}
	r.add(content[streamed:])
	r.received.tokens = max(r.received.tokens, answer.Usage.OutputTokens)
	r.call = answer.Call
	r.answer = answer
}

// fail ends the answer by an error, unless the answer is whole.
func (r *answerBuffer) fail(err error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if err != nil && r.answer == nil && r.failure == nil {
		r.failure = public(err)
	}
	r.signal()
}

// abandon tells the buffer that its caller has gone.
func (r *answerBuffer) abandon() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.unwanted = true
}

// take hands out what has come since the last take.
func (r *answerBuffer) take() batch {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	taken := batch{text: r.pending, end: r.received, call: r.call, answer: r.answer, failure: r.failure}
	r.pending = nil
	return taken
}

func (r *answerBuffer) signal() {
	select {
	case r.ready <- struct{}{}:
	default:
	}
}
