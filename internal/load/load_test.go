package load

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/gorilla/mux"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/cloverwheel/cloverwheel/internal/chat"
	"github.com/cloverwheel/cloverwheel/internal/fault"
	"github.com/cloverwheel/cloverwheel/internal/gateway/wire"
	"github.com/cloverwheel/cloverwheel/internal/id"
	"github.com/cloverwheel/cloverwheel/internal/standin"
	"github.com/cloverwheel/cloverwheel/internal/template"
	"github.com/cloverwheel/cloverwheel/internal/workload"
)

const testWorkload = `
name: test
duration: 2s
cluster: {zones: [{name: z, workers: 1}]}
tenants: [{name: soko}, {name: usan, misbehaving: true}]
templates:
  - name: assistant
    system_tokens: 20
    turns: {shape: uniform, min: 1, max: 3}
    prompt_tokens: {shape: uniform, min: 5, max: 20}
    output_tokens: {shape: uniform, min: 2, max: 6}
    pause_seconds: {shape: uniform, min: 0.01, max: 0.02}
    sub_agents: {template: helper, chance: 0.3, count: {shape: uniform, min: 1, max: 2}}
  - name: helper
    system_tokens: 10
    turns: {shape: uniform, min: 1, max: 2}
    prompt_tokens: {shape: uniform, min: 5, max: 9}
    output_tokens: {shape: uniform, min: 2, max: 3}
    pause_seconds: {shape: uniform, min: 0.01, max: 0.02}
arrivals:
  - {tenant: soko, template: assistant, rate: 10}
  - {tenant: usan, template: helper, rate: 3}
`

// fakeNode answers calls as a cluster with stand-in engines would, and may be
// made to break its promises.
type fakeNode struct {
	mutex    sync.Mutex
	programs int
	prompts  map[string]int // tokens of each program's history
	runs     []EngineRun
	redone   map[string]wire.Completion // by key
	// misbehave may change a call's answer before it is sent.
	misbehave func(call *fakeCall)
}

// fakeCall is one call as a fakeNode treats it.
type fakeCall struct {
	run    EngineRun
	number uint64
	text   string
	prompt int
	refuse *wire.ErrorBody // sent in place of the answer
	redone bool            // the stream ends by the error that another text was made
}

func (n *fakeNode) handler() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc("/v1/programs", func(w http.ResponseWriter, _ *http.Request) {
		n.mutex.Lock()
		defer n.mutex.Unlock()
		n.programs++
		_ = json.NewEncoder(w).Encode(wire.Program{ID: fmt.Sprintf("p-%d", n.programs)})
	}).Methods(http.MethodPost)
	router.HandleFunc("/v1/programs/{program}", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(wire.Program{})
	}).Methods(http.MethodDelete)
	router.HandleFunc("/v1/programs/{program}/calls", n.call).Methods(http.MethodPost)
	router.HandleFunc("/v1/programs/{program}/calls", func(w http.ResponseWriter, r *http.Request) {
		n.mutex.Lock()
		defer n.mutex.Unlock()
		_ = json.NewEncoder(w).Encode(n.redone[r.URL.Query().Get("key")])
	}).Methods(http.MethodGet)
	return router
}

