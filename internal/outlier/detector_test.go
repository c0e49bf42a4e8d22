package outlier

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var startTime = time.Unix(1000, 0)

// sampleOf returns a sample of requests to a worker.
func sampleOf(worker, requests, failures int) Sample {
	return Sample{Worker: key(worker), Requests: requests, Failures: failures}
}

// group is a detector with the workers it covers, its clock and the changes it reported.
type group struct {
	detector *Detector
	workers  []string
	changes  []Change
	now      time.Time
}

func newGroup(workers int) *group {
	g := &group{workers: slices.Clone(names[:workers]), now: startTime}
	g.detector = New(func(change Change) { g.changes = append(g.changes, change) })
	return g
}

// report adds a report of each node: ten requests to each worker, some of which failed.
func (g *group) report(nodes int, failures func(worker int) int) {
	g.now = g.now.Add(evaluationInterval)
	for node := range nodes {
		var samples []Sample
		for worker := range g.workers {
			samples = append(samples, sampleOf(worker, 10, failures(worker)))
		}
		g.detector.Add(fmt.Sprint("n", node), samples, g.now)
	}
	g.detector.Verdicts(g.workers, g.now)
}

// ejected returns the keys of the ejected workers.
func (g *group) ejected() (out []string) {
	for _, verdict := range g.detector.Verdicts(g.workers, g.now) {
		if verdict.Until > 0 {
			out = append(out, verdict.Worker)
		}
	}
	return out
}

// failFirst makes the first bad workers fail that many of ten requests.
func failFirst(bad, failures int) func(int) int {
	return func(worker int) int {
		if worker < bad {
			return failures
		}
		return 0
	}
}

// Guards against ejecting more workers than the limit or the load permits.
func TestEjectedWorkersAreBounded(t *testing.T) {
	for name, test := range map[string]struct {
		workers, bad, failures int
		utilization            float64
		ejected                int
	}{
		"one of many":                   {workers: 10, bad: 1, failures: 6, ejected: 1},
		"at most the limit":             {workers: 10, bad: 4, failures: 6, ejected: 3},
		"none if most fail":             {workers: 10, bad: 8, failures: 6, ejected: 0},
		"one of two":                    {workers: 2, bad: 1, failures: 6, ejected: 1},
		"never the only worker":         {workers: 1, bad: 1, failures: 10, ejected: 0},
		"none at high load":             {workers: 10, bad: 1, failures: 6, utilization: 0.9, ejected: 0},
		"useless worker at high load":   {workers: 10, bad: 1, failures: 10, utilization: 0.8, ejected: 1},
		"only as many as can be spared": {workers: 10, bad: 3, failures: 6, utilization: 0.72, ejected: 2},
		"up to the limit at low load":   {workers: 10, bad: 3, failures: 6, utilization: 0.5, ejected: 3},
	} {
		t.Run(name, func(t *testing.T) {
			g := newGroup(test.workers)
			g.detector.SetUtilization(test.utilization)
			for range 5 {
				g.report(3, failFirst(test.bad, test.failures))
			}
			require.Len(t, g.ejected(), test.ejected)
		})
	}
}

// Guards against overload of the remaining workers when the load rises after ejections.
func TestEjectedWorkerIsReadmittedWhenCapacityIsNeeded(t *testing.T) {
	g := newGroup(10)
	g.detector.SetUtilization(0.5)
	g.report(3, failFirst(2, 6))
	require.Len(t, g.ejected(), 2)
	g.detector.SetUtilization(0.9)
	g.now = g.now.Add(evaluationInterval)
	require.Len(t, g.ejected(), 1, "nine workers can carry the load")
	g.detector.SetUtilization(1.1)
	g.now = g.now.Add(evaluationInterval)
	require.Empty(t, g.ejected())
	require.Equal(t, CapacityNeeded, g.changes[len(g.changes)-1].Reason)
	g.report(3, failFirst(2, 6))
	require.Empty(t, g.ejected(), "ejected again at high load")
	require.Positive(t, g.detector.Verdicts(g.workers, g.now)[0].Cost, "a readmitted worker that still fails has a cost")
}

