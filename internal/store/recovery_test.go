package store_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/stretchr/testify/require"

	"github.com/cloverwheel/cloverwheel/internal/store"
	"github.com/cloverwheel/cloverwheel/internal/store/storetest"
)

const (
	// callerTimeout is the timeout of a call, as package budget uses it.
	callerTimeout = 130 * time.Millisecond
	// recoverWithin is the time after the end of an outage within which calls succeed again.
	recoverWithin = 2 * time.Second
)

// outage is a kind of outage of a table. begin starts it for the parts that affected accepts.
type outage struct {
	name  string
	begin func(table *storetest.SlowTable, latency time.Duration, affected func(part string) bool)
}

func faultOf(fault storetest.Fault) func(*storetest.SlowTable, time.Duration, func(string) bool) {
	return func(table *storetest.SlowTable, _ time.Duration, affected func(string) bool) {
		table.SetFault(func(part string, _ bool) storetest.Fault {
			if affected(part) {
				return fault
			}
			return storetest.None
		})
	}
}

var outages = []outage{
	{"slow", func(table *storetest.SlowTable, latency time.Duration, _ func(string) bool) {
		table.SetLatency(100 * latency)
	}},
	{"silent", faultOf(storetest.RequestLost)},
	{"busy", faultOf(storetest.Refused)},
}

func everyPart(string) bool { return true }

// load calls the table every 5 ms for the parts in turn, until ctx ends, and passes the results
// of calls that started at or after since to report.
func load(ctx context.Context, table store.Store, parts int, since time.Time, report func(part string, err error)) {
	for call := 0; ctx.Err() == nil; call++ {
		part, begun := fmt.Sprint("p", call%parts), time.Now()
		write := store.Transaction{Put: []store.Row{{Key: store.Key{Table: "t", Part: part, Name: "k"}}}}
		go func() {
			limited, cancel := context.WithTimeout(context.Background(), callerTimeout)
			defer cancel()
			var err error
			if call/parts%2 == 0 {
				_, err = table.Range(limited, "t", part, "", "", 1)
			} else {
				_, err = store.CommitHedged(limited, table, write)
			}
			if !begun.Before(since) {
				report(part, err)
			}
		}()
		time.Sleep(5 * time.Millisecond)
	}
}

// Calls must succeed soon after an outage ends, whatever the table's latency: probes need a
// timeout of their own, since the callers' may be too short for a response.
func TestRecoveryAfterOutage(t *testing.T) {
	for _, latency := range []time.Duration{time.Millisecond, 30 * time.Millisecond, 33 * time.Millisecond, 100 * time.Millisecond} {
		for _, outage := range outages {
			for name, affected := range map[string]func(string) bool{"all": everyPart, "one part": func(part string) bool { return part == "p3" }} {
				if outage.name == "slow" && name != "all" {
					continue // the fake slows down all parts
				}
				t.Run(fmt.Sprint(latency, " ", outage.name, " ", name), func(t *testing.T) {
					testRecovery(t, latency, func(table *storetest.SlowTable) { outage.begin(table, latency, affected) })
				})
			}
		}
	}
}

func testRecovery(t *testing.T, latency time.Duration, begin func(*storetest.SlowTable)) {
	const healthy, duration, watched, parts = time.Second, 4500 * time.Millisecond, 3 * time.Second, 16
	synctest.Test(t, func(t *testing.T) {
		table := storetest.NewSlowTable(latency)
		gate := store.NewGate(table, &log.Logger{Handler: discard.New()})
		ended := time.Now().Add(healthy + duration)
		ctx, cancel := context.WithDeadline(t.Context(), ended.Add(recoverWithin+watched))
		defer cancel()
		time.AfterFunc(healthy, func() { begin(table) })
		time.AfterFunc(healthy+duration, func() {
			table.SetLatency(latency)
			table.SetFault(nil)
		})
		failures := make(chan error, 10_000)
		load(ctx, gate, parts, ended.Add(recoverWithin), func(part string, err error) {
			if err != nil {
				failures <- fmt.Errorf("%s: %w", part, err)
			}
		})
		time.Sleep(2 * callerTimeout)
		close(failures)
		require.Empty(t, len(failures), "calls that failed, the first: %v", <-failures)
	})
}

// Calls with a timeout shorter than the table's latency must not trip the breaker.
func TestShortTimeoutsDoNotTripTheGate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gate := store.NewGate(storetest.NewSlowTable(30*time.Millisecond), &log.Logger{Handler: discard.New()})
		read := func(part string, within time.Duration) error {
			ctx, cancel := context.WithTimeout(t.Context(), within)
			defer cancel()
			_, err := gate.Range(ctx, "t", part, "", "", 1)
			return err
		}
		for range 20 {
			require.NoError(t, read("p", callerTimeout))
		}
		for part := range 20 {
			require.ErrorIs(t, read(fmt.Sprint(part), 20*time.Millisecond), context.DeadlineExceeded)
		}
		require.False(t, gate.Suspect())
		for part := range 20 {
			require.NoError(t, read(fmt.Sprint(part), callerTimeout))
		}
	})
}

// Probes of a table that does not respond must stay few, and stop when no caller waits.
func TestProbeRateIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := storetest.NewSlowTable(time.Millisecond)
		calls := make(chan struct{}, 10_000)
		table.SetFault(func(string, bool) storetest.Fault {
			calls <- struct{}{}
			return storetest.RequestLost
		})
		gate := store.NewGate(table, &log.Logger{Handler: discard.New()})
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		load(ctx, gate, 16, time.Now().Add(time.Hour), nil)
		time.Sleep(2 * time.Second)
		require.LessOrEqual(t, len(calls), 100, "calls in 5 s")
		before := len(calls)
		time.Sleep(10 * time.Second)
		require.Equal(t, before, len(calls), "no probes without callers")
	})
}

// With a table of low latency, the hedge delay must stay at its minimum, so that a lost response is
// retried soon.
func TestHedgeDelayOfFastTable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gate := store.NewGate(storetest.NewSlowTable(time.Millisecond), &log.Logger{Handler: discard.New()})
		for range 100 {
			_, err := gate.Commit(t.Context(), store.Transaction{Put: []store.Row{{Key: key}}})
			require.NoError(t, err)
		}
		require.Equal(t, 25*time.Millisecond, gate.HedgeDelay())
	})
}

// Once a table is slow, calls must not be hedged before its usual latency.
func TestSlowCallIsNotHedged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := storetest.NewSlowTable(12 * time.Millisecond)
		gate := store.NewGate(table, &log.Logger{Handler: discard.New()})
		commit := func() {
			_, err := store.CommitHedged(t.Context(), gate, store.Transaction{Put: []store.Row{{Key: key}}})
			var conflict *store.Conflict
			require.True(t, err == nil || errors.As(err, &conflict))
		}
		commit()
		table.SetLatency(250 * time.Millisecond)
		for range 3 {
			commit()
		}
		before, _ := table.Calls()
		for range 10 {
			commit()
		}
		after, _ := table.Calls()
		require.Equal(t, 10, after-before)
	})
}
