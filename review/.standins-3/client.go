package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// event is an event of a stream, as the standard of event streams has it: comments and blocks without data are none.
type event struct{ id, data string }

// answer is what a client got.
type answer struct {
	id     string
	status int
	stamp  string
	// retryAfter is how long the answer asks the client to wait.
	retryAfter time.Duration
	events     []event
	body       string
	whole      bool
	err        error
}

// call is a request of a client.
type call struct {
	node             *node
	host, path, body string
	method           string
	headers          map[string]string
	deadline         time.Duration
	quiet            bool // the caller notes what was sent and answered
	onEvent          func(number int)
	// onStampedEvent is onEvent with the signature of the answer.
	onStampedEvent func(stamp string, number int)
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// send sends a request on a new connection and reads its answer.
func (s *system) send(c call) answer {
	a := answer{id: newID()}
	if c.method == "" {
		c.method = http.MethodPost
	}
	ctx, cancel := context.WithTimeout(context.Background(), c.deadline)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, c.method, "http://"+c.node.front+c.path, strings.NewReader(c.body))
	must(err)
	request.Host = c.host
	request.Header.Set("Request-Id", a.id)
	request.Header.Set("Deadline-Ms", fmt.Sprint(c.deadline.Milliseconds()))
	for name, value := range c.headers {
		request.Header.Set(name, value)
	}
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	defer transport.CloseIdleConnections()
	note := s.note
	if c.quiet {
		note = func(string, ...any) {}
	}
	note("client sends %s %s%s to %s %v body %q", a.id, c.host, c.path, c.node.name, c.headers, short(c.body))
	response, err := transport.RoundTrip(request)
	if err != nil {
		a.err = err
		note("client: %s got no answer: %v", a.id, err)
		return a
	}
	defer response.Body.Close()
	if seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); err == nil {
		a.retryAfter = time.Duration(seconds * float64(time.Second))
	}
	a.status, a.stamp = response.StatusCode, response.Header.Get("Server-Stamp")
	if response.Header.Get("Content-Type") != "text/event-stream" {
		body, err := io.ReadAll(response.Body)
		a.body, a.err, a.whole = string(body), err, err == nil
		note("client: %s got %d %q whole=%v retry-after=%q", a.id, a.status, short(a.body), a.whole, response.Header.Get("Retry-After"))
		return a
	}
	a.err = readEvents(response.Body, func(e event) {
		a.events = append(a.events, e)
		if c.onEvent != nil {
			c.onEvent(len(a.events))
		}
		if c.onStampedEvent != nil {
			c.onStampedEvent(a.stamp, len(a.events))
		}
	})
	a.whole = errors.Is(a.err, io.EOF)
	note("client: %s got %d, %d events %v, whole=%v (%v)", a.id, a.status, len(a.events), a.events, a.whole, a.err)
	return a
}

// readEvents reads complete events until the stream ends; the error is io.EOF if it ended properly.
func readEvents(body io.Reader, take func(event)) error {
	reader := bufio.NewReader(body)
	var id string
	var data []string
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			return err
		}
		line = strings.TrimRight(line, "\r\n")
		name, value, _ := strings.Cut(line, ":")
		value = strings.TrimPrefix(value, " ")
		switch {
		case line == "":
			if len(data) > 0 {
				take(event{id: id, data: strings.Join(data, "\n")})
			}
			data = nil
		case name == "id":
			id = value
		case name == "data":
			data = append(data, value)
		}
	}
}

// said is what a turn adds to its conversation: its input, and the data of each event followed by a line feed.
func said(input string, events []event) string {
	text := input
	for _, e := range events {
		text += e.data + "\n"
	}
	return text
}
