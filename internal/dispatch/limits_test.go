package dispatch

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/cloverwheel/cloverwheel/internal/fault"
	"github.com/cloverwheel/cloverwheel/internal/id"
	"github.com/cloverwheel/cloverwheel/internal/outside"
	"github.com/cloverwheel/cloverwheel/internal/peer"
	"github.com/cloverwheel/cloverwheel/internal/template"
	"github.com/cloverwheel/cloverwheel/internal/timing"
)

func TestRefusalsDidNotRunAndMayBeRetried(t *testing.T) {
	for _, test := range []struct {
		name   string
		refuse func(*world)
		allow  func(*world)
		code   fault.Code
	}{
		{"budget", func(w *world) { w.ledger.refusal = fault.New(fault.BudgetExhausted, "spent", "raise it") },
			func(w *world) { w.ledger.refusal = nil }, fault.BudgetExhausted},
		{"overload", func(w *world) {
			w.refuse = fault.New(fault.Overloaded, "full", "come back").WithRetryAfter(time.Second)
		},
			func(w *world) { w.refuse = nil }, fault.Overloaded},
		{"no worker in time", func(w *world) { w.refuse = fault.New(fault.Unavailable, "none", "come back") },
			func(w *world) { w.refuse = nil }, fault.Unavailable},
		{"worker sheds", func(w *world) {
			w.effective.Limits.Attempts = 1
			w.workers["w1"].refusal = fault.New(fault.Overloaded, "full", "come back").WithRetryAfter(time.Second)
		}, func(*world) {}, fault.Overloaded},
		{"stale configuration", func(w *world) { w.stale = fault.New(fault.StaleConfiguration, "cut off", "try another node") },
			func(w *world) { w.stale = nil }, fault.StaleConfiguration},
		{"rate", func(w *world) { w.effective.Limits.CallsPerSecond = 0.5; w.call(0, ask("q", "k", "first")) },
			func(*world) { pauseFor(3 * time.Second) }, fault.RateLimited},
	} {
		t.Run(test.name, func(t *testing.T) {
			inWorld(t, func(t *testing.T, w *world) {
				w.create("p")
				w.create("q")
				test.refuse(w)
				before := w.totalRuns()
				refused := w.call(0, once("p", "k1"))
				require.Equal(t, test.code, fault.CodeOf(refused.err))
				assert.Equal(t, fault.RanNo, fault.From(refused.err).Ran)
				if test.code != fault.BudgetExhausted && test.code != fault.StaleConfiguration {
					assert.Positive(t, fault.From(refused.err).RetryAfter)
				}
				assert.Equal(t, before, w.totalRuns())
				test.allow(w)
				require.NoError(t, w.call(0, once("p", "k1")).err)
				assert.Equal(t, before+1, w.totalRuns())
				for _, name := range []id.Program{"p", "q"} {
					w.end(name)
				}
				pauseFor(settleDelay * 4)
				assert.Empty(t, w.ledger.unsettled(), "what did not run is given back")
			})
		})
	}
}

func TestRefusedAttemptGoesToAnotherWorkerOnce(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		w.create("p")
		w.next = []id.Worker{"w1", "w2"}
		w.workers["w1"].refusal = fault.New(fault.Overloaded, "full", "come back")
		require.NoError(t, w.call(0, once("p", "k1")).err)
		assert.Equal(t, 1, w.effects["p/k1"])
		assert.Len(t, w.workers["w2"].jobs, 1)
	})
}

func TestMovedOwnershipUsesUpNoAttempts(t *testing.T) {
	for _, code := range []fault.Code{fault.Fenced, fault.NotLeader} {
		inWorld(t, func(t *testing.T, w *world) {
			w.effective.RetryShare = 0
			w.effective.Limits.Attempts = 1
			w.create("p")
			moved := fault.New(code, "another owner", "ask it")
			w.workers["w1"].refusals = 4
			w.workers["w1"].refusal = moved
			require.NoError(t, w.call(0, once("p", "k1")).err)
			assert.Equal(t, 1, w.totalRuns())

			w.workers["w1"].refusals = 1 << 20
			w.workers["w1"].refusal = moved
			refused := fault.From(w.call(0, once("p", "k2")).err)
			assert.Equal(t, fault.Unavailable, refused.Code, "callers and gateways know the code")
			assert.Equal(t, fault.RanNo, refused.Ran)
			assert.Positive(t, refused.RetryAfter)
			assert.Equal(t, 1, w.totalRuns())
		})
	}
}

func TestRetriesKeepToTheirBudget(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		w.effective.RetryShare = 0
		failed := 0
		for range int(retryReserve) + 5 {
			name := id.NewProgram()
			w.create(name)
			w.workers["w1"].refusal = fault.New(fault.Unavailable, "engine gone", "try again")
			if w.call(0, ask(name, "k1", "price?")).err != nil {
				failed++
			}
		}
		assert.Equal(t, 5, failed)
	})
}

