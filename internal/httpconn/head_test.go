package httpconn

import (
	"bufio"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// readOne reads a response as a pool does, and its body.
func readOne(source io.Reader) (*http.Response, string, error) {
	heads := &headReader{source: source}
	c := &conn{heads: heads, reader: bufio.NewReaderSize(heads, readBuffer)}
	response, err := c.readResponse(nil)
	if err != nil {
		return nil, "", err
	}
	body, err := io.ReadAll(response.Body)
	return response, string(body), err
}

// endless repeats a text without end and counts the bytes that were read of it.
type endless struct {
	text string
	read int
}

// Read implements io.Reader.
func (e *endless) Read(buffer []byte) (int, error) {
	for index := range buffer {
		buffer[index] = e.text[(e.read+index)%len(e.text)]
	}
	e.read += len(buffer)
	return len(buffer), nil
}

// Guards against reading a head without end (FAULT).
func TestHeadsWithoutEndAreRefused(t *testing.T) {
	const status = "HTTP/1.1 200 OK\r\n"
	for name, c := range map[string]struct{ begin, repeat string }{
		"a line":                   {"", "x"},
		"a status line":            {"HTTP/1.1 200 ", "x"},
		"a header":                 {status + "A: ", "x"},
		"headers":                  {status, "A: b\r\n"},
		"headers without CR":       {status, "A: b\n"},
		"a folded header":          {status + "A: b\r\n", " c\r\n"},
		"lines of blanks":          {status + "A: b\r\n", " \r\n"},
		"informational responses":  {"", "HTTP/1.1 103 Early Hints\r\n\r\n"},
		"an informational header":  {"HTTP/1.1 103 Early Hints\r\nA: ", "x"},
		"carriage returns":         {status, "\r"},
		"a second carriage return": {status + "\r", "\rx"},
	} {
		t.Run(name, func(t *testing.T) {
			source := &endless{text: c.repeat}
			_, _, err := readOne(io.MultiReader(strings.NewReader(c.begin), source))
			require.Error(t, err)
			require.LessOrEqual(t, source.read, maxHeadBytes+readBuffer)
		})
	}
}

// Guards against a bound that proper responses exceed, and against one that is not exact.
func TestHeadsWithinBoundsAreRead(t *testing.T) {
	const first, last = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n", "\r\nabc"
	padding := func(bytes int) string {
		return "A: " + strings.Repeat("x", bytes-len("A: \r\n")-len(first)-len("\r\n")) + "\r\n"
	}
	lines := func(count int) string { return strings.Repeat("A: b\r\n", count-3) }
	for name, c := range map[string]struct {
		text    string
		allowed bool
	}{
		"most bytes":            {first + padding(maxHeadBytes) + last, true},
		"one byte more":         {first + padding(maxHeadBytes+1) + last, false},
		"most lines":            {first + lines(maxHeadLines) + last, true},
		"one line more":         {first + lines(maxHeadLines+1) + last, false},
		"lines in the body":     {"HTTP/1.1 200 OK\r\nContent-Length: 300\r\n\r\n" + strings.Repeat("\n", 300), true},
		"a long body":           {"HTTP/1.1 200 OK\r\nContent-Length: 40000\r\n\r\n" + strings.Repeat("x", 40000), true},
		"informational before":  {strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 20) + first + last, true},
		"too many informations": {strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", maxHeadLines) + first + last, false},
	} {
		t.Run(name, func(t *testing.T) {
			for _, source := range []io.Reader{strings.NewReader(c.text), iotest.OneByteReader(strings.NewReader(c.text))} {
				_, body, err := readOne(source)
				if !c.allowed {
					require.ErrorIs(t, err, ErrHeadTooLong)
					continue
				}
				require.NoError(t, err)
				require.True(t, strings.HasSuffix(c.text, body))
			}
		})
	}
}

// Guards against a disagreement with net/http on where a head ends: the rest would be read without a bound, or a body would be refused.
func TestHeadsEndWhereTheParserSaysSo(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		lines := rapid.SliceOfN(rapid.SampledFrom([]string{"\r\n", "\n", "\r", "A: b\r\n", "B: c\n", " d\r\n", "\t\n", "x", ": \r\n", "\r\r\n"}), 0, 12).Draw(r, "lines")
		text := "HTTP/1.1 200 OK\r\n" + strings.Join(lines, "")
		heads := &headReader{source: iotest.OneByteReader(strings.NewReader(text))}
		c := &conn{heads: heads, reader: bufio.NewReaderSize(heads, readBuffer)}
		_, err := c.readHead(nil)
		switch {
		case err == nil && heads.inHead:
			r.Fatalf("%q is a head, but is still counted", text)
		case errors.Is(err, io.ErrUnexpectedEOF) && !heads.inHead:
			r.Fatalf("%q is the beginning of a head, but is no longer counted", text)
		}
	})
}

// Guards against counting what was read before a head begins, or against not counting it.
func TestBufferedBytesBelongToTheNextHead(t *testing.T) {
	const answer = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx"
	text := strings.Repeat(answer, 50) + "HTTP/1.1 200 OK\r\n" + strings.Repeat("A: b\r\n", maxHeadLines)
	heads := &headReader{source: strings.NewReader(text)}
	c := &conn{heads: heads, reader: bufio.NewReaderSize(heads, len(text))}
	for range 50 {
		response, err := c.readResponse(nil)
		require.NoError(t, err)
		_, err = io.Copy(io.Discard, response.Body)
		require.NoError(t, err)
	}
	_, err := c.readResponse(nil)
	require.ErrorIs(t, err, ErrHeadTooLong)
}
