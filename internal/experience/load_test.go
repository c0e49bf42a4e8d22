package experience

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	tick      = 10 * time.Millisecond
	told      = 100 * time.Millisecond // between two reports of a node
	takes     = 150 * time.Millisecond // a request
	wellPaced = 3 * time.Millisecond   // a token
)

// fleet is nodes that send requests to workers and go by a board's verdicts alone.
type fleet struct {
	nodes, workers int
	perSecond      float64 // requests of all nodes
	busy           float64 // share of places taken, told to the board
	fails          func(worker int, at time.Duration) float64
	slow           func(worker int, at time.Duration) float64 // 0: not slow
	link           func(node int) float64                     // share of requests that a node's own links break
	down           bool                                       // what fails takes no connection, which shows at once
	without        bool                                       // nodes hear no verdicts
	begins         time.Duration                              // of the trouble: requests are counted from then on
	lasts          time.Duration                              // the whole run
}

// result is what came of it.
type result struct {
	sent, lost, slowed int
	ejected            map[int]time.Duration // by worker: when first
	back               map[int]time.Duration // by worker: when last
	trialsFailed       int
	mostOut            int
	slowKnown          map[int]time.Duration // by worker: when first told
}

// outcome is a request that is under way.
type outcome struct {
	due          time.Duration
	node, worker int
	failed       bool
	slow         float64
}

// names are the keys of workers.
var names = func() (all [2 * mostWorkers]string) {
	for worker := range all {
		all[worker] = fmt.Sprint("w", worker)
	}
	return all
}()

func key(worker int) string { return names[worker] }

func (f fleet) run(seed uint64) result {
	random := rand.New(rand.NewPCG(seed, 1))
	got := result{ejected: map[int]time.Duration{}, back: map[int]time.Duration{}, slowKnown: map[int]time.Duration{}}
	start := time.Unix(1000, 0)
	now := time.Duration(0)
	out := map[string]bool{}
	board := New(func(change Change) {
		var worker int
		_, _ = fmt.Sscanf(change.Worker, "w%d", &worker)
		if change.Out && change.Reason == Failing {
			if _, ok := got.ejected[worker]; !ok {
				got.ejected[worker] = now
			}
		}
		if !change.Out {
			got.back[worker] = now
			delete(out, change.Worker)
		} else {
			out[change.Worker] = true
		}
		got.mostOut = max(got.mostOut, len(out))
	})
	board.SetBusy(f.busy)
	keys := names[:f.workers]
	seen := make([]map[int]*Sample, f.nodes)
	verdicts := make([]map[string]Verdict, f.nodes)
	var underWay []outcome
	for ; now < f.lasts; now += tick {
		underWay = slices.DeleteFunc(underWay, func(o outcome) bool {
			if o.due > now {
				return false
			}
			if seen[o.node] == nil {
				seen[o.node] = map[int]*Sample{}
			}
			sample, ok := seen[o.node][o.worker]
			if !ok {
				sample = &Sample{Worker: key(o.worker)}
				seen[o.node][o.worker] = sample
			}
			sample.Requests++
			if o.failed {
				sample.Failures++
			} else {
				sample.Pace, sample.Paced = time.Duration(max(1, o.slow)*float64(wellPaced)), sample.Paced+3
			}
			return true
		})
		for range f.arrivals(random) {
			node := random.IntN(f.nodes)
			worker, trial := f.choose(random, verdicts[node])
			failed := random.Float64() < f.fails(worker, now)
			if f.link != nil && random.Float64() < f.link(node) {
				failed = true
			}
			slow := 0.0
			if f.slow != nil {
				slow = f.slow(worker, now)
			}
			if now >= f.begins {
				got.sent++
				if failed {
					got.lost++
				}
				if slow > 1 {
					got.slowed++
				}
				if failed && trial {
					got.trialsFailed++
				}
			}
			took := time.Duration(max(1, slow) * float64(takes))
			if failed && f.down {
				took = tick
			}
			underWay = append(underWay, outcome{due: now + took, node: node, worker: worker, failed: failed, slow: slow})
		}
		for node := range f.nodes {
			if (now/tick+time.Duration(node))%(told/tick) != 0 {
				continue
			}
			var samples []Sample
			for worker := range f.workers {
				if sample, ok := seen[node][worker]; ok {
					samples = append(samples, *sample)
				}
			}
			seen[node] = nil
			if f.without {
				continue
			}
			at := start.Add(now)
			board.Add(fmt.Sprint("n", node), samples, at)
			before := verdicts[node]
			verdicts[node] = map[string]Verdict{}
			for _, verdict := range board.Verdicts(keys, at) {
				verdict.Trial = verdict.Trial || verdict.Until > 0 && before[verdict.Worker].Trial
				verdicts[node][verdict.Worker] = verdict
				if verdict.Slow > 0 {
					var worker int
					_, _ = fmt.Sscanf(verdict.Worker, "w%d", &worker)
					if _, ok := got.slowKnown[worker]; !ok {
						got.slowKnown[worker] = now
					}
				}
			}
		}
	}
	return got
}

func (f fleet) arrivals(random *rand.Rand) int {
	mean := f.perSecond * tick.Seconds()
	count := int(mean)
	if random.Float64() < mean-float64(count) {
		count++
	}
	return count
}

// choose takes a trial if the node may make one, and else any worker that nothing speaks against.
func (f fleet) choose(random *rand.Rand, verdicts map[string]Verdict) (worker int, trial bool) {
	if f.without {
		return random.IntN(f.workers), false
	}
	var free []int
	for worker := range f.workers {
		verdict := verdicts[key(worker)]
		if verdict.Trial {
			verdict.Trial = false
			verdicts[key(worker)] = verdict
			return worker, true
		}
		if verdict.Until <= 0 && verdict.Slow == 0 {
			free = append(free, worker)
		}
	}
	if len(free) == 0 {
		return random.IntN(f.workers), false
	}
	return free[random.IntN(len(free))], false
}

