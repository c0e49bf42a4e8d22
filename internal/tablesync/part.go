package tablesync

import (
	"context"
	"errors"
	"slices"

	"github.com/cloverwheel/cloverwheel/internal/keyspace"
	"github.com/cloverwheel/cloverwheel/internal/store"
)

// Part makes a follower keep only a part of a long table: a range of rows that starts at a position
// derived from Text, plus the rows requested with Fetch and FetchAt. Short tables are kept whole. This
// bounds what nodes read at startup, which would otherwise be nodes times rows.
type Part struct {
	// Key selects the position. Processes with different texts keep evenly spread parts.
	Key string
	// RowCount returns the number of rows that the caller keeps.
	RowCount func() int
	// Enough reports whether the rows received so far suffice. The part grows by a page at a time
	// until they do.
	Enough func() bool
}

const (
	// sampleRows is the number of rows read first. They show the pattern of the names and the
	// approximate size of the table. A table with no more rows is kept whole.
	sampleRows = 64
	// maxWholeRows is the number of rows up to which a table is kept whole, about 0.2 MB of workers.
	maxWholeRows = 600
	// minPartRows is the minimum number of rows of a part, except during churn. The part grows by
	// minGrowRows or by half its size, whichever is larger. With 10,000 workers of two services in
	// five zones, 96 rows include about 17 model workers and two others in the node's own zone.
	minPartRows = 96
	minGrowRows = 48
	// maxDrawAttempts limits the attempts to find a position that has rows after it.
	maxDrawAttempts = 16
	// maxRequestedRows limits the requested rows kept outside the part.
	maxRequestedRows = 2048
	// maxFetchAttempts limits the attempts of Fetch when the response is older than the cached state.
	maxFetchAttempts = 3
)

// ErrNoNamePattern reports a table whose row names have no common pattern to derive positions from.
var ErrNoNamePattern = errors.New("cannot derive a position from the names of this table's rows; keep the whole table")

// span is the range of names that is kept: from a name up to the last one read.
type span struct {
	whole   bool
	from    string
	last    string
	wrapped bool // it continues at the start of the table
	grown   bool // it grew to the whole table because no smaller part was enough
}

func (s span) contains(name string) bool {
	switch {
	case s.whole:
		return true
	case s.wrapped:
		return name >= s.from || name <= s.last
	default:
		return name >= s.from && name <= s.last
	}
}

// until returns the name before which the next page must end; empty means the end of the table.
func (s span) until() string {
	if s.wrapped {
		return s.from
	}
	return ""
}

// extended returns the span after another page was read at its end. rows are the new rows; more
// reports whether the table has rows after them.
func (s span) extended(rows []store.Row, more bool) span {
	if len(rows) > 0 {
		s.last = rows[len(rows)-1].Name
	}
	switch {
	case s.wrapped && !more:
		s.whole, s.grown = true, true // covers the whole table
	case !more:
		s.wrapped, s.last = true, ""
	}
	return s
}

// readPart reads a sample from the start of the table, then the rest of a short table or this
// process's part of a long one.
func (f *Follower) readPart(ctx context.Context) error {
	sample, err := f.readPage(ctx, "", "", sampleRows)
	if err != nil {
		return err
	}
	if sample.Version < f.version {
		return errStale
	}
	names := namesOf(sample.Rows)
	pattern, ok := keyspace.InferFormat(names)
	if !sample.More || !ok || pattern.EstimateCount(names) <= maxWholeRows {
		return f.readWhole(ctx, sample)
	}
	f.names.Store(&pattern)
	rows, part, err := f.readFirstRows(ctx, pattern)
	if err != nil {
		return err
	}
	f.applySnapshot(rows, sample.Version, part)
	return nil
}

func namesOf(rows []store.Row) []string {
	names := make([]string, len(rows))
	for index, row := range rows {
		names[index] = row.Name
	}
	return names
}

// readFirstRows reads the first rows of the part, at a position that has rows after it.
func (f *Follower) readFirstRows(ctx context.Context, pattern keyspace.Format) ([]store.Row, span, error) {
	below := ""
	for range maxDrawAttempts {
		position := pattern.Pick(f.options.Part.Key, below)
		rows, part, _, err := f.readRows(ctx, position)
		if err != nil || len(rows) > 0 {
			return rows, part, err
		}
		below = position
	}
	return nil, span{}, ErrNoNamePattern
}

// target returns the intended number of rows of the part.
func (f *Follower) target() int {
	if f.churning {
		return churnRows + f.grownRows
	}
	return minPartRows + f.grownRows
}

