package standing

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func program(change func(*Program)) Program {
	p := Program{Timed: true, Finish: 2 * time.Second, Needs: time.Second, Turns: 4}
	if change != nil {
		change(&p)
	}
	return p
}

func begins(p *Program) { p.Begins = true }

func lost(p *Program) { p.Finish = 0 }

func tight(p *Program) { p.Finish = p.Needs + 10*time.Millisecond }

func TestOrderAmongProgramsOfTheSameUrgency(t *testing.T) {
	inOrder := []Program{
		program(tight),
		program(func(p *Program) { p.Finish -= time.Millisecond }),
		program(nil),
		{}, // without a time
		program(lost),
		program(begins),
		{Begins: true},
		program(func(p *Program) { p.Begins, p.Finish = true, 0 }),
	}
	for index := range inOrder[1:] {
		require.Negative(t, Compare(inOrder[index], inOrder[index+1]), index)
		require.Positive(t, Compare(inOrder[index+1], inOrder[index]), index)
	}
}

func TestTheMoreUrgentComeFirst(t *testing.T) {
	urgent := program(lost)
	other := program(tight)
	other.Urgency = 1
	require.Negative(t, Compare(urgent, other))
}

func TestALateProgramIsNotLastForEver(t *testing.T) {
	starving := program(lost)
	starving.Waited = longestStill
	require.Equal(t, UnderWay, Classify(starving))
	require.Negative(t, Compare(starving, program(lost)))
}

func TestWhoReturnsComesBeforeWhoIsNew(t *testing.T) {
	returning := program(begins)
	returning.Returns = true
	require.Negative(t, Compare(returning, program(begins)))
}

func drawn(t *rapid.T, label string) Program {
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

func TestCompareIsAnOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := drawn(t, "a"), drawn(t, "b"), drawn(t, "c")
		require.Equal(t, Compare(a, b), -Compare(b, a))
		if Compare(a, b) <= 0 && Compare(b, c) <= 0 {
			require.LessOrEqual(t, Compare(a, c), 0)
		}
	})
}

func TestPrioritiesStayInTheirBand(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		first := rapid.IntRange(0, 9).Draw(t, "first")
		band := Band{First: first, Last: rapid.IntRange(first, 9).Draw(t, "last")}
		a, b := drawn(t, "a"), drawn(t, "b")
		b.Urgency = a.Urgency
		for _, one := range []Program{a, b} {
			require.GreaterOrEqual(t, band.Priority(one), band.First)
			require.LessOrEqual(t, band.Priority(one), band.Last)
		}
		if Classify(a) <= Classify(b) {
			require.LessOrEqual(t, band.Priority(a), band.Priority(b), "priorities never turn the order round")
		}
	})
}

func TestANarrowBandTellsNewProgramsApart(t *testing.T) {
	band := Band{First: 0, Last: 1}
	require.Equal(t, 0, band.Priority(program(nil)))
	require.Equal(t, 1, band.Priority(program(begins)))
	require.Equal(t, 0, band.Priority(program(lost)))
}
