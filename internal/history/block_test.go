package history

import (
	"bytes"
	"context"
	"encoding/gob"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cloverwheel/cloverwheel/internal/store"
	"github.com/cloverwheel/cloverwheel/internal/store/storetest"
)

// writeConversation writes the turns of a conversation, each with its input, and returns the ID of the last one.
func writeConversation(t require.TestingT, turns *TurnStore, name string, inputs ...[]byte) (last string) {
	var chain []*Turn
	for number, input := range inputs {
		turn := &Turn{ID: fmt.Sprint(name, "-", number), Input: input, Output: []byte(fmt.Sprint("out ", number, "\n")), Worker: fmt.Sprint("w", number)}
		for _, earlier := range chain {
			turn.Ancestors = append(turn.Ancestors, earlier.ID)
		}
		require.NoError(t, turns.Write(context.Background(), turn, chain, time.Minute))
		chain = append(chain, turn)
	}
	return chain[len(chain)-1].ID
}

// inputsOf returns inputs of a size in bytes.
func inputsOf(turns, bytesEach int) (inputs [][]byte) {
	for number := range turns {
		inputs = append(inputs, append([]byte(fmt.Sprint("in ", number, " ")), bytes.Repeat([]byte{'x'}, bytesEach)...))
	}
	return inputs
}

// requireConversation checks that a chain has these inputs, and the outputs, IDs and ancestors that belong to them.
func requireConversation(t require.TestingT, chain []*Turn, name string, inputs ...[]byte) {
	require.Len(t, chain, len(inputs))
	for number, turn := range chain {
		require.Equal(t, fmt.Sprint(name, "-", number), turn.ID)
		require.Equal(t, string(inputs[number]), string(turn.Input))
		require.Equal(t, fmt.Sprint("out ", number, "\n"), string(turn.Output))
		require.Equal(t, fmt.Sprint("w", number), turn.Worker)
		require.Len(t, turn.Ancestors, number)
		for before, ancestor := range turn.Ancestors {
			require.Equal(t, chain[before].ID, ancestor)
		}
	}
}

// Guards against conversations that are read back by a call for each turn (LOST): after the loss of all nodes the table's limit of calls is then
// reached by a few hundred of them.
func TestChainIsReadByFewCalls(t *testing.T) {
	for _, test := range []struct{ turns, bytesEach, most int }{
		{1, 3 << 10, 1}, {4, 3 << 10, 1}, {15, 3 << 10, 4}, {18, 3 << 10, 3}, {40, 3 << 10, 5}, {120, 3 << 10, 15}, {250, 1 << 10, 33}, {40, 9 << 10, 10}, {18, 39 << 10, 18},
	} {
		t.Run(fmt.Sprintf("%d turns of %d bytes", test.turns, test.bytesEach), func(t *testing.T) {
			table, inputs := storetest.New(), inputsOf(test.turns, test.bytesEach)
			last := writeConversation(t, newTestStore(table), "a", inputs...)
			_, before := table.Calls()
			chain, err := read(t, newTestStore(table), last)
			require.NoError(t, err)
			requireConversation(t, chain, "a", inputs...)
			_, after := table.Calls()
			require.LessOrEqual(t, after-before, test.most)
		})
	}
}

// Guards against rows of later turns that grow with the conversation: a turn costs one call, and few bytes more than its own.
func TestBlocksAreSmall(t *testing.T) {
	table := storetest.New()
	inputs := inputsOf(64, 3<<10)
	last := writeConversation(t, newTestStore(table), "a", inputs...)
	writes, _ := table.Calls()
	require.Equal(t, len(inputs), writes)
	total, own := 0, 0
	for number := range inputs {
		row, err := newTestStore(table).readFirstRow(t.Context(), partOf(fmt.Sprint("a-", number), 0), fmt.Sprint("a-", number))
		require.NoError(t, err)
		require.Less(t, len(row.Value), maxRowBytes+100, "turn %d is one row", number)
		total += len(row.Value)
		own += len(inputs[number])
	}
	require.Less(t, total, 3*own)
	require.Equal(t, "a-63", last)
}

// Guards against chains that are put together wrongly from rows with blocks, long turns without, cached turns and branches.
func TestRandomConversationsAreReadBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sizes := rapid.SliceOfN(rapid.SampledFrom([]int{0, 100, 3_000, 12_000, 30_000, 90_000}), 1, 40).Draw(t, "sizes")
		var inputs [][]byte
		for number, size := range sizes {
			inputs = append(inputs, append([]byte(fmt.Sprint("in ", number)), bytes.Repeat([]byte{'y'}, size)...))
		}
		table := storetest.New()
		writer := New(Options{Store: table, CacheBytes: rapid.SampledFrom([]int{0, 50_000, 1 << 20}).Draw(t, "cache")})
		writeConversation(t, writer, "a", inputs...)
		reader := New(Options{Store: table, CacheBytes: rapid.SampledFrom([]int{0, 50_000, 1 << 20}).Draw(t, "reader's cache")})
		for range 4 {
			upTo := rapid.IntRange(1, len(inputs)).Draw(t, "up to")
			chain, err := reader.Chain(context.Background(), fmt.Sprint("a-", upTo-1))
			require.NoError(t, err)
			requireConversation(t, chain, "a", inputs[:upTo]...)
		}
	})
}

