package directory

import (
	"bytes"
	"encoding/gob"
	"os"
	"testing"

	"github.com/stretchr/testify/require"
)

// goldenSlot is the content of the golden file, as deployed versions have written it.
var goldenSlot = row{
	Process: "p1", Address: "10.0.0.1:7380", Unsettled: true, Raised: []string{"stalls"}, Grants: grants{Known: true, Earlier: 2, Clean: true},
}

const goldenFile = "testdata/slot-1.row"

func readSlot(t *testing.T, value []byte) (read row) {
	require.NoError(t, gob.NewDecoder(bytes.NewReader(value)).Decode(&read))
	return read
}

// Rows written by deployed versions must stay readable: versions run side by side during upgrades.
func TestDeployedRowFormatIsReadable(t *testing.T) {
	value, err := os.ReadFile(goldenFile)
	require.NoError(t, err)
	require.Equal(t, goldenSlot, readSlot(t, value))
}

// Rows of a later version with an added field, and of one without grants, must be readable. A version
// that does not know a field drops it when it rewrites the row, so the zero value must be the safe
// case: without grant state, the owner must not grant.
func TestRowsOfOtherVersionsAreReadable(t *testing.T) {
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
	require.False(t, read.Grants.mayGrant())
}
