package directory

import (
	"bytes"
	"encoding/gob"
	"os"
	"testing"

	"github.com/stretchr/testify/require"
)

// goldenSlot is a slot as builds have written it that are in use.
var goldenSlot = row{
	Process: "p1", Address: "10.0.0.1:7380", Unsettled: true, Raised: []string{"stalls"}, Grants: grants{Known: true, Earlier: 2, Clean: true},
}

const goldenFile = "testdata/slot-1.row"

func readSlot(t *testing.T, value []byte) (read row) {
	require.NoError(t, gob.NewDecoder(bytes.NewReader(value)).Decode(&read))
	return read
}

// TestSlotsOfBuildsInUseAreRead: nodes of two builds run side by side, and slots outlast both.
func TestSlotsOfBuildsInUseAreRead(t *testing.T) {
	value, err := os.ReadFile(goldenFile)
	require.NoError(t, err)
	require.Equal(t, goldenSlot, readSlot(t, value))
}

// TestSlotsOfOtherBuildsAreRead: of a later one that has added a field, and of one before grants. A
// build that does not know a field writes the row back without it: what is missing then must be
// the safe case, as it is here, where nobody may grant.
func TestSlotsOfOtherBuildsAreRead(t *testing.T) {
	later := struct {
		Process   string
		Address   string
		Unsettled bool
		Raised    []string
		Grants    grants
		Added     map[string]int
	}{"p1", "10.0.0.1:7380", true, []string{"stalls"}, goldenSlot.Grants, map[string]int{"x": 1}}
	var encoded bytes.Buffer
	require.NoError(t, gob.NewEncoder(&encoded).Encode(later))
	require.Equal(t, goldenSlot, readSlot(t, encoded.Bytes()))

	before := struct {
		Process string
		Address string
	}{"p1", "10.0.0.1:7380"}
	encoded.Reset()
	require.NoError(t, gob.NewEncoder(&encoded).Encode(before))
	read := readSlot(t, encoded.Bytes())
	require.False(t, read.Grants.right())
}