// earlierBuildTurn is a turn as builds without blocks encode and decode it.
type earlierBuildTurn struct {
	ID        string
	Ancestors []string
	Input     []byte
	Output    []byte
	Worker    string
	Expires   time.Time
}

// Guards against conversations that go on over two builds, one of which writes no blocks, and can't be read by one of them.
func TestConversationsOfTwoBuildsAreRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table, inputs := storetest.New(), inputsOf(24, 1000)
		writer := newTestStore(table)
		var chain []*Turn
		for number, input := range inputs {
			turn := &Turn{ID: fmt.Sprint("a-", number), Input: input, Output: []byte(fmt.Sprint("out ", number, "\n")), Worker: fmt.Sprint("w", number)}
			for _, earlier := range chain {
				turn.Ancestors = append(turn.Ancestors, earlier.ID)
			}
			if number%3 != 0 {
				require.NoError(t, writer.Write(t.Context(), turn, chain, time.Minute))
			} else { // the other build
				turn.Expires = time.Now().Add(90 * time.Second)
				var encoded bytes.Buffer
				require.NoError(t, gob.NewEncoder(&encoded).Encode(earlierBuildTurn(*turn)))
				require.NoError(t, table.CommitWithoutFaults(turn.putTransaction(encoded.Bytes(), 0)))
			}
			chain = append(chain, turn)
		}
		read, err := read(t, newTestStore(table), "a-23")
		require.NoError(t, err)
		requireConversation(t, read, "a", inputs...)

		for number := range inputs {
			row, err := writer.readFirstRow(t.Context(), partOf(fmt.Sprint("a-", number), 0), fmt.Sprint("a-", number))
			require.NoError(t, err)
			_, payload, err := store.SplitExpiry(row.Value)
			require.NoError(t, err)
			var other earlierBuildTurn
			require.NoError(t, gob.NewDecoder(bytes.NewReader(payload)).Decode(&other))
			require.Equal(t, string(inputs[number]), string(other.Input))
		}
	})
}

// Guards against renewals that drop the earlier turns from a turn's rows, after which its chain is read by many calls again.
func TestRenewalKeepsBlocks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table, inputs := storetest.New(), inputsOf(16, 1000)
		writer := newTestStore(table)
		last := writeConversation(t, writer, "a", inputs...)
		time.Sleep(50 * time.Second) // the retention is a minute
		chain, err := writer.Chain(t.Context(), last)
		require.NoError(t, err)
		next := &Turn{ID: "a-16", Input: []byte("in"), Output: []byte("out 16\n"), Worker: "w16"}
		for _, earlier := range chain {
			next.Ancestors = append(next.Ancestors, earlier.ID)
		}
		require.NoError(t, writer.Write(t.Context(), next, chain, time.Minute))
		writes, before := table.Calls()
		require.Greater(t, writes, 17, "the chain was renewed")
		_, err = read(t, newTestStore(table), "a-16")
		require.NoError(t, err)
		_, after := table.Calls()
		require.LessOrEqual(t, after-before, 3)
	})
}

// Guards against odd rows that end the process, or that are taken for turns of a conversation.
func TestBlockOfMoreTurnsThanTheChainIsRefused(t *testing.T) {
	turn := newTurn("a-2", "a-0", "a-1")
	encoded, err := turn.encode([]*Turn{newTurn("a-0"), newTurn("a-1", "a-0")})
	require.NoError(t, err)
	turns, err := decode(encoded)
	require.NoError(t, err)
	require.NotEmpty(t, turns)

	var block, whole bytes.Buffer
	require.NoError(t, gob.NewEncoder(&block).Encode(make([]blockTurn, 3)))
	require.NoError(t, gob.NewEncoder(&whole).Encode(storedTurn{ID: "a-2", Ancestors: []string{"a-0", "a-1"}, Block: block.Bytes()}))
	_, err = decode(whole.Bytes())
	require.ErrorIs(t, err, errBadBlock)
	whole.Reset()
	require.NoError(t, gob.NewEncoder(&whole).Encode(storedTurn{ID: "a-2", Block: []byte("odd")}))
	_, err = decode(whole.Bytes())
	require.ErrorIs(t, err, errBadBlock)
}

// Guards against cached turns whose buffers are longer than what they hold, and are counted by that: short inputs in chunks came in buffers of
// 4 KB, and a node outgrew its memory (LOST, FAULT).
func TestCachedTurnsTakeWhatIsCounted(t *testing.T) {
	turns := New(Options{Store: storetest.New(), CacheBytes: 1 << 20})
	for number := range 3000 {
		input := append(make([]byte, 0, 4096), "short"...)
		turn := &Turn{ID: fmt.Sprint("t", number), Input: input, Output: append(make([]byte, 0, 2048), "out\n"...)}
		require.NoError(t, turns.Write(t.Context(), turn, nil, time.Minute))
		require.Equal(t, 4096, cap(turn.Input), "the caller's turn stays as it is")
	}
	held := 0
	for element := turns.lru.Front(); element != nil; element = element.Next() {
		cached := element.Value.(*Turn)
		require.Equal(t, len(cached.Input), cap(cached.Input))
		require.Equal(t, len(cached.Output), cap(cached.Output))
		held += cached.Size()
	}
	require.Equal(t, held, turns.cachedBytes)
	require.LessOrEqual(t, held, 1<<20)
	require.Equal(t, 4096+2048+turnMemory, (&Turn{Input: make([]byte, 5, 4096), Output: make([]byte, 4, 2048)}).Size(), "what is held is counted")
}
