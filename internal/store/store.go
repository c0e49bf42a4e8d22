// Package store defines the interface to the transactional table that holds all
// persistent state, and wrappers that add a circuit breaker, hedged commits, backoff and
// relaying through other nodes. Package platform implements the client of the real table,
// package storetest an in-memory fake.
package store

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"
)

// Version is the sequence number of the transaction that last wrote a row, in the table's
// total order of transactions. Zero means that the row does not exist.
type Version uint64

// Key identifies a row. A transaction within one Part is faster than one across parts.
type Key struct {
	Table string
	Part  string // the partition of the table
	Name  string
}

// Row is the state of a row at Version.
type Row struct {
	Key
	Value   []byte
	Version Version
	Gone    bool // the row was removed; set only in results of Watch
}

// Condition requires that a row has the given version; version zero requires that the row
// does not exist.
type Condition struct {
	Key
	Version Version
}

// Transaction is a set of writes that is applied atomically if all its conditions hold.
type Transaction struct {
	Conditions []Condition
	Put        []Row // Version and Gone are ignored
	Remove     []Key
}

// FirstKey returns the key of the transaction's first row, whose part counts as the
// transaction's part. It is the zero Key if the transaction is empty.
func (t Transaction) FirstKey() Key {
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

// CrossPart reports whether the transaction's rows belong to more than one part.
func (t Transaction) CrossPart() bool {
	part := t.FirstKey().Part
	return slices.ContainsFunc(t.Conditions, func(c Condition) bool { return c.Part != part }) ||
		slices.ContainsFunc(t.Put, func(r Row) bool { return r.Part != part }) ||
		slices.ContainsFunc(t.Remove, func(k Key) bool { return k.Part != part })
}

// Page is the result of Range or Watch.
type Page struct {
	Rows    []Row
	Version Version // latest version of the table at the time of the read
	More    bool    // the read reached its limit; further rows match
	// Clock is the reading of the table's steady clock at the time of the read; 0: the table does not name it.
	Clock time.Duration
}

// Store is the transactional table. All methods are safe for concurrent use.
type Store interface {
	// Commit applies the transaction. It fails with *Conflict if a condition does not hold,
	// and with ErrNotApplied if the transaction certainly had no effect. After any other error
	// the transaction may have been applied, or may still be applied later if its
	// conditions hold then.
	Commit(ctx context.Context, transaction Transaction) (Version, error)
	// Range reads the rows of a part with from <= Name < to in ascending order of Name.
	// An empty to means no upper bound; limit 0 means the table's own limit.
	Range(ctx context.Context, table, part, from, to string, limit int) (Page, error)
	// Watch waits for changes to a table after the given version, and returns them, or a Page
	// without rows if there are none within wait. It fails with ErrHistoryCompacted if the table no
	// longer keeps those changes.
	Watch(ctx context.Context, table string, after Version, wait time.Duration) (Page, error)
}

var (
	// ErrNotApplied means that the call had no effect and never will have one.
	ErrNotApplied = errors.New("the call to the table had no effect; try again later")
	// ErrThrottled is an ErrNotApplied: the table rejected the call because of its rate limit,
	// which all nodes and parts share. A retry after a backoff may succeed.
	ErrThrottled = fmt.Errorf("the rate limit of the table is exceeded: %w", ErrNotApplied)
	// ErrStaleConnection is wrapped by errors of calls whose established connection stopped
	// responding. It does not indicate that the table is down: the next call uses a new
	// connection.
	ErrStaleConnection = errors.New("the connection to the table stopped responding; retry on a new connection")
	// ErrHistoryCompacted means that the table no longer keeps the requested changes.
	ErrHistoryCompacted = errors.New("the table no longer keeps the requested changes; read all rows again, then watch from their version")
)

// Conflict is the error of a transaction whose conditions do not hold. Rows holds the
// current state of the conditions' rows; rows that do not exist are left out.
type Conflict struct{ Rows []Row }

// Error implements error.
func (c *Conflict) Error() string {
	return fmt.Sprintf("the transaction's conditions do not hold (%d current rows returned); retry with the current rows", len(c.Rows))
}

// IsDefinite reports whether err is a definite result from the table: nil, or a *Conflict.
func IsDefinite(err error) bool {
	var conflict *Conflict
	return err == nil || errors.As(err, &conflict)
}

// Find returns the row with the given key, or a row with version zero if there is none.
func (c *Conflict) Find(key Key) Row {
	for _, row := range c.Rows {
		if row.Key == key {
			return row
		}
	}
	return Row{Key: key}
}
