package standin_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cloverwheel/cloverwheel/internal/chat"
	"github.com/cloverwheel/cloverwheel/internal/engine"
	"github.com/cloverwheel/cloverwheel/internal/fault"
	"github.com/cloverwheel/cloverwheel/internal/id"
	"github.com/cloverwheel/cloverwheel/internal/standin"
)

func TestHoldsEndByThemselves(t *testing.T) {
	onEngine(t, standin.EngineOptions{Speed: 10}, func(t *testing.T, e *standin.Engine) {
		request := generation("p-1/1/1", prompt(200), 10)
		span(t, e, "p-0/1/1", 1)
		_, err := e.Generate(t.Context(), request, ignore)
		require.NoError(t, err)
		hold := engine.Hold{Program: "p-1", Segment: chat.Prefix{}.Extend(request.Messages...)[0].Hash, Fence: owner}
		held := func() int {
			time.Sleep(time.Second)
			report, err := e.Load(t.Context())
			require.NoError(t, err)
			return report.HeldTokens
		}
		for range 3 {
			hold.Until = time.Now().Add(3 * time.Second)
			require.NoError(t, e.Hold(t.Context(), hold))
			require.Equal(t, 204, held(), "a repeated hold renews the first")
		}
		time.Sleep(3 * time.Second)
		require.Zero(t, held())
		hold.Until = time.Now().Add(time.Minute)
		require.NoError(t, e.Hold(t.Context(), hold))
		require.Equal(t, 204, held())
		require.NoError(t, e.Release(t.Context(), "p-1", owner))
		require.Zero(t, held())
		hold.Segment++
		requireFault(t, e.Hold(t.Context(), hold), fault.NotFound, fault.RanNo)
	})
}

// cachedTokens runs a request and returns how much of its prompt was cached.
func cachedTokens(t *testing.T, e *standin.Engine, request id.Request, tokens int) int {
	t.Helper()
	outcome, err := e.Generate(t.Context(), generation(request, prompt(tokens), 5), ignore)
	require.NoError(t, err)
	return outcome.Usage.CachedTokens
}

func TestContextMovesBetweenEngines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := standin.NewMemoryObjects()
		first := startEngine(t, standin.EngineOptions{Name: "first", Store: store, Retention: time.Hour})
		second := startEngine(t, standin.EngineOptions{Name: "second", Store: store})
		require.Zero(t, cachedTokens(t, first, "p-1/1/1", 500))
		segment := chat.Prefix{}.Extend(generation("", prompt(500), 0).Messages...)[0].Hash
		key, err := first.Export(t.Context(), "p-1", segment, owner)
		require.NoError(t, err)
		require.NoError(t, second.Import(t.Context(), key, owner))
		require.Equal(t, 504, cachedTokens(t, second, "p-1/2/1", 500))
		require.NoError(t, second.Drop(t.Context(), segment, owner))
		require.Zero(t, cachedTokens(t, second, "p-1/3/1", 500))
		time.Sleep(time.Hour)
		synctest.Wait()
		requireFault(t, second.Import(t.Context(), key, owner), fault.NotFound, fault.RanNo)
	})
}

func TestCacheEventsComeLateAndWithGaps(t *testing.T) {
	onEngine(t, standin.EngineOptions{Lag: time.Second, EventGap: 2}, func(t *testing.T, e *standin.Engine) {
		span(t, e, "p-1/1/1", 5)
		events, err := e.Events(t.Context(), 0)
		require.NoError(t, err)
		require.Empty(t, events, "events come late")
		for _, request := range []id.Request{"p-2/1/1", "p-3/1/1"} {
			span(t, e, request, 5)
		}
		time.Sleep(time.Second)
		events, err = e.Events(t.Context(), 0)
		require.NoError(t, err)
		var sequences []uint64
		for _, event := range events {
			sequences = append(sequences, event.Sequence)
		}
		require.Equal(t, []uint64{1, 3}, sequences)
		prefix := chat.Prefix{}.Extend(generation("", "Go on.", 0).Messages...)
		require.Equal(t, engine.CacheEvent{Sequence: 1, Kind: engine.EventStored, Segment: prefix[0]}, events[0])
		events, err = e.Events(t.Context(), 1)
		require.NoError(t, err)
		require.Len(t, events, 1)
	})
}
