package backend

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cloverwheel/cloverwheel/internal/experience"
)

const (
	tick      = 10 * time.Millisecond
	tellEvery = 100 * time.Millisecond
	takes     = 150 * time.Millisecond // a request, from its sending to its end
	pieces    = 3                      // of its answer whose pace is seen
	token     = 3 * time.Millisecond
	begins    = 3 * time.Second // of the trouble: what came before is not counted
	ends      = begins + 6500*time.Millisecond
)

// load is what a customer's nodes send to the workers of a service, and what goes wrong there.
type load struct {
	nodes, workers int
	perSecond      int // requests of all nodes
	fails          func(worker int, at time.Duration) float64
	refuses        func(worker int, at time.Duration) bool // takes no connection
	slow           func(worker int, at time.Duration) float64
}

// broadcast is the load of a customer with 45 workers before 77 nodes.
func broadcast() load {
	return load{
		nodes: 77, workers: 45, perSecond: 1200,
		fails:   func(int, time.Duration) float64 { return 0.01 },
		refuses: func(int, time.Duration) bool { return false },
		slow:    func(int, time.Duration) float64 { return 1 },
	}
}

// count is what came of the first sends of requests in the time of trouble.
type count struct {
	sent, lost, slowed int
	ejected            map[string]bool
}

func (c count) lostShare() float64 { return float64(c.lost) / float64(c.sent) }

// play lets each node choose by its own registry. Together, they tell a board what they see, and
// hear its verdicts.
func (l load) play(t *testing.T, seed uint64, together bool) count {
	random := rand.New(rand.NewPCG(seed, 1))
	at, start := time.Duration(0), time.Unix(1000, 0)
	clock := func() time.Time { return start.Add(at) }
	got := count{ejected: map[string]bool{}}
	board := experience.New(func(change experience.Change) {
		if change.Out {
			got.ejected[change.Worker] = true
		}
	})
	board.SetBusy(0.6)
	registries := make([]*Registry, l.nodes)
	for node := range registries {
		registries[node] = registryOf(Options{Now: clock, Node: fmt.Sprint(node)}, l.workers)
	}
	keys := registries[0].IDs()
	slices.Sort(keys)
	type event struct {
		due  time.Duration
		does func()
	}
	var events []event
	for ; at < ends; at += tick {
		events = slices.DeleteFunc(events, func(e event) bool {
			if e.due <= at {
				e.does()
			}
			return e.due <= at
		})
		for range l.perSecond * int(tick) / int(time.Second) {
			registry := registries[random.IntN(l.nodes)]
			chosen, err := registry.Choose(turn(func(q *Query) { q.Service, q.Key, q.Spare = "s", fmt.Sprint(random.Uint64()), true }))
			require.NoError(t, err)
			lasts := l.lasts(chosen, at)
			for piece := range time.Duration(pieces) {
				events = append(events, event{due: at + (piece+1)*lasts/(pieces+1), does: l.pace(chosen, at)})
			}
			events = append(events, event{due: at + lasts, does: l.outcome(chosen, at, random, &got)})
		}
		for node, registry := range registries {
			if !together || (at/tick+time.Duration(node))%(tellEvery/tick) != 0 {
				continue
			}
			board.Add(fmt.Sprint(node), registry.TakeSamples("s"), clock())
			registry.NoteVerdicts(board.Verdicts(keys, clock()))
		}
	}
	return got
}

func number(worker *Worker) (index int) {
	_, _ = fmt.Sscanf(worker.Key(), "w%d", &index)
	return index
}

// pace tells the node of a worker's pace in the midst of a request that was sent then.
func (l load) pace(worker *Worker, sent time.Duration) func() {
	if l.refuses(number(worker), sent) {
		return func() {}
	}
	return func() { worker.Paced(time.Duration(l.slow(number(worker), sent) * float64(token))) }
}

// lasts is how long a request takes that is sent to a worker.
func (l load) lasts(worker *Worker, at time.Duration) time.Duration {
	if l.refuses(number(worker), at) {
		return tick
	}
	return time.Duration(l.slow(number(worker), at) * float64(takes))
}

// outcome is what ends a request: the worker is told of at the node.
func (l load) outcome(worker *Worker, at time.Duration, random *rand.Rand, got *count) func() {
	end := worker.Begin()
	index := number(worker)
	refused, failed := l.refuses(index, at), random.Float64() < l.fails(index, at)
	slow := l.slow(index, at)
	if at >= begins {
		got.sent++
		if refused || failed {
			got.lost++
		}
		if slow > 1 {
			got.slowed++
		}
	}
	return func() {
		end()
		now := worker.registry.options.Now()
		switch {
		case refused:
			worker.Unreachable(now)
		case failed:
			worker.Broke(now)
		default:
			worker.Answered()
		}
	}
}

// TestNodesTogetherLoseLessThanEachForItself under the troubles of workers that a customer names.
// Where a trouble strikes, callers must meet it at most half as often as where each node has to
// find it for itself.
func TestNodesTogetherLoseLessThanEachForItself(t *testing.T) {
	inTrouble := func(bad int) func(worker int, at time.Duration) bool {
		return func(worker int, at time.Duration) bool { return worker < bad && at >= begins && at < ends }
	}
	for name, test := range map[string]struct {
		bad    int
		change func(*load)
		met    func(count) float64
		slow   bool
	}{
		"14% fail 45%": {bad: 6, change: func(l *load) {
			l.fails = func(worker int, at time.Duration) float64 {
				if inTrouble(6)(worker, at) {
					return 0.45
				}
				return 0.01
			}
		}, met: func(c count) float64 { return c.lostShare() - 0.01 }},
		"10% go up and down every 1.4 s": {bad: 5, change: func(l *load) {
			l.refuses = func(worker int, at time.Duration) bool {
				return inTrouble(5)(worker, at) && (at-begins)/(1400*time.Millisecond)%2 == 0
			}
		}, met: func(c count) float64 { return c.lostShare() - 0.01 }},
		"16% are five times slower": {bad: 7, slow: true, change: func(l *load) {
			l.slow = func(worker int, at time.Duration) float64 {
				if inTrouble(7)(worker, at) {
					return 5
				}
				return 1
			}
		}, met: func(c count) float64 { return float64(c.slowed) }},
	} {
		t.Run(name, func(t *testing.T) {
			l := broadcast()
			test.change(&l)
			alone, together := l.play(t, 1, false), l.play(t, 1, true)
			t.Logf("each for itself: sent %d, lost %.4f, to slow workers %d; together: sent %d, lost %.4f, to slow workers %d, ejected %v",
				alone.sent, alone.lostShare(), alone.slowed, together.sent, together.lostShare(), together.slowed, together.ejected)
			require.Less(t, test.met(together), test.met(alone)/2)
			if test.slow {
				require.Empty(t, together.ejected)
				return
			}
			require.Len(t, together.ejected, test.bad)
			for worker := range test.bad {
				require.True(t, together.ejected[fmt.Sprint("w", worker)])
			}
		})
	}
}
