package store_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cloverwheel/cloverwheel/internal/store"
	"github.com/cloverwheel/cloverwheel/internal/store/storetest"
	"github.com/cloverwheel/cloverwheel/internal/timing"
)

// delayedTable delays calls on their way to a table and on their way back.
type delayedTable struct {
	*storetest.Table
	there, back func() time.Duration
}

func (d delayedTable) Commit(ctx context.Context, transaction store.Transaction) (store.Version, error) {
	_ = timing.Sleep(ctx, d.there())
	version, err := d.Table.Commit(ctx, transaction)
	_ = timing.Sleep(ctx, d.back())
	return version, err
}

func (d delayedTable) Range(ctx context.Context, table, part, from, to string, limit int) (store.Page, error) {
	_ = timing.Sleep(ctx, d.there())
	page, err := d.Table.Range(ctx, table, part, from, to, limit)
	_ = timing.Sleep(ctx, d.back())
	return page, err
}

func (d delayedTable) Watch(ctx context.Context, table string, after store.Version, wait time.Duration) (store.Page, error) {
	_ = timing.Sleep(ctx, d.there())
	page, err := d.Table.Watch(ctx, table, after, wait)
	_ = timing.Sleep(ctx, d.back())
	return page, err
}

func rowNamed(name string) store.Transaction {
	return store.Transaction{Put: []store.Row{{Key: store.Key{Table: "t", Name: name}}}}
}

// Guards against a time that is later than the commit of its version: a draining worker would get requests after it may have ended.
func TestVersionsAreCommittedAfterTheirEarliestTime(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		synctest.Test(t, func(t *testing.T) {
			delay := func() time.Duration {
				return time.Duration(rapid.IntRange(0, 300).Draw(rt, "delay")) * time.Millisecond
			}
			table := storetest.New()
			timeline := store.NewTimeline(delayedTable{Table: table, there: delay, back: delay})
			var mutex sync.Mutex
			committed := map[store.Version]time.Time{}
			check := func() {
				mutex.Lock()
				defer mutex.Unlock()
				for version, at := range committed {
					earliest, ok := timeline.NotCommittedBefore(version)
					require.False(t, ok && earliest.After(at), "version %d was committed %v before the earliest time", version, earliest.Sub(at))
				}
			}
			commitElsewhere := func() {
				mutex.Lock()
				defer mutex.Unlock()
				require.NoError(t, table.CommitWithoutFaults(rowNamed("r")))
				committed[store.Version(len(committed)+1)] = time.Now()
			}
			newest := func() store.Version {
				mutex.Lock()
				defer mutex.Unlock()
				return store.Version(len(committed))
			}
			commitElsewhere()
			for range rapid.IntRange(1, 12).Draw(rt, "steps") {
				for range rapid.IntRange(0, 2).Draw(rt, "commits") {
					time.AfterFunc(delay(), commitElsewhere)
				}
				switch rapid.IntRange(0, 2).Draw(rt, "call") {
				case 0:
					_, _ = timeline.Range(t.Context(), "t", "", "", "", 0)
				case 1:
					_, _ = timeline.Watch(t.Context(), "t", newest(), time.Second)
				default:
					_, _ = timeline.Watch(t.Context(), "other", newest(), 2*time.Second)
				}
				check()
			}
			time.Sleep(time.Second)
			check()
		})
	})
}

// Guards against earliest times that are of no use: those of a call that waits, instead of the moment at which the table answered it.
func TestEarliestTimesFollowTheTablesClock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		few := func() time.Duration { return 2 * time.Millisecond }
		table := storetest.New()
		timeline := store.NewTimeline(delayedTable{Table: table, there: few, back: few})
		require.NoError(t, table.CommitWithoutFaults(rowNamed("a")))
		time.Sleep(time.Second)
		_, err := timeline.Range(t.Context(), "t", "", "", "", 0)
		require.NoError(t, err)
		_, err = timeline.Watch(t.Context(), "t", 1, 2*time.Second)
		require.NoError(t, err)
		answered := time.Now()
		require.NoError(t, table.CommitWithoutFaults(rowNamed("b")))
		earliest, ok := timeline.NotCommittedBefore(2)
		require.True(t, ok)
		require.Less(t, answered.Sub(earliest), 20*time.Millisecond)
		_, ok = timeline.NotCommittedBefore(1)
		require.False(t, ok, "no answer has shown the table before its first version")
	})
}

// Guards against earliest times from a table whose clock was set forward or back.
func TestEarliestTimesOutlastAnotherClock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clock := time.Hour
		table := clockedTable{Table: storetest.New(), clock: &clock}
		timeline := store.NewTimeline(table)
		require.NoError(t, table.CommitWithoutFaults(rowNamed("a")))
		for _, next := range []time.Duration{time.Hour, 3 * time.Hour, time.Minute, 0} {
			clock = next
			time.Sleep(time.Second)
			sent := time.Now()
			_, err := timeline.Watch(t.Context(), "t", 1, 2*time.Second)
			require.NoError(t, err)
			earliest, ok := timeline.NotCommittedBefore(2)
			require.True(t, ok)
			require.False(t, earliest.After(sent.Add(2*time.Second)))
		}
	})
}

// clockedTable names the reading of a clock that is set by hand.
type clockedTable struct {
	*storetest.Table
	clock *time.Duration
}

func (c clockedTable) Watch(ctx context.Context, table string, after store.Version, wait time.Duration) (store.Page, error) {
	page, err := c.Table.Watch(ctx, table, after, wait)
	page.Clock = *c.clock
	return page, err
}
