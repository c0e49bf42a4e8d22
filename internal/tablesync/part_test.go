package tablesync

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"

	"github.com/cloverwheel/cloverwheel/internal/store"
	"github.com/cloverwheel/cloverwheel/internal/store/storetest"
)

// countingStore counts the rows read.
type countingStore struct {
	*storetest.Table
	mutex sync.Mutex
	rows  int
}

func (s *countingStore) count(page store.Page) store.Page {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.rows += len(page.Rows)
	return page
}

func (s *countingStore) read() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.rows
}

func (s *countingStore) Range(ctx context.Context, table, part, from, to string, limit int) (store.Page, error) {
	page, err := s.Table.Range(ctx, table, part, from, to, limit)
	return s.count(page), err
}

func (s *countingStore) Watch(ctx context.Context, table string, after store.Version, wait time.Duration) (store.Page, error) {
	page, err := s.Table.Watch(ctx, table, after, wait)
	return s.count(page), err
}

func workerName(index int) string {
	return fmt.Sprintf("i-%010x", xxhash.Sum64String(fmt.Sprint(index))>>24)
}

// longTable returns a table with the given number of rows.
func longTable(t *testing.T, rows int) *countingStore {
	table := &countingStore{Table: storetest.New()}
	for index := range rows {
		put(t, table.Table, workerName(index), "1")
	}
	return table
}

// followPart starts a follower with a part selected by text. A nil enough accepts any part.
func followPart(ctx context.Context, table store.Store, text string, enough func(*tableCopy) bool) (*tableCopy, *Follower) {
	p := &tableCopy{rows: map[string]string{}}
	if enough == nil {
		enough = func(*tableCopy) bool { return true }
	}
	follower := New(Options{
		Store: table, Table: "t", Replace: p.replace, Change: p.change,
		Part:   &Part{Key: text, RowCount: p.size, Enough: func() bool { return enough(p) }},
		Logger: &log.Logger{Handler: discard.New(), Level: log.InfoLevel},
	})
	go follower.Run(ctx)
	return p, follower
}

func (p *tableCopy) size() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return len(p.rows)
}

func (p *tableCopy) all() map[string]string {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return maps.Clone(p.rows)
}

func (f *Follower) contains(name string) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.span.contains(name)
}

// runPart runs a test with a table of the given number of rows.
func runPart(t *testing.T, rows int, test func(ctx context.Context, table *countingStore)) {
	synctest.Test(t, func(t *testing.T) {
		table := longTable(t, rows)
		ctx, cancel := context.WithCancel(t.Context())
		test(ctx, table)
		cancel()
		synctest.Wait()
	})
}

func TestShortTablesAreKeptWhole(t *testing.T) {
	for _, rows := range []int{0, 1, 12, 63, 64, 65, 300, 400} {
		runPart(t, rows, func(ctx context.Context, table *countingStore) {
			p, follower := followPart(ctx, table, "node", nil)
			time.Sleep(time.Second)
			require.Equal(t, rows, p.size())
			require.True(t, follower.Whole())
			require.LessOrEqual(t, table.read(), rows+1)
		})
	}
}

// The rows that a node reads at startup must not grow with the table, and the parts of all nodes must
// together cover nearly all of it.
func TestLongTablesAreKeptInPart(t *testing.T) {
	const nodes = 300
	for _, rows := range []int{2500, 5000} {
		runPart(t, rows, func(ctx context.Context, table *countingStore) {
			known := map[string]int{}
			for node := range nodes {
				p, follower := followPart(ctx, table, fmt.Sprint("node-", node), nil)
				time.Sleep(100 * time.Millisecond)
				require.InDelta(t, minPartRows, p.size(), 1)
				require.False(t, follower.Whole())
				for name := range p.all() {
					known[name]++
				}
			}
			require.LessOrEqual(t, table.read(), nodes*(sampleRows+minPartRows+1))
			require.Greater(t, len(known), rows*95/100)
			for name, count := range known {
				require.LessOrEqual(t, count, 6*nodes*minPartRows/rows, name)
			}
		})
	}
}

