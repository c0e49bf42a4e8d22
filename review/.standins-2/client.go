package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"
)

// request is one attempt of a client.
type request struct {
	id, method, target, host string
	header                   map[string]string
	body                     string
	deadline                 time.Duration
}

// reply is what the client got.
type reply struct {
	status int
	header http.Header
	body   string
	whole  bool // the answer is complete
	err    error
}

// newID returns a new Request-Id.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// headOf returns the head of a request as it goes over the wire.
func headOf(r request) string {
	var text strings.Builder
	fmt.Fprintf(&text, "%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n", r.method, r.target, r.host, r.id, r.deadline.Milliseconds())
	for name, value := range r.header {
		fmt.Fprintf(&text, "%s: %s\r\n", name, value)
	}
	if r.method != "GET" {
		fmt.Fprintf(&text, "Content-Length: %d\r\n", len(r.body))
	}
	text.WriteString("\r\n")
	return text.String()
}

// send sends a request on a new connection and reads the answer. stopAfter > 0 ends the reading after so many events, and the
// connection is then closed, as it is when it breaks.
func send(address string, r request, stopAfter int) reply {
	played.note("sent %s %s %s to %s", r.id, r.method, r.target, address)
	got := exchange(address, r, stopAfter)
	played.note("answered %s: status %d, %d bytes, whole %v, error %v", r.id, got.status, len(got.body), got.whole, got.err)
	return got
}

// exchange does what send says.
func exchange(address string, r request, stopAfter int) reply {
	connection, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return reply{err: err}
	}
	defer connection.Close()
	connection.SetDeadline(time.Now().Add(r.deadline + 500*time.Millisecond))
	if _, err := io.WriteString(connection, headOf(r)+r.body); err != nil {
		return reply{err: err}
	}
	answer, err := http.ReadResponse(bufio.NewReader(connection), &http.Request{Method: r.method})
	if err != nil {
		return reply{err: err}
	}
	got := reply{status: answer.StatusCode, header: answer.Header}
	var text strings.Builder
	buffer := make([]byte, 4096)
	for {
		count, err := answer.Body.Read(buffer)
		text.Write(buffer[:count])
		got.body = text.String()
		if stopAfter > 0 && strings.Count(got.body, "\n\n") >= stopAfter {
			return got
		}
		if err == io.EOF {
			got.whole = true
			return got
		}
		if err != nil {
			got.err = err
			return got
		}
	}
}
