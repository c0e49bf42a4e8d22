package backend

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cloverwheel/cloverwheel/internal/outlier"
)

// clockedRegistry is a registry with a manual clock.
type clockedRegistry struct {
	*Registry
	now time.Time
}

func newClockedRegistry(count int, zones ...string) *clockedRegistry {
	c := &clockedRegistry{now: time.Unix(1000, 0)}
	c.Registry = newTestRegistry(Options{Now: func() time.Time { return c.now }}, count, zones...)
	return c
}

func (c *clockedRegistry) advance(time time.Duration) { c.now = c.now.Add(time) }

// Guards against reporting observations twice, or with those of another service.
func TestTakeSamplesReturnsNewObservations(t *testing.T) {
	registry := newClockedRegistry(3)
	registry.Put(Record{ID: "other", Service: "t", Zone: "z"})
	require.Empty(t, registry.TakeSamples("s"))
	worker := registry.get("w1")
	worker.RecordSuccess()
	worker.RecordFailure(registry.now)
	worker.RecordUnreachable(registry.now)
	worker.RecordTimeout(registry.now)
	worker.RecordTokenTime(2 * time.Millisecond)
	worker.RecordTokenTime(4 * time.Millisecond)
	registry.get("other").RecordSuccess()
	require.Equal(t, []outlier.Sample{{
		Worker: "w1", Requests: 3, Failures: 2, Silences: 1, Pace: 3 * time.Millisecond, Paced: 2,
	}}, registry.TakeSamples("s"))
	require.Empty(t, registry.TakeSamples("s"))
	require.Len(t, registry.TakeSamples("t"), 1)
}

// Guards against reporting samples that are too old or of removed workers, and against keeping them.
func TestStaleSamplesAreDropped(t *testing.T) {
	registry := newClockedRegistry(3)
	registry.get("w0").RecordFailure(registry.now)
	registry.advance(sampleTTL + 1)
	registry.get("w0").RecordSuccess()
	registry.get("w1").RecordSuccess()
	removed := registry.get("w1")
	registry.Remove("w1")
	removed.RecordFailure(registry.now)
	require.Equal(t, []outlier.Sample{{Worker: "w0", Requests: 1}}, registry.TakeSamples("s"))
	registry.get("w0").RecordSuccess()
	registry.advance(sampleTTL + 1)
	require.Empty(t, registry.TakeSamples("s"))
	require.Empty(t, registry.unreported.services)
}

// chosen counts how often each worker is chosen for first turns of programs.
func (c *clockedRegistry) chosen(t *testing.T, change func(*Query)) map[string]int {
	counts := map[string]int{}
	for program := range 300 {
		counts[choose(t, c.Registry, modelCall(func(q *Query) {
			q.Key = fmt.Sprint(program)
			if change != nil {
				change(q)
			}
		}))]++
	}
	return counts
}

// Guards against verdicts that have no effect, outlive their time or cannot be revoked.
func TestVerdictsDivertRequests(t *testing.T) {
	for name, verdict := range map[string]outlier.Verdict{
		"ejected": {Until: time.Second},
		"slow":    {Slow: 5},
		"costly":  {Cost: 100 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			registry := newClockedRegistry(4)
			verdict.Worker = "w1"
			registry.ApplyVerdicts([]outlier.Verdict{verdict, {Worker: "unknown", Until: time.Second}})
			require.Zero(t, registry.chosen(t, nil)["w1"])
			require.Equal(t, verdict.Until > 0, registry.get("w1").Ejected(registry.now))
			registry.advance(maxVerdictTTL)
			require.False(t, registry.get("w1").Ejected(registry.now))
			require.Positive(t, registry.chosen(t, nil)["w1"], "the verdict has expired")
			registry.ApplyVerdicts([]outlier.Verdict{verdict})
			require.Zero(t, registry.chosen(t, nil)["w1"])
			registry.ApplyVerdicts([]outlier.Verdict{{Worker: "w1"}})
			require.Positive(t, registry.chosen(t, nil)["w1"], "the verdict was revoked")
		})
	}
}

