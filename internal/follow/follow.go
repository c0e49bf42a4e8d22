// Package follow keeps this process's picture of a table up to date: it reads
// the rows as a whole once, then follows the table's changes by one waiting
// call. Versions only rise: an older read changes nothing.
package follow

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"github.com/cloverwheel/cloverwheel/internal/ring"
	"github.com/cloverwheel/cloverwheel/internal/store"
	"github.com/cloverwheel/cloverwheel/internal/wait"
)

const (
	// shortestWatch is how long one call waits for a change where nothing allows more.
	shortestWatch = 2 * time.Second
	// answerWait is how long the table has to answer beyond that.
	answerWait = 700 * time.Millisecond
	// reconnectTime is how long the next call may take after one without an answer.
	reconnectTime = 300 * time.Millisecond
	// firstPause and longestPause bound the jittered pauses after failures.
	firstPause   = 30 * time.Millisecond
	longestPause = 400 * time.Millisecond
	// pageTries is how often a refused page is asked for before the whole read
	// begins anew.
	pageTries = 10
)

// Options of a Follower.
type Options struct {
	Store store.Store
	Table string
	// Replace takes over all rows that are kept.
	Replace func(Reading)
	// Change takes over changed rows.
	Change func(rows []store.Row)
	// Lost is told when the table stops and starts answering; may be nil.
	Lost func(lost bool)
	// Fresh is how soon after trouble with the table this process must be up to date
	// again; 0 if nothing is said. A call whose answer is lost is noticed only at its
	// end, so it waits for less than that.
	Fresh time.Duration
	// Gather is how long changes are let gather before they are asked for again;
	// it bounds the calls for a table that changes all the time.
	Gather time.Duration
	// Heard is told whenever the table has answered, be it without news; may be nil.
	Heard func()
	// Part makes the follower keep a part of a long table; nil: it keeps all rows. Change may
	// then be called by those who ask for others, too, one at a time.
	Part   *Part
	Logger log.Interface
}

// Reading are the rows of a table as they were when it had a version, or a part of them. What is not
// among them was gone then, or is not kept any more where they are a part.
type Reading struct {
	Rows    []store.Row
	Version store.Version
	Whole   bool
}

// Follower follows one table.
type Follower struct {
	options Options
	lost    time.Time // since when the table has not answered; zero if it does
	names   atomic.Pointer[ring.Names]

	// Used by Run alone:
	rows     int       // of the part, when it was last read
	more     int       // rows by which the part has grown
	calmed   bool      // the feed has once had nothing to tell
	churning bool      // the part is read again from time to time, the feed is too much
	told     time.Time // when the feed last answered
	changes  int       // told since counted
	counted  time.Time

	mutex      sync.Mutex      // guards what follows, and the calls of Replace and Change
	version    store.Version   // of the newest change taken over
	whole      bool            // the rows were read as a whole, or as much of them as is kept
	span       span            // that is kept
	asked      map[string]bool // rows that are kept besides
	askedOrder []string        // the same, as they were asked for
}

// New returns a follower that knows nothing yet.
func New(options Options) *Follower { return &Follower{options: options, asked: map[string]bool{}} }

// Run follows until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	pauses := wait.NewBackoff(firstPause, longestPause)
	for ctx.Err() == nil {
		err := f.step(ctx)
		f.note(ctx, err)
		if err == nil {
			f.heard()
			pauses.Reset()
			continue
		}
		if errors.Is(err, store.ErrHistoryGone) {
			f.forgetPart()
			continue
		}
		_ = wait.For(ctx, pauses.NextBackOff())
	}
}

func (f *Follower) heard() {
	if f.options.Heard != nil {
		f.options.Heard()
	}
}

func (f *Follower) step(ctx context.Context) error {
	switch {
	case f.churning:
		if err := wait.For(ctx, f.rereadEvery()); err != nil {
			return err
		}
		return f.reread(ctx)
	case !f.whole && f.options.Part != nil:
		return f.readPart(ctx)
	case !f.whole:
		return f.readWhole(ctx, store.Page{More: true})
	case f.growing():
		return f.grow(ctx)
	default:
		return f.follow(ctx)
	}
}

