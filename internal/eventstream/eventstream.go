// Package eventstream splits a text/event-stream into complete events and keeps their bytes
// unchanged.
package eventstream

import (
	"bufio"
	"bytes"
	"io"
)

// MaxEvent is the maximum size of an event, in bytes.
const MaxEvent = 1 << 20

// Event is one complete event, including the blank line that ends it.
type Event struct {
	Raw  []byte // valid until the next call of Next
	ID   []byte // empty if the event has none
	Data []byte // the data lines, joined by line feeds
}

// Reader reads a stream event by event.
type Reader struct {
	scanner *bufio.Scanner
}

// NewReader returns a Reader of stream.
func NewReader(stream io.Reader) *Reader {
	reader := &Reader{scanner: bufio.NewScanner(stream)}
	reader.scanner.Buffer(make([]byte, 0, 2048), MaxEvent)
	reader.scanner.Split(reader.splitEvents)
	return reader
}

// Next returns the next event. The error is io.EOF if the stream ended after a complete event,
// io.ErrUnexpectedEOF if it ended within one, and bufio.ErrTooLong if an event exceeds MaxEvent.
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
