// Package budget keeps each program within the tokens that it may generate,
// through whatever nodes its turns go. A program's account is a few rows of the
// table, its shares. Before a turn is sent to a worker, the most that it may
// generate is drawn from a share by a conditional transaction, so what all nodes
// have drawn together never exceeds the budget. A node that lacks tokens asks the
// nodes that hold some before it draws more. One that dies strands what it had
// drawn and not used; so that the program can go on, one turn may then reach past
// the budget. All turns together generate less than the budget and the most of one
// turn, which is the bound that the association's pages set.
package budget

import (
	"sync"
	"time"
)

// account is a program's account as this node knows it.
type account struct {
	program string
	turn    chan struct{}  // held by the one who uses the shares
	shares  [shares]*share // rows of the table
	owned   bool           // owners hold a part of the budget (see OwnedParts)

	mutex   sync.Mutex
	free    int // held by this node and not in use
	home    string
	used    time.Time  // when a turn last began; guarded by the book
	spent   time.Time  // when the table last said that the budget is spent
	holders []Holder   // other processes that may hold tokens, the newest last
	takers  []Holder   // of these, the ones that got tokens from this process
	rows    []KnownRow // what this process knows of the rows, for others
	told    []KnownRow // what others knew of them, not yet taken over
	// granting is a request to an owner under way, and grantNumber that of the last one without an
	// answer; 0: there is none.
	granting    *granting
	grantNumber uint64

	given      map[string]handed // by asking process: the newest answer
	unanswered map[string]uint64 // by process asked: the number of a request without an answer
}

func newAccount(program string, self Holder) *account {
	opened := &account{program: program, turn: make(chan struct{}, 1)}
	for index := range opened.shares {
		opened.shares[index] = &share{key: keyOf(program, index), self: self}
	}
	return opened
}

// take reserves from what this node already holds.
func (a *account) take(tokens int) bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.free < tokens {
		return false
	}
	a.free -= tokens
	return true
}

// takeAll empties what this node holds and does not use.
func (a *account) takeAll() int {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	tokens := a.free
	a.free = 0
	return tokens
}

// add puts tokens to the free ones.
func (a *account) add(tokens int) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.free += tokens
}

// lacks is how many free tokens are missing for a turn.
func (a *account) lacks(tokens int) int {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return tokens - a.free
}

// left is what nobody has drawn of the budget, as far as this node knows. The
// caller holds the turn.
func (a *account) left(budget int) int {
	total := 0
	for index, share := range a.shares {
		total += share.left(a.limit(budget, index))
	}
	return total
}

// setHome notes the worker of the program's newest turn, if it is known.
func (a *account) setHome(worker string) {
	if worker == "" {
		return
	}
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.home = worker
}

// lastHome is this node's own word on the worker of the program's newest turn.
func (a *account) lastHome() string {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.home
}

// homeOf is lastHome, else what a share says. The caller holds the turn.
func (a *account) homeOf() string {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	for _, share := range a.shares {
		if a.home == "" {
			a.home = share.known.Home
		}
	}
	return a.home
}

// learnt reports whether any of the account's rows was read. The caller holds the
// turn.
func (a *account) learnt() bool {
	for _, share := range a.shares {
		if share.seen {
			return true
		}
	}
	return false
}

// noteSpent notes the table's word that the budget is spent.
func (a *account) noteSpent() {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.spent = time.Now()
}

// wasSpent reports whether the table has said before that the budget is spent.
func (a *account) wasSpent() bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return !a.spent.IsZero()
}

// stillSpent repeats the table's word of a moment ago. The caller holds the turn.
func (a *account) stillSpent(budget, tokens int) error {
	a.mutex.Lock()
	recent := time.Since(a.spent) < spentFor
	a.mutex.Unlock()
	left := a.left(budget)
	if !recent || left >= tokens || a.shares[elasticShare].left(a.limit(budget, elasticShare)) > 0 {
		return nil
	}
	return spentError(left, budget, tokens)
}
