package scheduling

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// programRunner runs programs of equal turns with equal pauses through an Estimator. A caller's budget is
// one and a half times the unloaded duration.
type programRunner struct {
	estimator *Estimator
	now       time.Time
}

func newProgramRunner() *programRunner {
	return &programRunner{estimator: NewEstimator(), now: time.Unix(1000, 0)}
}

const (
	testTurn  = 100 * time.Millisecond
	testPause = 50 * time.Millisecond
)

func budgetFor(turns int) time.Duration {
	return time.Duration(1.5 * float64(time.Duration(turns)*testTurn+time.Duration(turns-1)*testPause))
}

// run runs a program whose turns queue for wait each, and returns its state at each turn.
func (p *programRunner) run(name string, turns int, wait time.Duration) []Program {
	began := p.now
	var states []Program
	for number := 1; number <= turns; number++ {
		turn := newTurn(name, number, budgetFor(turns)-p.now.Sub(began))
		states = append(states, p.estimator.Begin(turn, p.now))
		p.now = p.now.Add(testTurn + wait)
		p.estimator.End(turn, Outcome{Total: testTurn + wait, FirstEvent: testTurn/4 + wait, Tokens: 100}, p.now)
		p.now = p.now.Add(testPause)
	}
	return states
}

func newTurn(name string, number int, finish time.Duration) Turn {
	return Turn{Route: "r", Program: name, Branch: "main", Begins: number == 1, Number: number, HasFinish: true, TimeToFinish: finish}
}

// Without observations the need must be derived from the caller's budget.
func TestNeedWithoutObservationsIsAShareOfTheBudget(t *testing.T) {
	program := newProgramRunner().estimator.Begin(newTurn("p", 1, time.Second), time.Unix(0, 0))
	require.True(t, program.Begins)
	require.Equal(t, 600*time.Millisecond, program.Needs)
	slack, known := program.Slack()
	require.True(t, known)
	require.Equal(t, 400*time.Millisecond, slack)
}

// Queueing under load must not raise the estimate of what programs need.
func TestQueueingDoesNotRaiseEstimatedNeed(t *testing.T) {
	p := newProgramRunner()
	for index := range 40 {
		p.run(fmt.Sprint("calm", index), 4, 0)
	}
	// Under load most turns queue for ten times their duration, a few not at all.
	for index := range 40 {
		wait := 10 * testTurn
		if index%5 == 0 {
			wait = 0
		}
		p.run(fmt.Sprint("busy", index), 4, wait)
	}
	whole := 4*testTurn + 3*testPause
	program := p.estimator.Begin(newTurn("new", 1, budgetFor(4)), p.now)
	require.InDelta(t, whole.Seconds(), program.Needs.Seconds(), 0.2*whole.Seconds())
	require.Equal(t, 4, program.Turns)
}

// Slack must shrink by the time spent queueing, and by nothing else.
func TestQueueingReducesSlack(t *testing.T) {
	p := newProgramRunner()
	for index := range 40 {
		p.run(fmt.Sprint("calm", index), 4, 0)
	}
	calm := p.run("in time", 4, 0)
	first, _ := calm[0].Slack()
	last, _ := calm[3].Slack()
	require.InDelta(t, first.Seconds(), last.Seconds(), 0.05, "slack changed without queueing")
	waits := p.run("waits", 4, 80*time.Millisecond)
	last, _ = waits[3].Slack()
	require.InDelta(t, (first - 240*time.Millisecond).Seconds(), last.Seconds(), 0.05)
	require.True(t, p.run("late", 4, 300*time.Millisecond)[3].Late())
}

// A program whose first turn went to another node must be judged by the number of its turn.
func TestProgramFromAnotherNodeIsJudgedByItsTurnNumber(t *testing.T) {
	p := newProgramRunner()
	for index := range 40 {
		p.run(fmt.Sprint("calm", index), 4, 0)
	}
	program := p.estimator.Begin(newTurn("moved", 3, time.Second), p.now)
	require.False(t, program.Begins)
	require.Equal(t, 2, program.Turns)
	require.InDelta(t, (2*testTurn + testPause).Seconds(), program.Needs.Seconds(), 0.03)
}

