package history

import (
	"bytes"
	"compress/gzip"
	"encoding/gob"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cloverwheel/cloverwheel/internal/store"
	"github.com/cloverwheel/cloverwheel/internal/store/storetest"
)

// newLongTurn returns a turn with an input of the given size. Its thousands of bytes differ from those next to them.
func newLongTurn(id string, inputBytes int) *Turn {
	turn := newTurn(id)
	turn.Input = make([]byte, inputBytes)
	for index := range turn.Input {
		turn.Input[index] = byte(index / 1000)
	}
	return turn
}

// TestTurnOfManyRowsIsReadCompletely guards against a long turn that is lost with the nodes that have it cached: the table returns its
// rows in the order of their names, which is not that of their indexes.
func TestTurnOfManyRowsIsReadCompletely(t *testing.T) {
	for _, inputBytes := range []int{9 * maxRowBytes, 10 * maxRowBytes, 10*maxRowBytes + 1, 11 * maxRowBytes, 420_000, 700_000} {
		synctest.Test(t, func(t *testing.T) {
			table := storetest.New()
			long := newLongTurn("long", inputBytes)
			require.NoError(t, newTestStore(table).Write(t.Context(), long, nil, time.Minute))
			next := newTurn("next", "long")
			require.NoError(t, newTestStore(table).Write(t.Context(), next, []*Turn{long}, 10*time.Minute), "the long turn is renewed, too")
			chain, err := newTestStore(table).Chain(t.Context(), "next")
			require.NoError(t, err, "an input of %d bytes", inputBytes)
			require.Equal(t, long.Input, chain[0].Input)
			require.Equal(t, long.Output, chain[0].Output)
		})
	}
}

// TestLongTurnOfEarlierBuildIsRead guards against long turns that builds side by side can't read from each other, and turns that are
// lost at an upgrade. The file has the rows of a turn as an earlier build wrote them.
func TestLongTurnOfEarlierBuildIsRead(t *testing.T) {
	file, err := os.Open("testdata/long-turn.rows.gz")
	require.NoError(t, err)
	defer file.Close()
	unpacked, err := gzip.NewReader(file)
	require.NoError(t, err)
	var rows []store.Row
	require.NoError(t, gob.NewDecoder(unpacked).Decode(&rows))
	require.Len(t, rows, 12)
	table := storetest.New()
	require.NoError(t, table.CommitWithoutFaults(store.Transaction{Put: rows}))
	chain, err := newTestStore(table).Chain(t.Context(), "long")
	require.NoError(t, err)
	require.Equal(t, newLongTurn("long", 480_000).Input, chain[0].Input)

	var encoded bytes.Buffer
	for _, row := range rows {
		encoded.Write(row.Value[8:]) // the payload after the expiry time
	}
	for index, row := range newLongTurn("long", 0).putTransaction(encoded.Bytes(), 0).Put {
		require.Equal(t, rows[index].Key, row.Key, "an earlier build finds the rows of this one")
	}
}