// follow waits for changes and takes them over.
func (f *Follower) follow(ctx context.Context) error {
	patience := f.watchFor()
	if !f.lost.IsZero() {
		patience = 0
	}
	limited, cancel := context.WithTimeout(ctx, patience+answerWait)
	defer cancel()
	page, err := f.options.Store.Watch(limited, f.options.Table, f.version, patience)
	if err != nil {
		return err
	}
	rows := f.takeChanges(page)
	quiet := time.Since(f.told) > 2*f.options.Gather
	f.judge(rows)
	if rows > 0 && f.options.Gather > 0 && !f.churning {
		gather := f.options.Gather
		if quiet && f.options.Part != nil {
			gather /= firstGather
		}
		_ = wait.For(ctx, gather+rand.N(gather/4+1))
	}
	return nil
}

// takeChanges takes over what has changed. It returns how many rows have, whether they are kept or
// not.
func (f *Follower) takeChanges(page store.Page) int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.version = max(f.version, page.Version)
	if rows := f.kept(page.Rows); len(rows) > 0 {
		f.options.Change(rows)
	}
	return len(page.Rows)
}

// watchFor is how long one call waits for a change.
func (f *Follower) watchFor() time.Duration {
	return max(shortestWatch, f.options.Fresh-answerWait-reconnectTime)
}

// errOlder is the table's answer with a state that is older than what is known.
var errOlder = errors.New("the table answered with an older state; reading it again")

// readWhole reads all pages behind one that was read, if it was, and takes each over as it comes.
// Changes after the first page are followed next, so a row that changed between two pages ends up
// right.
func (f *Follower) readWhole(ctx context.Context, page store.Page) error {
	rows, first, from := page.Rows, page.Version, ""
	for page.More {
		f.takePage(page.Rows)
		if len(rows) > 0 {
			from = rows[len(rows)-1].Name
		}
		next, err := f.readPage(ctx, from, "", 0)
		if err != nil {
			return err
		}
		if first == 0 {
			first = next.Version
		}
		if first < f.version {
			return errOlder
		}
		next.Rows = afterFirst(next.Rows, from) // a page begins where the one before ended
		next.More = next.More && len(next.Rows) > 0
		rows = append(rows, next.Rows...)
		page = next
	}
	f.takeWhole(rows, first, span{whole: true})
	return nil
}

// takePage takes over a part of the rows.
func (f *Follower) takePage(rows []store.Row) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if len(rows) > 0 {
		f.options.Change(rows)
	}
}

// takeWhole takes over all rows of the part that is kept, as they were when the table had a
// version.
func (f *Follower) takeWhole(rows []store.Row, version store.Version, part span) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.version, f.whole, f.span = version, true, part
	f.rows = len(rows)
	f.asked, f.askedOrder = map[string]bool{}, nil
	f.options.Replace(Reading{Rows: rows, Version: version, Whole: part.whole})
}

// readPage reads one page. While the table refuses, as it does when all nodes
// start at once, it comes back to the same page.
func (f *Follower) readPage(ctx context.Context, from, to string, limit int) (store.Page, error) {
	pauses := wait.NewBackoff(firstPause, longestPause)
	for try := 1; ; try++ {
		limited, cancel := context.WithTimeout(ctx, answerWait)
		page, err := f.options.Store.Range(limited, f.options.Table, "", from, to, limit)
		cancel()
		if err == nil || try == pageTries || !errors.Is(err, store.ErrNotDone) {
			return page, err
		}
		if wait.For(ctx, pauses.NextBackOff()) != nil {
			return page, ctx.Err()
		}
	}
}

// note tells and logs when the table stops and starts answering.
func (f *Follower) note(ctx context.Context, err error) {
	entry := f.options.Logger.WithField("table", f.options.Table).WithField("version", uint64(f.version))
	switch {
	case ctx.Err() != nil:
	case errors.Is(err, store.ErrHistoryGone):
		entry.Warn("history gone, reading the table as a whole")
	case err != nil && f.lost.IsZero():
		f.lost = time.Now()
		f.tell(true)
		entry.WithError(err).Warn("table lost, going on with what is known")
	case err == nil && !f.lost.IsZero():
		entry.WithField("after_ms", time.Since(f.lost).Milliseconds()).Info("table regained")
		f.lost = time.Time{}
		f.tell(false)
	}
}

func (f *Follower) tell(lost bool) {
	if f.options.Lost != nil {
		f.options.Lost(lost)
	}
}