func (r result) lossShare() float64 { return share(float64(r.lost), float64(r.sent)) }

// background is the share of requests that sound workers fail.
const background = 0.01

// broadcast is the load of a customer's 45 workers before 77 nodes.
func broadcast() fleet {
	return fleet{
		nodes: 77, workers: 45, perSecond: 1200, busy: 0.6, begins: 3 * time.Second, lasts: 9500 * time.Millisecond,
		fails: func(int, time.Duration) float64 { return background },
	}
}

func (f fleet) troubled(at time.Duration) bool {
	return at >= f.begins && at < f.begins+6500*time.Millisecond
}

// forSeeds runs a load several times, with verdicts and without.
func forSeeds(t *testing.T, load fleet, check func(t *testing.T, with, without result)) {
	t.Helper()
	for seed := range uint64(3) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			alone := load
			alone.without = true
			check(t, load.run(seed), alone.run(seed))
		})
	}
}

// TestWorkersThatFailAPartOfTheirRequests: 14% of the workers fail 45%, behind a good health check.
// Callers give a program 3 s: half of that must do to find such a worker.
func TestWorkersThatFailAPartOfTheirRequests(t *testing.T) {
	const bad = 6
	load := broadcast()
	load.fails = func(worker int, at time.Duration) float64 {
		if worker < bad && load.troubled(at) {
			return 0.45
		}
		return background
	}
	forSeeds(t, load, func(t *testing.T, with, without result) {
		require.Len(t, with.ejected, bad)
		for worker, at := range with.ejected {
			require.Less(t, worker, bad, "a sound worker was ejected")
			require.Less(t, at-load.begins, 1500*time.Millisecond)
		}
		t.Logf("lost %.4f (without verdicts %.4f), ejected after %v, trials that failed %d", with.lossShare(), without.lossShare(), with.ejected, with.trialsFailed)
		require.Less(t, with.lossShare()-background, (without.lossShare()-background)/3)
		require.LessOrEqual(t, with.mostOut, 13)
	})
}

// TestWorkersThatGoUpAndDown: 10% of the workers are down and up by turns.
func TestWorkersThatGoUpAndDown(t *testing.T) {
	for _, gap := range []time.Duration{900 * time.Millisecond, 1400 * time.Millisecond} {
		t.Run(gap.String(), func(t *testing.T) {
			const bad = 5
			load := broadcast()
			load.lasts, load.down = 16*time.Second, true
			load.fails = func(worker int, at time.Duration) float64 {
				if worker < bad && load.troubled(at) && (at-load.begins)/gap%2 == 0 {
					return 1
				}
				return background
			}
			forSeeds(t, load, func(t *testing.T, with, without result) {
				require.Len(t, with.ejected, bad)
				for worker, at := range with.ejected {
					require.Less(t, worker, bad, "a sound worker was ejected")
					require.Less(t, at-load.begins, gap)
				}
				t.Logf("lost %.4f (without verdicts %.4f), back %v, trials that failed %d", with.lossShare(), without.lossShare(), with.back, with.trialsFailed)
				require.Less(t, with.lossShare()-background, (without.lossShare()-background)/2)
				for worker := range bad {
					require.Contains(t, with.back, worker)
					require.Less(t, with.back[worker]-load.begins-6500*time.Millisecond, 5*time.Second, "soon back when it is sound")
				}
			})
		})
	}
}

// TestSlowWorkersAreToldNotEjected: 16% of the workers are five times slower.
func TestSlowWorkersAreToldNotEjected(t *testing.T) {
	const bad = 7
	load := broadcast()
	load.slow = func(worker int, at time.Duration) float64 {
		if worker < bad && load.troubled(at) {
			return 5
		}
		return 1
	}
	forSeeds(t, load, func(t *testing.T, with, without result) {
		require.Empty(t, with.ejected)
		require.Len(t, with.slowKnown, bad)
		for worker, at := range with.slowKnown {
			require.Less(t, worker, bad, "a sound worker was told as slow")
			require.Less(t, at-load.begins, 1500*time.Millisecond)
		}
		t.Logf("to slow workers %d of %d (without verdicts %d)", with.slowed, with.sent, without.slowed)
		require.Less(t, with.slowed, without.slowed/2)
	})
}

// TestNodesWithBadLinksEjectNobody: what they send is lost wherever it goes.
func TestNodesWithBadLinksEjectNobody(t *testing.T) {
	for name, link := range map[string]func(node int) float64{
		"one node loses all":         func(node int) float64 { return oneIn(node < 1, 1) },
		"one node loses a third":     func(node int) float64 { return oneIn(node < 1, 0.33) },
		"a zone's nodes lose all":    func(node int) float64 { return oneIn(node < 19, 1) },
		"all nodes lose a tenth":     func(int) float64 { return 0.1 },
		"all nodes lose all at once": func(int) float64 { return 1 },
	} {
		t.Run(name, func(t *testing.T) {
			load := broadcast()
			load.link = link
			for seed := range uint64(2) {
				require.Empty(t, load.run(seed).ejected)
			}
		})
	}
}

func oneIn(is bool, share float64) float64 {
	if is {
		return share
	}
	return 0
}

// TestCalmDayEjectsNobody: a minute of requests, 2% of which fail anywhere.
func TestCalmDayEjectsNobody(t *testing.T) {
	load := broadcast()
	load.lasts = time.Minute
	load.fails = func(int, time.Duration) float64 { return 0.02 }
	got := load.run(1)
	require.Empty(t, got.ejected)
	require.Empty(t, got.slowKnown)
}
