package gateway

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/cloverwheel/cloverwheel/internal/chat"
	"github.com/cloverwheel/cloverwheel/internal/dispatch"
	"github.com/cloverwheel/cloverwheel/internal/fault"
	"github.com/cloverwheel/cloverwheel/internal/gateway/wire"
)

// keepAlive is how often a silent stream gets a comment, so that proxies keep
// it and a gone caller is noticed.
const keepAlive = 15 * time.Second

// streamReply answers by server-sent events. The status waits for the first
// event, so that a refusal still has its own.
func (g *Gateway) streamReply(w http.ResponseWriter, r *http.Request, q query) {
	started := time.Now()
	target := g.ask(r.Context(), q)
	writer := &eventWriter{
		response:   w,
		controller: http.NewResponseController(w),
		timeout:    g.options.WriteTimeout,
		query:      q,
		created:    started.Unix(),
	}
	ticker := time.NewTicker(keepAlive)
	defer ticker.Stop()
	for {
		select {
		case <-target.ready:
		case <-ticker.C:
			if writer.begun {
				writer.comment()
			}
		case <-r.Context().Done():
			writer.err = r.Context().Err()
		}
		taken := target.take()
		if taken.failure != nil && !writer.begun {
			setAnswerHeaders(w.Header(), q, taken.call)
			g.fail(w, r, q.explained(r.Context(), taken.failure))
			return
		}
		if len(taken.text) > 0 && !writer.spoke {
			g.metrics.firstToken.Observe(time.Since(started).Seconds())
		}
		writer.write(taken)
		if writer.err != nil {
			target.abandon()
			g.metrics.abandoned.Inc()
			return
		}
		if taken.last() {
			noteCall(r.Context(), taken.call)
			if taken.failure != nil {
				noteFault(r.Context(), taken.failure)
			}
			return
		}
	}
}

// eventWriter writes an answer in the chat.completion.chunk shape. After its
// first error it writes nothing more.
type eventWriter struct {
	response   http.ResponseWriter
	controller *http.ResponseController
	timeout    time.Duration
	query      query
	created    int64
	id         string
	begun      bool         // the status is sent
	spoke      bool         // the role is sent
	held       []byte       // text that ends within a character
	buffer     bytes.Buffer // events not yet sent
	err        error
}

func (w *eventWriter) write(taken batch) {
	if taken.call == 0 && len(taken.text) == 0 && !taken.last() {
		return
	}
	w.begin(taken.call)
	w.text(taken)
	if taken.answer != nil {
		w.finish(*taken.answer)
	}
	if taken.failure != nil {
		w.fault(taken.failure)
	}
	w.flush()
}

func (w *eventWriter) begin(call uint64) {
	if w.begun {
		return
	}
	w.begun = true
	w.id = completionID(w.query.program, call)
	header := w.response.Header()
	setAnswerHeaders(header, w.query, call)
	header.Set("Content-Type", wire.MediaEvents)
	header.Set("Cache-Control", "no-store")
	header.Set("X-Accel-Buffering", "no")
	w.response.WriteHeader(http.StatusOK)
}

// text sends a piece of the answer. Its event id lets the caller resume, so a
// piece that ends within a character waits for the rest.
func (w *eventWriter) text(taken batch) {
	w.held = append(w.held, taken.text...)
	if len(w.held) == 0 || taken.answer == nil && endsWithinCharacter(w.held) {
		return
	}
	content := wire.Content(w.held)
	w.held = w.held[:0]
	delta := wire.Message{Content: &content}
	if !w.spoke {
		w.spoke = true
		delta.Role = string(chat.Assistant)
	}
	w.send(formatPosition(taken.end), w.chunk(delta, nil))
}

func endsWithinCharacter(text []byte) bool {
	for back := 1; back <= min(utf8.UTFMax, len(text)); back++ {
		start := len(text) - back
		if utf8.RuneStart(text[start]) {
			return !utf8.FullRune(text[start:])
		}
	}
	return false
}

func (w *eventWriter) finish(answer dispatch.Answer) {
	if len(answer.Message.ToolCalls) > 0 {
		w.send("", w.chunk(wire.Message{
			Role: string(chat.Assistant), ToolCalls: wire.FromToolCalls(answer.Message.ToolCalls, true),
		}, nil))
	}
	w.send("", w.chunk(wire.Message{}, &answer.FinishReason))
	if w.query.usage {
		chunk := w.chunk(wire.Message{}, nil)
		chunk.Choices = []wire.ChunkChoice{}
		chunk.Usage = wire.FromUsage(answer.Usage)
		w.send("", chunk)
	}
	w.done()
}

// fault ends a stream that has begun; it gets no [DONE].
func (w *eventWriter) fault(failure *fault.Error) {
	chunk := w.chunk(wire.Message{}, nil)
	chunk.Choices = []wire.ChunkChoice{}
	chunk.Error = wire.FromFault(failure)
	w.send("", chunk)
}

func (w *eventWriter) chunk(delta wire.Message, finish *string) wire.Chunk {
	return wire.Chunk{
		ID:      w.id,
		Object:  wire.ObjectChunk,
		Created: w.created,
		Model:   w.query.model,
		Choices: []wire.ChunkChoice{{Delta: delta, FinishReason: finish}},
	}
}

func (w *eventWriter) send(eventID string, chunk wire.Chunk) {
	if eventID != "" {
		w.buffer.WriteString("id: " + eventID + "\n")
	}
	w.buffer.WriteString("data: ")
	// JSON text has no line breaks, and the encoder ends it by one.
	if err := json.NewEncoder(&w.buffer).Encode(chunk); err != nil && w.err == nil {
		w.err = err
	}
	w.buffer.WriteByte('\n')
}

func (w *eventWriter) done() { w.buffer.WriteString("data: " + wire.Done + "\n\n") }

// comment keeps a silent stream alive.
func (w *eventWriter) comment() {
	w.buffer.WriteString(": waiting\n\n")
	w.flush()
}

// flush sends what is buffered.
func (w *eventWriter) flush() {
	defer w.buffer.Reset()
	if w.err != nil || w.buffer.Len() == 0 {
		return
	}
	// A writer without deadlines, as in tests, is served without one.
	_ = w.controller.SetWriteDeadline(time.Now().Add(w.timeout))
	if _, w.err = w.response.Write(w.buffer.Bytes()); w.err == nil {
		w.err = w.controller.Flush()
	}
}

// formatPosition writes an event id: tokens and bytes of text so far.
func formatPosition(p position) string {
	return strconv.Itoa(p.tokens) + "-" + strconv.Itoa(p.bytes)
}

// parsePosition reads an event id; an empty one is the beginning.
func parsePosition(text string) (position, error) {
	if text == "" {
		return position{}, nil
	}
	tokens, bytes, found := strings.Cut(text, "-")
	parsedTokens, tokensErr := strconv.ParseUint(tokens, 10, 31)
	parsedBytes, bytesErr := strconv.ParseUint(bytes, 10, 31)
	if !found || tokensErr != nil || bytesErr != nil {
		return position{}, fault.Newf(fault.Invalid, fmt.Sprintf("send the id of the last event received as %s", wire.HeaderResume),
			"%q is not an event id of this interface", text)
	}
	return position{tokens: int(parsedTokens), bytes: int(parsedBytes)}, nil
}