// The rows that a node reads while thousands of workers start must be bounded, and its part must be
// correct afterwards.
func TestPartOfATableDuringMassStart(t *testing.T) {
	const rows, over = 4000, 6 * time.Second
	runPart(t, 0, func(ctx context.Context, table *countingStore) {
		p, follower := followPart(ctx, table, "node", nil)
		for index := range rows {
			put(t, table.Table, workerName(index), "1")
			time.Sleep(over / rows)
		}
		time.Sleep(10 * time.Second)
		require.False(t, follower.Whole())
		require.GreaterOrEqual(t, p.size(), minPartRows/2)
		require.LessOrEqual(t, p.size(), 2*minPartRows)
		require.LessOrEqual(t, table.read(), 1200)
		for name, value := range wholeTable(ctx, t, table) {
			if follower.contains(name) {
				require.Equal(t, value, p.get(name))
			}
		}
		before := table.read()
		put(t, table.Table, workerName(7), "2")
		time.Sleep(time.Minute)
		require.LessOrEqual(t, table.read(), before+1, "back on the feed")
	})
}

// After a long table is emptied and filled again during churn, the follower must keep a part at its own
// position, not at the start of the table.
func TestPartOfATableThatIsEmptiedAndRefilled(t *testing.T) {
	runPart(t, 3000, func(ctx context.Context, table *countingStore) {
		p, follower := followPart(ctx, table, "node", nil)
		time.Sleep(time.Second)
		for index := range 3000 {
			remove(t, table.Table, workerName(index))
			if index%40 == 0 {
				time.Sleep(100 * time.Millisecond)
			}
		}
		time.Sleep(20 * time.Second)
		require.Zero(t, p.size())
		for index := range 3000 {
			put(t, table.Table, workerName(index), "1")
			time.Sleep(time.Millisecond)
		}
		time.Sleep(20 * time.Second)
		require.False(t, follower.Whole())
		require.GreaterOrEqual(t, p.size(), minPartRows/2)
		for name := range p.all() {
			require.True(t, follower.contains(name))
			require.Greater(t, name, "i-08", "not the start of the table")
		}
	})
}

// In a table that is kept whole, entries that return after an outage must be known at once.
func TestReturningEntriesAreKnownAtOnce(t *testing.T) {
	runPart(t, 300, func(ctx context.Context, table *countingStore) {
		p, _ := followPart(ctx, table, "node", nil)
		time.Sleep(10 * time.Second)
		for index := range 300 {
			remove(t, table.Table, workerName(index))
		}
		time.Sleep(time.Minute)
		require.Zero(t, p.size())
		before := table.read()
		for index := range 300 {
			put(t, table.Table, workerName(index), "1")
			time.Sleep(3 * time.Millisecond)
		}
		synctest.Wait()
		require.Equal(t, 300, p.size())
		require.LessOrEqual(t, table.read(), before+300)
	})
}

// During churn, workers that leave must either be known as leaving within maxRereadInterval or no longer be
// in the part.
func TestLeavingWorkersDuringChurn(t *testing.T) {
	runPart(t, 3000, func(ctx context.Context, table *countingStore) {
		p, follower := followPart(ctx, table, "node", nil)
		time.Sleep(time.Second)
		for round := range 40 {
			for index := range 60 {
				number := round*60 + index
				remove(t, table.Table, workerName(number))
				put(t, table.Table, workerName(3000+number), "1")
			}
			time.Sleep(200 * time.Millisecond)
		}
		leaving := p.all()
		for name := range leaving {
			put(t, table.Table, name, "leaves")
		}
		time.Sleep(maxRereadInterval + 100*time.Millisecond)
		known := 0
		for name := range leaving {
			require.NotEqual(t, "1", p.get(name), "%s must not be assigned new work", name)
			if p.get(name) == "leaves" {
				known++
			}
		}
		require.Positive(t, known)
		require.False(t, follower.Whole())
	})
}

