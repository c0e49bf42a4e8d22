// Package storetest provides an in-memory fake of the table for tests, with injected faults,
// latency and rate limits.
package storetest

import (
	"cmp"
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cloverwheel/cloverwheel/internal/store"
)

// Fault is an injected fault of a call.
type Fault int

// The faults of a call.
const (
	None             Fault = iota
	Refused                // not applied; fails with store.ErrNotApplied
	RequestLost            // not applied; no response
	ResponseLost           // applied; no response
	AppliedLate            // no response; Release applies it if its conditions hold then
	ConnectionReset        // not applied; the connection breaks
	AppliedThenReset       // applied; the connection breaks
	Throttled              // not applied; fails with store.ErrThrottled
)

// ErrConnectionReset is the error of a call whose connection broke before the response.
var ErrConnectionReset = errors.New("connection reset")

// Table is an in-memory store.Store. The zero value is not usable; see New.
type Table struct {
	// PageRows is the limit of rows in a Page; 0 means maxPageRows.
	PageRows int

	mutex   sync.Mutex
	choose  func(part string, write bool) Fault
	rows    map[store.Key]store.Row
	names   map[store.Key]int // number of parts with a row of this name, by Table and Name
	version store.Version
	started time.Time // when the table's clock was zero
	history []store.Row
	dropped store.Version // changes up to here are no longer kept
	changed chan struct{}
	late    []store.Transaction // transactions that Release applies
	commits int
	reads   int
	watches int
}

var _ store.Store = (*Table)(nil)

// New returns an empty table.
func New() *Table {
	return &Table{rows: map[store.Key]store.Row{}, names: map[store.Key]int{}, changed: make(chan struct{}), started: time.Now()}
}

// fault returns the fault of a call to a part.
func (t *Table) fault(part string, write bool) Fault {
	t.mutex.Lock()
	choose := t.choose
	t.mutex.Unlock()
	if choose == nil {
		return None
	}
	return choose(part, write)
}

// SetFault sets the function that chooses the fault of a call to a part; nil means no faults.
// The function must be safe for concurrent use.
func (t *Table) SetFault(choose func(part string, write bool) Fault) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.choose = choose
}

// Commit implements store.Store.
func (t *Table) Commit(ctx context.Context, transaction store.Transaction) (store.Version, error) {
	switch t.faultOf(transaction) {
	case Refused:
		return 0, store.ErrNotApplied
	case Throttled:
		return 0, store.ErrThrottled
	case ConnectionReset:
		return 0, ErrConnectionReset
	case RequestLost:
		<-ctx.Done()
		return 0, ctx.Err()
	case ResponseLost:
		_, _ = t.apply(transaction)
		<-ctx.Done()
		return 0, ctx.Err()
	case AppliedThenReset:
		_, _ = t.apply(transaction)
		return 0, ErrConnectionReset
	case AppliedLate:
		t.mutex.Lock()
		t.late = append(t.late, transaction)
		t.mutex.Unlock()
		<-ctx.Done()
		return 0, ctx.Err()
	}
	return t.apply(transaction)
}

// faultOf returns the fault of a transaction: that of its first part with a fault.
func (t *Table) faultOf(transaction store.Transaction) Fault {
	fault := t.fault(transaction.FirstKey().Part, true)
	if !transaction.CrossPart() {
		return fault
	}
	for _, part := range slices.Sorted(maps.Keys(partsOf(transaction))) {
		if fault == None {
			fault = t.fault(part, true)
		}
	}
	return fault
}

// CommitWithoutFaults applies a transaction without injected faults, as a write by another client of the
// table.
func (t *Table) CommitWithoutFaults(transaction store.Transaction) error {
	_, err := t.apply(transaction)
	return err
}

