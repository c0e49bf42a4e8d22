package tablesync

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/stretchr/testify/require"

	"github.com/cloverwheel/cloverwheel/internal/store"
	"github.com/cloverwheel/cloverwheel/internal/store/storetest"
)

// tableCopy is the copy of the table that a follower's caller keeps.
type tableCopy struct {
	mutex sync.Mutex
	rows  map[string]string
}

func (p *tableCopy) replace(read Snapshot) {
	p.mutex.Lock()
	p.rows = map[string]string{}
	p.mutex.Unlock()
	p.change(read.Rows)
}

func (p *tableCopy) change(rows []store.Row) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, row := range rows {
		if row.Gone {
			delete(p.rows, row.Name)
			continue
		}
		p.rows[row.Name] = string(row.Value)
	}
}

func (p *tableCopy) get(name string) string {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.rows[name]
}

func follow(ctx context.Context, table store.Store) *tableCopy {
	p := &tableCopy{rows: map[string]string{}}
	follower := New(Options{
		Store: table, Table: "t", Replace: p.replace, Change: p.change,
		Logger: &log.Logger{Handler: discard.New(), Level: log.InfoLevel},
	})
	go follower.Run(ctx)
	return p
}

func put(t *testing.T, table *storetest.Table, name, value string) {
	_, err := table.Commit(t.Context(), store.Transaction{Put: []store.Row{{Key: store.Key{Table: "t", Name: name}, Value: []byte(value)}}})
	require.NoError(t, err)
}

func remove(t *testing.T, table *storetest.Table, name string) {
	_, err := table.Commit(t.Context(), store.Transaction{Remove: []store.Key{{Table: "t", Name: name}}})
	require.NoError(t, err)
}

func run(t *testing.T, test func(*testing.T, *storetest.Table, *tableCopy)) {
	synctest.Test(t, func(t *testing.T) {
		table := storetest.New()
		put(t, table, "a", "1")
		ctx, cancel := context.WithCancel(t.Context())
		p := follow(ctx, table)
		time.Sleep(time.Second)
		require.Equal(t, "1", p.get("a"))
		test(t, table, p)
		cancel()
		synctest.Wait()
	})
}

func TestChangesArriveAtOnce(t *testing.T) {
	run(t, func(t *testing.T, table *storetest.Table, p *tableCopy) {
		for change := range 5 {
			put(t, table, "a", fmt.Sprint(change))
			synctest.Wait()
			require.Equal(t, fmt.Sprint(change), p.get("a"))
			time.Sleep(3 * time.Second)
		}
	})
}

func TestTableIsReadAgainWhenHistoryIsGone(t *testing.T) {
	run(t, func(t *testing.T, table *storetest.Table, p *tableCopy) {
		table.SetFault(func(string, bool) storetest.Fault { return storetest.ConnectionReset })
		time.Sleep(5 * time.Second)
		table.SetFault(nil)
		put(t, table, "b", "2")
		remove(t, table, "a")
		table.DropHistory()
		time.Sleep(time.Second)
		require.Equal(t, "2", p.get("b"))
		require.Empty(t, p.get("a"), "rows missing from the new snapshot are removed")
	})
}

// Whatever went wrong before, a change must arrive within 2 s of its commit once the table has responded
// for 3 s. The last known state must remain available meanwhile.
func TestChangesArriveAfterAnyFault(t *testing.T) {
	for trouble := storetest.Refused; trouble <= storetest.AppliedThenReset; trouble++ {
		for range 5 {
			run(t, func(t *testing.T, table *storetest.Table, p *tableCopy) {
				var mutex sync.Mutex
				down := true
				table.SetFault(func(string, bool) storetest.Fault {
					mutex.Lock()
					defer mutex.Unlock()
					if down {
						return trouble
					}
					return storetest.None
				})
				time.Sleep(time.Second + rand.N(9*time.Second))
				require.Equal(t, "1", p.get("a"))
				mutex.Lock()
				down = false
				mutex.Unlock()
				time.Sleep(3 * time.Second)
				put(t, table, "a", "2")
				time.Sleep(2 * time.Second)
				require.Equal(t, "2", p.get("a"))
			})
		}
	}
}

func TestLongTableIsReadInPages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := storetest.New()
		table.PageRows = 3
		for index := range 10 {
			put(t, table, fmt.Sprint(index), "v")
		}
		ctx, cancel := context.WithCancel(t.Context())
		p := follow(ctx, table)
		time.Sleep(time.Second)
		cancel()
		synctest.Wait()
		require.Len(t, p.rows, 10)
	})
}

// A table that refuses most calls, as at a mass start, must be read without starting again after each
// refusal.
func TestRefusedPagesAreRetried(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := storetest.New()
		table.PageRows = 3
		for index := range 60 {
			put(t, table, fmt.Sprintf("%02d", index), "v")
		}
		random := rand.New(rand.NewPCG(1, 1))
		table.SetFault(func(string, bool) storetest.Fault {
			if random.IntN(100) < 60 {
				return storetest.Refused
			}
			return storetest.None
		})
		ctx, cancel := context.WithCancel(t.Context())
		p := follow(ctx, table)
		time.Sleep(2 * time.Second)
		require.NotEmpty(t, p.get("00"), "the first pages are applied before the last one arrives")
		time.Sleep(8 * time.Second)
		cancel()
		synctest.Wait()
		require.Len(t, p.rows, 60)
	})
}

// Polls of an idle table must last as long as Options.MaxStaleness allows.
func TestPollsLastAsLongAsFreshAllows(t *testing.T) {
	for fresh, maxPolls := range map[time.Duration]int{0: 31, 3 * time.Second: 31, 5 * time.Second: 16} {
		synctest.Test(t, func(t *testing.T) {
			table := storetest.New()
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			noChange := func([]store.Row) {}
			noReplace := func(Snapshot) {}
			follower := New(Options{
				Store: table, Table: "t", Replace: noReplace, Change: noChange, MaxStaleness: fresh,
				Logger: &log.Logger{Handler: discard.New(), Level: log.InfoLevel},
			})
			go follower.Run(ctx)
			time.Sleep(time.Minute)
			require.LessOrEqual(t, table.Watches(), maxPolls, "fresh within %v", fresh)
			require.Greater(t, table.Watches(), maxPolls-3, "fresh within %v", fresh)
			cancel()
			synctest.Wait()
		})
	}
}

// A call without a response must time out before Options.MaxStaleness has passed.
func TestLostResponseTimesOutWithinFresh(t *testing.T) {
	for _, fresh := range []time.Duration{3 * time.Second, 5 * time.Second, 8 * time.Second} {
		follower := New(Options{MaxStaleness: fresh})
		require.Less(t, follower.pollDuration()+responseTimeout, fresh)
	}
}
