package history

import (
	"bytes"
	"encoding/gob"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// goldenTurn is the turn in goldenFile, which an earlier build wrote.
var goldenTurn = Turn{
	ID: "turn-2", Ancestors: []string{"turn-0", "turn-1"}, Input: []byte("in"), Output: []byte("out\n"),
	Worker: "i-1", Expires: time.Unix(1_700_000_000, 0).UTC(),
}

const goldenFile = "testdata/turn-1.row"

// TestTurnsOfEarlierBuildsAreDecoded guards against incompatible changes of the turn
// format: nodes of two builds run side by side during an upgrade, and turns outlive both.
func TestTurnsOfEarlierBuildsAreDecoded(t *testing.T) {
	value, err := os.ReadFile(goldenFile)
	require.NoError(t, err)
	var read Turn
	require.NoError(t, gob.NewDecoder(bytes.NewReader(value)).Decode(&read))
	read.Expires = read.Expires.UTC()
	require.Equal(t, goldenTurn, read)
}

// TestTurnsOfLaterBuildsAreDecoded guards against decoding that fails on added fields.
func TestTurnsOfLaterBuildsAreDecoded(t *testing.T) {
	later := struct {
		ID        string
		Ancestors []string
		Input     []byte
		Output    []byte
		Worker    string
		Expires   time.Time
		Added     map[string]int
	}{"turn-2", []string{"turn-0", "turn-1"}, []byte("in"), []byte("out\n"), "i-1", goldenTurn.Expires, map[string]int{"x": 1}}
	var encoded bytes.Buffer
	require.NoError(t, gob.NewEncoder(&encoded).Encode(later))
	var read Turn
	require.NoError(t, gob.NewDecoder(&encoded).Decode(&read))
	read.Expires = read.Expires.UTC()
	require.Equal(t, goldenTurn, read)
}
