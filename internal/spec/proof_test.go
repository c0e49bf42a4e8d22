package spec

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

var proofBounds = ProofBounds{Ticks: 7, Questions: 3}

func TestProofsHold(t *testing.T) {
	bounds := proofBounds
	if *full {
		bounds.Questions++
	}
	result := Search(Proofs{Bounds: bounds}, limit)
	t.Logf("%+v: %d states, depth %d", bounds, result.States, result.Depth)
	require.Empty(t, result.Violation, strings.Join(result.Trace, "\n"))
	require.True(t, result.Complete, "the bounds do not fit the limit of states")
}

// soonRefused finds a request that runs after its key was taken away: nodes do not refuse
// everything.
type soonRefused struct{ Proofs }

// Check implements Model.
func (m soonRefused) Check(s ProofState) string {
	for index := range s.nodes {
		if s.removed != 0 && s.now > s.removed && m.allowed(s, index) {
			return "a key that is gone is let in"
		}
	}
	return ""
}

func TestKeysAreLetInWithinTheBound(t *testing.T) {
	require.NotEmpty(t, Search(soonRefused{Proofs{Bounds: proofBounds}}, limit).Violation)
}

func TestProofMutantsAreCaught(t *testing.T) {
	for name, mutant := range map[string]ProofMutant{
		"age counted from the answer":         CountsFromAnswer,
		"passed on without its age":           PassedWithoutAge,
		"not checked before it is sent":       NotCheckedAgain,
		"a quiet feed proves":                 SilenceProves,
		"a newer configuration's proof early": ProvesBeforeForce,
		"no proof is too old":                 NeverTooOld,
	} {
		t.Run(name, func(t *testing.T) {
			result := Search(Proofs{Bounds: proofBounds, Mutant: mutant}, limit)
			require.NotEmpty(t, result.Violation, "not noticed in %d states", result.States)
			t.Logf("%s after %d states:\n  %s", result.Violation, result.States, strings.Join(result.Trace, "\n  "))
		})
	}
}
