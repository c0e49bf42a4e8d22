package standin

import (
	"bytes"
	"cmp"
	"context"
	"maps"
	"slices"
	"strings"
	"sync"

	"github.com/cloverwheel/cloverwheel/internal/fault"
	"github.com/cloverwheel/cloverwheel/internal/outside"
)

const tableService = "table service"

// MemoryTable is the table service in memory. It implements outside.Table.
type MemoryTable struct {
	Switch
	mutex  sync.Mutex
	rows   map[string]outside.Row
	writes int
}

// NewMemoryTable returns an empty table.
func NewMemoryTable() *MemoryTable {
	return &MemoryTable{rows: map[string]outside.Row{}}
}

// Writes returns how many writes took effect.
func (t *MemoryTable) Writes() int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.writes
}

// Get implements outside.Table.
func (t *MemoryTable) Get(ctx context.Context, key string) (outside.Row, error) {
	var found outside.Row
	err := t.read(ctx, tableService, func() error {
		t.mutex.Lock()
		defer t.mutex.Unlock()
		found = t.rows[key]
		found.Key = key
		return nil
	})
	if err != nil {
		return outside.Row{}, err
	}
	return copyRow(found), nil
}

// CompareAndSet implements outside.Table.
func (t *MemoryTable) CompareAndSet(ctx context.Context, key string, version uint64, value []byte, change string) (outside.Row, error) {
	value = bytes.Clone(value)
	var written outside.Row
	err := t.write(ctx, tableService, func() error {
		row, err := t.compareAndSet(key, version, value, change)
		written = row
		return err
	})
	if err != nil {
		return outside.Row{}, err
	}
	return copyRow(written), nil
}

func (t *MemoryTable) compareAndSet(key string, version uint64, value []byte, change string) (outside.Row, error) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	present := t.rows[key].Version
	if present != version {
		return outside.Row{}, fault.Newf(fault.Conflict, "read the row again and decide anew",
			"row %q is at version %d, not %d", key, present, version)
	}
	row := outside.Row{Key: key, Version: version + 1, Value: value, Change: change}
	t.rows[key] = row
	t.writes++
	return row, nil
}

// List implements outside.Table; rows are sorted by key.
func (t *MemoryTable) List(ctx context.Context, prefix string) ([]outside.Row, error) {
	var found []outside.Row
	err := t.read(ctx, tableService, func() error {
		t.mutex.Lock()
		defer t.mutex.Unlock()
		for row := range maps.Values(t.rows) {
			if strings.HasPrefix(row.Key, prefix) {
				found = append(found, copyRow(row))
			}
		}
		return nil
	})
	if err != nil {
		return nil, err
	}
	slices.SortFunc(found, func(a, b outside.Row) int { return cmp.Compare(a.Key, b.Key) })
	return found, nil
}

func copyRow(row outside.Row) outside.Row {
	row.Value = bytes.Clone(row.Value)
	return row
}