func TestConcurrencyIsSpreadOverNodes(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		w.effective.Limits.Concurrency = 4
		w.nodes[0].Nodes = func() int { return 2 }
		for _, name := range []id.Program{"p", "q", "r"} {
			w.create(name)
		}
		for _, name := range []id.Program{"p", "q"} {
			go w.call(0, ask(name, "k1", "price?"))
		}
		pauseFor(tokenTime)
		over := w.call(0, ask("r", "k1", "price?"))
		assert.Equal(t, fault.RateLimited, fault.CodeOf(over.err))
		pauseFor(tokenTime * 10)
		require.NoError(t, w.call(0, ask("r", "k1", "price?")).err)
	})
}

func TestTimeEndsPrograms(t *testing.T) {
	for _, test := range []struct {
		name   string
		limits func(*template.Limits)
		words  int
		code   fault.Code
	}{
		{"idle", func(l *template.Limits) { l.Idle = time.Minute }, 4, fault.LimitReached},
		{"deadline", func(l *template.Limits) { l.Deadline = time.Minute }, 4, fault.DeadlinePassed},
		{"deadline of a call under way", func(l *template.Limits) { l.Deadline = time.Minute }, 10_000, fault.DeadlinePassed},
	} {
		t.Run(test.name, func(t *testing.T) {
			inWorld(t, func(t *testing.T, w *world) {
				test.limits(&w.effective.Limits)
				w.workers["w1"].words = make([]string, test.words)
				w.create("p")
				w.create("p.child")
				got := w.call(0, ask("p", "k1", "price?"))
				if test.words > 4 {
					assert.Equal(t, test.code, fault.CodeOf(got.err))
				}
				pauseFor(2 * time.Minute)
				assert.Equal(t, test.code, w.view("p").Fault.Code)
				assert.True(t, w.view("p.child").Ended)
				assert.Contains(t, w.workers["w1"].endedPrograms(), id.Program("p"))
				assert.Empty(t, w.ledger.unsettled())
				pauseFor(time.Hour)
				assert.Zero(t, w.bytes(), "ended programs are forgotten")
			})
		})
	}
}

// end ends a program at the leader.
func (w *world) end(name id.Program) {
	w.t.Helper()
	_, err := peer.Invoke[Program](w.t.Context(), w.network.Transport("client"), address(w.leader), MethodEnd,
		EndRequest{Program: name, Tenant: "soko"})
	require.NoError(w.t, err)
}

func askTool(name id.Program, tool string) CallRequest {
	return CallRequest{
		Program: name, Tenant: "soko", Key: "tool", Repeatable: true, Arrived: time.Now(),
		Tool: &ToolCall{Name: tool, Arguments: "{}", CallID: "c1"},
	}
}

func TestToolAnswerJoinsTheHistory(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		w.create("p")
		w.tools = func(context.Context, outside.ToolRequest) (string, error) { return "40 bob", nil }
		got := w.call(0, askTool("p", "read"))
		require.NoError(t, got.err)
		assert.Equal(t, "40 bob", got.answer.Message.Content)
		require.NoError(t, w.call(0, ask("p", "k2", "so?")).err)
		assert.Equal(t, "c1", w.workers["w1"].jobs[0].Messages[1].ToolCallID)
	})
}

func TestHungToolCostsOnlyItsProgram(t *testing.T) {
	for tool, times := range map[string]int{"post": 1, "read": template.DefaultLimits.Attempts} {
		inWorld(t, func(t *testing.T, w *world) {
			w.create("p")
			w.create("q")
			calls := 0
			hung := make(chan struct{})
			w.tools = func(context.Context, outside.ToolRequest) (string, error) {
				w.mutex.Lock()
				calls++
				w.mutex.Unlock()
				<-hung
				return "", nil
			}
			waiting := make(chan reply, 1)
			go func() { waiting <- w.call(0, askTool("p", tool)) }()
			pauseFor(commitTime)
			require.NoError(t, w.call(0, ask("q", "k1", "price?")).err)
			got := <-waiting
			assert.Equal(t, fault.ToolTimeout, fault.CodeOf(got.err))
			assert.Equal(t, fault.RanUnknown, fault.From(got.err).Ran)
			assert.Equal(t, times, calls)
			require.NoError(t, w.call(0, ask("p", "k2", "go on")).err)
			close(hung)
		})
	}
}

func TestToolUnderWayAtTakeover(t *testing.T) {
	for tool, want := range map[string]struct {
		code  fault.Code
		calls int
	}{"post": {fault.OutcomeUnknown, 1}, "read": {"", 2}} {
		inWorld(t, func(t *testing.T, w *world) {
			w.create("p")
			calls := 0
			w.tools = func(ctx context.Context, _ outside.ToolRequest) (string, error) {
				calls++
				_ = timing.Sleep(ctx, tokenTime*5)
				return "40 bob", ctx.Err()
			}
			got := callThenMove(w, askTool("p", tool))
			assert.Equal(t, want.code, fault.CodeOf(got.err))
			assert.Equal(t, want.calls, calls)
		})
	}
}
