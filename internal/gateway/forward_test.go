package gateway

import (
	"bufio"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/tmaxmax/go-sse"

	"github.com/cloverwheel/cloverwheel/internal/dispatch"
	"github.com/cloverwheel/cloverwheel/internal/fault"
	"github.com/cloverwheel/cloverwheel/internal/gateway/wire"
	"github.com/cloverwheel/cloverwheel/internal/peer"
)

const longText = "a long answer of which each word is one token and none may be lost"

func streamBody(text string) string {
	return `{"stream":true,"key":"k","messages":[{"role":"user","content":"` + text + `"}]}`
}

// streamed reads a stream to its end: text, error and last event id.
func streamed(t testing.TB, answer *http.Response) (text string, failure *wire.ErrorBody, ids []string, done bool) {
	t.Helper()
	if answer.StatusCode != http.StatusOK { // failed before the first event
		return "", decoded[wire.ErrorAnswer](t, answer).Error, nil, false
	}
	for event, err := range sse.Read(answer.Body, nil) {
		require.NoError(t, err)
		if event.Data == wire.Done {
			done = true
			continue
		}
		var chunk wire.Chunk
		require.NoError(t, json.Unmarshal([]byte(event.Data), &chunk))
		if chunk.Error != nil {
			failure = chunk.Error
		}
		if len(chunk.Choices) > 0 && chunk.Choices[0].Delta.Content != nil {
			text += string(*chunk.Choices[0].Delta.Content)
			ids = append(ids, event.LastEventID)
		}
	}
	return text, failure, ids, done
}

func TestStreamContinuesAtTheNextLeader(t *testing.T) {
	for _, test := range []struct {
		name   string
		method string
		// fall takes the leader a away in mid-stream.
		fall func(ctx context.Context, cluster *fakeCluster) error
	}{
		{"crash", "POST", func(_ context.Context, cluster *fakeCluster) error {
			cluster.lead("b", true)
			return nil
		}},
		{"steps down", "POST", func(_ context.Context, cluster *fakeCluster) error {
			cluster.lead("b", false)
			return fault.New(fault.NotLeader, "b leads", "go there").WithRan(fault.RanUnknown)
		}},
		{"pause", "POST", func(ctx context.Context, cluster *fakeCluster) error {
			cluster.lead("b", false)
			<-ctx.Done()
			return ctx.Err()
		}},
		{"crash while fetching", "GET", func(_ context.Context, cluster *fakeCluster) error {
			cluster.lead("b", true)
			return nil
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			cluster := newFakeCluster()
			var armed atomic.Bool
			var handedBack atomic.Value
			cluster.beforeWord = func(ctx context.Context, at peer.Address, request dispatch.CallRequest, word int) error {
				if at == "b" && request.Offset > 0 {
					handedBack.Store(request.Received)
				}
				if armed.Load() && at == "a" && word == 5 {
					return test.fall(ctx, cluster)
				}
				return nil
			}
			_, server := cluster.serve(t, func(o *Options) { o.Stall = 20 * time.Millisecond })
			calls := server.URL + "/v1/programs/" + createdProgram(t, server) + "/calls"
			if test.method == http.MethodGet {
				request(t, http.MethodPost, calls, tenantKeyA, streamBody(longText))
				calls += "?key=k&stream=true"
			}
			armed.Store(true)
			text, failure, _, done := streamed(t, request(t, test.method, calls, tenantKeyA, streamBody(longText)))
			assert.Equal(t, "echo: "+longText, text)
			assert.Nil(t, failure)
			assert.True(t, done)
			assert.Equal(t, 1, cluster.runs)
			if test.method == http.MethodPost {
				assert.Equal(t, "echo: "+strings.Join(strings.SplitAfter(longText, " ")[:4], ""), handedBack.Load(), "the next leader gets the text before")
			}
		})
	}
}

func TestCallerResumesAfterTheLastEvent(t *testing.T) {
	cluster := newFakeCluster()
	_, server := cluster.serve(t, nil)
	calls := server.URL + "/v1/programs/" + createdProgram(t, server) + "/calls"
	full := "echo: " + longText
	request(t, http.MethodPost, calls, tenantKeyA, streamBody(longText))
	seen := strings.Join(words(full)[:4], "")
	resume := formatPosition(position{tokens: 4, bytes: len(seen)})
	rest, _, ids, done := streamed(t, request(t, http.MethodGet, calls+"/1", tenantKeyA, "", wire.HeaderResume, resume))
	assert.Equal(t, full, seen+rest)
	assert.Equal(t, formatPosition(position{tokens: len(words(full)), bytes: len(full)}), ids[len(ids)-1])
	assert.True(t, done)
	for _, wrong := range []string{"x", "4", "4-x", "-1-2"} {
		answer := request(t, http.MethodGet, calls+"/1", tenantKeyA, "", wire.HeaderResume, wrong)
		assert.Equal(t, fault.Invalid, decoded[wire.ErrorAnswer](t, answer).Error.Code, wrong)
	}
	_, failure, _, _ := streamed(t, request(t, http.MethodGet, calls+"/1", tenantKeyA, "", wire.HeaderResume, "4-9999"))
	assert.Equal(t, fault.Invalid, failure.Code)
}

