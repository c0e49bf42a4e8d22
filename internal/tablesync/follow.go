// Package tablesync keeps a local copy of a store table up to date. It reads the rows once, then long-polls
// the table for changes. A read that is older than the copy is discarded.
package tablesync

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"github.com/cloverwheel/cloverwheel/internal/keyspace"
	"github.com/cloverwheel/cloverwheel/internal/store"
	"github.com/cloverwheel/cloverwheel/internal/timing"
)

const (
	// minPollDuration is the minimum duration of a long poll.
	minPollDuration = 2 * time.Second
	// responseTimeout is the time allowed for a response, beyond the duration of the poll.
	responseTimeout = 700 * time.Millisecond
	// reconnectTimeout is reserved for the next call after one that got no response.
	reconnectTimeout = 300 * time.Millisecond
	// minBackoff and maxBackoff bound the jittered backoff after failures.
	minBackoff = 30 * time.Millisecond
	maxBackoff = 400 * time.Millisecond
	// maxPageAttempts is the number of attempts per page before the whole read starts again.
	maxPageAttempts = 10
)

// Options configures a Follower.
type Options struct {
	Store store.Store
	Table string
	// Replace replaces all rows that the caller keeps.
	Replace func(Snapshot)
	// Change applies changed rows.
	Change func(rows []store.Row)
	// OnLost is called with true when the table stops responding, and with false when it responds
	// again; may be nil.
	OnLost func(lost bool)
	// MaxStaleness is how soon after trouble with the table the copy must be up to date again; 0 means no
	// requirement. A lost response is noticed only when the poll times out, so polls are shorter
	// than that.
	MaxStaleness time.Duration
	// BatchDelay is how long to wait after changes before the next poll, so that changes are batched.
	// It limits the calls for a table that changes all the time; 0 means no wait.
	BatchDelay time.Duration
	// OnResponse is called after each successful read, with or without changes; may be nil.
	OnResponse func()
	// Part makes the follower keep only a part of a long table; nil keeps all rows. With a part,
	// Change may also be called from Fetch and FetchAt; calls never overlap.
	Part   *Part
	Logger log.Interface
}

// Snapshot is a snapshot of a table, or of a part of it. Version is the table's version when the read
// began; rows may be newer. A row that is not in Rows did not exist at Version, has been removed
// since or, if Whole is false, may be outside the part.
type Snapshot struct {
	Rows    []store.Row
	Version store.Version
	Whole   bool
}

// Follower follows one table.
type Follower struct {
	options   Options
	lostSince time.Time // when the table stopped responding; zero if it responds
	names     atomic.Pointer[keyspace.Format]

	// The following fields are used by Run only.
	rows       int       // rows in the part when it was last read
	grownRows  int       // rows added by growing the part
	wasIdle    bool      // a poll of the feed has returned without changes
	churning   bool      // the part is reread at intervals instead of reading the feed
	lastFeed   time.Time // when the feed last responded
	changes    int       // number of changes since countStart
	countStart time.Time

	mutex          sync.Mutex      // guards the fields below, and serializes calls of Replace and Change
	version        store.Version   // newest version applied
	loaded         bool            // the rows have been read, and need not be read anew
	span           span            // the part of the table that is kept
	requested      map[string]bool // rows outside the part that are kept because they were requested
	requestedOrder []string        // the same rows, oldest request first
}

// New returns a follower without any rows; Run reads them.
func New(options Options) *Follower { return &Follower{options: options, requested: map[string]bool{}} }

// Run follows the table until ctx is done.
func (f *Follower) Run(ctx context.Context) {
	pauses := timing.NewBackoff(minBackoff, maxBackoff)
	for ctx.Err() == nil {
		err := f.step(ctx)
		f.recordResult(ctx, err)
		if err == nil {
			f.notifyResponse()
			pauses.Reset()
			continue
		}
		if errors.Is(err, store.ErrHistoryCompacted) {
			f.invalidate()
			continue
		}
		_ = timing.Sleep(ctx, pauses.NextBackOff())
	}
}

func (f *Follower) notifyResponse() {
	if f.options.OnResponse != nil {
		f.options.OnResponse()
	}
}

func (f *Follower) step(ctx context.Context) error {
	switch {
	case f.churning:
		if err := timing.Sleep(ctx, f.rereadInterval()); err != nil {
			return err
		}
		return f.reread(ctx)
	case !f.loaded && f.options.Part != nil:
		return f.readPart(ctx)
	case !f.loaded:
		return f.readWhole(ctx, store.Page{More: true})
	case f.growing():
		return f.grow(ctx)
	default:
		return f.follow(ctx)
	}
}

