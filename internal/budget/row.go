package budget

import (
	"bytes"
	"encoding/gob"
	"strconv"
	"time"

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
	// elasticShare is the one that a single turn may reach past (see drawPlan).
	elasticShare = 0
)

// drawOrder is the order in which shares are drawn from: the elastic one last, so
// that it is the last to be used up.
var drawOrder = [shares]int{1, 2, elasticShare}

// row is what the table keeps of one share of a program's budget.
type row struct {
	Drawn   int                // tokens that nodes hold or have used
	Holders map[string]holding // the processes that drew
	Newest  string             // the one that drew last
	Home    string             // worker that ran the program's newest turn
}

// holding is what a row says of a process that drew from it.
type holding struct {
	Sequence uint64 // of its newest transaction
	Address  string // where it answers other nodes
}

// life is how long an account outlives its last transaction. A program that
// comes back later finds its whole budget again.
const life = time.Hour

// Parts lists the parts that hold accounts.
func Parts() []string {
	names := make([]string, parts)
	for part := range names {
		names[part] = partName(uint64(part))
	}
	return names
}

func partName(part uint64) string { return "b" + strconv.FormatUint(part, 10) }

func (r row) encode(now time.Time) []byte {
	var buffer bytes.Buffer
	if err := gob.NewEncoder(&buffer).Encode(r); err != nil {
		panic(err) // a row has only plain fields
	}
	return store.WithExpiry(now.Add(life), buffer.Bytes())
}

func decode(stored store.Row) (row, error) {
	var decoded row
	if stored.Version == 0 {
		return decoded, nil
	}
	_, payload, err := store.CutExpiry(stored.Value)
	if err != nil {
		return decoded, err
	}
	err = gob.NewDecoder(bytes.NewReader(payload)).Decode(&decoded)
	return decoded, err
}

func keyOf(program string, share int) store.Key {
	part := (xxhash.Sum64String(program) + uint64(share)*shareStride) % parts
	return store.Key{Table: Table, Part: partName(part), Name: program}
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