// Guards against an ejection on the reports of a single faulty node.
func TestSingleNodeCannotEjectWorker(t *testing.T) {
	g := newGroup(10)
	g.report(3, failFirst(0, 0))
	for range 50 {
		g.now = g.now.Add(evaluationInterval)
		g.detector.Add("n0", []Sample{sampleOf(0, 1000, 1000)}, g.now)
		g.detector.Verdicts(g.workers, g.now)
	}
	require.Empty(t, g.changes)
	for range 5 {
		g.now = g.now.Add(evaluationInterval)
		g.detector.Add("n2", []Sample{sampleOf(1, 1, 0), sampleOf(2, 1, 0), sampleOf(3, 1, 0)}, g.now)
		g.detector.Add("n0", []Sample{sampleOf(0, 10, 10)}, g.now)
		g.detector.Add("n1", []Sample{sampleOf(0, 10, 10)}, g.now)
		g.detector.Verdicts(g.workers, g.now)
	}
	require.Len(t, g.changes, 1)
	require.Equal(t, 2, g.changes[0].Nodes)
}

// Guards against sending an ejected worker more trials than the current round permits.
func TestTrialsAreLimitedAcrossAllNodes(t *testing.T) {
	g := newGroup(10)
	g.report(3, failFirst(1, 6))
	require.Empty(t, g.offeredTrials(20), "trial before the initial delay")
	g.now = g.now.Add(initialTrialDelay)
	require.Len(t, g.offeredTrials(20), 1)
	g.outcome(1, 0)
	require.Len(t, g.offeredTrials(20), 2)
	g.outcome(2, 0)
	require.Len(t, g.offeredTrials(20), 4)
	g.outcome(4, 0)
	require.Empty(t, g.ejected())
	last := g.changes[len(g.changes)-1]
	require.Equal(t, TrialsSucceeded, last.Reason)
	require.True(t, g.detector.Verdicts(g.workers, g.now)[0].Clear(), "nodes receive a clear verdict")
	g.now = g.now.Add(clearNoticeDuration)
	require.Empty(t, g.detector.Verdicts(g.workers, g.now))
}

// offeredTrials calls Verdicts a number of times and returns the verdicts that offer a trial.
func (g *group) offeredTrials(calls int) (offers []Verdict) {
	for range calls {
		for _, verdict := range g.detector.Verdicts(g.workers, g.now) {
			if verdict.Trial {
				offers = append(offers, verdict)
			}
		}
	}
	return offers
}

// outcome adds a report of requests to the first worker.
func (g *group) outcome(requests, failures int) {
	g.now = g.now.Add(evaluationInterval)
	g.detector.Add("n0", []Sample{sampleOf(0, requests, failures)}, g.now)
}

// Guards against trying a worker again too early after a failed trial or a relapse.
func TestRelapseLengthensTrialDelay(t *testing.T) {
	g := newGroup(10)
	g.report(3, failFirst(1, 6))
	g.now = g.now.Add(initialTrialDelay)
	require.Len(t, g.offeredTrials(20), 1)
	g.outcome(1, 1)
	require.Equal(t, TrialFailed, g.changes[len(g.changes)-1].Reason)
	g.now = g.now.Add(2*initialTrialDelay - evaluationInterval)
	require.Empty(t, g.offeredTrials(20))
	g.now = g.now.Add(evaluationInterval)
	for _, size := range []int{1, 2, 4} {
		require.Len(t, g.offeredTrials(20), size)
		g.outcome(size, 0)
	}
	require.Empty(t, g.ejected())
	g.report(3, failFirst(1, 6))
	require.Len(t, g.ejected(), 1)
	require.Equal(t, maxTrialDelay, g.changes[len(g.changes)-1].TrialDelay)
}