// apply applies a transaction if it is within the table's limits and its conditions hold.
func (t *Table) apply(transaction store.Transaction) (store.Version, error) {
	if err := checkLimits(transaction); err != nil {
		return 0, err
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.commits++
	if conflict := t.check(transaction.Conditions); conflict != nil {
		return 0, conflict
	}
	t.version++
	for _, row := range transaction.Put {
		row.Version = t.version
		row.Value = slices.Clone(row.Value)
		t.countName(row.Key, 1)
		t.rows[row.Key] = row
		t.history = append(t.history, row)
	}
	for _, key := range transaction.Remove {
		t.countName(key, -1)
		delete(t.rows, key)
		t.history = append(t.history, store.Row{Key: key, Version: t.version, Gone: true})
	}
	close(t.changed)
	t.changed = make(chan struct{})
	return t.version, nil
}

// countName updates names for a row that is put (by 1) or removed (by -1). The caller holds
// the mutex and has not changed the row yet.
func (t *Table) countName(key store.Key, by int) {
	if _, there := t.rows[key]; there == (by < 0) {
		t.names[store.Key{Table: key.Table, Name: key.Name}] += by
	}
}

func (t *Table) check(conditions []store.Condition) error {
	failed := false
	conflict := &store.Conflict{}
	for _, condition := range conditions {
		row, ok := t.rows[condition.Key]
		if row.Version != condition.Version {
			failed = true
		}
		if ok {
			conflict.Rows = append(conflict.Rows, row)
		}
	}
	if failed {
		return conflict
	}
	return nil
}

// failRead returns the error that the fault of a part causes for a read.
func (t *Table) failRead(ctx context.Context, part string) error {
	switch t.fault(part, false) {
	case Refused:
		return store.ErrNotApplied
	case Throttled:
		return store.ErrThrottled
	case ConnectionReset, AppliedThenReset:
		return ErrConnectionReset
	case RequestLost, ResponseLost, AppliedLate:
		<-ctx.Done()
		return ctx.Err()
	default:
		return nil
	}
}

// Range implements store.Store.
func (t *Table) Range(ctx context.Context, table, part, from, to string, limit int) (store.Page, error) {
	if err := t.failRead(ctx, part); err != nil {
		return store.Page{}, err
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.reads++
	page, bytes := t.emptyPage(), 0
	if maxRows := cmp.Or(t.PageRows, maxPageRows); limit == 0 || limit > maxRows {
		limit = maxRows
	}
	for _, key := range slices.SortedFunc(maps.Keys(t.rows), func(a, b store.Key) int { return cmp.Compare(a.Name, b.Name) }) {
		if key.Table != table || key.Part != part || key.Name < from || to != "" && key.Name >= to {
			continue
		}
		row := t.rows[key]
		bytes += rowBytes(row)
		if len(page.Rows) == limit || bytes > maxPageBytes {
			page.More = true
			break
		}
		page.Rows = append(page.Rows, row)
	}
	return page, nil
}

// Has reports whether any part of a table has a row with the given name.
func (t *Table) Has(table, name string) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.names[store.Key{Table: table, Name: name}] > 0
}

// Watch implements store.Store.
func (t *Table) Watch(ctx context.Context, table string, after store.Version, wait time.Duration) (store.Page, error) {
	t.mutex.Lock()
	t.watches++
	t.mutex.Unlock()
	if err := t.failRead(ctx, ""); err != nil {
		return store.Page{}, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for expired := false; ; {
		page, changed, err := t.changesAfter(table, after)
		if err != nil || len(page.Rows) > 0 || expired {
			return page, err
		}
		select {
		case <-changed:
		case <-timer.C:
			expired = true
		case <-ctx.Done():
			return store.Page{}, ctx.Err()
		}
	}
}

// changesAfter returns the changes of a table after a version, and a channel that is closed with the next change of any table.
func (t *Table) changesAfter(table string, after store.Version) (page store.Page, changed chan struct{}, err error) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if after < t.dropped {
		return store.Page{}, nil, store.ErrHistoryCompacted
	}
	page = t.emptyPage()
	for _, row := range t.history {
		if row.Table == table && row.Version > after {
			page.Rows = append(page.Rows, row)
		}
	}
	return page, t.changed, nil
}

// emptyPage returns a page without rows as of now. The caller holds the mutex.
func (t *Table) emptyPage() store.Page {
	return store.Page{Version: t.version, Clock: time.Since(t.started)}
}

// DropHistory drops the history of changes, so that watches after an earlier version fail
// with store.ErrHistoryCompacted.
func (t *Table) DropHistory() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.history = nil
	t.dropped = t.version
}

// ApplyLate applies the transactions with fault AppliedLate, in the order chosen by pick, which returns
// the index of the next of count transactions.
func (t *Table) ApplyLate(pick func(count int) int) {
	t.mutex.Lock()
	waiting := t.late
	t.late = nil
	t.mutex.Unlock()
	for len(waiting) > 0 {
		index := pick(len(waiting))
		_, _ = t.apply(waiting[index])
		waiting = slices.Delete(waiting, index, index+1)
	}
}

// Watches returns the number of calls to Watch, including failed ones.
func (t *Table) Watches() int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.watches
}

// Calls returns the numbers of commits and reads that reached the table.
func (t *Table) Calls() (commits, reads int) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.commits, t.reads
}
