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

// paths is a direct and a relayed path to one table, each with its own fault. It implements
// store.Relayer, the relayed path.
type paths struct {
	table         *storetest.Table
	direct, relay storetest.Fault
	relayed       int // relayed calls
}

// Commit implements store.Relayer.
func (p *paths) Commit(ctx context.Context, transaction store.Transaction) (store.Version, error) {
	p.relayed++
	return withFault(ctx, p.relay, func(ctx context.Context) (store.Version, error) { return p.table.Commit(ctx, transaction) })
}

// Range implements store.Relayer.
func (p *paths) Range(ctx context.Context, table, part, from, to string, limit int) (store.Page, error) {
	p.relayed++
	return withFault(ctx, p.relay, func(ctx context.Context) (store.Page, error) { return p.table.Range(ctx, table, part, from, to, limit) })
}

// directPath is the direct path to the table.
type directPath struct {
	store.Store
	paths *paths
}

// Commit implements store.Store.
func (d directPath) Commit(ctx context.Context, transaction store.Transaction) (store.Version, error) {
	return withFault(ctx, d.paths.direct, func(ctx context.Context) (store.Version, error) { return d.paths.table.Commit(ctx, transaction) })
}

// Range implements store.Store.
func (d directPath) Range(ctx context.Context, table, part, from, to string, limit int) (store.Page, error) {
	return withFault(ctx, d.paths.direct, func(ctx context.Context) (store.Page, error) {
		return d.paths.table.Range(ctx, table, part, from, to, limit)
	})
}

// withFault makes a call and applies the given fault to it.
func withFault[T any](ctx context.Context, fault storetest.Fault, call func(context.Context) (T, error)) (T, error) {
	var none T
	switch fault {
	case storetest.Refused:
		return none, store.ErrNotApplied
	case storetest.Throttled:
		return none, store.ErrThrottled
	case storetest.ConnectionReset:
		return none, storetest.ErrConnectionReset
	case storetest.AppliedThenReset:
		_, _ = call(ctx)
		return none, storetest.ErrConnectionReset
	case storetest.RequestLost:
		<-ctx.Done()
		return none, ctx.Err()
	case storetest.ResponseLost:
		_, _ = call(ctx)
		<-ctx.Done()
		return none, ctx.Err()
	}
	return call(ctx)
}

// newRelayed returns a RelayedStore that uses both paths.
func newRelayed(p *paths) *store.RelayedStore {
	logger := &log.Logger{Handler: discard.New()}
	return store.NewRelayed(store.NewGate(directPath{Store: p.table, paths: p}, logger), p, logger)
}

var failures = []storetest.Fault{storetest.Refused, storetest.ConnectionReset, storetest.AppliedThenReset, storetest.RequestLost, storetest.ResponseLost}

// A node whose direct path fails must read and write through other nodes without much
// delay, and must recognize its own write if both paths made it.
func TestCallsAreRelayed(t *testing.T) {
	for _, fault := range failures {
		synctest.Test(t, func(t *testing.T) {
			p := &paths{table: storetest.New(), direct: fault}
			table := newRelayed(p)
			version := store.Version(0)
			for round := range 20 {
				begun := time.Now()
				value := string(rune('a' + round))
				_, err := table.Commit(t.Context(), write(value, version))
				var conflict *store.Conflict
				if errors.As(err, &conflict) {
					require.Equal(t, value, string(conflict.Find(key).Value), "the conflict is with the call's own write")
				} else {
					require.NoError(t, err, "fault %d", fault)
				}
				page, err := table.Range(t.Context(), key.Table, key.Part, "", "", 0)
				require.NoError(t, err)
				require.Equal(t, value, string(page.Rows[0].Value))
				version = page.Rows[0].Version
				require.Less(t, time.Since(begun), 500*time.Millisecond, "fault %d", fault)
			}
			p.direct = storetest.None
			time.Sleep(time.Second)
			_, err := table.Commit(t.Context(), write("z", version))
			require.NoError(t, err)
		})
	}
}

// Calls must not be relayed while the direct path responds, even with a conflict.
func TestHealthyDirectPathIsNotRelayed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &paths{table: storetest.New()}
		table := newRelayed(p)
		for range 10 {
			_, _ = table.Commit(t.Context(), write("v", 0))
			_, err := table.Range(t.Context(), key.Table, key.Part, "", "", 0)
			require.NoError(t, err)
		}
		require.Zero(t, p.relayed)
	})
}

