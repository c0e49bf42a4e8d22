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

// memory returns the memory that has to be reserved for the head, in bytes.
func (h *headSize) memory() int64 {
	total := h.bytes*headByteMemory + h.lines*headLineMemory
	if total <= freeHeadMemory {
		return 0
	}
	return total
}
