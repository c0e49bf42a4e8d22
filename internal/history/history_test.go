package history

import (
	"bytes"
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cloverwheel/cloverwheel/internal/locality"
	"github.com/cloverwheel/cloverwheel/internal/store/storetest"
	"github.com/cloverwheel/cloverwheel/internal/sweep"
)

func newTestStore(table *storetest.Table) *TurnStore {
	return New(Options{Store: table, CacheBytes: 1 << 20})
}

func newTurn(id string, ancestors ...string) *Turn {
	return &Turn{ID: id, Ancestors: ancestors, Input: []byte("in " + id), Output: []byte("out\n"), Worker: "w"}
}

// TestUncachedChainIsReadCompletely guards against losing part of a chain: a turn of
// several rows, or one whose ID contains a slash.
func TestUncachedChainIsReadCompletely(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := storetest.New()
		long := newTurn("a")
		long.Input = bytes.Repeat([]byte("0123456789"), 20_000)
		require.NoError(t, newTestStore(table).Write(t.Context(), long, nil, time.Minute))
		require.NoError(t, newTestStore(table).Write(t.Context(), newTurn("a/1x", "a"), nil, time.Minute))
		require.NoError(t, newTestStore(table).Write(t.Context(), newTurn("c", "a", "a/1x"), nil, time.Minute))
		chain, err := newTestStore(table).Chain(t.Context(), "c")
		require.NoError(t, err)
		require.Len(t, chain, 3)
		require.Equal(t, long.Input, chain[0].Input, "a turn that is split over several rows")
		require.Equal(t, "a/1x", chain[1].ID)
		require.Equal(t, string(long.Input)+"out\nin a/1xout\nin cout\nnew", string(bytes.Join(InputParts(chain, []byte("new")), nil)))
	})
}

// TestTurnIsWrittenWhileOnePlaceIsDown guards against turns that cannot be written or
// read while one partition is down, and against ErrNoTurn for them.
func TestTurnIsWrittenWhileOnePlaceIsDown(t *testing.T) {
	for _, down := range []storetest.Fault{storetest.Refused, storetest.RequestLost, storetest.ConnectionReset, storetest.AppliedLate} {
		synctest.Test(t, func(t *testing.T) {
			table := storetest.New()
			first := partOf("a", 0)
			require.NotEqual(t, first, partOf("a", 1))
			table.SetFault(func(part string, _ bool) storetest.Fault {
				if part == first {
					return down
				}
				return storetest.None
			})
			start := time.Now()
			require.NoError(t, newTestStore(table).Write(t.Context(), newTurn("a"), nil, time.Minute))
			_, err := newTestStore(table).Chain(t.Context(), "a")
			require.NoError(t, err)
			require.Less(t, time.Since(start), 400*time.Millisecond)
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			_, err = newTestStore(table).Chain(ctx, "b")
			require.Error(t, err)
			if partOf("b", 0) == first || partOf("b", 1) == first {
				require.NotErrorIs(t, err, ErrNoTurn, "an unanswered place does not prove that the turn is missing")
			}
			table.SetFault(nil)
			_, err = newTestStore(table).Chain(t.Context(), "a")
			require.NoError(t, err, "the place without the turn does not decide alone")
		})
	}
}

// TestErrNoTurnNeedsAllPlaces guards against ErrNoTurn when only some places answered.
func TestErrNoTurnNeedsAllPlaces(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := storetest.New()
		_, err := newTestStore(table).Chain(t.Context(), "a")
		require.ErrorIs(t, err, ErrNoTurn)
		for place := range placeCount {
			table.SetFault(func(part string, _ bool) storetest.Fault {
				if part == partOf("a", place) {
					return storetest.ConnectionReset
				}
				return storetest.None
			})
			_, err = newTestStore(table).Chain(t.Context(), "a")
			require.Error(t, err)
			require.NotErrorIs(t, err, ErrNoTurn)
		}
	})
}

// TestIncompleteChainIsAnError guards against returning a chain with a gap when an
// ancestor cannot be read.
func TestIncompleteChainIsAnError(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := storetest.New()
		require.NoError(t, newTestStore(table).Write(t.Context(), newTurn("a"), nil, time.Minute))
		require.NoError(t, newTestStore(table).Write(t.Context(), newTurn("next", "a"), nil, time.Minute))
		var down []string
		for place := range placeCount {
			down = append(down, partOf("a", place))
			require.NotContains(t, down, partOf("next", place), "the turn itself can be read")
		}
		table.SetFault(func(part string, _ bool) storetest.Fault {
			if slices.Contains(down, part) {
				return storetest.Refused
			}
			return storetest.None
		})
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		chain, err := newTestStore(table).Chain(ctx, "next")
		require.Error(t, err)
		require.Nil(t, chain)
	})
}

