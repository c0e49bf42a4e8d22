package budget

import (
	"bytes"
	"encoding/gob"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cloverwheel/cloverwheel/internal/store"
)

// goldenRow is the account row in goldenFile, which an earlier build wrote.
var goldenRow = row{Drawn: 700, Holders: map[string]holding{"p1": {Sequence: 9, Address: "10.0.0.1:7380"}}, Newest: "p1", Home: "i-1@1700000000000"}

const goldenFile = "testdata/account-1.row"

// TestRowsOfEarlierBuildsAreDecoded guards against incompatible changes of the row
// format: nodes of two builds run side by side during an upgrade, and rows outlive both.
func TestRowsOfEarlierBuildsAreDecoded(t *testing.T) {
	value, err := os.ReadFile(goldenFile)
	require.NoError(t, err)
	read, err := decode(store.Row{Value: value, Version: 1})
	require.NoError(t, err)
	require.Equal(t, goldenRow, read)
}

// goldenAnswer is the answer in goldenAnswerFile, which an earlier build encoded, with
// rows included.
var goldenAnswer = HandOverAnswer{Tokens: 5, Home: "w1", Others: []Holder{{Process: "p2", Address: "10.0.0.2:7380"}}, Rows: []KnownRow{{Share: 1, Version: 12, Row: goldenRow}, {Share: 2}}}

const goldenAnswerFile = "testdata/hand-over-answer-2.gob"

// TestHandOverAnswersOfEarlierBuildsAreDecoded guards against incompatible changes of the
// message format. A build without the Rows field must decode the rest.
func TestHandOverAnswersOfEarlierBuildsAreDecoded(t *testing.T) {
	value, err := os.ReadFile(goldenAnswerFile)
	require.NoError(t, err)
	var read HandOverAnswer
	require.NoError(t, gob.NewDecoder(bytes.NewReader(value)).Decode(&read))
	require.Equal(t, goldenAnswer, read)
	var earlier struct {
		Tokens int
		Home   string
		Others []Holder
	}
	require.NoError(t, gob.NewDecoder(bytes.NewReader(value)).Decode(&earlier))
	require.Equal(t, goldenAnswer.Tokens, earlier.Tokens)
	require.Equal(t, goldenAnswer.Others, earlier.Others)
}

// TestRowsOfLaterBuildsAreDecoded guards against decoding that fails on added fields.
func TestRowsOfLaterBuildsAreDecoded(t *testing.T) {
	type laterHolding struct {
		holding
		Sequence uint64
		Address  string
		Added    []string
	}
	later := struct {
		Drawn   int
		Holders map[string]laterHolding
		Newest  string
		Home    string
		Added   map[string]int
	}{Drawn: 700, Holders: map[string]laterHolding{"p1": {Sequence: 9, Address: "10.0.0.1:7380", Added: []string{"x"}}}, Newest: "p1", Home: "i-1@1700000000000", Added: map[string]int{"x": 1}}
	var encoded bytes.Buffer
	require.NoError(t, gob.NewEncoder(&encoded).Encode(later))
	read, err := decode(store.Row{Value: store.WithExpiry(time.Now(), encoded.Bytes()), Version: 1})
	require.NoError(t, err)
	require.Equal(t, goldenRow, read)
}
