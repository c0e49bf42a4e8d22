package forward

import (
	"context"
	"testing"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	"github.com/stretchr/testify/require"

	"github.com/cloverwheel/cloverwheel/internal/fault"
)

// panics is a worker whose answer makes this program panic.
func panics(context.Context, Call) (*Answer, error) { panic("unexpected answer") }

// Guards against a fault in the handling of one request that takes more with it: tokens, memory or places that stay reserved, a closed
// connection that nobody counts, or the process.
func TestPanicOfOneRequestReleasesWhatItHeld(t *testing.T) {
	f := newFixture(t, turnRoute(retained))
	handler := memory.New()
	f.forwarder.options.Logger = &log.Logger{Handler: handler, Level: log.InfoLevel}
	f.worker("w", panics)
	turn := func(id string) func(*Request) {
		return func(r *Request) {
			r.ID, r.Program, r.TokenBudget, r.MaxOutputTokens = id, "p", 60, 60
		}
	}
	for _, id := range []string{"r1", "r2", "r3"} { // the budget allows one turn at a time
		got := f.serve(t.Context(), turn(id))
		require.True(t, got.aborted, "%s: %v", id, got.refusal)
		require.Equal(t, 1, got.finalAnswers)
	}
	require.EqualValues(t, 3, counterValue(f.forwarder.options.Metrics.Panics))
	named := 0
	for _, entry := range handler.Entries {
		if entry.Level == log.ErrorLevel && entry.Fields.Get("worker") == "w" && entry.Fields.Get("request") != nil {
			named++
		}
	}
	require.Equal(t, 3, named, "each is logged with its request and worker")

	f.scripts["w"] = streams(2, 0)
	got := f.serve(t.Context(), turn("r4"))
	require.True(t, got.ended, "%v", got.refusal)
	require.NotEqual(t, fault.BudgetExhausted, got.refusal)
	require.Zero(t, f.forwarder.beforeClosing.Load())
}
