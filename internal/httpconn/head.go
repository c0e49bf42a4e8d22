package httpconn

import (
	"bytes"
	"errors"
	"fmt"
	"io"
)

const (
	// maxHeadBytes and maxHeadLines bound the head of a response together with the informational responses before it. Peers send
	// some 20 lines; net/http sets no bound of its own on what it reads of them.
	maxHeadBytes = 16 << 10
	maxHeadLines = 128
)

// ErrHeadTooLong is in the chain of errors of responses whose head is longer than any that is accepted. It is unknown whether the
// request ran.
var ErrHeadTooLong = errors.New("the head of the response is too long; check whether the peer sends proper responses")

// headReader reads from a connection and bounds the heads of responses. It sees the bytes in order, so that it can tell where a head
// ends and a body begins.
type headReader struct {
	source io.Reader

	inHead     bool // the next byte belongs to a head
	bytes      int  // read of the heads of the current response
	lines      int  // complete lines of them
	lineLength int  // bytes of the current line so far
	lineIsCR   bool // the current line is a carriage return so far

	tooLong error // the heads exceeded their bounds; the parser may report the cut line instead
}

// beginResponse starts a new response, whose head follows.
func (h *headReader) beginResponse() {
	h.bytes, h.lines = 0, 0
}

// beginHead states that a head follows. buffered is what was read before and is still unused.
func (h *headReader) beginHead(buffered []byte) error {
	h.inHead, h.lineLength, h.lineIsCR = true, 0, false
	return h.check(buffered)
}

// Read implements io.Reader. It fails with ErrHeadTooLong once a head exceeds its bounds.
func (h *headReader) Read(buffer []byte) (int, error) {
	count, err := h.source.Read(buffer)
	if tooLong := h.check(buffer[:count]); tooLong != nil {
		h.tooLong = tooLong
		return 0, tooLong
	}
	return count, err
}

// check counts the part of the data that belongs to a head.
func (h *headReader) check(data []byte) error {
	for h.inHead && len(data) > 0 {
		line, rest, ended := bytes.Cut(data, []byte("\n"))
		data = rest
		h.addToLine(line, ended)
		if h.bytes > maxHeadBytes || h.lines > maxHeadLines {
			return fmt.Errorf("%d bytes in %d lines were read, at most %d in %d are allowed: %w", h.bytes, h.lines, maxHeadBytes, maxHeadLines, ErrHeadTooLong)
		}
	}
	return nil
}

// addToLine counts a part of a line. If the line has ended and is blank, so has the head.
func (h *headReader) addToLine(part []byte, ended bool) {
	h.bytes += len(part)
	h.lineIsCR = h.lineIsCR && len(part) == 0 || h.lineLength == 0 && string(part) == "\r"
	h.lineLength += len(part)
	if !ended {
		return
	}
	h.bytes++
	h.lines++
	h.inHead = h.lineLength > 0 && !h.lineIsCR
	h.lineLength, h.lineIsCR = 0, false
}