// A few endless programs must not skew the expected number of turns.
func TestEndlessProgramsDoNotSkewTurnCount(t *testing.T) {
	p := newProgramRunner()
	for index := range 60 {
		turns := 4
		if index%10 == 0 {
			turns = 200
		}
		p.run(fmt.Sprint("p", index), turns, 0)
	}
	program := p.estimator.Begin(newTurn("moved", 2, time.Second), p.now)
	require.Equal(t, 3, program.Turns)
}

// Turns of sub-agents must not raise the expected number of turns of a program.
func TestSubAgentTurnsAreNotCounted(t *testing.T) {
	p := newProgramRunner()
	for index := range 40 {
		name := fmt.Sprint("p", index)
		for number := 1; number <= 3; number++ {
			turn := newTurn(name, number, budgetFor(3))
			p.estimator.Begin(turn, p.now)
			p.estimator.End(turn, Outcome{Total: testTurn, FirstEvent: testTurn / 4}, p.now.Add(testTurn))
			for agent := range 5 {
				helper := newTurn(name, number+1, budgetFor(3))
				helper.Branch = fmt.Sprint("agent", agent)
				p.estimator.Begin(helper, p.now)
				p.estimator.End(helper, Outcome{Total: testTurn, FirstEvent: testTurn / 4}, p.now.Add(testTurn))
			}
			p.now = p.now.Add(testTurn + testPause)
		}
	}
	require.Equal(t, 3, p.estimator.Begin(newTurn("new", 1, budgetFor(3)), p.now).Turns)
}

// On a retry of a first turn, the time that passed must reduce the slack, also if earlier tries went to
// other nodes.
func TestRetriedFirstTurnLosesElapsedTime(t *testing.T) {
	p := newProgramRunner()
	for index := range 40 {
		p.run(fmt.Sprint("calm", index), 4, 0)
	}
	before := p.estimator.Begin(newTurn("again", 1, budgetFor(4)), p.now)
	p.estimator.End(newTurn("again", 1, budgetFor(4)), Outcome{Failed: true}, p.now)
	after := p.estimator.Begin(newTurn("again", 1, budgetFor(4)-time.Second), p.now.Add(time.Second))
	require.True(t, after.Begins)
	require.InDelta(t, before.Needs.Seconds(), after.Needs.Seconds(), 0.01)
	require.True(t, after.Late())
	other := p.estimator.Begin(newTurn("again elsewhere", 1, 100*time.Millisecond), p.now)
	require.True(t, other.Late(), "an unusually low budget counts as the rest of a larger one")
}

// Hints must affect the estimate only if they predict the number of tokens.
func TestHintIsWeightedByItsAccuracy(t *testing.T) {
	good, bad := NewEstimator(), NewEstimator()
	for index := range 200 {
		tokens := 50 + 100*(index%2)
		turn := newTurn(fmt.Sprint("p", index), 1, time.Second)
		turn.Hint = tokens
		good.Begin(turn, time.Unix(0, 0))
		good.End(turn, Outcome{Total: testTurn, FirstEvent: testTurn / 4, Tokens: tokens}, time.Unix(0, 0))
		turn.Hint = 50 + 100*(index/2%2)
		bad.Begin(turn, time.Unix(0, 0))
		bad.End(turn, Outcome{Total: testTurn, FirstEvent: testTurn / 4, Tokens: tokens}, time.Unix(0, 0))
	}
	long := newTurn("long", 1, time.Second)
	usual := newTurn("usual", 1, time.Second)
	long.Hint = 150
	require.Greater(t, good.Begin(long, time.Unix(0, 0)).Needs, good.Begin(usual, time.Unix(0, 0)).Needs+testTurn/4)
	require.Equal(t, bad.Begin(long, time.Unix(0, 0)).Needs, bad.Begin(usual, time.Unix(0, 0)).Needs)
}

// Many programs and routes must not make an Estimator grow without limit.
func TestEstimatorMemoryIsBounded(t *testing.T) {
	estimator := NewEstimator()
	for index := range 10 * maxPrograms {
		turn := newTurn(fmt.Sprint("p", index), 1, time.Second)
		turn.Route = fmt.Sprint("r", index)
		estimator.Begin(turn, time.Unix(0, 0))
	}
	require.Len(t, estimator.programs.entries, maxPrograms)
	require.Len(t, estimator.routes.entries, maxRoutes)
}
