package standin_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cloverwheel/cloverwheel/internal/chat"
	"github.com/cloverwheel/cloverwheel/internal/engine"
	"github.com/cloverwheel/cloverwheel/internal/enginemodel"
	"github.com/cloverwheel/cloverwheel/internal/fault"
	"github.com/cloverwheel/cloverwheel/internal/id"
	"github.com/cloverwheel/cloverwheel/internal/standin"
)

var owner = engine.Fence{Epoch: 1}

// onEngine runs a test under virtual time.
func onEngine(t *testing.T, options standin.EngineOptions, test func(t *testing.T, e *standin.Engine)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		e := startEngine(t, options)
		test(t, e)
	})
}

// startEngine drives an engine until the test ends.
func startEngine(t *testing.T, options standin.EngineOptions) *standin.Engine {
	options.Model.Model = testModel
	e := standin.NewEngine(options)
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan error)
	go func() { stopped <- e.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		require.NoError(t, <-stopped)
	})
	return e
}

func ignore(engine.Chunk) error { return nil }

func prompt(tokens int) string { return standin.AnswerText("prompt", 0, tokens) }

// span generates and returns how long that took.
func span(t *testing.T, e *standin.Engine, request id.Request, tokens int) time.Duration {
	t.Helper()
	begin := time.Now()
	_, err := e.Generate(t.Context(), generation(request, "Go on.", tokens), ignore)
	require.NoError(t, err)
	return time.Since(begin)
}

func TestSpeedSlownessAndStallsChangeTheTime(t *testing.T) {
	normal := time.Duration(0)
	onEngine(t, standin.EngineOptions{}, func(t *testing.T, e *standin.Engine) {
		normal = span(t, e, "p-1/1/1", 100)
		e.SetEngineFaults(standin.EngineFaults{Slow: 3})
		require.InEpsilon(t, 3*normal, span(t, e, "p-2/1/1", 100), 0.02)
		e.SetEngineFaults(standin.EngineFaults{})
		require.InEpsilon(t, normal, span(t, e, "p-3/1/1", 100), 0.02)
		e.SetEngineFaults(standin.EngineFaults{Stall: time.Minute})
		require.InEpsilon(t, normal+time.Minute, span(t, e, "p-4/1/1", 100), 0.02)
	})
	onEngine(t, standin.EngineOptions{Speed: 10}, func(t *testing.T, e *standin.Engine) {
		require.InEpsilon(t, normal/10, span(t, e, "p-1/1/1", 100), 0.02)
	})
}

func TestRepeatedRequestAnswersTheFirstRun(t *testing.T) {
	onEngine(t, standin.EngineOptions{}, func(t *testing.T, e *standin.Engine) {
		var streams sync.WaitGroup
		var outcomes [3]engine.Outcome
		var got [3]collector
		for i := range outcomes {
			streams.Go(func() {
				time.Sleep(time.Duration(i) * 500 * time.Millisecond)
				var err error
				outcomes[i], err = e.Generate(t.Context(), generation("p-1/1/1", "Go on.", 50), got[i].receive)
				require.NoError(t, err)
			})
		}
		streams.Wait()
		for i := range outcomes {
			require.Equal(t, outcomes[0], outcomes[i])
			require.Equal(t, outcomes[0].Message.Content, got[i].text.String())
		}
		record := e.Record()
		require.Len(t, record.Runs, 1)
		require.Equal(t, 1, record.Runs[0].Starts)
		require.Equal(t, 1, record.Runs[0].Finished)
	})
}

func TestResultsAreForgottenAfterTheirRetention(t *testing.T) {
	onEngine(t, standin.EngineOptions{Retention: time.Minute}, func(t *testing.T, e *standin.Engine) {
		span(t, e, "p-1/1/1", 10)
		time.Sleep(59 * time.Second)
		span(t, e, "p-1/1/1", 10)
		require.Equal(t, 1, e.Record().Runs[0].Starts)
		time.Sleep(time.Minute)
		span(t, e, "p-1/1/1", 10)
		require.Equal(t, 2, e.Record().Runs[0].Starts)
	})
}

