// Package sweep deletes expired rows of cloverwheel's tables. Every node periodically scans a
// random partition of a random table. A row that is renewed during a scan has a new version and is
// kept.
package sweep

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/apex/log"

	"github.com/cloverwheel/cloverwheel/internal/store"
	"github.com/cloverwheel/cloverwheel/internal/timing"
)

const (
	// initialDelay is the delay from the start of a node to its first scan. It is shorter than the
	// lifetime of any row.
	initialDelay = 2 * time.Minute
	// meanInterval is the mean time between two scans of a node.
	meanInterval = 30 * time.Second
	// clockSkewMargin is how long rows are kept after they expire, because the clocks of nodes
	// differ.
	clockSkewMargin = time.Minute
	// pageRows bounds the rows read at a time.
	pageRows = 100
	// maxRemovedRows bounds the rows deleted at a time. Each takes two entries of a transaction, a condition and a
	// removal, and a transaction may have 100.
	maxRemovedRows = 50
	// callTimeout bounds one call to the table.
	callTimeout = 2 * time.Second
)

// Table names a table and its partitions.
type Table struct {
	Name  string
	Parts []string
}

// Options configures a Sweeper.
type Options struct {
	Store  store.Store
	Tables []Table
	Logger log.Interface
}

// Sweeper deletes expired rows.
type Sweeper struct{ options Options }

// New returns a sweeper. It does nothing until Run or SweepPartition is called.
func New(options Options) *Sweeper { return &Sweeper{options: options} }

// Run scans at random intervals until ctx ends.
func (s *Sweeper) Run(ctx context.Context) {
	if timing.Sleep(ctx, initialDelay+rand.N(meanInterval)) != nil {
		return
	}
	for {
		table := s.options.Tables[rand.IntN(len(s.options.Tables))]
		partition := table.Parts[rand.IntN(len(table.Parts))]
		removed, err := s.SweepPartition(ctx, table.Name, partition)
		entry := s.options.Logger.WithFields(log.Fields{"table": table.Name, "part": partition, "removed": removed})
		if err != nil && ctx.Err() == nil {
			entry.WithError(err).Warn("sweep failed; expired rows stay until a later sweep")
		} else if removed > 0 {
			entry.Info("deleted expired rows")
		}
		if timing.Sleep(ctx, meanInterval/2+rand.N(meanInterval)) != nil {
			return
		}
	}
}

// SweepPartition deletes the expired rows of one partition and returns their number. On an error, removed
// counts the rows deleted before it.
func (s *Sweeper) SweepPartition(ctx context.Context, table, partition string) (removed int, err error) {
	for from := ""; ; {
		page, err := s.read(ctx, table, partition, from)
		if err != nil {
			return removed, err
		}
		count, err := s.remove(ctx, page.Rows)
		removed += count
		if err != nil {
			return removed, err
		}
		if !page.More || len(page.Rows) < 2 {
			return removed, nil
		}
		from = page.Rows[len(page.Rows)-1].Name
	}
}

func (s *Sweeper) read(ctx context.Context, table, partition, from string) (store.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return s.options.Store.Range(ctx, table, partition, from, "", pageRows)
}

// remove deletes the expired ones among the rows.
func (s *Sweeper) remove(ctx context.Context, rows []store.Row) (removed int, err error) {
	before := time.Now().Add(-clockSkewMargin)
	expired := slices.DeleteFunc(slices.Clone(rows), func(row store.Row) bool {
		expires, _, err := store.SplitExpiry(row.Value)
		return err == nil && expires.After(before)
	})
	for chunk := range slices.Chunk(expired, maxRemovedRows) {
		count, err := s.removeUnchanged(ctx, chunk)
		removed += count
		if err != nil {
			return removed, err
		}
	}
	return removed, nil
}

// removeUnchanged deletes rows in one transaction. If any of them has changed, it deletes none and leaves
// them to a later scan.
func (s *Sweeper) removeUnchanged(ctx context.Context, rows []store.Row) (int, error) {
	var transaction store.Transaction
	for _, row := range rows {
		transaction.Conditions = append(transaction.Conditions, store.Condition{Key: row.Key, Version: row.Version})
		transaction.Remove = append(transaction.Remove, row.Key)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := s.options.Store.Commit(ctx, transaction)
	var conflict *store.Conflict
	if errors.As(err, &conflict) {
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	return len(transaction.Remove), nil
}
