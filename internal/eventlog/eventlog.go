// Package eventlog writes log lines without ever making a request wait: lines
// go into a bounded buffer and from there to the output in one write a moment
// later. Lines that find the buffer full are dropped and counted.
package eventlog

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// bufferBytes bounds the lines that wait.
	bufferBytes = 256 << 10
	// flushEvery is how long a line waits at most.
	flushEvery = 150 * time.Millisecond
)

// Writer is a buffered io.Writer for whole lines.
type Writer struct {
	output  io.Writer
	mutex   sync.Mutex
	waiting []byte
	writing []byte
	dropped int
	wake    chan struct{}
}

// New returns a writer to output. Run must be running for lines to come out.
func New(output io.Writer) *Writer {
	return &Writer{output: output, wake: make(chan struct{}, 1)}
}

// Write takes one line. It never fails and never waits for the output.
func (w *Writer) Write(line []byte) (int, error) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if len(w.waiting)+len(line) > bufferBytes {
		w.dropped++
		return len(line), nil
	}
	w.waiting = append(w.waiting, line...)
	select {
	case w.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Run writes lines out until ctx ends, then what is left.
func (w *Writer) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			w.Flush()
			return
		case <-w.wake:
		}
		timer := time.NewTimer(flushEvery)
		select {
		case <-ctx.Done():
		case <-timer.C:
		}
		timer.Stop()
		w.Flush()
	}
}

// Flush writes what waits. A failing output loses it.
func (w *Writer) Flush() {
	w.mutex.Lock()
	w.waiting, w.writing = w.writing[:0], w.waiting
	dropped := w.dropped
	w.dropped = 0
	w.mutex.Unlock()
	if dropped > 0 {
		w.writing = fmt.Appendf(w.writing, "level=warn msg=\"log lines dropped\" count=%d\n", dropped)
	}
	if len(w.writing) > 0 {
		_, _ = w.output.Write(w.writing)
	}
}