func TestGivenUpRequestsAreAnsweredAtOnce(t *testing.T) {
	for _, test := range []struct {
		name string
		fall func(cluster *fakeCluster, address peer.Address)
		ran  fault.Ran
	}{
		{"never reached a leader", func(cluster *fakeCluster, _ peer.Address) { cluster.lead("nowhere", true) }, fault.RanNo},
		{"reached one that is gone", nil, fault.RanUnknown},
	} {
		t.Run(test.name, func(t *testing.T) {
			cluster := newFakeCluster()
			_, server := cluster.serve(t, func(o *Options) { o.Patience = 30 * time.Millisecond })
			calls := server.URL + "/v1/programs/" + createdProgram(t, server) + "/calls"
			if test.fall != nil {
				test.fall(cluster, "a")
			}
			cluster.beforeWord = func(context.Context, peer.Address, dispatch.CallRequest, int) error {
				cluster.lead("nowhere", true)
				return fault.New(fault.Unavailable, "connection broke", "try again").WithRan(fault.RanUnknown)
			}
			answer := request(t, http.MethodPost, calls, tenantKeyA, streamBody("x"))
			failure := decoded[wire.ErrorAnswer](t, answer).Error
			assert.Equal(t, fault.Unavailable, failure.Code)
			assert.Equal(t, test.ran, failure.Ran)
			assert.Equal(t, "2", answer.Header.Get("Retry-After"))
			assert.Equal(t, "k", answer.Header.Get(wire.HeaderKey))
		})
	}
}

func TestPausedLeaderDoesNotHoldACreation(t *testing.T) {
	cluster := newFakeCluster()
	_, server := cluster.serve(t, func(o *Options) { o.AttemptTimeout = 20 * time.Millisecond })
	cluster.network.SetFaultInjector(func(_, to peer.Address, _ string) peer.InjectedFault {
		if to != "a" {
			return peer.InjectedFault{}
		}
		cluster.lead("b", false)
		return peer.InjectedFault{DropResponse: true}
	})
	createdProgram(t, server)
	assert.Len(t, cluster.programs, 1, "the second leader finds what the first one did")
}

func TestRefusalWithATimeToComeBackIsFinal(t *testing.T) {
	cluster := newFakeCluster()
	attempts := 0
	cluster.beforeWord = func(context.Context, peer.Address, dispatch.CallRequest, int) error {
		attempts++
		return fault.New(fault.Unavailable, "no memory for new programs", "wait").WithRetryAfter(7 * time.Second)
	}
	_, server := cluster.serve(t, nil)
	calls := server.URL + "/v1/programs/" + createdProgram(t, server) + "/calls"
	answer := request(t, http.MethodPost, calls, tenantKeyA, streamBody("x"))
	assert.Equal(t, "7", answer.Header.Get("Retry-After"))
	assert.Equal(t, fault.RanNo, decoded[wire.ErrorAnswer](t, answer).Error.Ran)
	assert.Equal(t, 1, attempts)
}

func TestSlowCallerStallsOnlyItself(t *testing.T) {
	cluster := newFakeCluster()
	finished := make(chan struct{}, 1)
	cluster.beforeWord = func(_ context.Context, _ peer.Address, request dispatch.CallRequest, word int) error {
		if request.Key == "k" && word == 3999 {
			finished <- struct{}{}
		}
		return nil
	}
	_, server := cluster.serve(t, nil)
	calls := server.URL + "/v1/programs/" + createdProgram(t, server) + "/calls"
	big := strings.Repeat(strings.Repeat("x", 1000)+" ", 4000) // more than sockets hold
	slow := request(t, http.MethodPost, calls, tenantKeyA, streamBody(big))
	line, err := bufio.NewReader(slow.Body).ReadString('\n')
	require.NoError(t, err)
	assert.NotEmpty(t, line)
	<-finished // the leader is done with a caller that reads nothing more
	quick := request(t, http.MethodPost, calls, tenantKeyA, `{"messages":[{"role":"user","content":"quick"}]}`)
	assert.Equal(t, "echo: quick", string(*decoded[wire.Completion](t, quick).Choices[0].Message.Content))
}

