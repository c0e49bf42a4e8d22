package client

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"github.com/google/uuid"
	"github.com/tmaxmax/go-sse"

	"github.com/cloverwheel/cloverwheel/internal/fault"
	"github.com/cloverwheel/cloverwheel/internal/gateway/wire"
	"github.com/cloverwheel/cloverwheel/internal/timing"
)

// maxEvent bounds one event of a stream, in bytes.
const maxEvent = 16 << 20

// Streamed is a whole answer that came as a stream.
type Streamed struct {
	Call         uint64
	Key          string
	Text         string
	ToolCalls    []wire.ToolCall
	FinishReason string
	Usage        wire.Usage
	Resumes      int // how often the stream broke and went on
}

// Stream makes a call and passes each piece of text to receive as it comes. A
// broken stream goes on after the last event received.
func (c *Client) Stream(ctx context.Context, program string, call wire.Call, receive func(text string) error) (Streamed, error) {
	call.Stream = true
	if call.Key == "" {
		call.Key = uuid.NewString()
	}
	start, err := jsonSend(http.MethodPost, callsPath(program), call)
	if err != nil {
		return Streamed{}, err
	}
	s := &stream{client: c, receive: receive, answer: Streamed{Key: call.Key}}
	err = s.follow(ctx, start)
	var found error
	delays := newDelays()
	for tries := 1; c.mayHaveRun(ctx, err) && tries < c.options.Attempts; tries++ {
		if tries > 1 && timing.Sleep(ctx, delays.NextBackOff()) != nil {
			break
		}
		s.answer.Resumes++
		found = s.follow(ctx, s.resume(program))
		if mayResend(call, found) && s.lastEvent == "" {
			found = s.follow(ctx, start)
		}
		err = firstUnlessFound(err, found)
	}
	s.answer.Text = s.text.String()
	return s.answer, lostCall(call, err, found)
}

// stream collects one answer over one or more connections.
type stream struct {
	client    *Client
	receive   func(string) error
	answer    Streamed
	text      strings.Builder
	lastEvent string
}

// resume reads on after the last event.
func (s *stream) resume(program string) send {
	request := send{method: http.MethodGet, path: callsPath(program), query: url.Values{"key": {s.answer.Key}, "stream": {"true"}}}
	return request.with(wire.HeaderResume, s.lastEvent)
}

// follow reads one connection's events until [DONE].
func (s *stream) follow(ctx context.Context, request send) error {
	return s.client.retry(ctx, func() error {
		answer, err := s.client.once(ctx, request)
		if err != nil {
			return err
		}
		defer func() { _ = answer.Body.Close() }()
		s.answer.Call, _ = strconv.ParseUint(answer.Header.Get(wire.HeaderCall), 10, 64)
		return s.events(answer.Body)
	})
}

func (s *stream) events(body io.Reader) error {
	for event, err := range sse.Read(body, &sse.ReadConfig{MaxEventSize: maxEvent}) {
		if err != nil {
			return broken(err)
		}
		if event.Data == wire.Done {
			return nil
		}
		var chunk wire.Chunk
		if err := json.Unmarshal([]byte(event.Data), &chunk); err != nil {
			return broken(err)
		}
		if chunk.Error != nil {
			return chunk.Error.Fault()
		}
		if err := s.take(chunk); err != nil {
			return err
		}
		s.lastEvent = event.LastEventID
	}
	return broken(errors.New("the stream ended early"))
}

func (s *stream) take(chunk wire.Chunk) error {
	if chunk.Usage != nil {
		s.answer.Usage = *chunk.Usage
	}
	for _, choice := range chunk.Choices {
		if choice.FinishReason != nil {
			s.answer.FinishReason = *choice.FinishReason
		}
		if len(choice.Delta.ToolCalls) > 0 {
			s.answer.ToolCalls = choice.Delta.ToolCalls
		}
		if choice.Delta.Content == nil {
			continue
		}
		s.text.WriteString(string(*choice.Delta.Content))
		if s.receive == nil {
			continue
		}
		if err := s.receive(string(*choice.Delta.Content)); err != nil {
			return fault.Newf(fault.Invalid, "see the receiver", "the receiver stopped: %v", err).WithRan(fault.RanYes)
		}
	}
	return nil
}