func (n *fakeNode) call(w http.ResponseWriter, r *http.Request) {
	var body wire.Call
	_ = json.NewDecoder(r.Body).Decode(&body)
	program := mux.Vars(r)["program"]
	n.mutex.Lock()
	defer n.mutex.Unlock()
	request := id.NewRequest(id.Program(program), body.Number, 1)
	made := &fakeCall{
		run: EngineRun{Request: request, Starts: 1, Finished: 1, Tokens: body.MaxTokens}, number: body.Number,
		text: standin.AnswerText(request, 0, body.MaxTokens), prompt: n.prompts[program] + inputTokens(body),
	}
	n.prompts[program] = made.prompt + chat.EstimateTokens(chat.Message{Content: made.text})
	if n.misbehave != nil {
		n.misbehave(made)
	}
	n.runs = append(n.runs, made.run)
	w.Header().Set(wire.HeaderCall, fmt.Sprint(made.number))
	if made.refuse != nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		_ = json.NewEncoder(w).Encode(wire.ErrorAnswer{Error: made.refuse})
		return
	}
	write := func(chunk wire.Chunk) {
		encoded, _ := json.Marshal(chunk)
		_, _ = fmt.Fprintf(w, "data: %s\n\n", encoded)
	}
	for _, word := range strings.SplitAfter(made.text, " ") {
		content := wire.Content(word)
		write(wire.Chunk{Choices: []wire.ChunkChoice{{Delta: wire.Message{Content: &content}}}})
	}
	if made.redone {
		n.redone[body.Key] = wire.Completion{Call: made.number, Usage: &wire.Usage{PromptTokens: made.prompt, CompletionTokens: made.run.Tokens},
			Choices: []wire.Choice{{Message: wire.FromHistory(chat.Message{Content: standin.AnswerText(request, 0, body.MaxTokens)})}}}
		write(wire.Chunk{Error: &wire.ErrorBody{Code: "engine_failed", Ran: "yes"}})
		return
	}
	write(wire.Chunk{Usage: &wire.Usage{PromptTokens: made.prompt, CompletionTokens: made.run.Tokens}})
	_, _ = fmt.Fprintf(w, "data: %s\n\n", wire.Done)
}

func (n *fakeNode) Runs(context.Context) ([]EngineRun, error) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return slices.Clone(n.runs), nil
}
func (n *fakeNode) Waste(context.Context) (Waste, error) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return Waste{Computed: 10 * len(n.runs)}, nil
}
func (n *fakeNode) Answer(request id.Request, from, to int) string {
	return standin.AnswerText(request, from, to)
}

func target(t *testing.T, name string, misbehave func(*fakeCall)) Target {
	node := &fakeNode{prompts: map[string]int{}, redone: map[string]wire.Completion{}, misbehave: misbehave}
	server := httptest.NewServer(node.handler())
	t.Cleanup(server.Close)
	return Target{Name: name, Addresses: []string{server.URL}, Records: node}
}

func options(t *testing.T, targets ...Target) Options {
	spec, err := workload.Parse([]byte(testWorkload))
	require.NoError(t, err)
	_, keys, err := Configuration(spec, "small")
	require.NoError(t, err)
	return Options{Spec: spec, Keys: keys, Targets: targets, Speed: 20, Log: &log.Logger{Handler: discard.New()}}
}

func TestRunReportsAndCompares(t *testing.T) {
	chosen := options(t, target(t, "first", nil), target(t, "second", nil))
	chosen.Seeds = []uint64{1, 2}
	var last Progress
	chosen.Progress = func(p Progress) { last = p }
	report, err := Run(t.Context(), chosen)
	require.NoError(t, err)
	scripts := len(workload.Generate(chosen.Spec, 1)) + len(workload.Generate(chosen.Spec, 2))
	for _, result := range report.Results {
		assert.Equal(t, scripts, result.Finished)
		assert.Zero(t, result.Failed)
		assert.Zero(t, result.Violated, result.Violations)
		assert.Equal(t, result.Calls, result.Checked)
		assert.Greater(t, result.Calls, result.Programs)
		assert.EqualValues(t, result.Calls, result.FirstToken.Count)
		assert.Less(t, result.Latency.Count, int64(scripts), "misbehaving tenants are left out")
		assert.Equal(t, 10*result.Calls, result.Waste.Computed)
	}
	assert.Equal(t, scripts, last.Finished)
	assert.Nil(t, report.Results[0].Ratios)
	require.NotNil(t, report.Results[1].Ratios)
	assert.Positive(t, report.Results[1].Ratios.LatencyP95)

	var text, encoded bytes.Buffer
	require.NoError(t, report.WriteText(&text))
	assert.Contains(t, text.String(), "second to first: program latency p50")
	require.NoError(t, report.WriteJSON(&encoded))
	var decoded Report
	require.NoError(t, json.Unmarshal(encoded.Bytes(), &decoded))
	assert.Equal(t, report.Results[0].Latency, decoded.Results[0].Latency)
}

