package store_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/stretchr/testify/require"

	"github.com/cloverwheel/cloverwheel/internal/store"
	"github.com/cloverwheel/cloverwheel/internal/store/storetest"
)

// ways are two ways to one table, each with its own faults.
type ways struct {
	table      *storetest.Table
	own, other storetest.Fault
	relayed    int
}

// Commit implements store.Relays.
func (w *ways) Commit(ctx context.Context, transaction store.Transaction) (store.Version, error) {
	w.relayed++
	return faulty(ctx, w.other, func(ctx context.Context) (store.Version, error) { return w.table.Commit(ctx, transaction) })
}

// Range implements store.Relays.
func (w *ways) Range(ctx context.Context, table, part, from, to string, limit int) (store.Page, error) {
	w.relayed++
	return faulty(ctx, w.other, func(ctx context.Context) (store.Page, error) { return w.table.Range(ctx, table, part, from, to, limit) })
}

// ownWay is the node's own.
type ownWay struct {
	store.Store
	ways *ways
}

// Commit implements store.Store.
func (o ownWay) Commit(ctx context.Context, transaction store.Transaction) (store.Version, error) {
	return faulty(ctx, o.ways.own, func(ctx context.Context) (store.Version, error) { return o.ways.table.Commit(ctx, transaction) })
}

// Range implements store.Store.
func (o ownWay) Range(ctx context.Context, table, part, from, to string, limit int) (store.Page, error) {
	return faulty(ctx, o.ways.own, func(ctx context.Context) (store.Page, error) {
		return o.ways.table.Range(ctx, table, part, from, to, limit)
	})
}

func faulty[T any](ctx context.Context, fault storetest.Fault, call func(context.Context) (T, error)) (T, error) {
	var none T
	switch fault {
	case storetest.Refused:
		return none, store.ErrNotDone
	case storetest.Throttled:
		return none, store.ErrThrottled
	case storetest.Broken:
		return none, storetest.ErrBroken
	case storetest.Applied:
		_, _ = call(ctx)
		return none, storetest.ErrBroken
	case storetest.Silent:
		<-ctx.Done()
		return none, ctx.Err()
	case storetest.Lost:
		_, _ = call(ctx)
		<-ctx.Done()
		return none, ctx.Err()
	}
	return call(ctx)
}

func relayed(w *ways) *store.Relayed {
	logger := &log.Logger{Handler: discard.New()}
	return store.NewRelayed(store.NewGate(ownWay{Store: w.table, ways: w}, logger), w, logger)
}

var troubles = []storetest.Fault{storetest.Refused, storetest.Broken, storetest.Applied, storetest.Silent, storetest.Lost}

// TestOtherNodesCallTheTable: one whose own way fails reads and writes through them,
// within a moment, and recognises a transaction that went both ways.
func TestOtherNodesCallTheTable(t *testing.T) {
	for _, fault := range troubles {
		synctest.Test(t, func(t *testing.T) {
			w := &ways{table: storetest.New(), own: fault}
			table := relayed(w)
			version := store.Version(0)
			for turn := range 20 {
				begun := time.Now()
				value := string(rune('a' + turn))
				_, err := table.Commit(t.Context(), write(value, version))
				var conflict *store.Conflict
				if errors.As(err, &conflict) {
					require.Equal(t, value, string(conflict.Find(key).Value), "what made it fail is its own effect")
				} else {
					require.NoError(t, err, "fault %d", fault)
				}
				page, err := table.Range(t.Context(), key.Table, key.Part, "", "", 0)
				require.NoError(t, err)
				require.Equal(t, value, string(page.Rows[0].Value))
				version = page.Rows[0].Version
				require.Less(t, time.Since(begun), 500*time.Millisecond, "fault %d", fault)
			}
			w.own = storetest.None
			time.Sleep(time.Second)
			_, err := table.Commit(t.Context(), write("z", version))
			require.NoError(t, err)
		})
	}
}

// TestSoundWayIsTheOnlyOne: no other node is asked while the own way answers, be it
// by a conflict.
func TestSoundWayIsTheOnlyOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := &ways{table: storetest.New()}
		table := relayed(w)
		for range 10 {
			_, _ = table.Commit(t.Context(), write("v", 0))
			_, err := table.Range(t.Context(), key.Table, key.Part, "", "", 0)
			require.NoError(t, err)
		}
		require.Zero(t, w.relayed)
	})
}

