package peer

import (
	"bufio"
	"encoding/binary"
	"io"

	"github.com/rotisserie/eris"

	"github.com/cloverwheel/cloverwheel/internal/fault"
)

// frameKind is the type of a frame in a streamed response.
type frameKind byte

const (
	frameItem  frameKind = 1 // one item
	frameValue frameKind = 4 // one item without its schema, which equals that of the last frameItem
	frameEnd   frameKind = 2 // the handler succeeded; no payload, the last frame
	frameFault frameKind = 3 // the handler's typed error; the last frame
)

// maxFault limits the size of an encoded fault.Error in bytes.
const maxFault = 64 << 10

// appendFrame appends one encoded frame to buffer.
func appendFrame(buffer []byte, kind frameKind, payload []byte) []byte {
	buffer = append(buffer, byte(kind))
	buffer = binary.AppendUvarint(buffer, uint64(len(payload)))
	return append(buffer, payload...)
}

// readFrame reads one frame. It rejects a payload larger than limit bytes before
// reading it. Errors are transport failures, except for fault.TooLarge.
func readFrame(reader *bufio.Reader, limit int) (frameKind, []byte, error) {
	kind, err := reader.ReadByte()
	if err != nil {
		return 0, nil, eris.Wrap(err, "read frame kind")
	}
	size, err := binary.ReadUvarint(reader)
	if err != nil {
		return 0, nil, eris.Wrap(err, "read frame size")
	}
	if frameKind(kind) == frameFault {
		limit = maxFault
	}
	if size > uint64(limit) {
		return 0, nil, tooLargeError("stream item", size, limit)
	}
	payload, err := readSized(reader, int(size))
	return frameKind(kind), payload, err
}

// readChunk limits the memory that is allocated for an announced size before any
// data has arrived, in bytes.
const readChunk = 1 << 20

// readSized reads exactly size bytes. The buffer grows with the data that arrives.
func readSized(reader io.Reader, size int) ([]byte, error) {
	payload := make([]byte, min(size, readChunk))
	filled := 0
	for {
		count, err := io.ReadFull(reader, payload[filled:])
		filled += count
		if err != nil {
			return nil, eris.Wrap(err, "read peer payload")
		}
		if filled == size {
			return payload, nil
		}
		next := make([]byte, min(size, 2*len(payload)))
		copy(next, payload)
		payload = next
	}
}

func tooLargeError(what string, size uint64, limit int) *fault.Error {
	return fault.Newf(fault.TooLarge, "send less at once or raise the limit on all nodes",
		"%s of %d bytes is over the limit of %d", what, size, limit)
}