func TestAnswersMadeAgainAreFetchedWhole(t *testing.T) {
	report, err := Run(t.Context(), options(t, target(t, "again", func(c *fakeCall) {
		c.redone, c.text = true, "the beginning of another text"
	})))
	require.NoError(t, err)
	result := report.Results[0]
	assert.Equal(t, result.Calls, result.Restarts)
	assert.Zero(t, result.Violated, result.Violations)
	assert.Equal(t, result.Programs, result.Finished)
}

func TestBrokenPromisesAreFound(t *testing.T) {
	for _, test := range []struct {
		name      string
		misbehave func(*fakeCall)
		want      string
	}{
		{"another request's answer", func(c *fakeCall) { c.text = standin.AnswerText("p-9/9/9", 0, c.run.Tokens) }, "that of none of its 1 runs"},
		{"cut answer", func(c *fakeCall) { c.text = c.text[:len(c.text)-1] }, "that of none of its 1 runs"},
		{"out of order", func(c *fakeCall) { c.number++ }, "answered as call"},
		{"ran though refused", func(c *fakeCall) { c.refuse = &wire.ErrorBody{Code: "overloaded", Ran: "no"} }, "refused as not run"},
		{"ran twice", func(c *fakeCall) { c.run.Starts = 2 }, "started 2 times"},
		{"history of another program", func(c *fakeCall) { c.prompt += int(c.number) }, "but the history has"},
	} {
		t.Run(test.name, func(t *testing.T) {
			chosen := options(t, target(t, "bad", test.misbehave))
			chosen.NonRepeatable = 1
			report, err := Run(t.Context(), chosen)
			require.NoError(t, err)
			require.NotZero(t, report.Results[0].Violated)
			assert.Contains(t, report.Results[0].Violations[0], test.want)
		})
	}
}

func TestAnswersOfSeveralAttemptsAreCheckedByTheirParts(t *testing.T) {
	part := standin.AnswerText
	first := EngineRun{Request: "p-1/1/1", Starts: 1, Tokens: 4}
	second := EngineRun{Request: "p-1/1/2", Starts: 1, Tokens: 7, Partial: 3}
	third := EngineRun{Request: "p-1/1/3", Starts: 1, Finished: 1, Tokens: 9, Partial: 6}
	whole := part("p-1/1/1", 0, 3) + part("p-1/1/2", 3, 6) + part("p-1/1/3", 6, 9)
	for _, test := range []struct {
		name string
		text string
		runs []EngineRun
		good bool
	}{
		{"in order", whole, []EngineRun{third, first, second}, true},
		{"a part at another place", part("p-1/1/1", 0, 3) + part("p-1/1/2", 0, 3) + part("p-1/1/3", 6, 9), []EngineRun{first, second, third}, false},
		{"a part left out", part("p-1/1/1", 0, 3) + part("p-1/1/3", 6, 9), []EngineRun{first, second, third}, false},
		{"more at the front", "x" + whole, []EngineRun{first, second, third}, false},
		{"more of a part than was made", whole, []EngineRun{{Request: "p-1/1/1", Tokens: 2}, second, third}, false},
		{"parts of later attempts", part("p-1/1/4", 0, 6) + part("p-1/1/3", 6, 9), []EngineRun{{Request: "p-1/1/4", Tokens: 6}, third}, false},
		{"not finished", whole, []EngineRun{first, second, {Request: third.Request, Tokens: 9, Partial: 6}}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			assert.Equal(t, test.good, answeredBy(call{text: test.text, tokens: 9}, test.runs, part))
		})
	}
}