// TestTableThatIsDownIsNotAskedForThroughOthers all the time: they cannot help.
func TestTableThatIsDownIsNotAskedForThroughOthers(t *testing.T) {
	for _, fault := range troubles {
		synctest.Test(t, func(t *testing.T) {
			w := &ways{table: storetest.New(), own: fault, other: storetest.Refused}
			table := relayed(w)
			for range 100 {
				ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
				_, err := table.Commit(ctx, write("v", 1))
				cancel()
				require.Error(t, err)
			}
			require.Positive(t, w.relayed)
			require.LessOrEqual(t, w.relayed, 25, "fault %d: in ten seconds", fault)
		})
	}
}

// TestDoubtStays: a call that one way may have made is in doubt, whatever the other
// way says of its own.
func TestDoubtStays(t *testing.T) {
	for _, faults := range [][2]storetest.Fault{{storetest.Broken, storetest.Refused}, {storetest.Refused, storetest.Broken}} {
		synctest.Test(t, func(t *testing.T) {
			table := relayed(&ways{table: storetest.New(), own: faults[0], other: faults[1]})
			_, err := table.Commit(t.Context(), write("v", 0))
			require.Error(t, err)
			require.NotErrorIs(t, err, store.ErrNotDone)
		})
	}
	synctest.Test(t, func(t *testing.T) {
		table := relayed(&ways{table: storetest.New(), own: storetest.Refused, other: storetest.Refused})
		_, err := table.Commit(t.Context(), write("v", 0))
		require.ErrorIs(t, err, store.ErrNotDone)
	})
}

// TestOwnWayIsUsedAloneAgain once it is sound, though other nodes answer sooner than it
// does: an answer that is not waited for to its end must not leave it in doubt for ever.
func TestOwnWayIsUsedAloneAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := &ways{table: storetest.New()}
		own := storetest.NewDistant(33 * time.Millisecond)
		logger := &log.Logger{Handler: discard.New()}
		table := store.NewRelayed(store.NewGate(own, logger), w, logger)
		read := func() {
			for part := range 20 {
				_, err := table.Range(t.Context(), key.Table, string(rune('a'+part)), "", "", 0)
				require.NoError(t, err)
				time.Sleep(20 * time.Millisecond)
			}
		}
		own.SetFault(func(string, bool) storetest.Fault { return storetest.Refused })
		read()
		require.Positive(t, w.relayed)
		own.SetFault(nil)
		read()
		time.Sleep(recoverWithin)
		before := w.relayed
		read()
		require.Equal(t, before, w.relayed)
	})
}

// TestOtherNodesAreAskedSoonThoughTheTableWasSlow: what was learnt of a slow table does not
// keep a node whose own way is silent from being helped.
func TestOtherNodesAreAskedSoonThoughTheTableWasSlow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := &ways{table: storetest.New()}
		own := storetest.NewDistant(400 * time.Millisecond)
		logger := &log.Logger{Handler: discard.New()}
		table := store.NewRelayed(store.NewGate(own, logger), w, logger)
		read := func(part int, within time.Duration) error {
			ctx, cancel := context.WithTimeout(t.Context(), within)
			defer cancel()
			_, err := table.Range(ctx, key.Table, string(rune('a'+part)), "", "", 0)
			return err
		}
		for part := range 8 {
			require.NoError(t, read(part, time.Second))
		}
		own.SetFault(func(string, bool) storetest.Fault { return storetest.Silent })
		for part := range 8 {
			_ = read(part, callerWait)
		}
		for part := range 16 {
			require.NoError(t, read(part, callerWait))
		}
	})
}

// boundWays are ways of which nobody may carry a bound call.
type boundWays struct {
	*ways
	bound bool
}

// Commit implements store.Relays.
func (b *boundWays) Commit(ctx context.Context, transaction store.Transaction) (store.Version, error) {
	if b.bound {
		return 0, store.ErrNoRelay
	}
	return b.ways.Commit(ctx, transaction)
}

// TestCallThatNobodyMayCarryKeepsNoOtherBack from being made through other nodes.
func TestCallThatNobodyMayCarryKeepsNoOtherBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := &boundWays{ways: &ways{table: storetest.New(), own: storetest.Refused}, bound: true}
		logger := &log.Logger{Handler: discard.New()}
		table := store.NewRelayed(store.NewGate(ownWay{Store: w.table, ways: w.ways}, logger), w, logger)
		for range 5 {
			_, err := table.Commit(t.Context(), write("v", 0))
			require.ErrorIs(t, err, store.ErrNotDone)
		}
		w.bound = false
		_, err := table.Commit(t.Context(), write("v", 0))
		require.NoError(t, err)
	})
}
