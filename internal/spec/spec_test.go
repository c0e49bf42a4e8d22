package spec

import (
	"flag"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// limit bounds the states of one search, and so its memory.
const limit = 3_000_000

// full searches the larger bounds, which take about a gigabyte.
var full = flag.Bool("spec.full", false, "let all replicas campaign in the search of calls, and search larger budgets")

// The bounds of the searches. Each visits every state within them.
var (
	callBounds   = Bounds{Replicas: 3, Terms: 2, Log: 4, Calls: 2, Crashes: 1, Candidates: 2}
	termBounds   = Bounds{Replicas: 3, Terms: 4, Log: 2, Crashes: 0}
	changeBounds = Bounds{Replicas: 4, Terms: 2, Log: 3, Changes: 2, Crashes: 1, Candidates: 2}
)

func TestProtocolHolds(t *testing.T) {
	for name, bounds := range map[string]Bounds{"calls": callBounds, "terms": termBounds, "changes": changeBounds} {
		t.Run(name, func(t *testing.T) {
			if *full {
				bounds.Candidates = 0
			}
			result := Search(Protocol{Bounds: bounds}, limit)
			t.Logf("%+v: %d states, depth %d", bounds, result.States, result.Depth)
			require.Empty(t, result.Violation, strings.Join(result.Trace, "\n"))
			require.True(t, result.Complete, "the bounds do not fit the limit of states")
		})
	}
}

func TestMutantsAreCaught(t *testing.T) {
	for name, test := range map[string]struct {
		mutant Mutant
		bounds Bounds
	}{
		"no promise":            {NoPromise, termBounds},
		"stale term accepted":   {StaleTermAccepted, termBounds},
		"earlier term counts":   {EarlierTermCounts, termBounds},
		"vote after amnesia":    {VoteAfterAmnesia, callBounds},
		"two changes at once":   {TwoChangesAtOnce, changeBounds},
		"start before commit":   {StartBeforeCommit, callBounds},
		"resend non-repeatable": {ResendNonRepeatable, callBounds},
		"not run after start":   {NotRunAfterStart, callBounds},
	} {
		t.Run(name, func(t *testing.T) {
			result := Search(Protocol{Bounds: test.bounds, Mutant: test.mutant}, limit)
			require.NotEmpty(t, result.Violation, "not noticed in %d states", result.States)
			t.Logf("%s after %d states:\n  %s", result.Violation, result.States, strings.Join(result.Trace, "\n  "))
		})
	}
}
