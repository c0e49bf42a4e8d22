package experience

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var begun = time.Unix(1000, 0)

// ended tells of requests to a worker.
func ended(worker, requests, failures int) Sample {
	return Sample{Worker: key(worker), Requests: requests, Failures: failures}
}

// group is a board of which every node tells that each worker answers, and some fail.
type group struct {
	board   *Board
	workers []string
	changes []Change
	now     time.Time
}

func newGroup(workers int) *group {
	g := &group{workers: slices.Clone(names[:workers]), now: begun}
	g.board = New(func(change Change) { g.changes = append(g.changes, change) })
	return g
}

// tell lets nodes tell of ten requests to each worker, of which a share failed at some workers.
func (g *group) tell(nodes int, failures func(worker int) int) {
	g.now = g.now.Add(judgeEvery)
	for node := range nodes {
		var samples []Sample
		for worker := range g.workers {
			samples = append(samples, ended(worker, 10, failures(worker)))
		}
		g.board.Add(fmt.Sprint("n", node), samples, g.now)
	}
	g.board.Verdicts(g.workers, g.now)
}

func (g *group) out() (out []string) {
	for _, verdict := range g.board.Verdicts(g.workers, g.now) {
		if verdict.Until > 0 {
			out = append(out, verdict.Worker)
		}
	}
	return out
}

// only makes some workers fail a number of ten requests.
func only(bad, failures int) func(int) int {
	return func(worker int) int {
		if worker < bad {
			return failures
		}
		return 0
	}
}

func TestEjectedWorkersAreBounded(t *testing.T) {
	for name, test := range map[string]struct {
		workers, bad, failures int
		busy                   float64
		out                    int
	}{
		"one of many":                     {workers: 10, bad: 1, failures: 6, out: 1},
		"no more than a share":            {workers: 10, bad: 4, failures: 6, out: 3},
		"none where most fail":            {workers: 10, bad: 8, failures: 6, out: 0},
		"one of two":                      {workers: 2, bad: 1, failures: 6, out: 1},
		"never the only one":              {workers: 1, bad: 1, failures: 10, out: 0},
		"none while all are needed":       {workers: 10, bad: 1, failures: 6, busy: 0.9, out: 0},
		"but one that serves nothing":     {workers: 10, bad: 1, failures: 10, busy: 0.8, out: 1},
		"as many as are not needed":       {workers: 10, bad: 3, failures: 6, busy: 0.72, out: 2},
		"all that may, with room to rest": {workers: 10, bad: 3, failures: 6, busy: 0.5, out: 3},
	} {
		t.Run(name, func(t *testing.T) {
			g := newGroup(test.workers)
			g.board.SetBusy(test.busy)
			for range 5 {
				g.tell(3, only(test.bad, test.failures))
			}
			require.Len(t, g.out(), test.out)
		})
	}
}

// TestEjectedWorkerIsBackWhenItIsNeeded: the load has risen since.
func TestEjectedWorkerIsBackWhenItIsNeeded(t *testing.T) {
	g := newGroup(10)
	g.board.SetBusy(0.5)
	g.tell(3, only(2, 6))
	require.Len(t, g.out(), 2)
	g.board.SetBusy(0.9)
	g.now = g.now.Add(judgeEvery)
	require.Len(t, g.out(), 1, "nine bear that")
	g.board.SetBusy(1.1)
	g.now = g.now.Add(judgeEvery)
	require.Empty(t, g.out())
	require.Equal(t, Needed, g.changes[len(g.changes)-1].Reason)
	g.tell(3, only(2, 6))
	require.Empty(t, g.out(), "not again at this load")
	require.Positive(t, g.board.Verdicts(g.workers, g.now)[0].Cost, "but others come first")
}

// TestOneNodeEjectsNobody, however much it says.
func TestOneNodeEjectsNobody(t *testing.T) {
	g := newGroup(10)
	g.tell(3, only(0, 0))
	for range 50 {
		g.now = g.now.Add(judgeEvery)
		g.board.Add("n0", []Sample{ended(0, 1000, 1000)}, g.now)
		g.board.Verdicts(g.workers, g.now)
	}
	require.Empty(t, g.changes)
	for range 5 {
		g.now = g.now.Add(judgeEvery)
		g.board.Add("n2", []Sample{ended(1, 1, 0), ended(2, 1, 0), ended(3, 1, 0)}, g.now)
		g.board.Add("n0", []Sample{ended(0, 10, 10)}, g.now)
		g.board.Add("n1", []Sample{ended(0, 10, 10)}, g.now)
		g.board.Verdicts(g.workers, g.now)
	}
	require.Len(t, g.changes, 1)
	require.Equal(t, 2, g.changes[0].Nodes)
}

