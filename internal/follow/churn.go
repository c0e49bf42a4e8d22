package follow

import (
	"context"
	"time"

	"github.com/cloverwheel/cloverwheel/internal/store"
)

// A feed tells all changes of a table to all who follow it. While many workers start or are
// replaced that is more than the part that a follower keeps: 10,000 workers that start before 984
// nodes are 3.4 GB of changes. Meanwhile the part is read again from time to time.

const (
	// rereadPart of the time in which the follower must be up to date may pass between two such
	// readings, and longestReread at most.
	rereadPart    = 2
	longestReread = 3 * time.Second
	// churnRows is how many rows the part has meanwhile: enough to serve by, and half as much to read
	// at each time. It grows again once the table is calm.
	churnRows = 48
	// churnTimes is how many times as much the changes must be as the part: a short burst costs
	// less by the feed.
	churnTimes = 2
	// countFor is how long changes are counted together.
	countFor = time.Second
	// outgrownTimes is how many times as long as it was read a part may become.
	outgrownTimes = 3
	// fewestChanges tell a rate; fewer do not.
	fewestChanges = 32
	// shortestChanges is the least time to which changes are related.
	shortestChanges = 50 * time.Millisecond
	// wholeReread is the pause before a table is read again that is kept whole and grows fast.
	wholeReread = time.Second
	// firstGather is the share of Gather for which the first changes after a quiet time are let
	// gather: they tell whether many follow.
	firstGather = 8
)

// rereadEvery is the pause between two readings of the part while the table churns.
func (f *Follower) rereadEvery() time.Duration {
	if f.span.whole {
		return wholeReread
	}
	if f.options.Fresh <= 0 {
		return longestReread
	}
	return min(f.options.Fresh/rereadPart, longestReread)
}

// judge decides by the number of changes that were just told how the table is followed.
func (f *Follower) judge(changes int) {
	if f.options.Part == nil {
		return
	}
	now := time.Now()
	if now.Sub(f.counted) > countFor {
		f.changes, f.counted = 0, f.told
	}
	f.told = now
	f.changes += changes
	if changes == 0 {
		f.calmed = true
	}
	bound := churnTimes * partRows / f.rereadEvery().Seconds()
	fast := f.changes >= fewestChanges && float64(f.changes)/max(now.Sub(f.counted), shortestChanges).Seconds() > bound
	if fast && f.mayChurn() {
		f.setChurning(true)
	}
	if f.outgrown() {
		f.forgetPart()
	}
}

// mayChurn reports whether the part may be read again in place of the feed. A table that is kept whole
// is followed by its feed: entries that come back after an outage must be known at once. Until it
// was first calm it may be one that is just being written and becomes long.
func (f *Follower) mayChurn() bool { return !f.span.whole || !f.calmed }

// forgetPart lets the table be read anew, as far as it is kept. What is known holds until then.
func (f *Follower) forgetPart() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.whole = false
}

// outgrown reports whether so many rows are kept that the table is to be read anew: a short one has
// become long, or many have come into the part.
func (f *Follower) outgrown() bool {
	kept := f.options.Part.Kept()
	if f.span.whole {
		return !f.span.grown && kept > shortTable
	}
	return kept > outgrownTimes*(partRows+f.more)+mostAsked
}

func (f *Follower) setChurning(churning bool) {
	if f.churning == churning {
		return
	}
	f.churning = churning
	f.options.Logger.WithField("table", f.options.Table).WithField("reread", churning).WithField("every_ms", f.rereadEvery().Milliseconds()).
		Info("way of following the table")
}

// reread reads the part again, and goes back to the feed if little has changed meanwhile.
func (f *Follower) reread(ctx context.Context) error {
	if !f.whole || f.span.whole || f.names.Load() == nil {
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
		return errOlder
	}
	if len(rows) == 0 { // nothing is left behind this place
		f.forgetPart()
		return nil
	}
	changed := 0
	for _, row := range rows {
		if row.Version > before {
			changed++
		}
	}
	f.takeWhole(rows, version, part)
	f.told = time.Now()
	f.setChurning(changed*f.tableSize(rows) > partRows*len(rows))
	return nil
}

// tableSize estimates how long the table is.
func (f *Follower) tableSize(rows []store.Row) int {
	names := namesOf(rows)
	if f.span.wrapped {
		for index, name := range names {
			if name < f.span.from {
				names = names[:index] // what lies at the table's end
				break
			}
		}
	}
	return max(len(rows), f.names.Load().Size(names))
}
