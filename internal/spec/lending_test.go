package spec

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// The bounds of every build; each state within them is visited.
var (
	firstBounds    = LendingBounds{Ticks: 3, Claims: 2, Crashes: 1}
	takeoverBounds = LendingBounds{Ticks: 5, Claims: 1, Writes: 1, Owned: true}
	ownerDeaths    = LendingBounds{Ticks: 4, Claims: 2, Crashes: 2, Owned: true}
	longTakeover   = LendingBounds{Ticks: 6, Claims: 1, Writes: 1, Owned: true}
	raisedBounds   = LendingBounds{Ticks: 3, Claims: 1, Writes: 2, Crashes: 1, Owned: true, Raised: true}
)

func TestLendingHolds(t *testing.T) {
	for name, bounds := range map[string]LendingBounds{
		"first owners": firstBounds, "takeover": takeoverBounds, "deaths": ownerDeaths, "raised and lowered": raisedBounds,
	} {
		t.Run(name, func(t *testing.T) {
			result := Search(Lending{Bounds: bounds}, limit)
			t.Logf("%+v: %d states, depth %d", bounds, result.States, result.Depth)
			require.Empty(t, result.Violation, strings.Join(result.Trace, "\n"))
			require.True(t, result.Complete, "the bounds do not fit the limit of states")
		})
	}
}

// wholeLent finds a state in which a window holds all that may be lent.
type wholeLent struct{ Lending }

// Check implements Model.
func (m wholeLent) Check(s LendingState) string {
	if inWindow(s.lent, s.now) == lendWhole {
		return "the whole was lent"
	}
	return ""
}

// TestTheWholeIsLent: the model is not safe for want of doing anything.
func TestTheWholeIsLent(t *testing.T) {
	require.NotEmpty(t, Search(wholeLent{Lending{Bounds: takeoverBounds}}, limit).Violation)
}

func TestLendingMutantsAreCaught(t *testing.T) {
	for name, test := range map[string]struct {
		mutant LendingMutant
		bounds LendingBounds
	}{
		"a new owner lends at once":           {LendsAtOnce, takeoverBounds},
		"a woken owner lends":                 {WokenOwnerLends, longTakeover},
		"ownership counted from the answer":   {OwnershipFromAnswer, longTakeover},
		"lent twice after a takeover":         {AssumesNothing, raisedBounds},
		"a short owner taken for settled":     {UnsettledForgotten, ownerDeaths},
		"the whole lent before the word":      {LendsBeforeRaised, ownerDeaths},
		"lowered while the whole is lent":     {LowersTooLate, raisedBounds},
		"lent again by a word of long before": {ResumesAtOnce, raisedBounds},
	} {
		t.Run(name, func(t *testing.T) {
			result := Search(Lending{Bounds: test.bounds, Mutant: test.mutant}, limit)
			require.NotEmpty(t, result.Violation, "not noticed in %d states", result.States)
			t.Logf("%s after %d states:\n  %s", result.Violation, result.States, strings.Join(result.Trace, "\n  "))
		})
	}
}
