package history

import (
	"bytes"
	"encoding/gob"
	"errors"
	"math/bits"
	"time"
)

// A conversation is read back by as many calls to the table as it has turns, unless one row holds several of them. So the rows of a turn also
// hold a block of the turns just before it, as long as all fits one row: together they are the last 1, 2, 4 or maxBlockTurns turns, by
// the largest power of two that divides the turn's position in its chain. Half of the turns hold no others, and a chain of n turns is read by
// about n/maxBlockTurns calls.

// maxBlockTurns is the maximum number of turns in the rows of one turn, the turn itself included.
const maxBlockTurns = 8

// storedTurn is a turn as its rows hold it. It is encoded with gob, so its fields keep their names; builds without blocks ignore Block.
type storedTurn struct {
	ID        string
	Ancestors []string
	Input     []byte
	Output    []byte
	Worker    string
	Expires   time.Time
	Block     []byte // encoded []blockTurn; empty: none
}

// blockTurn is an earlier turn in the rows of a later one. It is encoded with gob, so its fields keep their names.
type blockTurn struct {
	Input   []byte
	Output  []byte
	Worker  string
	Expires time.Time // when the block was written; the turn's own rows may be kept for longer
}

// errBadBlock is returned for rows whose block does not fit the turn.
var errBadBlock = errors.New("the rows of a turn hold more earlier turns than it has; they are not used")

// blockTurns returns how many turns the rows of the turn at a position hold at most, itself included. Positions begin with 1.
func blockTurns(position int) int {
	return min(position&-position, maxBlockTurns)
}

// blockOf returns the turns before this one that its rows are to hold: as many as fit a row with it, and with it a power of two. before is its
// whole chain, oldest first; if it is shorter than that, there is no block.
func (t *Turn) blockOf(before []*Turn) []*Turn {
	if len(before) != len(t.Ancestors) {
		return nil
	}
	fitting, size := 1, len(t.Input)+len(t.Output)+ancestorMemory*len(t.Ancestors)+rowOverhead
	for fitting < blockTurns(len(before)+1) && size <= maxRowBytes {
		earlier := before[len(before)-fitting]
		if size += len(earlier.Input) + len(earlier.Output) + blockTurnOverhead; size <= maxRowBytes {
			fitting++
		}
	}
	whole := 1 << (bits.Len(uint(fitting)) - 1)
	return before[len(before)-whole+1:]
}

const (
	// blockTurnOverhead is the size of a turn in a block beside its input and output, in bytes.
	blockTurnOverhead = 64
	// rowOverhead is the size of a row beside its turns and their IDs, in bytes.
	rowOverhead = 128
)

// encode encodes a turn for its rows, with a block of the turns just before it, oldest first.
func (t *Turn) encode(block []*Turn) ([]byte, error) {
	stored := storedTurn{ID: t.ID, Ancestors: t.Ancestors, Input: t.Input, Output: t.Output, Worker: t.Worker, Expires: t.Expires}
	if len(block) > 0 {
		turns := make([]blockTurn, 0, len(block))
		for _, earlier := range block {
			turns = append(turns, blockTurn{Input: earlier.Input, Output: earlier.Output, Worker: earlier.Worker, Expires: earlier.Expires})
		}
		var encoded bytes.Buffer
		if err := gob.NewEncoder(&encoded).Encode(turns); err != nil {
			return nil, err
		}
		stored.Block = encoded.Bytes()
	}
	var encoded bytes.Buffer
	if err := gob.NewEncoder(&encoded).Encode(stored); err != nil {
		return nil, err
	}
	return encoded.Bytes(), nil
}

// decode returns the turn and the earlier ones in its rows, oldest first: the last one is the turn itself.
func decode(encoded []byte) ([]*Turn, error) {
	var stored storedTurn
	if err := gob.NewDecoder(bytes.NewReader(encoded)).Decode(&stored); err != nil {
		return nil, err
	}
	var block []blockTurn
	if len(stored.Block) > 0 {
		if err := gob.NewDecoder(bytes.NewReader(stored.Block)).Decode(&block); err != nil {
			return nil, errors.Join(errBadBlock, err)
		}
	}
	first := len(stored.Ancestors) - len(block)
	if first < 0 {
		return nil, errBadBlock
	}
	turns := make([]*Turn, 0, len(block)+1)
	for index, earlier := range block {
		position := first + index
		turns = append(turns, &Turn{
			ID: stored.Ancestors[position], Ancestors: stored.Ancestors[:position:position],
			Input: earlier.Input, Output: earlier.Output, Worker: earlier.Worker, Expires: earlier.Expires,
		})
	}
	return append(turns, &Turn{
		ID: stored.ID, Ancestors: stored.Ancestors, Input: stored.Input, Output: stored.Output, Worker: stored.Worker, Expires: stored.Expires,
	}), nil
}
