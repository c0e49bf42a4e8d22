package history

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cloverwheel/cloverwheel/internal/locality"
	"github.com/cloverwheel/cloverwheel/internal/store"
	"github.com/cloverwheel/cloverwheel/internal/store/storetest"
)

// Guards against more reads than the bound allows, and against reads that are never granted or released when callers leave while they wait.
func TestReadsAreBoundedAndReleased(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for seed := range uint64(20) {
			draw := rand.New(rand.NewPCG(seed, 0))
			limiter := newReadLimiter()
			limiter.allowed = float64(1 + draw.IntN(5))
			most := int(limiter.allowed)
			var mutex sync.Mutex
			running, served := 0, 0
			var reads sync.WaitGroup
			for range 200 {
				wait, takes := time.Duration(draw.IntN(400))*time.Millisecond, time.Duration(draw.IntN(20))*time.Millisecond
				begins, order := time.Duration(draw.IntN(300))*time.Millisecond, draw.Uint64N(50)
				reads.Go(func() {
					time.Sleep(begins)
					ctx, cancel := context.WithTimeout(t.Context(), wait)
					defer cancel()
					if limiter.acquire(ctx, order) != nil {
						return
					}
					mutex.Lock()
					running++
					served++
					require.LessOrEqual(t, running, most)
					mutex.Unlock()
					time.Sleep(takes)
					mutex.Lock()
					running--
					mutex.Unlock()
					limiter.release()
				})
			}
			reads.Wait()
			require.Positive(t, served)
			require.Zero(t, limiter.inUse)
			require.Zero(t, limiter.waiting.Len())
		}
	})
}

// Guards against a bound that throttling reduces for good, or to nothing, and against one that falls to the ground by a single round of reads.
func TestBoundFollowsTheTable(t *testing.T) {
	limiter, now := newReadLimiter(), time.Now()
	for range 30 {
		limiter.throttled(now)
	}
	require.Equal(t, startReads/2, limiter.limit(), "one round")
	for range 30 {
		now = now.Add(shrinkPause)
		limiter.throttled(now)
	}
	require.Equal(t, 1, limiter.limit())
	limiter.answered()
	require.Equal(t, 1, limiter.limit(), "it is not used up, so an answer shows nothing")
	limiter.inUse = maxReads
	for range 10_000 {
		limiter.answered()
	}
	require.Equal(t, maxReads, limiter.limit())
}

// Guards against conversations that are all read a little, and none whole, when there are more than the table answers in time.
func TestFirstConversationIsReadFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limiter := newReadLimiter()
		limiter.allowed = 1
		require.NoError(t, limiter.acquire(t.Context(), 9))
		var mutex sync.Mutex
		var order []uint64
		var reads sync.WaitGroup
		for _, arrival := range []uint64{5, 3, 8, 1, 3, 5} {
			reads.Go(func() {
				_ = limiter.acquire(t.Context(), arrival)
				mutex.Lock()
				order = append(order, arrival)
				mutex.Unlock()
				limiter.release()
			})
			synctest.Wait()
		}
		limiter.release()
		reads.Wait()
		require.Equal(t, []uint64{1, 3, 3, 5, 5, 8}, order)
	})
}

// throttledStore returns a node whose table throttles all reads while busy returns true, and holds a conversation of 3 turns.
func throttledStore(t *testing.T, busy func() bool) (turns *TurnStore, table *storetest.Table, last string) {
	table = storetest.New()
	last = writeConversation(t, newTestStore(table), "a", inputsOf(3, 10)...)
	table.SetFault(func(string, bool) storetest.Fault {
		if busy() {
			return storetest.Throttled
		}
		return storetest.None
	})
	return newTestStore(table), table, last
}

// Guards against a conversation that begins anew with each request of its client, and loses its place to others (LOST).
func TestConversationIsReadWhileItsClientIsAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		begun := time.Now()
		turns, _, last := throttledStore(t, func() bool { return time.Since(begun) < 2*time.Second })
		ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
		defer cancel()
		_, err := turns.Chain(ctx, last)
		var busy *BusyError
		require.ErrorAs(t, err, &busy)
		require.ErrorIs(t, err, store.ErrThrottled)
		require.NotNil(t, turns.WaitingFor(last))
		time.Sleep(2200 * time.Millisecond)
		require.NotNil(t, turns.CachedChain(last), "it was read meanwhile")
		require.Nil(t, turns.WaitingFor(last))
		conversations, _ := turns.Waiting()
		require.Zero(t, conversations)
		time.Sleep(maxReadingTime)
	})
}

// Guards against reads for clients that do not come back, which delay those of others.
func TestConversationNobodyComesBackForIsGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		turns, _, last := throttledStore(t, func() bool { return true })
		for _, ends := range []func() (context.Context, context.CancelFunc){
			func() (context.Context, context.CancelFunc) { return context.WithTimeout(t.Context(), time.Second) },
			func() (context.Context, context.CancelFunc) {
				ctx, cancel := context.WithCancel(t.Context()) // it has the conversation from elsewhere
				time.AfterFunc(time.Second, cancel)
				return ctx, cancel
			},
		} {
			ctx, cancel := ends()
			_, err := turns.Chain(ctx, last)
			require.ErrorIs(t, err, store.ErrThrottled)
			cancel()
			time.Sleep(returnTime + time.Second)
			conversations, _ := turns.Waiting()
			require.Zero(t, conversations)
		}
		time.Sleep(maxReadingTime)
	})
}

