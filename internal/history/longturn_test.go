package history

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/gob"
	"fmt"
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

// read reads a chain with a deadline.
func read(t *testing.T, turns *TurnStore, id string) ([]*Turn, error) {
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	return turns.Chain(ctx, id)
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
			chain, err := read(t, newTestStore(table), "next")
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
	chain, err := read(t, newTestStore(table), "long")
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

// likeNamed returns IDs that begin with the given one and are stored in one of its partitions, one for each sign that follows it.
func likeNamed(t *testing.T, id string) (others []string) {
	for _, sign := range []string{"!", "$", "%", "&", "+", "-", ".", "/", "0", "a", "~"} {
		for number := 0; ; number++ {
			require.Less(t, number, 10_000)
			other := fmt.Sprintf("%s%s%d", id, sign, number)
			if partOf(other, 0) == partOf(id, 0) || partOf(other, 0) == partOf(id, 1) {
				others = append(others, other)
				break
			}
		}
	}
	return others
}

// TestTurnOfLikeNameIsNotRead guards against a turn that does not exist but is answered with the conversation of another one, whose
// ID begins with the same characters.
func TestTurnOfLikeNameIsNotRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, other := range likeNamed(t, "X") {
			table := storetest.New()
			require.NoError(t, newTestStore(table).Write(t.Context(), newTurn(other), nil, time.Minute))
			_, err := read(t, newTestStore(table), "X")
			require.ErrorIs(t, err, ErrNoTurn, "only %s exists", other)
		}
	})
}

// TestLongTurnBesideLikeNamesIsRead guards against a turn of several rows that can't be read because rows of other turns, whose IDs
// begin with the same characters, lie between them.
func TestLongTurnBesideLikeNamesIsRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := storetest.New()
		long := newLongTurn("X", 520_000)
		require.NoError(t, newTestStore(table).Write(t.Context(), long, nil, time.Minute))
		others := likeNamed(t, "X")
		for _, other := range others {
			require.NoError(t, newTestStore(table).Write(t.Context(), newLongTurn(other, 100_000), nil, time.Minute))
		}
		for _, id := range append(others, "X") {
			chain, err := read(t, newTestStore(table), id)
			require.NoError(t, err, id)
			require.Equal(t, id, chain[0].ID)
		}
	})
}

// TestLongTurnIsReadWhileItIsRenewed guards against a turn that is put together from rows of two writes.
func TestLongTurnIsReadWhileItIsRenewed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := storetest.New()
		long := newLongTurn("X", 100_000)
		writer := newTestStore(table)
		require.NoError(t, writer.Write(t.Context(), long, nil, time.Minute))
		renewals := 2
		renewing := renewingTable{Table: table, renew: func() {
			if renewals--; renewals >= 0 {
				require.NoError(t, writer.renew(t.Context(), long, nil, long.Expires.Add(time.Minute)))
			}
		}}
		chain, err := read(t, New(Options{Store: renewing, CacheBytes: 1 << 20}), "X")
		require.NoError(t, err)
		require.Equal(t, long.Input, chain[0].Input)
	})
}

// renewingTable calls renew after each read of a first row.
type renewingTable struct {
	*storetest.Table
	renew func()
}

// Range implements store.Store.
func (r renewingTable) Range(ctx context.Context, table, part, from, to string, limit int) (store.Page, error) {
	page, err := r.Table.Range(ctx, table, part, from, to, limit)
	if limit == 1 {
		r.renew()
	}
	return page, err
}

// TestTurnOfAnotherIDIsNotUsed guards against rows under a turn's name that hold another turn.
func TestTurnOfAnotherIDIsNotUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := storetest.New()
		var encoded bytes.Buffer
		require.NoError(t, gob.NewEncoder(&encoded).Encode(newTurn("other")))
		for place := range placeCount {
			require.NoError(t, table.CommitWithoutFaults(newTurn("X").putTransaction(encoded.Bytes(), place)))
		}
		_, err := read(t, newTestStore(table), "X")
		require.ErrorContains(t, err, "hold turn")
		require.NotErrorIs(t, err, ErrNoTurn)
	})
}
