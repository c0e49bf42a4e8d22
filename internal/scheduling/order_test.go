package scheduling

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func newProgram(change func(*Program)) Program {
	p := Program{Timed: true, Finish: 2 * time.Second, Needs: time.Second, Turns: 4}
	if change != nil {
		change(&p)
	}
	return p
}

func notStarted(p *Program) { p.Begins = true }

func late(p *Program) { p.Finish = 0 }

func tight(p *Program) { p.Finish = p.Needs + 10*time.Millisecond }

// Programs of the same urgency must be ordered by class, then by slack.
func TestOrderAmongProgramsOfTheSameUrgency(t *testing.T) {
	inOrder := []Program{
		newProgram(tight),
		newProgram(func(p *Program) { p.Finish -= time.Millisecond }),
		newProgram(nil),
		{}, // no deadline
		newProgram(late),
		newProgram(notStarted),
		{Begins: true},
		newProgram(func(p *Program) { p.Begins, p.Finish = true, 0 }),
	}
	for index := range inOrder[1:] {
		require.Negative(t, Compare(inOrder[index], inOrder[index+1]), index)
		require.Positive(t, Compare(inOrder[index+1], inOrder[index]), index)
	}
}

// Urgency must take precedence over class and slack.
func TestMoreUrgentProgramsComeFirst(t *testing.T) {
	urgent := newProgram(late)
	other := newProgram(tight)
	other.Urgency = 1
	require.Negative(t, Compare(urgent, other))
}

// A late program without progress for maxLateWait must be scheduled again, or it starves.
func TestLateProgramDoesNotStarve(t *testing.T) {
	starving := newProgram(late)
	starving.Waited = maxLateWait
	require.Equal(t, ClassInProgress, Classify(starving))
	require.Negative(t, Compare(starving, newProgram(late)))
}

// Programs that were refused before must not be overtaken by new ones.
func TestReturningProgramsComeBeforeNewOnes(t *testing.T) {
	returning := newProgram(notStarted)
	returning.Returns = true
	require.Negative(t, Compare(returning, newProgram(notStarted)))
}

func drawProgram(t *rapid.T, label string) Program {
	return Program{
		Urgency: rapid.IntRange(0, 2).Draw(t, label+"urgency"),
		Begins:  rapid.Bool().Draw(t, label+"begins"),
		Returns: rapid.Bool().Draw(t, label+"returns"),
		Timed:   rapid.Bool().Draw(t, label+"timed"),
		Finish:  time.Duration(rapid.IntRange(-1000, 3000).Draw(t, label+"finish")) * time.Millisecond,
		Needs:   time.Duration(rapid.IntRange(0, 3000).Draw(t, label+"needs")) * time.Millisecond,
		Waited:  time.Duration(rapid.IntRange(0, 3000).Draw(t, label+"waited")) * time.Millisecond,
	}
}

// Compare must be antisymmetric and transitive, or sorting by it is undefined.
func TestCompareIsAWeakOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := drawProgram(t, "a"), drawProgram(t, "b"), drawProgram(t, "c")
		require.Equal(t, Compare(a, b), -Compare(b, a))
		if Compare(a, b) <= 0 && Compare(b, c) <= 0 {
			require.LessOrEqual(t, Compare(a, c), 0)
		}
	})
}

// Priorities must lie within their range and never reverse the order of classes.
func TestPriorityStaysInRange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		first := rapid.IntRange(0, 9).Draw(t, "first")
		priorities := PriorityRange{First: first, Last: rapid.IntRange(first, 9).Draw(t, "last")}
		a, b := drawProgram(t, "a"), drawProgram(t, "b")
		b.Urgency = a.Urgency
		for _, program := range []Program{a, b} {
			require.GreaterOrEqual(t, priorities.Priority(program), priorities.First)
			require.LessOrEqual(t, priorities.Priority(program), priorities.Last)
		}
		if Classify(a) <= Classify(b) {
			require.LessOrEqual(t, priorities.Priority(a), priorities.Priority(b), "priorities reverse the order of classes")
		}
	})
}

// Even a range of two priorities must separate new programs from those in progress.
func TestNarrowRangeSeparatesNewPrograms(t *testing.T) {
	priorities := PriorityRange{First: 0, Last: 1}
	require.Equal(t, 0, priorities.Priority(newProgram(nil)))
	require.Equal(t, 1, priorities.Priority(newProgram(notStarted)))
	require.Equal(t, 0, priorities.Priority(newProgram(late)))
}
