package eventlog

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"

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
