package eventlog

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// output records what is written and fails on overlapping writes.
type output struct {
	t       *testing.T
	writing sync.Mutex
	text    bytes.Buffer
}

// Write implements io.Writer.
func (o *output) Write(lines []byte) (int, error) {
	if !o.writing.TryLock() {
		o.t.Error("two flushes write at the same time")
		return 0, nil
	}
	defer o.writing.Unlock()
	return o.text.Write(lines)
}

// Guards against lost, doubled or garbled lines at the end of a process, which flushes while Run still does.
func TestFlushBesideRunKeepsEveryLine(t *testing.T) {
	const rounds, lines = 200, 20
	for range rounds {
		out := &output{t: t}
		writer := New(out)
		ctx, stop := context.WithCancel(t.Context())
		var running sync.WaitGroup
		running.Go(func() { writer.Run(ctx) })
		for line := range lines {
			_, err := fmt.Fprintf(writer, "line %d\n", line)
			require.NoError(t, err)
		}
		running.Go(writer.Flush)
		stop()
		running.Wait()
		writer.Flush()
		require.Equal(t, lines, strings.Count(out.text.String(), "\n"), out.text.String())
		for line := range lines {
			require.Contains(t, out.text.String(), fmt.Sprintf("line %d\n", line))
		}
	}
}

// failingOutput fails while it is broken.
type failingOutput struct {
	bytes.Buffer
	broken bool
}

// Write implements io.Writer.
func (o *failingOutput) Write(lines []byte) (int, error) {
	if o.broken {
		return 0, syscall.EPIPE
	}
	return o.Buffer.Write(lines)
}

// Guards against lines that are lost without a trace while the output fails.
func TestLinesLostByTheOutputAreCounted(t *testing.T) {
	out := &failingOutput{broken: true}
	writer := New(out)
	for range 3 {
		_, err := fmt.Fprintln(writer, "lost")
		require.NoError(t, err)
		writer.Flush()
	}
	out.broken = false
	_, err := fmt.Fprintln(writer, "written")
	require.NoError(t, err)
	writer.Flush()
	require.Equal(t, "written\nlevel=warn msg=\"log lines dropped\" count=3\n", out.String())
}

// Guards against a process that does not end because nobody reads its log (FAULT).
func TestFlushOfABlockedOutputEnds(t *testing.T) {
	reader, writer, err := os.Pipe()
	require.NoError(t, err)
	defer reader.Close()
	lines := New(writer)
	for range bufferBytes / 1000 {
		_, err := fmt.Fprintln(lines, strings.Repeat("x", 1000))
		require.NoError(t, err)
	}
	require.False(t, lines.FlushWithin(10*time.Millisecond))
	require.True(t, New(&bytes.Buffer{}).FlushWithin(time.Minute))
}
