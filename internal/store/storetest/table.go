// Package storetest is a small stand-in of the table for tests: in memory, with
// the faults that the real one has.
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

// Fault is what happens to a call.
type Fault int

// The faults of a call.
const (
	None      Fault = iota
	Refused         // nothing is done, and the table says so
	Silent          // nothing is done and nothing is said
	Lost            // it is done and nothing is said
	Late            // nothing is said; Release does it, if its conditions hold then
	Broken          // nothing is done and the connection breaks
	Applied         // it is done and the connection breaks
	Throttled       // nothing is done: all nodes together call too often
)

// ErrBroken is a connection that broke before the answer.
var ErrBroken = errors.New("connection reset")

// Table is a table in memory.
type Table struct {
	// PageRows is the most rows of an answer; 0 is 500.
	PageRows int

	mutex   sync.Mutex
	choose  func(part string, write bool) Fault
	rows    map[store.Key]store.Row
	version store.Version
	history []store.Row
	dropped store.Version // history up to here is forgotten
	changed chan struct{}
	late    []store.Transaction
	commits int
	reads   int
	watches int
}

var _ store.Store = (*Table)(nil)

// maxPageRows is the table's own limit of an answer.
const maxPageRows = 500

// New returns an empty table.
func New() *Table {
	return &Table{rows: map[store.Key]store.Row{}, changed: make(chan struct{})}
}

func (t *Table) fault(part string, write bool) Fault {
	t.mutex.Lock()
	choose := t.choose
	t.mutex.Unlock()
	if choose == nil {
		return None
	}
	return choose(part, write)
}

// SetFault sets what chooses the fault of a call on a part; nil means None. It
// may be called from several calls at once.
func (t *Table) SetFault(choose func(part string, write bool) Fault) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.choose = choose
}

// Commit implements store.Store.
func (t *Table) Commit(ctx context.Context, transaction store.Transaction) (store.Version, error) {
	switch t.faultOf(transaction) {
	case Refused:
		return 0, store.ErrNotDone
	case Throttled:
		return 0, store.ErrThrottled
	case Broken:
		return 0, ErrBroken
	case Silent:
		<-ctx.Done()
		return 0, ctx.Err()
	case Lost:
		_, _ = t.apply(transaction)
		<-ctx.Done()
		return 0, ctx.Err()
	case Applied:
		_, _ = t.apply(transaction)
		return 0, ErrBroken
	case Late:
		t.mutex.Lock()
		t.late = append(t.late, transaction)
		t.mutex.Unlock()
		<-ctx.Done()
		return 0, ctx.Err()
	}
	return t.apply(transaction)
}

// faultOf is the fault of the first part of a transaction that has one.
func (t *Table) faultOf(transaction store.Transaction) Fault {
	fault := t.fault(transaction.First().Part, true)
	if !transaction.Across() {
		return fault
	}
	for _, part := range slices.Sorted(maps.Keys(partsOf(transaction))) {
		if fault == None {
			fault = t.fault(part, true)
		}
	}
	return fault
}

// Operate applies a transaction of somebody else, whom no fault strikes.
func (t *Table) Operate(transaction store.Transaction) error {
	_, err := t.apply(transaction)
	return err
}

func (t *Table) apply(transaction store.Transaction) (store.Version, error) {
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
		t.rows[row.Key] = row
		t.history = append(t.history, row)
	}
	for _, key := range transaction.Remove {
		delete(t.rows, key)
		t.history = append(t.history, store.Row{Key: key, Version: t.version, Gone: true})
	}
	close(t.changed)
	t.changed = make(chan struct{})
	return t.version, nil
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

// failRead lets a read fail as the fault of its part says.
func (t *Table) failRead(ctx context.Context, part string) error {
	switch t.fault(part, false) {
	case Refused:
		return store.ErrNotDone
	case Throttled:
		return store.ErrThrottled
	case Broken, Applied:
		return ErrBroken
	case Silent, Lost, Late:
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
	page := store.Page{Version: t.version}
	if most := cmp.Or(t.PageRows, maxPageRows); limit == 0 || limit > most {
		limit = most
	}
	for _, key := range slices.SortedFunc(maps.Keys(t.rows), func(a, b store.Key) int { return cmp.Compare(a.Name, b.Name) }) {
		if key.Table != table || key.Part != part || key.Name < from || to != "" && key.Name >= to {
			continue
		}
		if len(page.Rows) == limit {
			page.More = true
			break
		}
		page.Rows = append(page.Rows, t.rows[key])
	}
	return page, nil
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
	for {
		t.mutex.Lock()
		if after < t.dropped {
			t.mutex.Unlock()
			return store.Page{}, store.ErrHistoryGone
		}
		page := store.Page{Version: t.version}
		for _, row := range t.history {
			if row.Table == table && row.Version > after {
				page.Rows = append(page.Rows, row)
			}
		}
		changed := t.changed
		t.mutex.Unlock()
		if len(page.Rows) > 0 {
			return page, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return page, nil
		case <-ctx.Done():
			return store.Page{}, ctx.Err()
		}
	}
}

// Forget drops the history of changes.
func (t *Table) Forget() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.history = nil
	t.dropped = t.version
}

// Release does the transactions that came late, in the order of pick.
func (t *Table) Release(pick func(count int) int) {
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

// Watches returns how many calls for changes were made, answered or not.
func (t *Table) Watches() int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.watches
}

// Calls returns how many writes and reads reached the table.
func (t *Table) Calls() (commits, reads int) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.commits, t.reads
}