// Guards against a request that waits for its deadline although its conversation is known to come too late.
func TestLateConversationIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := &readLimitedTable{rows: map[store.Key]store.Row{}, perSecond: 100, latency: 4 * time.Millisecond}
		writer := New(Options{Store: table, CacheBytes: 1})
		var last []string
		for number := range 300 {
			last = append(last, writeConversation(t, writer, fmt.Sprint("c", number), inputsOf(2, 10)...))
		}
		turns := New(Options{Store: table, CacheBytes: 1 << 20})
		ask := func(number int) (time.Duration, error) {
			ctx, cancel := context.WithTimeout(t.Context(), recoveryWait)
			defer cancel()
			start := time.Now()
			_, err := turns.Chain(ctx, last[number])
			return time.Since(start), err
		}
		var first sync.WaitGroup
		for number := range 299 {
			first.Go(func() { _, _ = ask(number) })
		}
		first.Wait()
		took, err := ask(299)
		var busy *BusyError
		require.ErrorAs(t, err, &busy)
		require.Less(t, took, 10*time.Millisecond)
		require.Greater(t, busy.Ahead, 100)
		require.Greater(t, busy.RetryAfter, recoveryWait)
		time.Sleep(maxReadingTime)
	})
}

// Guards against content that is cached or shared where it may not be held, since a request without that restriction came first.
func TestReadingsOfOtherRegionsAreNotShared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		begun := time.Now()
		turns, _, last := throttledStore(t, func() bool { return time.Since(begun) < time.Second })
		turns.options.Region = "here"
		bound := locality.WithContentRegions(t.Context(), locality.Regions{"elsewhere"})
		var both sync.WaitGroup
		for _, ctx := range []context.Context{bound, bound} {
			both.Go(func() {
				chain, err := turns.Chain(ctx, last)
				require.NoError(t, err)
				require.Len(t, chain, 3)
			})
		}
		both.Wait()
		require.Nil(t, turns.CachedChain(last))
		_, err := turns.Chain(t.Context(), last)
		require.NoError(t, err)
		require.NotNil(t, turns.CachedChain(last))
		time.Sleep(maxReadingTime)
	})
}

// Guards against long conversations that take more memory together than the node has for them, and memory that is never released (FAULT).
func TestReadingsReserveMemory(t *testing.T) {
	table := storetest.New()
	last := writeConversation(t, newTestStore(table), "a", inputsOf(10, 30_000)...)
	reserved, allowed := int64(0), int64(400_000)
	var mutex sync.Mutex
	turns := New(Options{Store: table, CacheBytes: 1, Reserve: func(bytes int64) (func(), bool) {
		mutex.Lock()
		defer mutex.Unlock()
		if reserved+bytes > allowed {
			return nil, false
		}
		reserved += bytes
		return func() {
			mutex.Lock()
			defer mutex.Unlock()
			reserved -= bytes
		}, true
	}})
	_, err := turns.Chain(t.Context(), last)
	require.NoError(t, err)
	mutex.Lock()
	allowed = 100_000
	mutex.Unlock()
	_, err = turns.Chain(t.Context(), last)
	require.ErrorIs(t, err, ErrNoMemory)
	require.Eventually(t, func() bool {
		mutex.Lock()
		defer mutex.Unlock()
		return reserved == 0
	}, time.Second, time.Millisecond)
}

// heldTable lets reads wait until they are released, and then answers what the table held when they came.
type heldTable struct {
	*storetest.Table
	release chan struct{}
}

// Range implements store.Store.
func (h heldTable) Range(ctx context.Context, table, part, from, to string, limit int) (store.Page, error) {
	page, err := h.Table.Range(ctx, table, part, from, to, limit)
	<-h.release
	return page, err
}

// Guards against "no such turn" for a turn that was written while another request, which came before that, had the table read (LOST).
func TestReadingThatBeganEarlierDoesNotProveTurnMissing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := heldTable{storetest.New(), make(chan struct{})}
		turns := New(Options{Store: table, CacheBytes: 1 << 20})
		early, late := make(chan error, 1), make(chan error, 1)
		go func() { _, err := turns.Chain(t.Context(), "a-0"); early <- err }()
		time.Sleep(readPlaceTimeout + 50*time.Millisecond) // both places are read
		writeConversation(t, newTestStore(table.Table), "a", []byte("in"))
		go func() { _, err := turns.Chain(t.Context(), "a-0"); late <- err }()
		synctest.Wait()
		close(table.release)
		require.ErrorIs(t, <-early, ErrNoTurn)
		require.NoError(t, <-late)
	})
}
