package standing

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// plays lets a program of so many turns pass, each of which takes so long, with a pause between
// them; its caller gives it one and a half times as long as it takes.
type plays struct {
	learner *Learner
	now     time.Time
}

func newPlays() *plays { return &plays{learner: NewLearner(), now: time.Unix(1000, 0)} }

const (
	testTurn  = 100 * time.Millisecond
	testPause = 50 * time.Millisecond
)

func given(turns int) time.Duration {
	return time.Duration(1.5 * float64(time.Duration(turns)*testTurn+time.Duration(turns-1)*testPause))
}

// run plays the program and returns its standing at each turn.
func (p *plays) run(name string, turns int, wait time.Duration) []Program {
	began := p.now
	var seen []Program
	for place := 1; place <= turns; place++ {
		turn := turnOf(name, place, given(turns)-p.now.Sub(began))
		seen = append(seen, p.learner.Begin(turn, p.now))
		p.now = p.now.Add(testTurn + wait)
		p.learner.End(turn, Took{Whole: testTurn + wait, First: testTurn/4 + wait, Tokens: 100}, p.now)
		p.now = p.now.Add(testPause)
	}
	return seen
}

func turnOf(name string, place int, finish time.Duration) Turn {
	return Turn{Route: "r", Program: name, Line: "main", Begins: place == 1, Place: place, Timed: true, Finish: finish}
}

func TestTheFirstProgramIsJudgedByItsCallersTime(t *testing.T) {
	program := newPlays().learner.Begin(turnOf("p", 1, time.Second), time.Unix(0, 0))
	require.True(t, program.Begins)
	require.Equal(t, 600*time.Millisecond, program.Needs)
	slack, known := program.Slack()
	require.True(t, known)
	require.Equal(t, 400*time.Millisecond, slack)
}

func TestNeedsAreLearntFromTurnsThatDidNotWait(t *testing.T) {
	p := newPlays()
	for index := range 40 {
		p.run(fmt.Sprint("calm", index), 4, 0)
	}
	// Under load most turns wait for ten times what they take, a few for nothing.
	for index := range 40 {
		wait := 10 * testTurn
		if index%5 == 0 {
			wait = 0
		}
		p.run(fmt.Sprint("busy", index), 4, wait)
	}
	whole := 4*testTurn + 3*testPause
	program := p.learner.Begin(turnOf("new", 1, given(4)), p.now)
	require.InDelta(t, whole.Seconds(), program.Needs.Seconds(), 0.2*whole.Seconds())
	require.Equal(t, 4, program.Turns)
}

func TestWhatWasWaitedIsTakenOffASlack(t *testing.T) {
	p := newPlays()
	for index := range 40 {
		p.run(fmt.Sprint("calm", index), 4, 0)
	}
	calm := p.run("in time", 4, 0)
	first, _ := calm[0].Slack()
	last, _ := calm[3].Slack()
	require.InDelta(t, first.Seconds(), last.Seconds(), 0.05, "a program that does not wait keeps its slack")
	waits := p.run("waits", 4, 80*time.Millisecond)
	last, _ = waits[3].Slack()
	require.InDelta(t, (first - 240*time.Millisecond).Seconds(), last.Seconds(), 0.05)
	require.True(t, p.run("late", 4, 300*time.Millisecond)[3].Lost())
}

func TestAProgramFromElsewhereIsJudgedByItsPlace(t *testing.T) {
	p := newPlays()
	for index := range 40 {
		p.run(fmt.Sprint("calm", index), 4, 0)
	}
	program := p.learner.Begin(turnOf("moved", 3, time.Second), p.now)
	require.False(t, program.Begins)
	require.Equal(t, 2, program.Turns)
	require.InDelta(t, (2*testTurn + testPause).Seconds(), program.Needs.Seconds(), 0.03)
}

func TestEndlessProgramsDoNotSpoilTheCount(t *testing.T) {
	p := newPlays()
	for index := range 60 {
		turns := 4
		if index%10 == 0 {
			turns = 200
		}
		p.run(fmt.Sprint("p", index), turns, 0)
	}
	program := p.learner.Begin(turnOf("moved", 2, time.Second), p.now)
	require.Equal(t, 3, program.Turns)
}

func TestSubAgentsAreNotCountedAsTurnsOfTheirProgram(t *testing.T) {
	p := newPlays()
	for index := range 40 {
		name := fmt.Sprint("p", index)
		for place := 1; place <= 3; place++ {
			turn := turnOf(name, place, given(3))
			p.learner.Begin(turn, p.now)
			p.learner.End(turn, Took{Whole: testTurn, First: testTurn / 4}, p.now.Add(testTurn))
			for agent := range 5 {
				helper := turnOf(name, place+1, given(3))
				helper.Line = fmt.Sprint("agent", agent)
				p.learner.Begin(helper, p.now)
				p.learner.End(helper, Took{Whole: testTurn, First: testTurn / 4}, p.now.Add(testTurn))
			}
			p.now = p.now.Add(testTurn + testPause)
		}
	}
	require.Equal(t, 3, p.learner.Begin(turnOf("new", 1, given(3)), p.now).Turns)
}

func TestAFirstTurnThatComesAgainHasLostItsTimeMeanwhile(t *testing.T) {
	p := newPlays()
	for index := range 40 {
		p.run(fmt.Sprint("calm", index), 4, 0)
	}
	before := p.learner.Begin(turnOf("again", 1, given(4)), p.now)
	p.learner.End(turnOf("again", 1, given(4)), Took{Failed: true}, p.now)
	after := p.learner.Begin(turnOf("again", 1, given(4)-time.Second), p.now.Add(time.Second))
	require.True(t, after.Begins)
	require.InDelta(t, before.Needs.Seconds(), after.Needs.Seconds(), 0.01)
	require.True(t, after.Lost())
	other := p.learner.Begin(turnOf("again elsewhere", 1, 100*time.Millisecond), p.now)
	require.True(t, other.Lost(), "so few callers give so little that it must have given more before")
}

func TestAGuessCountsForWhatItIsWorth(t *testing.T) {
	good, bad := NewLearner(), NewLearner()
	for index := range 200 {
		tokens := 50 + 100*(index%2)
		turn := turnOf(fmt.Sprint("p", index), 1, time.Second)
		turn.Hint = tokens
		good.Begin(turn, time.Unix(0, 0))
		good.End(turn, Took{Whole: testTurn, First: testTurn / 4, Tokens: tokens}, time.Unix(0, 0))
		turn.Hint = 50 + 100*(index/2%2)
		bad.Begin(turn, time.Unix(0, 0))
		bad.End(turn, Took{Whole: testTurn, First: testTurn / 4, Tokens: tokens}, time.Unix(0, 0))
	}
	long := turnOf("long", 1, time.Second)
	usual := turnOf("usual", 1, time.Second)
	long.Hint = 150
	require.Greater(t, good.Begin(long, time.Unix(0, 0)).Needs, good.Begin(usual, time.Unix(0, 0)).Needs+testTurn/4)
	require.Equal(t, bad.Begin(long, time.Unix(0, 0)).Needs, bad.Begin(usual, time.Unix(0, 0)).Needs)
}

func TestALearnersMemoryIsBounded(t *testing.T) {
	l := NewLearner()
	for index := range 10 * programsKept {
		turn := turnOf(fmt.Sprint("p", index), 1, time.Second)
		turn.Route = fmt.Sprint("r", index)
		l.Begin(turn, time.Unix(0, 0))
	}
	require.Len(t, l.programs.entries, programsKept)
	require.Len(t, l.routes.entries, routesKept)
}