// TestTrialsAreForTheWholeFleet: one at a time, in rounds that double.
func TestTrialsAreForTheWholeFleet(t *testing.T) {
	g := newGroup(10)
	g.tell(3, only(1, 6))
	require.Empty(t, g.trials(20), "not at once")
	g.now = g.now.Add(firstWait)
	require.Len(t, g.trials(20), 1)
	g.outcome(1, 0)
	require.Len(t, g.trials(20), 2)
	g.outcome(2, 0)
	require.Len(t, g.trials(20), 4)
	g.outcome(4, 0)
	require.Empty(t, g.out())
	last := g.changes[len(g.changes)-1]
	require.Equal(t, Sound, last.Reason)
	require.True(t, g.board.Verdicts(g.workers, g.now)[0].Clear(), "nodes are told so")
	g.now = g.now.Add(tellClear)
	require.Empty(t, g.board.Verdicts(g.workers, g.now))
}

// trials is how many of so many answers let their nodes try a worker.
func (g *group) trials(answers int) (handed []Verdict) {
	for range answers {
		for _, verdict := range g.board.Verdicts(g.workers, g.now) {
			if verdict.Trial {
				handed = append(handed, verdict)
			}
		}
	}
	return handed
}

func (g *group) outcome(requests, failures int) {
	g.now = g.now.Add(judgeEvery)
	g.board.Add("n0", []Sample{ended(0, requests, failures)}, g.now)
}

// TestWorkerThatGoesBadAgainWaitsLonger, whether its trial fails or it does after its return.
func TestWorkerThatGoesBadAgainWaitsLonger(t *testing.T) {
	g := newGroup(10)
	g.tell(3, only(1, 6))
	g.now = g.now.Add(firstWait)
	require.Len(t, g.trials(20), 1)
	g.outcome(1, 1)
	require.Equal(t, Tried, g.changes[len(g.changes)-1].Reason)
	g.now = g.now.Add(2*firstWait - judgeEvery)
	require.Empty(t, g.trials(20))
	g.now = g.now.Add(judgeEvery)
	for _, sound := range []int{1, 2, 4} {
		require.Len(t, g.trials(20), sound)
		g.outcome(sound, 0)
	}
	require.Empty(t, g.out())
	g.tell(3, only(1, 6))
	require.Len(t, g.out(), 1)
	require.Equal(t, longestWait, g.changes[len(g.changes)-1].Wait)
}

// TestTrialWithoutOutcome is offered to more and more nodes: those before had no request that may
// make it. A worker that nobody tries is back.
func TestTrialWithoutOutcome(t *testing.T) {
	g := newGroup(10)
	g.tell(3, only(1, 6))
	g.now = g.now.Add(firstWait)
	require.Len(t, g.trials(20), 1)
	for _, offered := range []int{2, 4, 8, 8} {
		g.now = g.now.Add(trialLasts)
		require.Len(t, g.trials(20), offered)
	}
	g.now = g.now.Add(untried)
	require.Empty(t, g.out())
	require.Equal(t, Untried, g.changes[len(g.changes)-1].Reason)
}

// TestRequestsSentBeforeTheEjection are no trials.
func TestRequestsSentBeforeTheEjection(t *testing.T) {
	g := newGroup(10)
	g.tell(3, only(1, 6))
	for range 4 {
		g.outcome(10, 0)
	}
	require.Len(t, g.out(), 1)
	require.Len(t, g.changes, 1)
}

// TestNextIncarnationIsAnotherWorker: its key names it.
func TestNextIncarnationIsAnotherWorker(t *testing.T) {
	g := newGroup(10)
	g.tell(3, only(1, 10))
	require.Equal(t, []string{key(0)}, g.out())
	g.workers[0] = key(0) + "@2"
	require.Empty(t, g.out())
}

// TestSilencesCost: a worker that lets requests wait for their first event is not ejected.
func TestSilencesCost(t *testing.T) {
	g := newGroup(10)
	for range 5 {
		g.now = g.now.Add(judgeEvery)
		for node := range 3 {
			g.board.Add(fmt.Sprint("n", node), []Sample{
				{Worker: key(0), Requests: 1, Silences: 5}, ended(1, 5, 0), ended(2, 5, 0), ended(3, 5, 0),
			}, g.now)
		}
	}
	verdicts := g.board.Verdicts(g.workers, g.now)
	require.Len(t, verdicts, 1)
	require.Zero(t, verdicts[0].Until)
	require.Greater(t, verdicts[0].Cost, costOfSilence/2)
}

// TestSlowNodesMakeNobodySlow: they see all workers slow.
func TestSlowNodesMakeNobodySlow(t *testing.T) {
	g := newGroup(10)
	for node := range 20 {
		step := wellPaced
		if node < 3 {
			step = 5 * wellPaced
		}
		var samples []Sample
		for worker := range 10 {
			samples = append(samples, Sample{Worker: key(worker), Requests: 1, Pace: step, Paced: 3})
		}
		g.board.Add(fmt.Sprint("n", node), samples, g.now)
	}
	require.Empty(t, g.board.Verdicts(g.workers, g.now))
}

