// Package sweep removes rows of cloverwheel's own whose life is over. Every node
// looks through one part of the tables now and then; a row that was renewed in
// between has another version and stays.
package sweep

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/apex/log"

	"github.com/cloverwheel/cloverwheel/internal/store"
	"github.com/cloverwheel/cloverwheel/internal/wait"
)

const (
	// firstAfter is how long a node runs before its first look: rows live longer.
	firstAfter = 2 * time.Minute
	// every is the mean time between two looks of a node.
	every = 30 * time.Second
	// slack is how long rows outlive their end: clocks of nodes differ.
	slack = time.Minute
	// pageRows bounds one read, removals one transaction.
	pageRows = 100
	// callTimeout bounds one call.
	callTimeout = 2 * time.Second
)

// Table is a table and the names of its parts.
type Table struct {
	Name  string
	Parts []string
}

// Options of a Sweeper.
type Options struct {
	Store  store.Store
	Tables []Table
	Logger log.Interface
}

// Sweeper removes rows.
type Sweeper struct{ options Options }

// New returns a sweeper.
func New(options Options) *Sweeper { return &Sweeper{options: options} }

// Run sweeps until ctx ends.
func (s *Sweeper) Run(ctx context.Context) {
	if wait.For(ctx, firstAfter+rand.N(every)) != nil {
		return
	}
	for {
		table := s.options.Tables[rand.IntN(len(s.options.Tables))]
		part := table.Parts[rand.IntN(len(table.Parts))]
		removed, err := s.Part(ctx, table.Name, part)
		entry := s.options.Logger.WithFields(log.Fields{"table": table.Name, "part": part, "removed": removed})
		if err != nil && ctx.Err() == nil {
			entry.WithError(err).Warn("sweep broken off")
		} else if removed > 0 {
			entry.Info("swept")
		}
		if wait.For(ctx, every/2+rand.N(every)) != nil {
			return
		}
	}
}

// Part removes the rows of one part whose life is over and returns their number.
func (s *Sweeper) Part(ctx context.Context, table, part string) (removed int, err error) {
	for from := ""; ; {
		page, err := s.read(ctx, table, part, from)
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

func (s *Sweeper) read(ctx context.Context, table, part, from string) (store.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return s.options.Store.Range(ctx, table, part, from, "", pageRows)
}

// remove removes what is over among the rows. If one of them has changed, none
// is removed now; a later sweep comes by.
func (s *Sweeper) remove(ctx context.Context, rows []store.Row) (int, error) {
	before := time.Now().Add(-slack)
	var transaction store.Transaction
	for _, row := range rows {
		expires, _, err := store.CutExpiry(row.Value)
		if err == nil && expires.After(before) {
			continue
		}
		transaction.Conditions = append(transaction.Conditions, store.Condition{Key: row.Key, Version: row.Version})
		transaction.Remove = append(transaction.Remove, row.Key)
	}
	if len(transaction.Remove) == 0 {
		return 0, nil
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
