package budget

import (
	"bytes"
	"encoding/gob"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/cloverwheel/cloverwheel/internal/store"
)

// Table is the table's name for accounts.
const Table = "budgets"

const (
	// parts spreads accounts over the table's parts.
	parts = 64
	// shares is into how many rows, in different parts, a budget is divided: when
	// a part of the table is down, tokens come out of the others.
	shares = 3
	// shareStride keeps the shares of a program in different parts.
	shareStride = 21
)

// row is what the table keeps of one share of a program's budget.
type row struct {
	Drawn int               // tokens that nodes hold or have used
	Last  map[string]uint64 // the newest transaction of each node that drew
	Home  string            // worker that ran the program's newest turn
}

func (r row) encode() []byte {
	var buffer bytes.Buffer
	if err := gob.NewEncoder(&buffer).Encode(r); err != nil {
		panic(err) // a row has only plain fields
	}
	return buffer.Bytes()
}

func decode(stored store.Row) (row, error) {
	var decoded row
	if stored.Version == 0 {
		return decoded, nil
	}
	err := gob.NewDecoder(bytes.NewReader(stored.Value)).Decode(&decoded)
	return decoded, err
}

func keyOf(program string, share int) store.Key {
	part := (xxhash.Sum64String(program) + uint64(share)*shareStride) % parts
	return store.Key{Table: Table, Part: "b" + strconv.FormatUint(part, 10), Name: program}
}

// limitOf is how much of a budget a share holds. All shares together hold it
// exactly.
func limitOf(budget, share int) int {
	limit := budget / shares
	if share == 0 {
		limit += budget % shares
	}
	return limit
}
