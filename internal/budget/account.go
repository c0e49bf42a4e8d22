// Package budget keeps each program within the tokens that it may generate,
// through whatever nodes its turns go. A program's account is a few rows of the
// table, its shares. Before a turn is sent to a worker, the most that it may
// generate is drawn from a share by a conditional transaction, so what all nodes
// have drawn together never exceeds the budget. A node that dies strands what it
// had drawn and not used: too little is spent then, never too much.
package budget

import (
	"sync"
	"time"
)

// account is a program's account as this node knows it.
type account struct {
	turn   chan struct{} // held by the one who uses the shares
	shares [shares]*share

	mutex sync.Mutex
	free  int // drawn by this node and not in use
	open  int // reservations in use
	home  string
	used  time.Time // when a turn last began; guarded by the book
	idle  time.Time // since when no turn runs
	spent time.Time // when the table last said that the budget is spent
}

func newAccount(program, holder string) *account {
	opened := &account{turn: make(chan struct{}, 1)}
	for index := range opened.shares {
		opened.shares[index] = &share{key: keyOf(program, index), holder: holder}
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
	a.open++
	return true
}

// add puts drawn tokens to the free ones.
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
		total += share.left(limitOf(budget, index))
	}
	return total
}

// homeOf returns the worker of the program's newest turn: this node's own word,
// else what a share says. The caller holds the turn.
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

// withdraw takes all free tokens out of this node's hands, if no turn has run
// for a while. They are not used again here, whatever becomes of giving them back.
func (a *account) withdraw(rest time.Duration) int {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.open > 0 || time.Since(a.idle) < rest {
		return 0
	}
	tokens := a.free
	a.free = 0
	return tokens
}
