package gather

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cloverwheel/cloverwheel/internal/store/storetest"
)

// turnsPerSecond are the rates of turns that a table of 1,500 calls a second has to keep.
const (
	wantedRate = 1400
	highRate   = 4000
	calmRate   = 200
)

// keptWithin is what nine of ten turns may take to be kept at wantedRate.
const keptWithin = 40 * time.Millisecond

// TestTurnsAreKeptTogether: more turns than the table takes calls.
func TestTurnsAreKeptTogether(t *testing.T) {
	for _, perSecond := range []int{wantedRate, highRate} {
		synctest.Test(t, func(t *testing.T) {
			const lasts = 6 * time.Second
			w := newWorld(t)
			begun := time.Now()
			go func() {
				time.Sleep(2 * time.Second)
				before, refusedBefore := w.table.Counts()
				gatheredBefore := w.calls.Load()
				time.Sleep(lasts - 2*time.Second)
				taken, refused := w.table.Counts()
				perSecondOf := func(calls int) float64 { return float64(calls) / (lasts - 2*time.Second).Seconds() }
				gathered := perSecondOf(int(w.calls.Load() - gatheredBefore))
				t.Logf("%d turns a second: %.0f calls a second, %.0f by gatherers, %.1f refused", perSecond,
					perSecondOf(taken-before), gathered, perSecondOf(refused-refusedBefore))
				require.LessOrEqual(t, gathered, turnsShare*1500, "the share of turns")
				require.LessOrEqual(t, perSecondOf(refused-refusedBefore), 15.0, "one in a hundred")
			}()
			w.load(perSecond, lasts)
			require.Zero(t, w.checkKept())
			p90 := w.p90(begun.Add(2*time.Second), begun.Add(lasts))
			t.Logf("%d turns a second: p90 of keeping %v", perSecond, p90)
			if perSecond == wantedRate {
				require.Less(t, p90, keptWithin)
			}
		})
	}
}

// TestCalmRateWaitsForNothing: no node is asked, and each turn takes as long as its call.
func TestCalmRateWaitsForNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t)
		begun := time.Now()
		w.load(calmRate, 3*time.Second)
		require.Zero(t, w.checkKept())
		require.Zero(t, w.asks.Load())
		require.LessOrEqual(t, w.p90(begun, time.Now()), 15*time.Millisecond)
	})
}

// TestTroubleCostsNoTurn: whatever becomes of owners, links and the table, what is kept is in
// the table, nobody waits past its time, and a second after the trouble all is as before.
func TestTroubleCostsNoTurn(t *testing.T) {
	const (
		owner         = 3
		troubleBegins = 1500 * time.Millisecond
		troubleEnds   = 3500 * time.Millisecond
	)
	set := func(w *world, what map[int]bool, value bool) {
		w.mutex.Lock()
		defer w.mutex.Unlock()
		what[owner] = value
	}
	troubles := map[string]struct {
		begin, end func(w *world)
	}{
		"owner killed": {
			begin: func(w *world) { set(w, w.down, true) },
			end:   func(w *world) { w.own(owner, 40) },
		},
		"owner paused": {
			begin: func(w *world) {
				w.mutex.Lock()
				defer w.mutex.Unlock()
				w.paused[owner] = make(chan struct{})
			},
			end: func(w *world) {
				w.mutex.Lock()
				defer w.mutex.Unlock()
				close(w.paused[owner])
				delete(w.paused, owner)
			},
		},
		"owner's answers are lost": {
			begin: func(w *world) { set(w, w.mute, true) },
			end:   func(w *world) { set(w, w.mute, false) },
		},
		"owner is of an old build": {
			begin: func(w *world) { set(w, w.old, true) },
			end:   func(w *world) { set(w, w.old, false) },
		},
		"owner loses the table": {
			begin: func(w *world) { set(w, w.cut, true) },
			end:   func(w *world) { set(w, w.cut, false) },
		},
		"two owners": {
			begin: func(w *world) { w.own(owner, 41) },
			end:   func(*world) {},
		},
		"throttled table": {
			begin: func(w *world) { w.table.SetWrites(150) },
			end:   func(w *world) { w.table.SetWrites(1500) },
		},
		"slow table": {
			begin: func(w *world) { w.table.SetSlower(10) },
			end:   func(w *world) { w.table.SetSlower(1) },
		},
		"part is down": {
			begin: func(w *world) {
				w.table.SetFault(func(part string, _ bool) storetest.Fault {
					if part == "t25" {
						return storetest.Refused
					}
					return storetest.None
				})
			},
			end: func(w *world) { w.table.SetFault(nil) },
		},
	}
	for name, trouble := range troubles {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t)
				begun := time.Now()
				time.AfterFunc(troubleBegins, func() { trouble.begin(w) })
				time.AfterFunc(troubleEnds, func() { trouble.end(w) })
				w.load(wantedRate, troubleEnds+2*time.Second)
				unkept := w.checkKept()
				during := w.p90(begun.Add(troubleBegins), begun.Add(troubleEnds))
				after := w.p90(begun.Add(troubleEnds+time.Second), begun.Add(troubleEnds+2*time.Second))
				t.Logf("%s: %d of %d unkept, p90 of keeping %v during, %v after", name, unkept, len(w.results), during, after)
				require.Zero(t, unkept)
				require.Less(t, after, keptWithin)
			})
		})
	}
}
