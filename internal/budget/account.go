// Package budget keeps each program within the tokens that it may generate,
// through whatever nodes its turns go. A program's account is one row of the
// table. Before a turn is sent to a worker, the most that it may generate is
// drawn from the account by a conditional transaction, so what all nodes have
// drawn together never exceeds the budget. A node that dies strands what it had
// drawn and not used: too little is spent then, never too much.
package budget

import (
	"bytes"
	"encoding/gob"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cloverwheel/cloverwheel/internal/store"
)

// Table is the table's name for accounts.
const Table = "budgets"

// parts spreads accounts over the table's parts.
const parts = 64

// row is what the table keeps of an account.
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
	decoded := row{}
	if stored.Version == 0 {
		return decoded, nil
	}
	err := gob.NewDecoder(bytes.NewReader(stored.Value)).Decode(&decoded)
	return decoded, err
}

func keyOf(program string) store.Key {
	part := xxhash.Sum64String(program) % parts
	return store.Key{Table: Table, Part: "b" + strconv.FormatUint(part, 10), Name: program}
}

// account is a program's account as this node knows it.
type account struct {
	key      store.Key
	turn     chan struct{} // held by the one who talks to the table
	mutex    sync.Mutex
	known    row
	version  store.Version
	free     int // drawn by this node and not in use
	open     int // reservations in use
	home     string
	sequence uint64
	unsure   []draw // transactions of unknown effect, all on the known version
	used     time.Time
}

// draw is one transaction on an account.
type draw struct {
	sequence uint64
	tokens   int // negative when given back
}

func newAccount(program string) *account {
	return &account{key: keyOf(program), turn: make(chan struct{}, 1)}
}

// takeFree reserves from what this node already holds.
func (a *account) takeFree(tokens int) bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.free < tokens {
		return false
	}
	a.free -= tokens
	a.open++
	return true
}

// learn takes over the row as the table has it.
func (a *account) learn(holder string, stored store.Row) error {
	known, err := decode(stored)
	if err != nil {
		return err
	}
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.known, a.version = known, stored.Version
	if a.home == "" {
		a.home = known.Home
	}
	a.settleUnsure(known.Last[holder])
	return nil
}

// settleUnsure takes over the effect of the transaction that the row shows.
// The others were conditional on a version that the row has left: they had no
// effect and never will.
func (a *account) settleUnsure(newest uint64) {
	for _, change := range a.unsure {
		if change.sequence == newest {
			a.applied(change)
		}
	}
	a.unsure = nil
}

// applied takes over the effect of a transaction of this node. What was given
// back had left this node's hands before.
func (a *account) applied(done draw) { a.free += max(0, done.tokens) }