// Guards against a worker that stays ejected because the nodes offered a trial have no suitable
// request.
func TestTrialWithoutOutcomeIsOfferedToMoreNodes(t *testing.T) {
	g := newGroup(10)
	g.report(3, failFirst(1, 6))
	g.now = g.now.Add(initialTrialDelay)
	require.Len(t, g.offeredTrials(20), 1)
	for _, offered := range []int{2, 4, 8, 8} {
		g.now = g.now.Add(trialTimeout)
		require.Len(t, g.offeredTrials(20), offered)
	}
	g.now = g.now.Add(untriedTimeout)
	require.Empty(t, g.ejected())
	require.Equal(t, NoTrialOutcome, g.changes[len(g.changes)-1].Reason)
}

// Guards against counting requests from before the ejection as successful trials.
func TestRequestsSentBeforeEjectionAreNotTrials(t *testing.T) {
	g := newGroup(10)
	g.report(3, failFirst(1, 6))
	for range 4 {
		g.outcome(10, 0)
	}
	require.Len(t, g.ejected(), 1)
	require.Len(t, g.changes, 1)
}

// Guards against ejecting a restarted worker because of its previous incarnation.
func TestRestartedWorkerHasNoHistory(t *testing.T) {
	g := newGroup(10)
	g.report(3, failFirst(1, 10))
	require.Equal(t, []string{key(0)}, g.ejected())
	g.workers[0] = key(0) + "@2"
	require.Empty(t, g.ejected())
}

// Guards against ejecting a worker for late first events, which should only raise its cost.
func TestLateFirstEventsRaiseCost(t *testing.T) {
	g := newGroup(10)
	for range 5 {
		g.now = g.now.Add(evaluationInterval)
		for node := range 3 {
			g.detector.Add(fmt.Sprint("n", node), []Sample{
				{Worker: key(0), Requests: 1, Silences: 5}, sampleOf(1, 5, 0), sampleOf(2, 5, 0), sampleOf(3, 5, 0),
			}, g.now)
		}
	}
	verdicts := g.detector.Verdicts(g.workers, g.now)
	require.Len(t, verdicts, 1)
	require.Zero(t, verdicts[0].Until)
	require.Greater(t, verdicts[0].Cost, lateEventCost/2)
}

// Guards against treating workers as slow because a few slow nodes measure all of them as slow.
func TestSlowNodesDoNotMarkWorkersSlow(t *testing.T) {
	g := newGroup(10)
	for node := range 20 {
		step := healthyTokenTime
		if node < 3 {
			step = 5 * healthyTokenTime
		}
		var samples []Sample
		for worker := range 10 {
			samples = append(samples, Sample{Worker: key(worker), Requests: 1, Pace: step, Paced: 3})
		}
		g.detector.Add(fmt.Sprint("n", node), samples, g.now)
	}
	require.Empty(t, g.detector.Verdicts(g.workers, g.now))
}

// Guards against unbounded growth of a detector's state.
func TestStateIsBoundedAndExpires(t *testing.T) {
	detector := New(nil)
	now := startTime
	for index := range maxWorkers + 100 {
		detector.Add("n0", []Sample{sampleOf(index, 1, 0)}, now)
	}
	for node := range maxNodes + 100 {
		detector.Add(fmt.Sprint("m", node), []Sample{sampleOf(0, 1, 0)}, now)
	}
	require.Len(t, detector.workers, maxWorkers)
	require.Len(t, detector.workers[key(0)].byNode, maxNodes)
	detector.Add("n0", []Sample{sampleOf(0, 1, 0)}, now.Add(2*stateTTL))
	require.Len(t, detector.workers, 1)
	require.Len(t, detector.workers[key(0)].byNode, 1)
}

