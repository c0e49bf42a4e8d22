package forward

import (
	"context"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"

	"github.com/cloverwheel/cloverwheel/internal/route"
	"github.com/cloverwheel/cloverwheel/internal/store"
)

// slowStore delays reads and writes.
type slowStore struct {
	store.Store
	read, write time.Duration
}

// Range implements store.Store.
func (s slowStore) Range(ctx context.Context, table, part, from, to string, limit int) (store.Page, error) {
	time.Sleep(s.read)
	return s.Store.Range(ctx, table, part, from, to, limit)
}

// Commit implements store.Store.
func (s slowStore) Commit(ctx context.Context, transaction store.Transaction) (store.Version, error) {
	time.Sleep(s.write)
	return s.Store.Commit(ctx, transaction)
}

// slowStream sends two events, the second after another delay.
func slowStream(first, second time.Duration) script {
	return func(context.Context, Call) (*Answer, error) {
		reader, writer := io.Pipe()
		go func() {
			time.Sleep(first)
			_, _ = io.WriteString(writer, event(1))
			time.Sleep(second)
			_, _ = io.WriteString(writer, event(2))
			writer.Close()
		}()
		return answer(http.StatusOK, true, reader), nil
	}
}

// captureSteps records a forwarder's log lines and metrics.
func captureSteps(f *fixture) (*memory.Handler, *prometheus.Registry) {
	lines, registry := memory.New(), prometheus.NewRegistry()
	f.forwarder.options.Logger = &log.Logger{Handler: lines, Level: log.InfoLevel}
	f.forwarder.options.Metrics = NewMetrics(registry)
	return lines, registry
}

// stepMilliseconds returns the step times of a request's log line.
func stepMilliseconds(entry *log.Entry) map[string]int64 {
	times := map[string]int64{}
	for _, name := range stepNames {
		if spent, ok := entry.Fields.Get(name + "_ms").(int64); ok {
			times[name] = spent
		}
	}
	return times
}

// Guards against time of a turn that is missing from its steps or counted twice, in the log and
// in the metrics.
func TestStepTimesAddUpToTheTurn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, turnRoute(retained))
		f.worker("w", slowStream(0, 0))
		f.serve(t.Context(), func(r *Request) { r.ID = "t1" })

		lines, registry := captureSteps(f)
		f.forwarder.options.History = newHistory(slowStore{Store: f.table, read: 20 * time.Millisecond, write: 40 * time.Millisecond})
		f.scripts["w"] = slowStream(70*time.Millisecond, 110*time.Millisecond)
		got := f.serve(t.Context(), func(r *Request) { r.ID, r.PreviousTurn = "t2", "t1" })
		require.True(t, got.ended)
		entry := lines.Entries[0]
		require.Equal(t, map[string]int64{"admit": 0, "prepare": 20, "place": 0, "first_event": 70, "stream": 110, "keep": 40}, stepMilliseconds(entry))
		require.EqualValues(t, 240, entry.Fields.Get("ms"), "each moment belongs to one step")
		require.Equal(t, map[string]float64{"admit": 0, "prepare": .02, "place": 0, "first_event": .07, "stream": .11, "keep": .04}, stepSums(t, registry))
	})
}

// stepSums returns the sums of the step histograms.
func stepSums(t *testing.T, registry *prometheus.Registry) map[string]float64 {
	families, err := registry.Gather()
	require.NoError(t, err)
	sums := map[string]float64{}
	for _, family := range families {
		if family.GetName() != "cloverwheel_turn_step_seconds" {
			continue
		}
		for _, metric := range family.GetMetric() {
			require.LessOrEqual(t, metric.GetHistogram().GetSampleCount(), uint64(1))
			sums[metric.GetLabel()[0].GetValue()] = metric.GetHistogram().GetSampleSum()
		}
	}
	return sums
}

// Guards against a refused turn without its waiting time in the log, or with steps that it did
// not reach.
func TestRefusedTurnReportsItsWaitForCapacity(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, turnRoute(func(r *route.Route) { retained(r); r.Objective = time.Second }))
		lines, _ := captureSteps(f)
		f.worker("full", declines)
		got := f.serve(t.Context(), nil)
		require.NotNil(t, got.refusal)
		times := stepMilliseconds(lines.Entries[len(lines.Entries)-1])
		require.GreaterOrEqual(t, times["place"], maxSelectWait.Milliseconds())
		require.Equal(t, got.took.Milliseconds(), times["place"])
		require.NotContains(t, times, "stream")
		require.NotContains(t, times, "keep")
	})
}

// Guards against losing the step times of earlier sends of a resumed turn.
func TestResumedTurnAddsUpStepTimes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, turnRoute(resumable))
		lines, _ := captureSteps(f)
		sends := 0
		f.worker("w", func(ctx context.Context, call Call) (*Answer, error) {
			sends++
			time.Sleep(30 * time.Millisecond)
			return streams(4, 2*(2-sends))(ctx, call)
		})
		got := f.serve(t.Context(), nil)
		require.True(t, got.ended)
		times := stepMilliseconds(lines.Entries[len(lines.Entries)-1])
		require.EqualValues(t, 60, times["first_event"])
		require.Equal(t, resendDelay.Milliseconds(), times["place"])
	})
}

// Guards against logging turn steps for requests that are not turns.
func TestPlainRequestHasNoSteps(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, plainRoute(route.Safe, 1))
		lines, _ := captureSteps(f)
		f.worker("w", answers(http.StatusOK, "out"))
		f.serve(t.Context(), nil)
		require.Empty(t, stepMilliseconds(lines.Entries[len(lines.Entries)-1]))
	})
}

// Guards against losing time when a step is entered twice or the clock is stopped twice.
func TestStepLastsUntilTheNextBegins(t *testing.T) {
	begun := time.Now()
	at := func(milliseconds time.Duration) time.Time { return begun.Add(milliseconds * time.Millisecond) }
	var clock stepClock
	clock.stop(at(0))
	clock.enter(stepPlace, at(0))
	clock.enter(stepPlace, at(4))
	clock.enter(stepFirstEvent, at(10))
	clock.enter(stepPlace, at(30))
	clock.stop(at(35))
	clock.stop(at(99))
	require.Equal(t, 15*time.Millisecond, clock.spent[stepPlace])
	require.Equal(t, 20*time.Millisecond, clock.spent[stepFirstEvent])
	require.False(t, clock.reached[stepStream])
}
