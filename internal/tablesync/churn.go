package tablesync

import (
	"context"
	"time"

	"github.com/cloverwheel/cloverwheel/internal/store"
)

// The feed of a table delivers all changes to every follower. While many workers start or are
// replaced, that is far more data than the part that a follower keeps. During such churn the follower
// stops reading the feed and rereads its part at intervals instead.

const (
	// freshDivisor divides Options.MaxStaleness to give the interval between rereads, which is maxRereadInterval
	// at most.
	freshDivisor      = 2
	maxRereadInterval = 3 * time.Second
	// churnRows is the target number of rows of the part during churn, less than minPartRows to limit
	// each reread. The part grows again afterwards.
	churnRows = 48
	// churnFactor is how many times more rows the feed must deliver than rereading would before the
	// follower rereads: for short bursts the feed is cheaper.
	churnFactor = 2
	// countWindow is the window over which changes are counted.
	countWindow = time.Second
	// outgrownFactor is the growth factor at which a part is read anew.
	outgrownFactor = 3
	// minChanges is the minimum number of changes from which a rate is computed.
	minChanges = 32
	// minRateWindow is the minimum duration used to compute a rate of changes.
	minRateWindow = 50 * time.Millisecond
	// wholeRereadInterval is the interval between rereads of a table that is kept whole and grows fast.
	wholeRereadInterval = time.Second
	// firstBatchDivisor divides Options.BatchDelay for the first changes after a quiet time. The shorter wait
	// shows sooner whether many changes follow.
	firstBatchDivisor = 8
)

// rereadInterval returns the interval between rereads during churn.
func (f *Follower) rereadInterval() time.Duration {
	if f.span.whole {
		return wholeRereadInterval
	}
	if f.options.MaxStaleness <= 0 {
		return maxRereadInterval
	}
	return min(f.options.MaxStaleness/freshDivisor, maxRereadInterval)
}

// assessChanges switches to rereading if the table changes too fast; changes is the number of rows just
// delivered by the feed. It also has the table read anew if the part has grown too large.
func (f *Follower) assessChanges(changes int) {
	if f.options.Part == nil {
		return
	}
	now := time.Now()
	if now.Sub(f.countStart) > countWindow {
		f.changes, f.countStart = 0, f.lastFeed
	}
	f.lastFeed = now
	f.changes += changes
	if changes == 0 {
		f.wasIdle = true
	}
	bound := churnFactor * minPartRows / f.rereadInterval().Seconds()
	fast := f.changes >= minChanges && float64(f.changes)/max(now.Sub(f.countStart), minRateWindow).Seconds() > bound
	if fast && f.mayChurn() {
		f.setChurning(true)
	}
	if f.outgrown() {
		f.invalidate()
	}
}

// mayChurn reports whether the follower may reread the part instead of reading the feed. A table that is
// kept whole is followed by its feed, so that entries which return after an outage are known at once.
// Before its feed has been idle for the first time, it may be a table that is still being filled.
func (f *Follower) mayChurn() bool { return !f.span.whole || !f.wasIdle }

// invalidate has the table read anew. The rows already cached stay in use until then.
func (f *Follower) invalidate() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.loaded = false
}

// outgrown reports whether too many rows are kept, so that the table must be read anew: a short table
// has become long, or many rows were added within the part.
func (f *Follower) outgrown() bool {
	kept := f.options.Part.RowCount()
	if f.span.whole {
		return !f.span.grown && kept > maxWholeRows
	}
	return kept > outgrownFactor*(minPartRows+f.grownRows)+maxRequestedRows
}

func (f *Follower) setChurning(churning bool) {
	if f.churning == churning {
		return
	}
	f.churning = churning
	f.options.Logger.WithField("table", f.options.Table).WithField("reread", churning).WithField("every_ms", f.rereadInterval().Milliseconds()).
		Info("changed how the table is followed: by rereading it at intervals if reread is true, else by its feed")
}

// reread reads the part again, and switches back to the feed if few rows have changed since.
func (f *Follower) reread(ctx context.Context) error {
	if !f.loaded || f.span.whole || f.names.Load() == nil {
		if err := f.readPart(ctx); err != nil {
			return err
		}
		if f.span.whole { // a short table
			f.setChurning(false)
		}
		return nil
	}
	before := f.version
	rows, part, version, err := f.readRows(ctx, f.span.from)
	if err != nil {
		return err
	}
	if version < before {
		return errStale
	}
	if len(rows) == 0 { // no rows are left at or after the start of the part
		f.invalidate()
		return nil
	}
	changed := 0
	for _, row := range rows {
		if row.Version > before {
			changed++
		}
	}
	f.applySnapshot(rows, version, part)
	f.lastFeed = time.Now()
	f.setChurning(changed*f.tableSize(rows) > minPartRows*len(rows))
	return nil
}

// tableSize estimates the number of rows in the table from a part of them.
func (f *Follower) tableSize(rows []store.Row) int {
	names := namesOf(rows)
	if f.span.wrapped {
		for index, name := range names {
			if name < f.span.from {
				names = names[:index] // leave out the rows from the start of the table
				break
			}
		}
	}
	return max(len(rows), f.names.Load().EstimateCount(names))
}