func TestDeadEngineForgetsAllButItsRecord(t *testing.T) {
	onEngine(t, standin.EngineOptions{}, func(t *testing.T, e *standin.Engine) {
		request := generation("p-1/1/1", "Go on.", 100)
		request.Fence.Epoch = 7
		_, err := e.Generate(t.Context(), request, func(engine.Chunk) error {
			e.SetEngineFaults(standin.EngineFaults{Dead: true})
			return nil
		})
		requireFault(t, err, fault.Unavailable, fault.RanUnknown)
		_, err = e.Lookup(t.Context(), request.Request)
		requireFault(t, err, fault.Unavailable, fault.RanUnknown)
		e.SetEngineFaults(standin.EngineFaults{})
		status, err := e.Lookup(t.Context(), request.Request)
		require.NoError(t, err)
		require.Equal(t, engine.RequestUnknown, status.State)
		span(t, e, request.Request, 100)
		run := e.Record().Runs[0]
		require.Equal(t, 2, run.Starts)
		require.Equal(t, 1, run.Finished)
	})
}

func TestFormerOwnersAreFenced(t *testing.T) {
	commands := map[string]func(context.Context, *standin.Engine, engine.Fence) error{
		"generate": func(ctx context.Context, e *standin.Engine, fence engine.Fence) error {
			request := generation("p-9/1/1", "Go on.", 1)
			request.Fence = fence
			_, err := e.Generate(ctx, request, ignore)
			return err
		},
		"cancel": func(ctx context.Context, e *standin.Engine, fence engine.Fence) error {
			return e.Cancel(ctx, "p-1/1/1", fence)
		},
		"hold": func(ctx context.Context, e *standin.Engine, fence engine.Fence) error {
			return e.Hold(ctx, engine.Hold{Program: "p-1", Fence: fence})
		},
		"release": func(ctx context.Context, e *standin.Engine, fence engine.Fence) error {
			return e.Release(ctx, "p-1", fence)
		},
		"export": func(ctx context.Context, e *standin.Engine, fence engine.Fence) error {
			_, err := e.Export(ctx, "p-1", 1, fence)
			return err
		},
		"drop": func(ctx context.Context, e *standin.Engine, fence engine.Fence) error {
			return e.Drop(ctx, 1, fence)
		},
		"order": func(ctx context.Context, e *standin.Engine, fence engine.Fence) error {
			return e.Order(ctx, engine.Order{Kind: engine.SetRole, Fence: fence})
		},
	}
	for name, command := range commands {
		t.Run(name, func(t *testing.T) {
			onEngine(t, standin.EngineOptions{}, func(t *testing.T, e *standin.Engine) {
				require.NoError(t, e.Order(t.Context(), engine.Order{Kind: engine.SetRole, Fence: engine.Fence{Epoch: 2}}))
				requireFault(t, command(t.Context(), e, owner), fault.Fenced, fault.RanNo)
				require.False(t, fault.Is(command(t.Context(), e, engine.Fence{Epoch: 2}), fault.Fenced))
			})
		})
	}
}

