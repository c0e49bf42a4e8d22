// Package store is the interface to the transactional table in which everything
// that must outlast a process is kept. It has no implementation of its own:
// package platform speaks to the real one, package storetest is a stand-in.
package store

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"
)

// Version is a row's place in the table's single order of transactions. Zero
// stands for "no such row".
type Version uint64

// Key names a row. A transaction whose rows share a Part takes less time than one across parts.
type Key struct {
	Table string
	Part  string
	Name  string
}

// Row is a row as of Version.
type Row struct {
	Key
	Value   []byte
	Version Version
	Gone    bool // removed; only Watch returns such rows
}

// Condition demands that a row still has the version given.
type Condition struct {
	Key
	Version Version
}

// Transaction is applied as a whole or not at all.
type Transaction struct {
	Conditions []Condition
	Put        []Row // Version and Gone are not used
	Remove     []Key
}

// First is the key of the transaction's first row, which stands for its part.
func (t Transaction) First() Key {
	switch {
	case len(t.Put) > 0:
		return t.Put[0].Key
	case len(t.Remove) > 0:
		return t.Remove[0]
	case len(t.Conditions) > 0:
		return t.Conditions[0].Key
	}
	return Key{}
}

// Across reports whether the transaction's rows lie in several parts.
func (t Transaction) Across() bool {
	part := t.First().Part
	return slices.ContainsFunc(t.Conditions, func(c Condition) bool { return c.Part != part }) ||
		slices.ContainsFunc(t.Put, func(r Row) bool { return r.Part != part }) ||
		slices.ContainsFunc(t.Remove, func(k Key) bool { return k.Part != part })
}

// Page is the answer to a read.
type Page struct {
	Rows    []Row
	Version Version // the newest of the table when it was read
	More    bool
}

// Store is the table. All methods are safe for concurrent use.
type Store interface {
	// Commit applies the transaction. It fails with *Conflict, with ErrNotDone
	// when it certainly had no effect, and with any other error when it may have
	// had one or may still have one later, if its conditions hold then.
	Commit(ctx context.Context, transaction Transaction) (Version, error)
	// Range reads the rows of a part with from <= Name, and Name < to unless to
	// is empty, by ascending names; limit 0 is the table's own limit.
	Range(ctx context.Context, table, part, from, to string, limit int) (Page, error)
	// Watch waits for changes of a table after the version, at most for wait. It
	// fails with ErrHistoryGone when the table no longer knows them.
	Watch(ctx context.Context, table string, after Version, wait time.Duration) (Page, error)
}

var (
	// ErrNotDone means that the call had no effect and never will.
	ErrNotDone = errors.New("the table refused the call; try again later")
	// ErrThrottled is ErrNotDone because all nodes together call the table more often than it
	// takes. Calls to other parts are refused likewise; a moment later one may be taken.
	ErrThrottled = fmt.Errorf("the table takes no more calls now: %w", ErrNotDone)
	// ErrOldConnection is in the chain of errors of calls whose connection had been sound and
	// fell silent. It says nothing of the table: the next call goes over a new connection.
	ErrOldConnection = errors.New("the connection to the table fell silent; try again on a new one")
	// ErrHistoryGone means that the changes asked for are forgotten.
	ErrHistoryGone = errors.New("the table forgot these changes; read the rows as a whole, then watch again")
)

// Conflict is the refusal of a transaction whose conditions do not hold. Rows
// are the conditions' rows as they are now; missing ones do not exist.
type Conflict struct{ Rows []Row }

// Error implements error.
func (c *Conflict) Error() string {
	return fmt.Sprintf("the conditions no longer hold (%d rows returned); decide anew by the rows as they are", len(c.Rows))
}

// Answered reports whether an error, or none, is the table's answer to a call: it was
// done, or its conditions do not hold.
func Answered(err error) bool {
	var conflict *Conflict
	return err == nil || errors.As(err, &conflict)
}

// Find returns the row named key, or a row with version zero if there is none.
func (c *Conflict) Find(key Key) Row {
	for _, row := range c.Rows {
		if row.Key == key {
			return row
		}
	}
	return Row{Key: key}
}
