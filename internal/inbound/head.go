package inbound

import "bytes"

const (
	// freeHeadBytes is the part of a request's head that needs no reservation: the read buffer of its connection holds it.
	freeHeadBytes = 4 << 10
	// headStep is the step in which the memory of longer heads is reserved, in bytes.
	headStep = 16 << 10
	// headMemoryFactor is the memory that a byte of a head takes: as it is read, decoded and copied.
	headMemoryFactor = 4
)

// headSize is the size of what has arrived of a head.
type headSize struct {
	bytes int64
	lines int64
}

// add adds bytes that have arrived.
func (h *headSize) add(arrived []byte) {
	h.bytes += int64(len(arrived))
	h.lines += int64(bytes.Count(arrived, []byte{'\n'}))
}

// memory returns the memory that the head takes beyond what needs no reservation, in bytes.
func (h *headSize) memory() int64 {
	if h.bytes <= freeHeadBytes {
		return 0
	}
	return h.bytes * headMemoryFactor
}