// Guards against refusing requests when all workers are ejected.
func TestEjectedWorkersAreUsedAsLastResort(t *testing.T) {
	registry := newClockedRegistry(2)
	registry.ApplyVerdicts([]outlier.Verdict{{Worker: "w0", Until: time.Second}, {Worker: "w1", Until: time.Second}})
	require.Len(t, registry.chosen(t, nil), 2)
}

// A fresh verdict must override this node's newer observations; an old one must not.
func TestNewerObservationOverridesOldVerdict(t *testing.T) {
	registry := newClockedRegistry(4)
	registry.ApplyVerdicts([]outlier.Verdict{{Worker: "w1", Until: maxVerdictTTL}})
	registry.advance(time.Millisecond)
	registry.get("w1").RecordSuccess()
	require.Zero(t, registry.chosen(t, nil)["w1"])
	registry.advance(verdictPrecedence)
	require.Positive(t, registry.chosen(t, nil)["w1"])
	registry.ApplyVerdicts([]outlier.Verdict{{Worker: "w1", Until: maxVerdictTTL}})
	require.Zero(t, registry.chosen(t, nil)["w1"])
	registry.advance(verdictPrecedence)
	require.Zero(t, registry.chosen(t, nil)["w1"], "there is no newer observation")
}

// Guards against avoiding a recovered worker because of token times measured while it was slow.
func TestClearVerdictResetsTokenTime(t *testing.T) {
	registry := newClockedRegistry(4)
	slowed("w3")(registry.Registry)
	require.Zero(t, registry.chosen(t, nil)["w3"])
	registry.ApplyVerdicts([]outlier.Verdict{{Worker: "w3", Slow: 5}})
	registry.ApplyVerdicts([]outlier.Verdict{{Worker: "w3"}})
	require.Positive(t, registry.chosen(t, nil)["w3"])
}

// Guards against trials that reach the worker more than once or by an unsuitable request.
func TestTrialIsHandedOutOnce(t *testing.T) {
	registry := newClockedRegistry(4)
	trial := outlier.Verdict{Worker: "w1", Until: maxVerdictTTL, Trial: true}
	registry.ApplyVerdicts([]outlier.Verdict{trial})
	retryable := func(q *Query) { q.Retryable = true }
	require.Zero(t, registry.chosen(t, nil)["w1"], "a request that cannot be retried makes no trial")
	require.Zero(t, registry.chosen(t, func(q *Query) { q.Retryable, q.Home = true, "w2" })["w1"])
	require.Zero(t, registry.chosen(t, func(q *Query) { q.Retryable, q.Only = true, []string{"w2"} })["w1"])
	require.Zero(t, registry.chosen(t, func(q *Query) { q.Retryable, q.Exclude = true, []string{"w1"} })["w1"])
	require.Equal(t, 1, registry.chosen(t, retryable)["w1"])
	registry.ApplyVerdicts([]outlier.Verdict{trial})
	registry.advance(trialTTL)
	require.Zero(t, registry.chosen(t, retryable)["w1"], "the trial has expired")
	registry.ApplyVerdicts([]outlier.Verdict{trial})
	begins := func(q *Query) { q.FirstTurn = true }
	require.Zero(t, registry.chosen(t, begins)["w1"], "requests that can be retried come first")
	registry.advance(retryableOnlyPeriod)
	require.Equal(t, 1, registry.chosen(t, begins)["w1"])
	registry.ApplyVerdicts([]outlier.Verdict{trial})
	draining("w1")(registry.Registry)
	require.Zero(t, registry.chosen(t, retryable)["w1"])
}

// Verdicts come from another process, so out-of-range values must be bounded.
func TestVerdictsAreBounded(t *testing.T) {
	registry := newClockedRegistry(4)
	registry.ApplyVerdicts([]outlier.Verdict{
		{Worker: "w0", Until: time.Hour, Cost: time.Hour, Slow: math.Inf(1)},
		{Worker: "w1", Until: -time.Hour, Cost: -time.Hour, Slow: math.NaN()},
	})
	bounded := registry.get("w0").verdict
	require.Equal(t, registry.now.Add(maxVerdictTTL), bounded.expiresAt)
	require.Equal(t, maxCost, bounded.cost)
	require.Equal(t, float64(maxSlowness), bounded.slowness)
	require.Positive(t, registry.chosen(t, nil)["w1"])
}