func TestPartialAnswersAreGoneOnWith(t *testing.T) {
	onEngine(t, standin.EngineOptions{}, func(t *testing.T, e *standin.Engine) {
		for index, test := range []struct {
			partial, tokens int
		}{{0, 50}, {20, 50}, {49, 50}, {50, 50}, {60, 50}} {
			request := generation(id.NewRequest(id.Program(fmt.Sprintf("p-%d", index)), 1, 2), "Go on.", test.tokens)
			request.Partial = engine.Partial{Text: standin.AnswerText("p-9/1/1", 0, test.partial), Tokens: test.partial}
			whole := request.Partial.Text + standin.AnswerText(request.Request, test.partial, test.tokens)
			next, text := test.partial, ""
			receive := func(chunk engine.Chunk) error {
				require.Equal(t, next, chunk.Offset)
				next += chunk.Tokens
				text += chunk.Text
				return nil
			}
			outcome, err := e.Generate(t.Context(), request, receive)
			require.NoError(t, err)
			require.Equal(t, whole, request.Partial.Text+text)
			require.Equal(t, whole, outcome.Message.Content)
			require.Equal(t, max(test.partial, test.tokens), outcome.Usage.OutputTokens)
			require.Equal(t, chat.Prefix{}.Extend(request.Messages...).Tokens(), outcome.Usage.PromptTokens)
			for _, offset := range []int{0, test.partial / 2, test.partial, next} {
				text, next = "", offset
				_, err = e.Resume(t.Context(), request.Request, offset, receive)
				require.NoError(t, err)
				require.Equal(t, whole[offset*4:], text, "tokens of stand-ins have four bytes")
			}
			request.Messages = append(request.Messages, outcome.Message)
			request.Request, request.Partial = id.NewRequest(request.Program, 2, 1), engine.Partial{}
			again, err := e.Generate(t.Context(), request, ignore)
			require.NoError(t, err)
			require.Equal(t, again.Usage.PromptTokens, again.Usage.CachedTokens, "the whole answer is cached")
		}
	})
}

func TestToolCallsFollowPartialText(t *testing.T) {
	onEngine(t, standin.EngineOptions{}, func(t *testing.T, e *standin.Engine) {
		request := generation("p-1/1/2", `call tool price {"of":"kale"}`, 50)
		request.Partial = engine.Partial{Text: "let ", Tokens: 1}
		outcome, err := e.Generate(t.Context(), request, ignore)
		require.NoError(t, err)
		require.Len(t, outcome.Message.ToolCalls, 1)
		require.Equal(t, "let ", outcome.Message.Content)
	})
}

func TestCancelFreesTheEngine(t *testing.T) {
	onEngine(t, standin.EngineOptions{}, func(t *testing.T, e *standin.Engine) {
		begin := time.Now()
		_, err := e.Generate(t.Context(), generation("p-1/1/1", "Go on.", 10_000), func(engine.Chunk) error {
			return e.Cancel(t.Context(), "p-1/1/1", owner)
		})
		require.NoError(t, err)
		time.Sleep(time.Second)
		report, err := e.Load(t.Context())
		require.NoError(t, err)
		require.Zero(t, report.Running)
		require.Less(t, time.Since(begin), 10*time.Second, "of virtual time")
	})
}

func TestAnsweringTwiceRepeatsEveryToken(t *testing.T) {
	onEngine(t, standin.EngineOptions{}, func(t *testing.T, e *standin.Engine) {
		e.SetEngineFaults(standin.EngineFaults{AnswerTwice: true})
		tokens := 0
		_, err := e.Generate(t.Context(), generation("p-1/1/1", "Go on.", 10), func(chunk engine.Chunk) error {
			tokens += chunk.Tokens
			return nil
		})
		require.NoError(t, err)
		require.Equal(t, 20, tokens)
	})
}

func TestDeadlineEndsARequest(t *testing.T) {
	onEngine(t, standin.EngineOptions{}, func(t *testing.T, e *standin.Engine) {
		request := generation("p-1/1/1", "Go on.", 10_000)
		request.Deadline = time.Now().Add(time.Second)
		_, err := e.Generate(t.Context(), request, ignore)
		requireFault(t, err, fault.DeadlinePassed, fault.RanYes)
		request.Request = "p-2/1/1"
		_, err = e.Generate(t.Context(), request, ignore)
		requireFault(t, err, fault.DeadlinePassed, fault.RanNo)
		time.Sleep(time.Second)
		report, err := e.Load(t.Context())
		require.NoError(t, err)
		require.Zero(t, report.Running)
		require.Len(t, e.Record().Runs, 1)
	})
}

