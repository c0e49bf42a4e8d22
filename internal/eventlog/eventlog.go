// Package eventlog writes log lines asynchronously, so that logging never blocks a request. Lines
// are buffered up to a limit and written in batches. When the buffer is full, new lines are
// dropped and counted.
package eventlog

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// bufferBytes bounds the buffered lines.
	bufferBytes = 256 << 10
	// flushDelay is the longest time between buffering a line and writing it.
	flushDelay = 150 * time.Millisecond
)

// Writer is a buffered io.Writer for whole lines. Its Write is safe for concurrent use.
type Writer struct {
	output io.Writer
	wake   chan struct{}

	flush    sync.Mutex // held during a flush
	flushing []byte     // lines being written; guarded by flush

	mutex   sync.Mutex // guards the fields below
	buffer  []byte
	dropped int
}

// New returns a Writer to output. Lines are written only by Run or Flush.
func New(output io.Writer) *Writer {
	return &Writer{output: output, wake: make(chan struct{}, 1)}
}

// Write buffers one line. It never fails and never blocks on the output.
func (w *Writer) Write(line []byte) (int, error) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if len(w.buffer)+len(line) > bufferBytes {
		w.dropped++
		return len(line), nil
	}
	w.buffer = append(w.buffer, line...)
	select {
	case w.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Run writes buffered lines until ctx ends, and then the remaining ones.
func (w *Writer) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			w.Flush()
			return
		case <-w.wake:
		}
		timer := time.NewTimer(flushDelay)
		select {
		case <-ctx.Done():
		case <-timer.C:
		}
		timer.Stop()
		w.Flush()
	}
}

// FlushWithin is Flush that returns after a time if the output blocks, as a pipe does that nobody reads. It reports whether the
// lines were written.
func (w *Writer) FlushWithin(limit time.Duration) bool {
	flushed := make(chan struct{})
	go func() {
		defer close(flushed)
		w.Flush()
	}()
	select {
	case <-flushed:
		return true
	case <-time.After(limit):
		return false
	}
}

// Flush writes all buffered lines, and the number of dropped ones if any. Lines that the output does not take are dropped
// and counted. Flush is safe for concurrent use; at the end of a process it may
// run beside Run.
func (w *Writer) Flush() {
	w.flush.Lock()
	defer w.flush.Unlock()
	w.mutex.Lock()
	w.buffer, w.flushing = w.flushing[:0], w.buffer
	dropped := w.dropped
	w.dropped = 0
	w.mutex.Unlock()
	lines := w.flushing
	if dropped > 0 {
		w.flushing = fmt.Appendf(w.flushing, "level=warn msg=\"log lines dropped\" count=%d\n", dropped)
	}
	if len(w.flushing) == 0 {
		return
	}
	written, err := w.output.Write(w.flushing)
	if err == nil {
		return
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.dropped += dropped + bytes.Count(lines[min(written, len(lines)):], []byte("\n"))
}