func TestRunIsBounded(t *testing.T) {
	chosen := options(t, target(t, "few", nil))
	chosen.MaxPrograms = 3
	report, err := Run(t.Context(), chosen)
	require.NoError(t, err)
	assert.Equal(t, 3, report.Results[0].Programs)

	hung := target(t, "hung", func(*fakeCall) { time.Sleep(2 * time.Millisecond) })
	chosen = options(t, hung)
	chosen.MaxDuration = time.Millisecond
	report, err = Run(t.Context(), chosen)
	require.NoError(t, err)
	assert.Less(t, report.Results[0].Programs, len(workload.Generate(chosen.Spec, 1)))
}

func TestRecoveryIsMeasuredFromTheAction(t *testing.T) {
	start := time.Now()
	at := func(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }
	calls := []call{
		{program: "p-1", began: at(0), ended: at(5)},                          // affected, answered after 3 s
		{program: "p-2", began: at(0), ended: at(3), failure: &fault.Error{}}, // affected, its next call is answered after 7 s
		{program: "p-2", began: at(4), ended: at(9)},
		{program: "p-3", began: at(0), ended: at(1)}, // between two calls
		{program: "p-3", began: at(4), ended: at(5)},
		{program: "p-4", began: at(1), ended: at(4), failure: &fault.Error{}}, // affected for good
	}
	m := newMeasure()
	m.recover([]moment{{name: "end of a node", at: at(2)}}, calls)
	recovered := m.recovered()
	require.Len(t, recovered, 1)
	assert.Equal(t, 3, recovered[0].Affected)
	assert.Equal(t, 1, recovered[0].Never)
	assert.EqualValues(t, 2, recovered[0].Time.Count)
	assert.InDelta(t, 7, recovered[0].Time.Max.Seconds(), 0.01)
}

func TestWasteLeavesOutTheEndsOfPrograms(t *testing.T) {
	calls := []call{
		{program: "p-1", number: 1, input: 100, tokens: 10},
		{program: "p-1", number: 2, input: 20, tokens: 5},
		{program: "p-1", number: 3, input: 7, tokens: 7, failure: &fault.Error{}},
		{program: "p-2", number: 1, input: 3, tokens: 2},
	}
	assert.Equal(t, 30, inherentOf(calls))
	assert.InDelta(t, 0.1, Waste{Computed: 200, Wasted: 50, Inherent: 30}.Share(), 1e-9)
	assert.Zero(t, Waste{Computed: 200, Wasted: 20, Inherent: 30}.Share())
}

func TestActionsAreDoneInOrderAndFailuresAreTold(t *testing.T) {
	loaded := target(t, "acted on", nil)
	done := ""
	loaded.Actions = []Action{
		{Name: "second", At: 2 * time.Millisecond, Do: func(context.Context) error { done += "2"; return errors.New("would not") }},
		{Name: "first", At: time.Millisecond, Do: func(context.Context) error { done += "1"; return nil }},
		{Name: "too late", At: time.Hour, Do: func(context.Context) error { done += "3"; return nil }},
	}
	report, err := Run(t.Context(), options(t, loaded))
	require.NoError(t, err)
	assert.Equal(t, "12", done)
	assert.Equal(t, []string{"action second failed: would not"}, report.Results[0].Violations)
}

func TestConfigurationIsValid(t *testing.T) {
	spec, err := workload.Parse([]byte(testWorkload))
	require.NoError(t, err)
	document, keys, err := Configuration(spec, "small")
	require.NoError(t, err)
	change, problems := template.Parse("generated", document)
	require.Empty(t, problems)
	configuration := (&template.Configuration{}).With(1, change)
	tenant, ok := configuration.Authenticate(keys["soko"])
	assert.True(t, ok)
	for _, name := range []id.Template{"assistant", "helper"} {
		_, err := configuration.Resolve(tenant, name, nil)
		assert.NoError(t, err)
	}
	_, err = configuration.Resolve("usan", "assistant", nil)
	assert.Error(t, err, "only what its programs use")
}