func TestCrowdedNodeRefusesCallersNotOperators(t *testing.T) {
	cluster := newFakeCluster()
	reached, release := make(chan struct{}, 9), make(chan struct{})
	cluster.beforeWord = func(context.Context, peer.Address, dispatch.CallRequest, int) error {
		reached <- struct{}{}
		<-release
		return nil
	}
	_, server := cluster.serve(t, func(o *Options) { o.MaxRequests = 1 })
	program := server.URL + "/v1/programs/" + createdProgram(t, server)
	first := make(chan *http.Response, 1)
	go func() { first <- request(t, http.MethodPost, program+"/calls", tenantKeyA, streamBody("x")) }()
	<-reached
	refused := request(t, http.MethodGet, program, tenantKeyA, "")
	assert.Equal(t, fault.Overloaded, decoded[wire.ErrorAnswer](t, refused).Error.Code)
	assert.Equal(t, http.StatusOK, request(t, http.MethodGet, server.URL+"/v1/operator/nodes", operatorA, "").StatusCode)
	close(release)
	text, _, _, _ := streamed(t, <-first)
	assert.Equal(t, "echo: x", text)
	assert.Eventually(t, func() bool {
		return request(t, http.MethodGet, program, tenantKeyA, "").StatusCode == http.StatusOK
	}, time.Minute, time.Millisecond)
}

func TestGoneCallerFetchesItsAnswerLater(t *testing.T) {
	for _, body := range []string{streamBody("the answer"), `{"key":"k","messages":[{"role":"user","content":"the answer"}]}`} {
		cluster := newFakeCluster()
		reached, release := make(chan struct{}, 9), make(chan struct{})
		cluster.beforeCall = func(ctx context.Context, _ peer.Address) error {
			reached <- struct{}{}
			select {
			case <-release:
				return nil
			case <-ctx.Done():
				return ctx.Err()
			}
		}
		_, server := cluster.serve(t, nil)
		calls := server.URL + "/v1/programs/" + createdProgram(t, server) + "/calls"
		ctx, cancel := context.WithCancel(t.Context())
		sent, err := http.NewRequestWithContext(ctx, http.MethodPost, calls, strings.NewReader(body))
		require.NoError(t, err)
		sent.Header.Set("Authorization", "Bearer "+tenantKeyA)
		go func() {
			<-reached
			cancel()
		}()
		_, err = http.DefaultClient.Do(sent)
		require.ErrorIs(t, err, context.Canceled)
		close(release) // not before the caller has gone, or the answer may win
		accepted := func() bool {
			cluster.mutex.Lock()
			defer cluster.mutex.Unlock()
			return cluster.runs == 1
		}
		require.Eventually(t, accepted, time.Minute, time.Millisecond, "the call goes on without its caller")
		answer := decoded[wire.Completion](t, request(t, http.MethodGet, calls+"?key=k", tenantKeyA, ""))
		assert.Equal(t, "echo: the answer", string(*answer.Choices[0].Message.Content))
		assert.Equal(t, 1, cluster.runs)
	}
}

func TestChangedTextIsNotPassedOffAsTheAnswer(t *testing.T) {
	cluster := newFakeCluster()
	runs := 0
	cluster.answer = func(request dispatch.CallRequest) dispatch.Answer {
		answer := echo(request)
		if runs++; runs > 1 {
			answer.Message.Content = "other words than were streamed before by the first run of this call"
		}
		return answer
	}
	cluster.beforeWord = func(_ context.Context, at peer.Address, _ dispatch.CallRequest, word int) error {
		if at == "a" && word == 5 {
			cluster.lead("b", true)
		}
		return nil
	}
	_, server := cluster.serve(t, nil)
	calls := server.URL + "/v1/programs/" + createdProgram(t, server) + "/calls"
	_, failure, _, done := streamed(t, request(t, http.MethodPost, calls, tenantKeyA, streamBody(longText)))
	require.NotNil(t, failure)
	assert.Equal(t, fault.EngineFailed, failure.Code)
	assert.Equal(t, fault.RanYes, failure.Ran)
	assert.False(t, done)
	whole := decoded[wire.Completion](t, request(t, http.MethodGet, calls+"/1", tenantKeyA, ""))
	assert.True(t, strings.HasPrefix(string(*whole.Choices[0].Message.Content), "other words"))
}

func TestPlannedStopLetsStreamsEnd(t *testing.T) {
	cluster := newFakeCluster()
	reached, release := make(chan struct{}), make(chan struct{})
	cluster.beforeWord = func(_ context.Context, _ peer.Address, _ dispatch.CallRequest, word int) error {
		if word == 5 {
			close(reached)
			<-release
		}
		return nil
	}
	gateway, unused := cluster.serve(t, nil)
	unused.Close()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := gateway.Server()
	server.RegisterOnShutdown(func() { close(release) })
	go func() { _ = server.Serve(listener) }()
	base := "http://" + listener.Addr().String()
	created := decoded[wire.Program](t, request(t, http.MethodPost, base+"/v1/programs", tenantKeyA, `{"template":"assistant"}`))
	answer := request(t, http.MethodPost, base+"/v1/programs/"+created.ID+"/calls", tenantKeyA, streamBody(longText))
	<-reached
	gateway.Drain()
	stopped := make(chan error)
	go func() { stopped <- server.Shutdown(context.Background()) }()
	text, _, _, done := streamed(t, answer)
	assert.Equal(t, "echo: "+longText, text)
	assert.True(t, done)
	assert.NoError(t, <-stopped)
}