// follow polls the feed once and applies the changes.
func (f *Follower) follow(ctx context.Context) error {
	duration := f.pollDuration()
	if !f.lostSince.IsZero() {
		duration = 0
	}
	limited, cancel := context.WithTimeout(ctx, duration+responseTimeout)
	defer cancel()
	page, err := f.options.Store.Watch(limited, f.options.Table, f.version, duration)
	if err != nil {
		return err
	}
	rows := f.applyChanges(page)
	quiet := time.Since(f.lastFeed) > 2*f.options.BatchDelay
	f.assessChanges(rows)
	if rows > 0 && f.options.BatchDelay > 0 && !f.churning {
		delay := f.options.BatchDelay
		if quiet && f.options.Part != nil {
			delay /= firstBatchDivisor
		}
		_ = timing.Sleep(ctx, delay+rand.N(delay/4+1))
	}
	return nil
}

// applyChanges applies a page of changes. It returns the number of changed rows, including those that
// are not kept.
func (f *Follower) applyChanges(page store.Page) int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.version = max(f.version, page.Version)
	if rows := f.filterKept(page.Rows); len(rows) > 0 {
		f.options.Change(rows)
	}
	return len(page.Rows)
}

// pollDuration returns the duration of one long poll.
func (f *Follower) pollDuration() time.Duration {
	return max(minPollDuration, f.options.MaxStaleness-responseTimeout-reconnectTimeout)
}

// errStale reports a response that is older than the cached state.
var errStale = errors.New("the table returned a state older than the cached one; read it again")

// readWhole reads all pages that follow page, which may be empty, and applies each as it arrives.
// Changes made after the first page was read are delivered by the feed next.
func (f *Follower) readWhole(ctx context.Context, page store.Page) error {
	rows, first, from := page.Rows, page.Version, ""
	for page.More {
		f.applyPage(page.Rows)
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
			return errStale
		}
		next.Rows = withoutFirst(next.Rows, from) // a page starts with the last row of the previous one
		next.More = next.More && len(next.Rows) > 0
		rows = append(rows, next.Rows...)
		page = next
	}
	f.applySnapshot(rows, first, span{whole: true})
	return nil
}

// applyPage applies one page of rows.
func (f *Follower) applyPage(rows []store.Row) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if len(rows) > 0 {
		f.options.Change(rows)
	}
}

// applySnapshot replaces all rows with a snapshot of the part.
func (f *Follower) applySnapshot(rows []store.Row, version store.Version, part span) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.version, f.loaded, f.span = version, true, part
	f.rows = len(rows)
	f.requested, f.requestedOrder = map[string]bool{}, nil
	f.options.Replace(Snapshot{Rows: rows, Version: version, Whole: part.whole})
}

// readPage reads one page. It retries refused calls, since the store refuses many calls while all nodes
// start at the same time.
func (f *Follower) readPage(ctx context.Context, from, to string, limit int) (store.Page, error) {
	pauses := timing.NewBackoff(minBackoff, maxBackoff)
	for try := 1; ; try++ {
		limited, cancel := context.WithTimeout(ctx, responseTimeout)
		page, err := f.options.Store.Range(limited, f.options.Table, "", from, to, limit)
		cancel()
		if err == nil || try == maxPageAttempts || !errors.Is(err, store.ErrNotApplied) {
			return page, err
		}
		if timing.Sleep(ctx, pauses.NextBackOff()) != nil {
			return page, ctx.Err()
		}
	}
}

// recordResult logs and reports when the table stops and starts responding.
func (f *Follower) recordResult(ctx context.Context, err error) {
	entry := f.options.Logger.WithField("table", f.options.Table).WithField("version", uint64(f.version))
	switch {
	case ctx.Err() != nil:
	case errors.Is(err, store.ErrHistoryCompacted):
		entry.Warn("the table's change history is gone; reading the table again")
	case err != nil && f.lostSince.IsZero():
		f.lostSince = time.Now()
		f.notifyLost(true)
		entry.WithError(err).Warn("table stopped responding; continuing with the cached rows")
	case err == nil && !f.lostSince.IsZero():
		entry.WithField("after_ms", time.Since(f.lostSince).Milliseconds()).Info("table responds again")
		f.lostSince = time.Time{}
		f.notifyLost(false)
	}
}

func (f *Follower) notifyLost(lost bool) {
	if f.options.OnLost != nil {
		f.options.OnLost(lost)
	}
}
