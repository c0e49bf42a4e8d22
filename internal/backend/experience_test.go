package backend

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cloverwheel/cloverwheel/internal/experience"
)

// clocked is a registry whose clock stands still.
type clocked struct {
	*Registry
	now time.Time
}

func clockedOf(count int, zones ...string) *clocked {
	c := &clocked{now: time.Unix(1000, 0)}
	c.Registry = registryOf(Options{Now: func() time.Time { return c.now }}, count, zones...)
	return c
}

func (c *clocked) pass(time time.Duration) { c.now = c.now.Add(time) }

func TestSamplesTellWhatWasSeenSinceTheLast(t *testing.T) {
	registry := clockedOf(3)
	registry.Put(Record{ID: "other", Service: "t", Zone: "z"})
	require.Empty(t, registry.TakeSamples("s"))
	worker := registry.get("w1")
	worker.Answered()
	worker.Broke(registry.now)
	worker.Unreachable(registry.now)
	worker.FellSilent(registry.now)
	worker.Paced(2 * time.Millisecond)
	worker.Paced(4 * time.Millisecond)
	registry.get("other").Answered()
	require.Equal(t, []experience.Sample{{
		Worker: "w1", Requests: 3, Failures: 2, Silences: 1, Pace: 3 * time.Millisecond, Paced: 2,
	}}, registry.TakeSamples("s"))
	require.Empty(t, registry.TakeSamples("s"))
	require.Len(t, registry.TakeSamples("t"), 1)
}

// TestSamplesThatNobodyTakes are dropped, as are those of workers that are gone.
func TestSamplesThatNobodyTakes(t *testing.T) {
	registry := clockedOf(3)
	registry.get("w0").Broke(registry.now)
	registry.pass(sampleLasts + 1)
	registry.get("w0").Answered()
	registry.get("w1").Answered()
	gone := registry.get("w1")
	registry.Remove("w1")
	gone.Broke(registry.now)
	require.Equal(t, []experience.Sample{{Worker: "w0", Requests: 1}}, registry.TakeSamples("s"))
	registry.get("w0").Answered()
	registry.pass(sampleLasts + 1)
	require.Empty(t, registry.TakeSamples("s"))
	require.Empty(t, registry.untold.services)
}

// chosen is how often each worker is chosen for programs' first turns.
func (c *clocked) chosen(t *testing.T, change func(*Query)) map[string]int {
	counts := map[string]int{}
	for program := range 300 {
		counts[choose(t, c.Registry, turn(func(q *Query) {
			q.Key = fmt.Sprint(program)
			if change != nil {
				change(q)
			}
		}))]++
	}
	return counts
}

func TestVerdictsKeepRequestsAway(t *testing.T) {
	for name, said := range map[string]experience.Verdict{
		"ejected": {Until: time.Second},
		"slow":    {Slow: 5},
		"costly":  {Cost: 100 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			registry := clockedOf(4)
			said.Worker = "w1"
			registry.NoteVerdicts([]experience.Verdict{said, {Worker: "unknown", Until: time.Second}})
			require.Zero(t, registry.chosen(t, nil)["w1"])
			require.Equal(t, said.Until > 0, registry.get("w1").Ejected(registry.now))
			registry.pass(longestVerdict)
			require.False(t, registry.get("w1").Ejected(registry.now))
			require.Positive(t, registry.chosen(t, nil)["w1"], "it has lapsed")
			registry.NoteVerdicts([]experience.Verdict{said})
			require.Zero(t, registry.chosen(t, nil)["w1"])
			registry.NoteVerdicts([]experience.Verdict{{Worker: "w1"}})
			require.Positive(t, registry.chosen(t, nil)["w1"], "it was taken back")
		})
	}
}

func TestEjectedWorkersAreUsedForWantOfOthers(t *testing.T) {
	registry := clockedOf(2)
	registry.NoteVerdicts([]experience.Verdict{{Worker: "w0", Until: time.Second}, {Worker: "w1", Until: time.Second}})
	require.Len(t, registry.chosen(t, nil), 2)
}