func TestPartGrowsUntilItIsEnough(t *testing.T) {
	runPart(t, 1500, func(ctx context.Context, table *countingStore) {
		p, follower := followPart(ctx, table, "node", func(p *tableCopy) bool { return p.size() >= 900 })
		time.Sleep(time.Minute)
		require.GreaterOrEqual(t, p.size(), 900)
		require.Less(t, p.size(), 900+900/2+minGrowRows, "grows by at most one step too many")
		require.False(t, follower.Whole())
	})
	runPart(t, 1500, func(ctx context.Context, table *countingStore) {
		p, follower := followPart(ctx, table, "node", func(*tableCopy) bool { return false })
		time.Sleep(time.Minute)
		require.Equal(t, 1500, p.size())
		require.True(t, follower.Whole())
		require.LessOrEqual(t, table.read(), 1500+sampleRows+20)
	})
}

// Processes that call FetchAt with the same text must get the same rows, and must keep them up to date.
func TestAskAtReturnsTheSameRowsEverywhere(t *testing.T) {
	runPart(t, 3000, func(ctx context.Context, table *countingStore) {
		var names []string
		for node := range 5 {
			p, follower := followPart(ctx, table, fmt.Sprint("node-", node), nil)
			time.Sleep(time.Second)
			rows, err := follower.FetchAt(ctx, "part", 32)
			require.NoError(t, err)
			var got []string
			for _, row := range rows {
				got = append(got, row.Name)
				require.Equal(t, "1", p.get(row.Name))
			}
			require.Len(t, got, 32)
			if names == nil {
				names = got
			}
			require.Equal(t, names, got)
			put(t, table.Table, got[3], "2")
			remove(t, table.Table, got[4])
			time.Sleep(time.Second)
			require.Equal(t, "2", p.get(got[3]), "requested rows are kept up to date")
			require.Empty(t, p.get(got[4]))
			put(t, table.Table, got[3], "1")
			put(t, table.Table, got[4], "1")
			time.Sleep(time.Second)
		}
	})
}

// Under random changes and faults, a part must end up equal to its range of the table, and the requested
// rows must be correct.
func TestPartIsCorrectAfterRandomFaults(t *testing.T) {
	for seed := range uint64(12) {
		random := rand.New(rand.NewPCG(seed, 3))
		runPart(t, 1200, func(ctx context.Context, table *countingStore) {
			p, follower := followPart(ctx, table, "node", func(p *tableCopy) bool { return p.size() >= 150 })
			var mutex sync.Mutex
			faults := rand.New(rand.NewPCG(seed, 4))
			table.SetFault(func(string, bool) storetest.Fault {
				mutex.Lock()
				defer mutex.Unlock()
				return storetest.Fault(faults.IntN(int(storetest.AppliedThenReset) + 1))
			})
			requested := map[string]bool{}
			for range 300 {
				name := workerName(random.IntN(1600))
				switch random.IntN(8) {
				case 0:
					table.DropHistory()
				case 1, 2:
					_ = table.CommitWithoutFaults(store.Transaction{Remove: []store.Key{{Table: "t", Name: name}}})
				case 3:
					limited, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
					if rows, err := follower.Fetch(limited, name, name+"\x00", 1); err == nil && len(rows) == 1 {
						requested[name] = true
					}
					cancel()
				default:
					_ = table.CommitWithoutFaults(store.Transaction{Put: []store.Row{{Key: store.Key{Table: "t", Name: name}, Value: []byte(fmt.Sprint(random.IntN(9)))}}})
				}
				time.Sleep(time.Duration(random.IntN(60)) * time.Millisecond)
			}
			table.SetFault(nil)
			time.Sleep(10 * time.Second)
			page := wholeTable(ctx, t, table)
			require.GreaterOrEqual(t, p.size(), 150)
			for name, value := range p.all() {
				require.Equal(t, page[name], value, "seed %d", seed)
			}
			for name, value := range page {
				if follower.contains(name) {
					require.Equal(t, value, p.get(name), "seed %d: %s is in the part", seed, name)
				}
			}
		})
	}
}

// wholeTable returns all rows of the table.
func wholeTable(ctx context.Context, t *testing.T, table *countingStore) map[string]string {
	all := map[string]string{}
	for from := ""; ; {
		page, err := table.Range(ctx, "t", "", from, "", 0)
		require.NoError(t, err)
		for _, row := range page.Rows {
			all[row.Name] = string(row.Value)
			from = strings.Clone(row.Name)
		}
		if !page.More {
			return all
		}
	}
}
