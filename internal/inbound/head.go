package inbound

import "bytes"

const (
	// headByteMemory is the memory that a byte of a head takes, and headLineMemory what a line takes beyond its bytes: each field is an
	// entry of the request's header, of the copy that is forwarded and of the one that is sent to a worker.
	headByteMemory = 4
	headLineMemory = 400
	// freeHeadMemory is the memory in bytes that a head may take without a reservation: each connection has room for it.
	freeHeadMemory = 16 << 10
	// headStep is the step in which the memory of longer heads is reserved, in bytes.
	headStep = 64 << 10
)

// headSize is the size of what has arrived of a head. The bytes after its end belong to the body or to another request.
type headSize struct {
	bytes int64
	lines int64
	ended bool  // by an empty line
	line  int64 // length of the last line, which has no line feed yet
	blank bool  // that line has nothing but a carriage return
}

// add adds bytes that have arrived.
func (h *headSize) add(arrived []byte) {
	for len(arrived) > 0 && !h.ended {
		length, complete := len(arrived), false
		if feed := bytes.IndexByte(arrived, '\n'); feed >= 0 {
			length, complete = feed+1, true
		}
		h.addLine(arrived[:length], complete)
		arrived = arrived[length:]
	}
}

// addLine adds a part of a line; complete states that it ends with a line feed.
func (h *headSize) addLine(part []byte, complete bool) {
	h.bytes += int64(len(part))
	text := part
	if complete {
		text = part[:len(part)-1]
	}
	switch {
	case len(text) == 0:
	case h.line == 0:
		h.blank = string(text) == "\r"
	default:
		h.blank = false
	}
	h.line += int64(len(text))
	if !complete {
		return
	}
	h.ended = h.line == 0 || h.blank
	h.lines++
	h.line, h.blank = 0, false
}

// memory returns the memory that has to be reserved for the head, in bytes.
func (h *headSize) memory() int64 {
	total := h.bytes*headByteMemory + h.lines*headLineMemory
	if total <= freeHeadMemory {
		return 0
	}
	return total
}
