package spec

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// accountBounds are those of every build; each state within them is visited.
var accountBounds = AccountBounds{Budget: 2, Draws: 2, Crashes: 1, HandOvers: 1}

func TestAccountHolds(t *testing.T) {
	result := Search(Account{Bounds: accountBounds}, limit)
	t.Logf("%+v: %d states, depth %d", accountBounds, result.States, result.Depth)
	require.Empty(t, result.Violation, strings.Join(result.Trace, "\n"))
	require.True(t, result.Complete, "the bounds do not fit the limit of states")
}

// TestAccountIsUsedUp: the model is not safe for want of doing anything.
func TestAccountIsUsedUp(t *testing.T) {
	result := Search(wholeBudget{Account{Bounds: accountBounds}}, limit)
	require.Equal(t, "the whole budget was generated", result.Violation)
}

// wholeBudget finds a state in which the budget is used up.
type wholeBudget struct{ Account }

// Check implements Model.
func (w wholeBudget) Check(s AccountState) string {
	if int(s.generated) == w.Bounds.Budget {
		return "the whole budget was generated"
	}
	return ""
}

func TestAccountMutantsAreCaught(t *testing.T) {
	for name, mutant := range map[string]AccountMutant{
		"no condition":         NoCondition,
		"lost answer counts":   LostAnswerCounts,
		"all unsure count":     AllUnsureCount,
		"handed tokens stay":   HandedStays,
		"answer counts twice":  AnswerCountsTwice,
		"given back tokens":    GivenBackStays,
		"identity reused":      IdentityReused,
		"used tokens returned": UsedIsGivenBack,
	} {
		t.Run(name, func(t *testing.T) {
			result := Search(Account{Bounds: accountBounds, Mutant: mutant}, limit)
			require.NotEmpty(t, result.Violation, "not noticed in %d states", result.States)
			t.Logf("%s after %d states:\n  %s", result.Violation, result.States, strings.Join(result.Trace, "\n  "))
		})
	}
}