// TestOwnNewestWordComesBeforeAnOldVerdict, and a fresh verdict before that.
func TestOwnNewestWordComesBeforeAnOldVerdict(t *testing.T) {
	registry := clockedOf(4)
	registry.NoteVerdicts([]experience.Verdict{{Worker: "w1", Until: longestVerdict}})
	registry.pass(time.Millisecond)
	registry.get("w1").Answered()
	require.Zero(t, registry.chosen(t, nil)["w1"])
	registry.pass(freshVerdict)
	require.Positive(t, registry.chosen(t, nil)["w1"])
	registry.NoteVerdicts([]experience.Verdict{{Worker: "w1", Until: longestVerdict}})
	require.Zero(t, registry.chosen(t, nil)["w1"])
	registry.pass(freshVerdict)
	require.Zero(t, registry.chosen(t, nil)["w1"], "nothing was seen since")
}

// TestPaceOfATimeOfTroubleIsForgotten with the verdict that takes that back.
func TestPaceOfATimeOfTroubleIsForgotten(t *testing.T) {
	registry := clockedOf(4)
	slow("w3")(registry.Registry)
	require.Zero(t, registry.chosen(t, nil)["w3"])
	registry.NoteVerdicts([]experience.Verdict{{Worker: "w3", Slow: 5}})
	registry.NoteVerdicts([]experience.Verdict{{Worker: "w3"}})
	require.Positive(t, registry.chosen(t, nil)["w3"])
}

// TestTrialIsMadeOnce by a request that may fail there, and has no context elsewhere.
func TestTrialIsMadeOnce(t *testing.T) {
	registry := clockedOf(4)
	may := experience.Verdict{Worker: "w1", Until: longestVerdict, Trial: true}
	registry.NoteVerdicts([]experience.Verdict{may})
	spare := func(q *Query) { q.Spare = true }
	require.Zero(t, registry.chosen(t, nil)["w1"], "none that may not fail")
	require.Zero(t, registry.chosen(t, func(q *Query) { q.Spare, q.Home = true, "w2" })["w1"])
	require.Zero(t, registry.chosen(t, func(q *Query) { q.Spare, q.Only = true, []string{"w2"} })["w1"])
	require.Zero(t, registry.chosen(t, func(q *Query) { q.Spare, q.Exclude = true, []string{"w1"} })["w1"])
	require.Equal(t, 1, registry.chosen(t, spare)["w1"])
	registry.NoteVerdicts([]experience.Verdict{may})
	registry.pass(trialLasts)
	require.Zero(t, registry.chosen(t, spare)["w1"], "it was for a moment")
	registry.NoteVerdicts([]experience.Verdict{may})
	begins := func(q *Query) { q.Begins = true }
	require.Zero(t, registry.chosen(t, begins)["w1"], "others come first")
	registry.pass(spareOnly)
	require.Equal(t, 1, registry.chosen(t, begins)["w1"])
	registry.NoteVerdicts([]experience.Verdict{may})
	drains("w1")(registry.Registry)
	require.Zero(t, registry.chosen(t, spare)["w1"])
}

// TestVerdictsAreBounded: they come from another process.
func TestVerdictsAreBounded(t *testing.T) {
	registry := clockedOf(4)
	registry.NoteVerdicts([]experience.Verdict{
		{Worker: "w0", Until: time.Hour, Cost: time.Hour, Slow: math.Inf(1)},
		{Worker: "w1", Until: -time.Hour, Cost: -time.Hour, Slow: math.NaN()},
	})
	bounded := registry.get("w0").verdict
	require.Equal(t, registry.now.Add(longestVerdict), bounded.lapses)
	require.Equal(t, largestCost, bounded.cost)
	require.Equal(t, float64(largestSlowness), bounded.slowness)
	require.Positive(t, registry.chosen(t, nil)["w1"])
}