// TestOldExperienceIsForgotten, and what is kept has a bound.
func TestOldExperienceIsForgotten(t *testing.T) {
	board := New(nil)
	now := begun
	for index := range mostWorkers + 100 {
		board.Add("n0", []Sample{ended(index, 1, 0)}, now)
	}
	for node := range mostNodes + 100 {
		board.Add(fmt.Sprint("m", node), []Sample{ended(0, 1, 0)}, now)
	}
	require.Len(t, board.workers, mostWorkers)
	require.Len(t, board.workers[key(0)].cells, mostNodes)
	board.Add("n0", []Sample{ended(0, 1, 0)}, now.Add(2*forgetAfter))
	require.Len(t, board.workers, 1)
	require.Len(t, board.workers[key(0)].cells, 1)
}

// TestBoardHoldsItsBounds whatever nodes tell it, and when.
func TestBoardHoldsItsBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		workers := rapid.IntRange(1, 12).Draw(t, "workers")
		board := New(nil)
		now := begun
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(-100, 2000).Draw(t, "ms")) * time.Millisecond)
			board.SetBusy(rapid.Float64Range(0, 2).Draw(t, "busy"))
			node := rapid.IntRange(0, 5).Draw(t, "node")
			var samples []Sample
			for worker := range workers {
				samples = append(samples, Sample{
					Worker: key(worker), Requests: rapid.IntRange(-1, 50).Draw(t, "requests"),
					Failures: rapid.IntRange(-1, 50).Draw(t, "failures"), Silences: rapid.IntRange(0, 5).Draw(t, "silences"),
					Pace: time.Duration(rapid.IntRange(0, 10).Draw(t, "pace")) * time.Millisecond, Paced: rapid.IntRange(0, 9).Draw(t, "paced"),
				})
			}
			board.Add(fmt.Sprint(node), samples, now)
			out := 0
			for _, verdict := range board.Verdicts(names[:workers], now) {
				if verdict.Until > 0 {
					out++
				}
				require.GreaterOrEqual(t, verdict.Cost, time.Duration(0))
				require.LessOrEqual(t, verdict.Cost, costOfFailure+costOfSilence)
				require.False(t, verdict.Slow < 0)
				require.LessOrEqual(t, verdict.Until, longestWait)
			}
			require.LessOrEqual(t, out, mostOf(workers))
		}
	})
}

// paced lets nodes tell how long a token takes at each worker.
func (g *group) paced(nodes int, step func(worker int) time.Duration) {
	g.now = g.now.Add(judgeEvery)
	for node := range nodes {
		var samples []Sample
		for worker := range g.workers {
			if pace := step(worker); pace > 0 {
				samples = append(samples, Sample{Worker: key(worker), Requests: 1, Pace: pace, Paced: 3})
			}
		}
		g.board.Add(fmt.Sprint("n", node), samples, g.now)
	}
}

// TestSlowWorkerStaysSlowUntilATrialShowsOtherwise: it gets no requests by which that would show.
func TestSlowWorkerStaysSlowUntilATrialShowsOtherwise(t *testing.T) {
	g := newGroup(10)
	g.paced(5, func(worker int) time.Duration { return wellPaced * time.Duration(1+4*oneIn(worker == 0, 1)) })
	verdicts := g.board.Verdicts(g.workers, g.now)
	require.Len(t, verdicts, 1)
	require.InDelta(t, 5, verdicts[0].Slow, 0.1)
	sound := func(worker int) time.Duration { return wellPaced * time.Duration(oneIn(worker > 0, 1)) }
	trials := 0
	for range 20 {
		g.paced(5, sound)
		trials += len(g.trials(10))
		require.Positive(t, g.board.Verdicts(g.workers, g.now)[0].Slow)
	}
	require.InDelta(t, float64(20*judgeEvery/slowTrialEvery), trials, 1)
	g.board.Add("n7", []Sample{{Worker: key(0), Requests: 1, Pace: wellPaced, Paced: 3}}, g.now)
	g.paced(5, sound)
	require.True(t, g.board.Verdicts(g.workers, g.now)[0].Clear())
}

// TestSlowWorkerThatNobodyTries counts as the others after a while.
func TestSlowWorkerThatNobodyTries(t *testing.T) {
	g := newGroup(10)
	g.paced(5, func(worker int) time.Duration { return wellPaced * time.Duration(1+4*oneIn(worker == 0, 1)) })
	require.Len(t, g.board.Verdicts(g.workers, g.now), 1)
	g.now = g.now.Add(slowUntried - judgeEvery)
	require.Positive(t, g.board.Verdicts(g.workers, g.now)[0].Slow)
	g.now = g.now.Add(judgeEvery)
	require.True(t, g.board.Verdicts(g.workers, g.now)[0].Clear())
}
