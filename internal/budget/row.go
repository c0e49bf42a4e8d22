package budget

import (
	"bytes"
	"encoding/gob"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cloverwheel/cloverwheel/internal/store"
)

// Table is the store table that holds the accounts.
const Table = "budgets"

const (
	// partCount is the number of partitions that accounts are spread over.
	partCount = 64
	// shareCount is the number of rows that a budget is divided into. They lie in
	// different partitions, so that tokens remain available while one partition is down.
	shareCount = 3
	// shareStride is the distance between the partitions of a program's shares.
	shareStride = 21
	// overdraftShare is the share that a single turn may overdraw (see drawSize).
	overdraftShare = 0
)

// drawOrder is the order in which shares are drawn from. The overdraft share is last, so
// that it is exhausted last.
var drawOrder = [shareCount]int{1, 2, overdraftShare}

// row is the stored state of one share of a program's budget. Its fields are encoded with
// gob and keep their names.
type row struct {
	Drawn   int                // tokens that processes hold or have used
	Holders map[string]holding // by process: those that drew from the share
	Newest  string             // process that drew last
	Home    string             // worker of the program's newest turn
}

// holding is the entry in a row for a process that drew from it.
type holding struct {
	Sequence uint64 // number of its newest transaction
	Address  string // address for requests from other nodes
}

// accountTTL is how long a row is kept after its last transaction. A program that
// continues later starts with its whole budget again.
const accountTTL = time.Hour

// Parts returns the names of the partitions that hold accounts.
func Parts() []string {
	names := make([]string, partCount)
	for part := range names {
		names[part] = partName(uint64(part))
	}
	return names
}

func partName(part uint64) string { return "b" + strconv.FormatUint(part, 10) }

func (r row) encode(now time.Time) []byte {
	var buffer bytes.Buffer
	if err := gob.NewEncoder(&buffer).Encode(r); err != nil {
		panic(err) // unreachable: a row has only encodable fields
	}
	return store.WithExpiry(now.Add(accountTTL), buffer.Bytes())
}

func decode(stored store.Row) (row, error) {
	var decoded row
	if stored.Version == 0 {
		return decoded, nil
	}
	_, payload, err := store.SplitExpiry(stored.Value)
	if err != nil {
		return decoded, err
	}
	err = gob.NewDecoder(bytes.NewReader(payload)).Decode(&decoded)
	return decoded, err
}

func rowKey(program string, share int) store.Key {
	part := (xxhash.Sum64String(program) + uint64(share)*shareStride) % partCount
	return store.Key{Table: Table, Part: partName(part), Name: program}
}

// evenShareLimit returns how many tokens of a budget a share holds if all shares are of
// equal size. The remainder goes to the first share, so that the shares add up to the
// budget.
func evenShareLimit(budget, share int) int {
	limit := budget / shareCount
	if share == 0 {
		limit += budget % shareCount
	}
	return limit
}
