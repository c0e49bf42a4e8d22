package history

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cloverwheel/cloverwheel/internal/store"
	"github.com/cloverwheel/cloverwheel/internal/store/storetest"
)

// readLimitedTable is a table that answers so many reads a second, each after a latency, and throttles others at once. Its rows are short turns.
type readLimitedTable struct {
	*storetest.Table
	rows      map[store.Key]store.Row
	perSecond float64
	latency   time.Duration

	mutex     sync.Mutex
	left      float64
	at        time.Time
	answered  int
	throttled int
}

// readBurst is the time for which reads that were not made may be made later.
const readBurst = 100 * time.Millisecond

// Range implements store.Store.
func (r *readLimitedTable) Range(ctx context.Context, table, part, from, to string, limit int) (store.Page, error) {
	if !r.take(time.Now()) {
		return store.Page{}, store.ErrThrottled
	}
	select {
	case <-time.After(r.latency):
	case <-ctx.Done():
		return store.Page{}, ctx.Err()
	}
	row, ok := r.rows[store.Key{Table: table, Part: part, Name: from}]
	if !ok {
		return store.Page{}, nil
	}
	return store.Page{Rows: []store.Row{row}}, nil
}

// Commit implements store.Store.
func (r *readLimitedTable) Commit(_ context.Context, transaction store.Transaction) (store.Version, error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, row := range transaction.Put {
		row.Version = 1
		r.rows[row.Key] = row
	}
	return 1, nil
}

func (r *readLimitedTable) take(now time.Time) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.left = min(r.left+r.perSecond*now.Sub(r.at).Seconds(), r.perSecond*readBurst.Seconds())
	r.at = now
	if r.left < 1 {
		r.throttled++
		return false
	}
	r.left--
	r.answered++
	return true
}

const (
	// recoveryWait is how long a request waits for its history, recoveryTime how long clients come back, and maxReturn their longest pause.
	recoveryWait = 900 * time.Millisecond
	recoveryTime = 12 * time.Second
	maxReturn    = time.Second
)

// ask asks a node for a conversation. While a node that was asked before reads it, it waits for that one, as nodes do.
func ask(ctx context.Context, node *TurnStore, before []*TurnStore, last string) error {
	for _, other := range before {
		for other != node && node.WaitingFor(last) == nil {
			busy := other.WaitingFor(last)
			if other.CachedChain(last) != nil {
				return nil
			}
			if busy == nil {
				break
			}
			pause := max(busy.RetryAfter, 25*time.Millisecond)
			if deadline, _ := ctx.Deadline(); time.Until(deadline) < pause {
				return busy
			}
			time.Sleep(pause)
		}
	}
	_, err := node.Chain(ctx, last)
	return err
}

// askUntil asks nodes in turn for a conversation until it was read or recoveryTime is over, as clients do.
func askUntil(end time.Time, nodes []*TurnStore, client int, last string, draw *rand.Rand) (tries int, found bool) {
	var before []*TurnStore
	for time.Now().Before(end) {
		ctx, cancel := context.WithTimeout(context.Background(), recoveryWait)
		node := nodes[(client+tries)%len(nodes)]
		err := ask(ctx, node, before, last)
		cancel()
		before = append([]*TurnStore{node}, before...)
		before = before[:min(len(before), 3)]
		tries++
		if err == nil {
			return tries, time.Now().Before(end)
		}
		pause := 100*time.Millisecond + time.Duration(draw.IntN(300))*time.Millisecond
		if busy := new(BusyError); errors.As(err, &busy) && tries%2 == 1 {
			pause = min(max(busy.RetryAfter, 120*time.Millisecond), maxReturn)
		}
		time.Sleep(pause)
	}
	return tries, false
}

// Guards against conversations that are not read back in time after the loss of all nodes, although the table could answer that many reads
// (LOST): beyond its limit all of them got slower, and most were never read.
func TestConversationsAreReadWithinTheLimitOfTheTable(t *testing.T) {
	for _, test := range []struct {
		nodes, conversations, turns int
		blocks                      bool // the turns were written with blocks, else by an earlier build
	}{
		{3, 600, 18, true}, {3, 600, 18, false}, {3, 90, 120, true}, {3, 90, 120, false}, {2, 600, 40, true}, {3, 600, 4, false}, {30, 600, 18, true}, {100, 600, 18, true},
	} {
		t.Run(fmt.Sprintf("%d conversations of %d turns, %d nodes, blocks %v", test.conversations, test.turns, test.nodes, test.blocks), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				table := &readLimitedTable{Table: storetest.New(), rows: map[store.Key]store.Row{}, perSecond: 2000, latency: 4 * time.Millisecond}
				last := make([]string, test.conversations)
				writer := New(Options{Store: table, CacheBytes: 1})
				if !test.blocks {
					writer.options.Reserve = func(int64) (func(), bool) { return nil, false }
				}
				for number := range last {
					last[number] = writeConversation(t, writer, fmt.Sprint("c", number), inputsOf(test.turns, 100)...)
				}
				var nodes []*TurnStore
				for range test.nodes {
					nodes = append(nodes, New(Options{Store: table, CacheBytes: 7 << 20}))
				}
				start := time.Now()
				var read, tries atomic.Int64
				var clients sync.WaitGroup
				for number := range last {
					draw := rand.New(rand.NewPCG(1, uint64(number)))
					clients.Go(func() {
						tried, found := askUntil(start.Add(recoveryTime), nodes, number, last[number], draw)
						tries.Add(int64(tried))
						if found {
							read.Add(1)
						}
					})
				}
				clients.Wait()
				t.Logf("%d of %d read after %v in %d tries; reads answered %d, throttled %d", read.Load(), len(last), time.Since(start), tries.Load(), table.answered, table.throttled)
				require.EqualValues(t, len(last), read.Load())
				time.Sleep(maxReadingTime)
			})
		})
	}
}
