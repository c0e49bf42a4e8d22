package follow

import (
	"context"
	"errors"
	"slices"

	"github.com/cloverwheel/cloverwheel/internal/ring"
	"github.com/cloverwheel/cloverwheel/internal/store"
)

// Part makes a follower keep a part of a long table: the rows from a place on that its text
// decides, and those that were asked for besides. Short tables are kept whole. Nodes that kept all
// rows of a list would read nodes times workers at a start: 984 nodes before 10,000 workers 3.4 GB
// (worked out); with parts of 96 rows they read 0.25 GB on a whole day of that size.
type Part struct {
	// Text decides the place: processes with different texts keep different rows, evenly.
	Text string
	// Kept is how many rows are kept.
	Kept func() int
	// Enough reports whether the rows that were taken over are enough. As long as they are
	// not, the part grows by a page.
	Enough func() bool
}

const (
	// sampleRows are read first: they tell how names are made, and about how many there are. A
	// table that has no more is known whole then.
	sampleRows = 64
	// shortTable is up to how many rows a table is kept whole: 600 workers are 0.2 MB.
	shortTable = 600
	// partRows is how many rows a part has at least, and growRows by how many it grows, or by half
	// of itself. Spread over 10,000 workers of two services in five
	// zones, 96 rows name 17 model workers and two others of the node's own zone.
	partRows = 96
	growRows = 48
	// drawTries bounds how often a place is drawn behind which there is nothing.
	drawTries = 16
	// mostAsked is how many rows are kept besides the part, of those that were asked for.
	mostAsked = 2048
	// askTries is how often rows are asked for again that changed meanwhile.
	askTries = 3
)

// ErrNoNames is that of a table whose rows' names have nothing in common.
var ErrNoNames = errors.New("the names of this table tell no place in it; keep it whole")

// span is the part of a table that is kept: from a name up to the last that was read.
type span struct {
	whole   bool
	from    string
	last    string
	wrapped bool // it goes on at the table's beginning
	grown   bool // it is whole because no smaller part was enough
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

// until is the name before which the next page must end; empty: the table's end.
func (s span) until() string {
	if s.wrapped {
		return s.from
	}
	return ""
}

// extended is the span after another page was read behind it. rows are those that it did not have;
// more tells whether the table has rows behind these.
func (s span) extended(rows []store.Row, more bool) span {
	if len(rows) > 0 {
		s.last = rows[len(rows)-1].Name
	}
	switch {
	case s.wrapped && !more:
		s.whole, s.grown = true, true // all the way round
	case !more:
		s.wrapped, s.last = true, ""
	}
	return s
}

// readPart reads the beginning of the table, and the rest of it if it is short, else the part of it
// that this process keeps.
func (f *Follower) readPart(ctx context.Context) error {
	sample, err := f.readPage(ctx, "", "", sampleRows)
	if err != nil {
		return err
	}
	if sample.Version < f.version {
		return errOlder
	}
	names := namesOf(sample.Rows)
	made, ok := ring.Observe(names)
	if !sample.More || !ok || made.Size(names) <= shortTable {
		return f.readWhole(ctx, sample)
	}
	f.names.Store(&made)
	rows, part, err := f.readFrom(ctx, made)
	if err != nil {
		return err
	}
	f.takeWhole(rows, sample.Version, part)
	return nil
}

// namesOf are the names of rows.
func namesOf(rows []store.Row) []string {
	names := make([]string, len(rows))
	for index, row := range rows {
		names[index] = row.Name
	}
	return names
}

// readFrom reads the first page of the part, at a place behind which there is something.
func (f *Follower) readFrom(ctx context.Context, made ring.Names) ([]store.Row, span, error) {
	below := ""
	for range drawTries {
		place := made.Draw(f.options.Part.Text, below)
		rows, part, _, err := f.readRows(ctx, place)
		if err != nil || len(rows) > 0 {
			return rows, part, err
		}
		below = place
	}
	return nil, span{}, ErrNoNames
}

// target is how many rows the part is to have.
func (f *Follower) target() int {
	if f.churning {
		return churnRows + f.more
	}
	return partRows + f.more
}

// readRows reads as many rows as the part has, from a place on; none if nothing is behind it. version
// is the table's before it read the first.
func (f *Follower) readRows(ctx context.Context, place string) (rows []store.Row, part span, version store.Version, err error) {
	part = span{from: place}
	for from := place; !part.whole && len(rows) < f.target(); {
		page, err := f.readPage(ctx, from, part.until(), f.target()-len(rows)+1)
		if err != nil {
			return nil, span{}, 0, err
		}
		if version == 0 {
			version = page.Version
		}
		next := afterFirst(page.Rows, part.last)
		if len(rows) == 0 && len(next) == 0 && !page.More {
			return nil, span{}, version, nil
		}
		rows = append(rows, next...)
		part = part.extended(next, page.More)
		from = part.last
	}
	return rows, part, version, nil
}

// growing reports whether the part is to grow.
func (f *Follower) growing() bool {
	return f.options.Part != nil && f.whole && !f.span.whole && (f.rows < partRows || !f.options.Part.Enough())
}

// grow reads another page. Changes of its rows after the newest that was taken over are followed.
func (f *Follower) grow(ctx context.Context) error {
	from := f.span.last
	page, err := f.readPage(ctx, from, f.span.until(), max(growRows, f.rows/2)+1)
	if err != nil {
		return err
	}
	rows := afterFirst(page.Rows, from)
	f.takeMore(rows, page.More)
	f.options.Logger.WithField("table", f.options.Table).WithField("rows", len(rows)).WithField("whole", f.span.whole).
		Info("part of the table grows")
	return nil
}

// takeMore takes over another page of the part.
func (f *Follower) takeMore(rows []store.Row, more bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.span = f.span.extended(rows, more)
	f.rows += len(rows)
	f.more = max(0, f.rows-partRows)
	f.options.Change(rows)
}

// afterFirst leaves the first row out if it is the one at which a page before had ended.
func afterFirst(rows []store.Row, name string) []store.Row {
	if len(rows) > 0 && rows[0].Name == name {
		return rows[1:]
	}
	return rows
}

// kept lists those of changed rows that belong to the part, or were asked for. The caller holds the
// mutex.
func (f *Follower) kept(rows []store.Row) []store.Row {
	if f.options.Part == nil || f.span.whole {
		return rows
	}
	return slices.DeleteFunc(slices.Clone(rows), func(row store.Row) bool {
		return !f.span.contains(row.Name) && !f.asked[row.Name]
	})
}

// Whole reports whether all rows are kept.
func (f *Follower) Whole() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.options.Part == nil || f.whole && f.span.whole
}