// TestCacheSizeIsBounded guards against unbounded growth of the cache, and against
// evicting the newest turn.
func TestCacheSizeIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := storetest.New()
		small := New(Options{Store: table, CacheBytes: 1000})
		for _, id := range []string{"a", "b", "c", "d", "e", "f", "g", "h", "i"} {
			require.NoError(t, small.Write(t.Context(), newTurn(id), nil, time.Minute))
		}
		require.LessOrEqual(t, small.cachedBytes, 1000)
		_, before := table.Calls()
		_, err := small.Chain(t.Context(), "i")
		require.NoError(t, err)
		_, after := table.Calls()
		require.Equal(t, before, after, "the newest is cached")
		_, err = small.Chain(t.Context(), "a")
		require.NoError(t, err, "the evicted oldest is read again")
	})
}

// TestWriteRenewsTheChain guards against earlier turns of a chain expiring before the
// newest one, and against turns that never expire.
func TestWriteRenewsTheChain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := storetest.New()
		sweeper := sweep.New(sweep.Options{Store: table})
		sweepAll := func() (removed int) {
			for _, part := range Parts() {
				count, err := sweeper.SweepPartition(t.Context(), Table, part)
				require.NoError(t, err)
				removed += count
			}
			return removed
		}
		previous := ""
		for _, id := range []string{"a", "b", "c", "d", "e", "f", "g", "h"} {
			var chain []*Turn
			next := newTurn(id)
			if previous != "" {
				var err error
				chain, err = newTestStore(table).Chain(t.Context(), previous)
				require.NoError(t, err)
			}
			for _, earlier := range chain {
				next.Ancestors = append(next.Ancestors, earlier.ID)
			}
			require.NoError(t, newTestStore(table).Write(t.Context(), next, chain, time.Minute))
			previous = id
			time.Sleep(50 * time.Second)
			sweepAll()
		}
		chain, err := newTestStore(table).Chain(t.Context(), "h")
		require.NoError(t, err)
		require.Len(t, chain, 8)
		time.Sleep(10 * time.Minute)
		require.Equal(t, 8, sweepAll())
	})
}

// TestChainIsKeptAsLongAsItsLastTurn guards against a chain that is removed before its last turn, whatever the retention is: an earlier
// turn was not renewed because it was written less than half of the retention before.
func TestChainIsKeptAsLongAsItsLastTurn(t *testing.T) {
	for _, retention := range []time.Duration{time.Minute, 10 * time.Minute, 24 * time.Hour} {
		synctest.Test(t, func(t *testing.T) {
			table := storetest.New()
			sweeper := sweep.New(sweep.Options{Store: table})
			require.NoError(t, newTestStore(table).Write(t.Context(), newTurn("a"), nil, retention))
			time.Sleep(retention/2 - time.Second)
			chain, err := newTestStore(table).Chain(t.Context(), "a")
			require.NoError(t, err)
			require.NoError(t, newTestStore(table).Write(t.Context(), newTurn("b", "a"), chain, retention))
			time.Sleep(retention - time.Second)
			for _, part := range Parts() {
				_, err := sweeper.SweepPartition(t.Context(), Table, part)
				require.NoError(t, err)
			}
			chain, err = newTestStore(table).Chain(t.Context(), "b")
			require.NoError(t, err, "turns are kept for %v", retention)
			require.Len(t, chain, 2)
		})
	}
}

// TestTurnsAreCachedOnlyInAllowedRegions guards against caching a turn outside the
// regions that its content is restricted to.
func TestTurnsAreCachedOnlyInAllowedRegions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := storetest.New()
		bound := locality.WithContentRegions(t.Context(), locality.Regions{"a"})
		for region, cached := range map[string]bool{"a": true, "b": false} {
			node := func() *TurnStore { return New(Options{Store: table, CacheBytes: 1 << 20, Region: region}) }
			for source, load := range map[string]func(*TurnStore) error{
				"written": func(s *TurnStore) error { return s.Write(bound, newTurn("t"), nil, time.Minute) },
				"read":    func(s *TurnStore) error { _, err := s.Chain(bound, "t"); return err },
				"cached":  func(s *TurnStore) error { s.CacheChain(bound, []*Turn{newTurn("t")}); return nil },
			} {
				turnStore := node()
				require.NoError(t, node().Write(bound, newTurn("t"), nil, time.Minute))
				require.NoError(t, load(turnStore))
				require.Equal(t, cached, turnStore.CachedChain("t") != nil, "%s in %s", source, region)
			}
		}
	})
}
