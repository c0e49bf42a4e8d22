package eventstream

import (
	"bufio"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cloverwheel/cloverwheel/internal/memory"
)

func readAll(stream io.Reader) (raw string, ids, data []string, err error) {
	reader := NewReader(stream, memory.NewGrant(nil))
	for {
		event, err := reader.Next()
		if err != nil {
			return raw, ids, data, err
		}
		raw += string(event.Raw)
		ids = append(ids, string(event.ID))
		data = append(data, string(event.Data))
	}
}

// TestCompleteEvents guards against changed bytes and wrong IDs or data, with LF and CRLF line ends.
func TestCompleteEvents(t *testing.T) {
	stream := "id: 1\ndata: a b\n\nweight-versions: 3\nid:2\r\ndata: c\r\ndata: d\r\n\r\n: comment\n\n"
	raw, ids, data, err := readAll(strings.NewReader(stream))
	require.ErrorIs(t, err, io.EOF)
	require.Equal(t, stream, raw)
	require.Equal(t, []string{"1", "2", ""}, ids)
	require.Equal(t, []string{"a b", "c\nd", ""}, data)
}

// TestTruncatedEventIsNotReturned guards against returning an event that the stream ends within.
func TestTruncatedEventIsNotReturned(t *testing.T) {
	raw, _, _, err := readAll(strings.NewReader("id: 1\ndata: a\n\nid: 2\nda"))
	require.ErrorIs(t, err, io.ErrUnexpectedEOF)
	require.Equal(t, "id: 1\ndata: a\n\n", raw)
}

// TestReadErrorIsReturned guards against reporting a read error as the end of the stream.
func TestReadErrorIsReturned(t *testing.T) {
	readErr := errors.New("reset")
	_, _, _, err := readAll(io.MultiReader(strings.NewReader("id: 1\n\nid"), iotest.ErrReader(readErr)))
	require.ErrorIs(t, err, readErr)
}

// TestLongEventsReserveMemory guards against long events of many streams that exceed the memory together.
func TestLongEventsReserveMemory(t *testing.T) {
	budget := memory.NewBudget(8 * memoryStep)
	event := func(size int) io.Reader { return strings.NewReader("data: " + strings.Repeat("x", size) + "\n\n") }
	read := func(stream io.Reader, grant *memory.Grant) error {
		_, err := NewReader(stream, grant).Next()
		return err
	}
	require.NoError(t, read(event(freeBytes/2), memory.NewGrant(budget.Reserve)))
	require.Zero(t, budget.Used())

	first, second := memory.NewGrant(budget.Reserve), memory.NewGrant(budget.Reserve)
	require.NoError(t, read(event(2*memoryStep), first))
	require.NotZero(t, budget.Used())
	require.ErrorIs(t, read(event(2*memoryStep), second), ErrNoMemory)
	first.Release()
	require.NoError(t, read(event(2*memoryStep), second))
	second.Release()
	require.Zero(t, budget.Used())
	require.ErrorIs(t, read(event(MaxEvent), memory.NewGrant(nil)), bufio.ErrTooLong)
}

// TestEventsSurviveAnySplitOfTheStream guards against lost, partial or changed events when a stream
// arrives in small pieces or ends anywhere.
func TestEventsSurviveAnySplitOfTheStream(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		events := rapid.SliceOfN(rapid.StringMatching(`(id: [0-9]{1,3}\n)?(data: [a-z :]{0,9}\n){1,3}\n`), 0, 8).Draw(r, "events")
		stream := strings.Join(events, "")
		end := rapid.IntRange(0, len(stream)).Draw(r, "cut")
		raw, _, _, err := readAll(iotest.OneByteReader(strings.NewReader(stream[:end])))
		whole := ""
		for _, event := range events {
			if len(whole)+len(event) > end {
				break
			}
			whole += event
		}
		if raw != whole {
			r.Fatalf("got %q, want %q", raw, whole)
		}
		if complete := len(whole) == end; complete != errors.Is(err, io.EOF) {
			r.Fatalf("stream ended at %d of %q: %v", end, stream, err)
		}
	})
}