// Relaying must back off while the table itself is down.
func TestRelayingBacksOffWhileTheTableIsDown(t *testing.T) {
	for _, fault := range failures {
		synctest.Test(t, func(t *testing.T) {
			p := &paths{table: storetest.New(), direct: fault, relay: storetest.Refused}
			table := newRelayed(p)
			for range 100 {
				ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
				_, err := table.Commit(ctx, write("v", 1))
				cancel()
				require.Error(t, err)
			}
			require.Positive(t, p.relayed)
			require.LessOrEqual(t, p.relayed, 25, "fault %d: relayed calls in 10 s", fault)
		})
	}
}

// A call that may have taken effect by one path must not fail with ErrNotApplied, whatever the
// result of the other path.
func TestUncertainResultIsKept(t *testing.T) {
	for _, faults := range [][2]storetest.Fault{{storetest.ConnectionReset, storetest.Refused}, {storetest.Refused, storetest.ConnectionReset}} {
		synctest.Test(t, func(t *testing.T) {
			table := newRelayed(&paths{table: storetest.New(), direct: faults[0], relay: faults[1]})
			_, err := table.Commit(t.Context(), write("v", 0))
			require.Error(t, err)
			require.NotErrorIs(t, err, store.ErrNotApplied)
		})
	}
	synctest.Test(t, func(t *testing.T) {
		table := newRelayed(&paths{table: storetest.New(), direct: storetest.Refused, relay: storetest.Refused})
		_, err := table.Commit(t.Context(), write("v", 0))
		require.ErrorIs(t, err, store.ErrNotApplied)
	})
}

// Once the direct path has recovered, calls must not be relayed, even if relayed calls return
// first: the direct calls canceled then must not keep the path suspect.
func TestRelayingStopsAfterRecovery(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &paths{table: storetest.New()}
		distant := storetest.NewSlowTable(33 * time.Millisecond)
		logger := &log.Logger{Handler: discard.New()}
		table := store.NewRelayed(store.NewGate(distant, logger), p, logger)
		read := func() {
			for part := range 20 {
				_, err := table.Range(t.Context(), key.Table, string(rune('a'+part)), "", "", 0)
				require.NoError(t, err)
				time.Sleep(20 * time.Millisecond)
			}
		}
		distant.SetFault(func(string, bool) storetest.Fault { return storetest.Refused })
		read()
		require.Positive(t, p.relayed)
		distant.SetFault(nil)
		read()
		time.Sleep(recoverWithin)
		before := p.relayed
		read()
		require.Equal(t, before, p.relayed)
	})
}

// A high latency observed earlier must not delay relaying beyond the callers' timeouts when
// the direct path stops responding.
func TestRelayingAfterHighLatency(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &paths{table: storetest.New()}
		distant := storetest.NewSlowTable(400 * time.Millisecond)
		logger := &log.Logger{Handler: discard.New()}
		table := store.NewRelayed(store.NewGate(distant, logger), p, logger)
		read := func(part int, within time.Duration) error {
			ctx, cancel := context.WithTimeout(t.Context(), within)
			defer cancel()
			_, err := table.Range(ctx, key.Table, string(rune('a'+part)), "", "", 0)
			return err
		}
		for part := range 8 {
			require.NoError(t, read(part, time.Second))
		}
		distant.SetFault(func(string, bool) storetest.Fault { return storetest.RequestLost })
		for part := range 8 {
			_ = read(part, callerTimeout)
		}
		for part := range 16 {
			require.NoError(t, read(part, callerTimeout))
		}
	})
}

// unrelayablePaths are paths whose commits may not be relayed while refused is set.
type unrelayablePaths struct {
	*paths
	refused bool
}

// Commit implements store.Relayer.
func (p *unrelayablePaths) Commit(ctx context.Context, transaction store.Transaction) (store.Version, error) {
	if p.refused {
		return 0, store.ErrNotRelayable
	}
	return p.paths.Commit(ctx, transaction)
}

// ErrNotRelayable for one call must not pause the relaying of other calls.
func TestNoRelayDoesNotPauseRelaying(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &unrelayablePaths{paths: &paths{table: storetest.New(), direct: storetest.Refused}, refused: true}
		logger := &log.Logger{Handler: discard.New()}
		table := store.NewRelayed(store.NewGate(directPath{Store: p.table, paths: p.paths}, logger), p, logger)
		for range 5 {
			_, err := table.Commit(t.Context(), write("v", 0))
			require.ErrorIs(t, err, store.ErrNotApplied)
		}
		p.refused = false
		_, err := table.Commit(t.Context(), write("v", 0))
		require.NoError(t, err)
	})
}