// readRows reads target rows from position on; none if there are no rows from there to the end of the
// table. version is the table's version before the first row was read.
func (f *Follower) readRows(ctx context.Context, position string) (rows []store.Row, part span, version store.Version, err error) {
	part = span{from: position}
	for from := position; !part.whole && len(rows) < f.target(); {
		page, err := f.readPage(ctx, from, part.until(), f.target()-len(rows)+1)
		if err != nil {
			return nil, span{}, 0, err
		}
		if version == 0 {
			version = page.Version
		}
		next := withoutFirst(page.Rows, part.last)
		if len(rows) == 0 && len(next) == 0 && !page.More {
			return nil, span{}, version, nil
		}
		rows = append(rows, next...)
		part = part.extended(next, page.More)
		from = part.last
	}
	return rows, part, version, nil
}

// growing reports whether the part must grow.
func (f *Follower) growing() bool {
	return f.options.Part != nil && f.loaded && !f.span.whole && (f.rows < minPartRows || !f.options.Part.Enough())
}

// grow reads another page of the part. Later changes of its rows are delivered by the feed.
func (f *Follower) grow(ctx context.Context) error {
	from := f.span.last
	page, err := f.readPage(ctx, from, f.span.until(), max(minGrowRows, f.rows/2)+1)
	if err != nil {
		return err
	}
	rows := withoutFirst(page.Rows, from)
	f.applyGrowth(rows, page.More)
	f.options.Logger.WithField("table", f.options.Table).WithField("rows", len(rows)).WithField("whole", f.span.whole).
		Info("grew the kept part of the table")
	return nil
}

// applyGrowth applies another page of the part.
func (f *Follower) applyGrowth(rows []store.Row, more bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.span = f.span.extended(rows, more)
	f.rows += len(rows)
	f.grownRows = max(0, f.rows-minPartRows)
	f.options.Change(rows)
}

// withoutFirst returns rows without the first one if it has the given name: a page starts with the last
// row of the previous one.
func withoutFirst(rows []store.Row, name string) []store.Row {
	if len(rows) > 0 && rows[0].Name == name {
		return rows[1:]
	}
	return rows
}

// filterKept returns the changed rows that belong to the part or were requested. The caller must hold
// f.mutex.
func (f *Follower) filterKept(rows []store.Row) []store.Row {
	if f.options.Part == nil || f.span.whole {
		return rows
	}
	return slices.DeleteFunc(slices.Clone(rows), func(row store.Row) bool {
		return !f.span.contains(row.Name) && !f.requested[row.Name]
	})
}

// Whole reports whether the whole table is kept.
func (f *Follower) Whole() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.options.Part == nil || f.loaded && f.span.whole
}

// Fetch reads up to limit rows in the range of names [from, to) and keeps them in addition to the part. An
// empty to means the end of the table.
func (f *Follower) Fetch(ctx context.Context, from, to string, limit int) ([]store.Row, error) {
	for range maxFetchAttempts {
		page, err := f.options.Store.Range(ctx, f.options.Table, "", from, to, limit)
		if err != nil {
			return nil, err
		}
		if f.applyRequested(page) {
			return page.Rows, nil
		}
	}
	return nil, errStale
}

// FetchAt calls Fetch with a position derived from text. All processes get the same position for the same
// text. It returns ErrNoNamePattern if the table has not been read in part yet, or if no position with
// rows was found.
func (f *Follower) FetchAt(ctx context.Context, text string, limit int) ([]store.Row, error) {
	pattern := f.names.Load()
	if pattern == nil {
		return nil, ErrNoNamePattern
	}
	below := ""
	for range maxDrawAttempts {
		position := pattern.Pick(text, below)
		rows, err := f.Fetch(ctx, position, "", limit)
		if err != nil || len(rows) > 0 {
			return rows, err
		}
		below = position
	}
	return nil, ErrNoNamePattern
}

// applyRequested applies requested rows. It returns false, and applies none, if the page is older than
// the cached state, since changes of its rows may have been skipped, or if the table must be read anew.
func (f *Follower) applyRequested(page store.Page) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if page.Version < f.version || !f.loaded {
		return false
	}
	for _, row := range page.Rows {
		if !f.span.contains(row.Name) && !f.requested[row.Name] {
			f.requested[row.Name] = true
			f.requestedOrder = append(f.requestedOrder, row.Name)
		}
	}
	f.options.Change(append(f.evictRequested(), page.Rows...))
	return true
}

// evictRequested drops the oldest requested rows beyond maxRequestedRows and returns them as removed.
func (f *Follower) evictRequested() (gone []store.Row) {
	for len(f.requestedOrder) > maxRequestedRows {
		name := f.requestedOrder[0]
		f.requestedOrder = f.requestedOrder[1:]
		delete(f.requested, name)
		if !f.span.contains(name) {
			gone = append(gone, store.Row{Key: store.Key{Table: f.options.Table, Name: name}, Gone: true})
		}
	}
	return gone
}