func TestLoadReportsLag(t *testing.T) {
	onEngine(t, standin.EngineOptions{Lag: time.Second}, func(t *testing.T, e *standin.Engine) {
		time.Sleep(10 * time.Millisecond)
		go func() { _, _ = e.Generate(t.Context(), generation("p-1/1/1", "Go on.", 1000), ignore) }()
		time.Sleep(time.Second)
		report, err := e.Load(t.Context())
		require.NoError(t, err)
		require.Zero(t, report.Running)
		time.Sleep(time.Second)
		report, err = e.Load(t.Context())
		require.NoError(t, err)
		require.Equal(t, 1, report.Running)
		require.Equal(t, []id.Request{"p-1/1/1"}, report.Requests)
		require.Equal(t, uint64(1), report.HighestEpoch)
	})
}

func TestWeightsLoadOneAfterAnother(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		weights := standin.NewWeightStore(1)
		options := standin.EngineOptions{Weights: weights, Speed: 2, Model: enginemodel.Options{AdapterLoad: 4 * time.Second}}
		engines := []*standin.Engine{startEngine(t, options), startEngine(t, options)}
		ready := func(e *standin.Engine, request id.Request) bool {
			adapted := generation(request, "Go on.", 1)
			adapted.Adapter = "levy"
			_, err := e.Generate(t.Context(), adapted, ignore)
			if err != nil {
				requireFault(t, err, fault.UnknownModel, fault.RanNo)
			}
			return err == nil
		}
		for _, e := range engines {
			require.NoError(t, e.Order(t.Context(), engine.Order{Kind: engine.LoadAdapter, Adapter: "levy", Fence: owner}))
			require.False(t, ready(e, "p-1/1/1"))
		}
		time.Sleep(3 * time.Second)
		require.True(t, ready(engines[0], "p-2/1/1"))
		require.False(t, ready(engines[1], "p-2/1/1"))
		time.Sleep(2 * time.Second)
		require.True(t, ready(engines[1], "p-3/1/1"))
	})
}

func TestChangeOfModelFailsWhatRuns(t *testing.T) {
	onEngine(t, standin.EngineOptions{Model: enginemodel.Options{ModelLoad: time.Second}}, func(t *testing.T, e *standin.Engine) {
		order := engine.Order{Kind: engine.LoadModel, Model: "harvest-log", Fence: owner}
		require.NoError(t, e.Order(t.Context(), order))
		_, err := e.Generate(t.Context(), generation("p-1/1/1", "Go on.", 10_000), ignore)
		requireFault(t, err, fault.EngineFailed, fault.RanYes)
		status, err := e.Lookup(t.Context(), "p-1/1/1")
		require.NoError(t, err)
		require.Equal(t, engine.RequestFailed, status.State)
		require.Equal(t, []engine.Order{order}, e.Record().Orders)
	})
}

func TestUsersChooseToolCallsAndLengths(t *testing.T) {
	onEngine(t, standin.EngineOptions{}, func(t *testing.T, e *standin.Engine) {
		request := generation("p-1/1/1", `Please call tool price_lookup {"item":"mango"} now.`, 100)
		outcome, err := e.Generate(t.Context(), request, ignore)
		require.NoError(t, err)
		require.Equal(t, "tool_calls", outcome.FinishReason)
		require.Len(t, outcome.Message.ToolCalls, 1)
		require.Equal(t, "price_lookup", outcome.Message.ToolCalls[0].Name)
		require.JSONEq(t, `{"item":"mango"}`, outcome.Message.ToolCalls[0].Arguments)
		request.Request = "p-1/2/1"
		request.Messages = append(request.Messages, outcome.Message,
			chat.Message{Role: chat.Tool, Content: "200", ToolCallID: outcome.Message.ToolCalls[0].ID})
		outcome, err = e.Generate(t.Context(), request, ignore)
		require.NoError(t, err)
		require.Equal(t, "length", outcome.FinishReason)
		outcome, err = e.Generate(t.Context(), generation("p-2/1/1", "answer with 7 tokens", 100), ignore)
		require.NoError(t, err)
		require.Equal(t, "stop", outcome.FinishReason)
		require.Equal(t, 7, outcome.Usage.OutputTokens)
		require.Equal(t, 7, (chat.EstimateTokens(outcome.Message) - chat.EstimateTokens(chat.Message{})))
	})
}
