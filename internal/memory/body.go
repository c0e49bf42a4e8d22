package memory

import (
	"bytes"
	"context"
	"errors"
	"io"

	"golang.org/x/sync/semaphore"
)

const (
	// MaxBody is the longest body that a BodyReader reads, in bytes.
	MaxBody = 8 << 20
	// shortBody is the size in bytes up to which a body needs no reservation, and bodyStep the step in which longer ones are read.
	shortBody = 64 << 10
	bodyStep  = 1 << 20
	// bodyMemoryFactor is the memory that a byte of a body takes: as it is read, as its buffer grows and as it is decoded.
	bodyMemoryFactor = 4
	// bodyMemoryDivisor is the part of the process's memory that long bodies may use.
	bodyMemoryDivisor = 8 // one eighth
)

var (
	// ErrLongBody is returned for a body of MaxBody bytes or more.
	ErrLongBody = errors.New("the body is longer than any that is read; check its sender")
	// ErrNoMemory is returned for a long body that cannot be read beside others.
	ErrNoMemory = errors.New("not enough memory for a long body beside others; read it again")
)

// BodyReader reads bodies and bounds the memory of long ones that are read and decoded at the same time. It is safe for concurrent use.
type BodyReader struct{ free *semaphore.Weighted }

// NewBodyReader returns a reader for a process with the given memory; 0: unlimited.
func NewBodyReader(processBytes int64) *BodyReader {
	if processBytes == 0 {
		return &BodyReader{}
	}
	return &BodyReader{free: semaphore.NewWeighted(max(processBytes/bodyMemoryDivisor, bodyStep*bodyMemoryFactor))}
}

// Read reads a body. The memory of a long one stays reserved until release is called, which is never nil. Its first part waits for memory
// until ctx ends. A later part fails with ErrNoMemory if there is none, since two bodies could wait for each other.
func (r *BodyReader) Read(ctx context.Context, body io.Reader) (data []byte, release func(), err error) {
	data, err = io.ReadAll(io.LimitReader(body, shortBody))
	if err != nil || len(data) < shortBody {
		return data, func() {}, err
	}
	reserved := int64(0)
	release = func() {
		if reserved > 0 {
			r.free.Release(reserved)
		}
	}
	whole := bytes.NewBuffer(data)
	for whole.Len() < MaxBody {
		if err := r.reserve(ctx, &reserved); err != nil {
			return nil, release, err
		}
		_, err := io.CopyN(whole, body, bodyStep)
		if errors.Is(err, io.EOF) {
			return whole.Bytes(), release, nil
		}
		if err != nil {
			return nil, release, err
		}
	}
	return nil, release, ErrLongBody
}

// reserve reserves the memory for a further step of a body.
func (r *BodyReader) reserve(ctx context.Context, reserved *int64) error {
	const step = bodyStep * bodyMemoryFactor
	switch {
	case r.free == nil:
		return nil
	case *reserved == 0:
		if err := r.free.Acquire(ctx, step); err != nil {
			return err
		}
	case !r.free.TryAcquire(step):
		return ErrNoMemory
	}
	*reserved += step
	return nil
}