// Ask reads rows from a name on and keeps them besides the part.
func (f *Follower) Ask(ctx context.Context, from, to string, limit int) ([]store.Row, error) {
	for range askTries {
		page, err := f.options.Store.Range(ctx, f.options.Table, "", from, to, limit)
		if err != nil {
			return nil, err
		}
		if f.keep(page) {
			return page.Rows, nil
		}
	}
	return nil, errOlder
}

// AskAt is Ask from the place on that a text decides, the same for all processes.
func (f *Follower) AskAt(ctx context.Context, text string, limit int) ([]store.Row, error) {
	made := f.names.Load()
	if made == nil {
		return nil, ErrNoNames
	}
	below := ""
	for range drawTries {
		place := made.Draw(text, below)
		rows, err := f.Ask(ctx, place, "", limit)
		if err != nil || len(rows) > 0 {
			return rows, err
		}
		below = place
	}
	return nil, ErrNoNames
}

// keep takes over rows that were asked for, unless changes of them may have been passed over since
// they were read.
func (f *Follower) keep(page store.Page) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if page.Version < f.version || !f.whole {
		return false
	}
	for _, row := range page.Rows {
		if !f.span.contains(row.Name) && !f.asked[row.Name] {
			f.asked[row.Name] = true
			f.askedOrder = append(f.askedOrder, row.Name)
		}
	}
	f.options.Change(append(f.forgetAsked(), page.Rows...))
	return true
}

// forgetAsked forgets the rows that were asked for first, if there are too many.
func (f *Follower) forgetAsked() (gone []store.Row) {
	for len(f.askedOrder) > mostAsked {
		name := f.askedOrder[0]
		f.askedOrder = f.askedOrder[1:]
		delete(f.asked, name)
		if !f.span.contains(name) {
			gone = append(gone, store.Row{Key: store.Key{Table: f.options.Table, Name: name}, Gone: true})
		}
	}
	return gone
}
