// Package eventstream splits a text/event-stream into complete events and keeps their bytes
// unchanged.
package eventstream

import (
	"bufio"
	"bytes"
	"errors"
	"io"

	"github.com/cloverwheel/cloverwheel/internal/memory"
)

// MaxEvent is the maximum size of an event, in bytes.
const MaxEvent = 1 << 20

const (
	// freeBytes is the size up to which an event needs no reservation.
	freeBytes = 16 << 10
	// memoryStep is the step in which memory for longer events is reserved, in bytes.
	memoryStep = 64 << 10
	// memoryFactor is the memory that a buffered byte takes at most: the buffer doubles, and the old one is copied.
	memoryFactor = 3
)

// ErrNoMemory is returned for a long event for which no memory can be reserved.
var ErrNoMemory = errors.New("not enough memory for a long event; retry later or at another node")

// Event is one complete event or comment, including the blank line that ends it.
type Event struct {
	Raw  []byte // valid until the next call of Next
	ID   []byte // empty if the event has none
	Data []byte // the data lines, joined by line feeds
	// IsComment means that there are no data lines: it is no event, and says nothing but that the sender works.
	IsComment bool
}

// Reader reads a stream event by event.
type Reader struct {
	scanner *bufio.Scanner
	grant   *memory.Grant
}

// NewReader returns a Reader of stream. Long events take their memory from grant, which the caller releases after the last
// use of the reader.
func NewReader(stream io.Reader, grant *memory.Grant) *Reader {
	reader := &Reader{scanner: bufio.NewScanner(stream), grant: grant}
	reader.scanner.Buffer(make([]byte, 0, 2048), MaxEvent)
	reader.scanner.Split(reader.splitEvents)
	return reader
}

// Next returns the next event. The error is io.EOF if the stream ended after a complete event,
// io.ErrUnexpectedEOF if it ended within one, bufio.ErrTooLong if an event exceeds MaxEvent, and ErrNoMemory.
func (r *Reader) Next() (Event, error) {
	if r.scanner.Scan() {
		return parse(r.scanner.Bytes()), nil
	}
	if err := r.scanner.Err(); err != nil {
		return Event{}, err
	}
	return Event{}, io.EOF
}

// splitEvents is a bufio.SplitFunc that returns complete events.
func (r *Reader) splitEvents(data []byte, atEOF bool) (int, []byte, error) {
	if end := eventEnd(data); end > 0 {
		return end, data[:end], nil
	}
	if atEOF && len(bytes.TrimRight(data, "\r\n")) > 0 {
		return 0, nil, io.ErrUnexpectedEOF
	}
	if atEOF {
		return len(data), nil, nil
	}
	if len(data) > freeBytes && !r.grant.Grow(int64(len(data))*memoryFactor, memoryStep) {
		return 0, nil, ErrNoMemory
	}
	return 0, nil, nil
}

// eventEnd returns the length of the first event, including the blank line after it and any blank
// lines before it. It is 0 if data contains no complete event.
func eventEnd(data []byte) int {
	start := len(data) - len(bytes.TrimLeft(data, "\r\n"))
	rest := data[start:]
	end := 0
	for _, blank := range [][]byte{[]byte("\n\n"), []byte("\n\r\n")} {
		at := bytes.Index(rest, blank)
		if at >= 0 && (end == 0 || at+len(blank) < end) {
			end = at + len(blank)
		}
	}
	if end == 0 {
		return 0
	}
	return start + end
}

func parse(raw []byte) Event {
	event := Event{Raw: raw}
	hasData := false
	for rest := raw; len(rest) > 0; {
		line, after, _ := bytes.Cut(rest, []byte("\n"))
		rest = after
		line = bytes.TrimSuffix(line, []byte("\r"))
		name, value, _ := bytes.Cut(line, []byte(":"))
		value = bytes.TrimPrefix(value, []byte(" "))
		switch string(name) {
		case "id":
			event.ID = value
		case "data":
			event.Data = joinData(event.Data, value, hasData)
			hasData = true
		}
	}
	event.IsComment = !hasData
	return event
}

func joinData(data, line []byte, hasData bool) []byte {
	if !hasData {
		return line
	}
	joined := make([]byte, 0, len(data)+1+len(line))
	joined = append(joined, data...)
	joined = append(joined, '\n')
	return append(joined, line...)
}
