package peer

import (
	"bytes"
	stdlog "log"
	"net/http"
	"strconv"
	"strings"

	"github.com/apex/log"
	"github.com/rotisserie/eris"

	"github.com/cloverwheel/cloverwheel/internal/fault"
)

// writeFault sends a typed error as the response.
func writeFault(w http.ResponseWriter, status int, typed *fault.Error) {
	payload := encodeFault(typed)
	w.Header().Set("Content-Length", strconv.Itoa(len(payload)))
	w.WriteHeader(status)
	_, _ = w.Write(payload) // on failure the caller sees a truncated response
}

// encodeFault encodes a typed error. A message that is too long is truncated, and
// its hint is dropped.
func encodeFault(typed *fault.Error) []byte {
	if len(typed.Message)+len(typed.Hint) > maxFault/2 {
		shortened := *typed
		shortened.Message = typed.Message[:min(len(typed.Message), maxFault/4)]
		shortened.Hint = ""
		typed = &shortened
	}
	payload, err := Encode(*typed)
	if err != nil {
		return nil
	}
	return payload
}

// itemWriter writes and flushes the items of a streamed response.
type itemWriter struct {
	writer  http.ResponseWriter
	flusher *http.ResponseController
	limit   int
	buffer  []byte
	schema  []byte // of the last item sent with its schema
	sent    int    // payload bytes
}

func newItemWriter(w http.ResponseWriter, limit int) *itemWriter {
	return &itemWriter{writer: w, flusher: http.NewResponseController(w), limit: limit}
}

// send writes one item. It blocks while the receiver is slow.
func (i *itemWriter) send(item []byte) error {
	if len(item) > i.limit {
		return tooLargeError("stream item", uint64(len(item)), i.limit).WithRan(fault.RanUnknown)
	}
	if len(item) == 0 || payloadKind(item[0]) != payloadSchema {
		return i.write(frameItem, item)
	}
	schema, value, err := splitSchema(item)
	if err != nil {
		return err
	}
	if i.schema != nil && bytes.Equal(i.schema, schema) {
		return i.write(frameValue, value)
	}
	i.schema = bytes.Clone(schema)
	return i.write(frameItem, item)
}

func (i *itemWriter) write(kind frameKind, payload []byte) error {
	i.buffer = appendFrame(i.buffer[:0], kind, payload)
	i.sent += len(payload)
	if _, err := i.writer.Write(i.buffer); err != nil {
		return eris.Wrap(err, "send stream item")
	}
	return eris.Wrap(i.flusher.Flush(), "flush stream item")
}

// finish writes the last frame, which reports the handler's result.
func (i *itemWriter) finish(err error) {
	if err == nil {
		_ = i.write(frameEnd, nil) // on failure the caller sees a truncated stream
		return
	}
	_ = i.write(frameFault, encodeFault(fault.From(err)))
}

// newErrorLog returns a logger for net/http that writes to the structured log.
func newErrorLog(target log.Interface) *stdlog.Logger {
	return stdlog.New(lineLogger{target}, "", 0)
}

type lineLogger struct{ target log.Interface }

// Write implements io.Writer.
func (l lineLogger) Write(line []byte) (int, error) {
	l.target.WithField("detail", strings.TrimSpace(string(line))).Debug("peer_http")
	return len(line), nil
}