// Guards against verdicts out of range and too many ejections, for arbitrary reports and clock
// steps.
func TestVerdictsStayWithinBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		workers := rapid.IntRange(1, 12).Draw(t, "workers")
		detector := New(nil)
		now := startTime
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(-100, 2000).Draw(t, "ms")) * time.Millisecond)
			detector.SetUtilization(rapid.Float64Range(0, 2).Draw(t, "busy"))
			node := rapid.IntRange(0, 5).Draw(t, "node")
			var samples []Sample
			for worker := range workers {
				samples = append(samples, Sample{
					Worker: key(worker), Requests: rapid.IntRange(-1, 50).Draw(t, "requests"),
					Failures: rapid.IntRange(-1, 50).Draw(t, "failures"), Silences: rapid.IntRange(0, 5).Draw(t, "silences"),
					Pace: time.Duration(rapid.IntRange(0, 10).Draw(t, "pace")) * time.Millisecond, Paced: rapid.IntRange(0, 9).Draw(t, "paced"),
				})
			}
			detector.Add(fmt.Sprint(node), samples, now)
			out := 0
			for _, verdict := range detector.Verdicts(names[:workers], now) {
				if verdict.Until > 0 {
					out++
				}
				require.GreaterOrEqual(t, verdict.Cost, time.Duration(0))
				require.LessOrEqual(t, verdict.Cost, failureCost+lateEventCost)
				require.False(t, verdict.Slow < 0)
				require.LessOrEqual(t, verdict.Until, maxTrialDelay)
			}
			require.LessOrEqual(t, out, maxEjected(workers))
		}
	})
}

// reportTokenTimes adds a report of each node with the time per token at each worker; 0 omits it.
func (g *group) reportTokenTimes(nodes int, step func(worker int) time.Duration) {
	g.now = g.now.Add(evaluationInterval)
	for node := range nodes {
		var samples []Sample
		for worker := range g.workers {
			if pace := step(worker); pace > 0 {
				samples = append(samples, Sample{Worker: key(worker), Requests: 1, Pace: pace, Paced: 3})
			}
		}
		g.detector.Add(fmt.Sprint("n", node), samples, g.now)
	}
}

// Guards against treating a slow worker as healthy only because it no longer receives requests.
func TestSlowWorkerStaysSlowUntilTrialSucceeds(t *testing.T) {
	g := newGroup(10)
	g.reportTokenTimes(5, func(worker int) time.Duration { return healthyTokenTime * time.Duration(1+4*shareIf(worker == 0, 1)) })
	verdicts := g.detector.Verdicts(g.workers, g.now)
	require.Len(t, verdicts, 1)
	require.InDelta(t, 5, verdicts[0].Slow, 0.1)
	healthyOnly := func(worker int) time.Duration { return healthyTokenTime * time.Duration(shareIf(worker > 0, 1)) }
	trials := 0
	for range 20 {
		g.reportTokenTimes(5, healthyOnly)
		trials += len(g.offeredTrials(10))
		require.Positive(t, g.detector.Verdicts(g.workers, g.now)[0].Slow)
	}
	require.InDelta(t, float64(20*evaluationInterval/slowTrialInterval), trials, 1)
	g.detector.Add("n7", []Sample{{Worker: key(0), Requests: 1, Pace: healthyTokenTime, Paced: 3}}, g.now)
	g.reportTokenTimes(5, healthyOnly)
	require.True(t, g.detector.Verdicts(g.workers, g.now)[0].Clear())
}

// Guards against a worker that stays slow forever because no node tests it.
func TestUntestedSlowWorkerExpires(t *testing.T) {
	g := newGroup(10)
	g.reportTokenTimes(5, func(worker int) time.Duration { return healthyTokenTime * time.Duration(1+4*shareIf(worker == 0, 1)) })
	require.Len(t, g.detector.Verdicts(g.workers, g.now), 1)
	g.now = g.now.Add(slowTTL - evaluationInterval)
	require.Positive(t, g.detector.Verdicts(g.workers, g.now)[0].Slow)
	g.now = g.now.Add(evaluationInterval)
	require.True(t, g.detector.Verdicts(g.workers, g.now)[0].Clear())
}
