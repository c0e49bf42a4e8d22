package outlier

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	tick             = 10 * time.Millisecond
	reportInterval   = 100 * time.Millisecond // between two reports of a node
	requestDuration  = 150 * time.Millisecond
	healthyTokenTime = 3 * time.Millisecond // per token
)

// fleet simulates nodes that choose workers by a detector's verdicts alone.
type fleet struct {
	nodes, workers int
	perSecond      float64                                    // requests of all nodes
	utilization    float64                                    // utilization passed to the detector
	fails          func(worker int, at time.Duration) float64 // failure rate
	slow           func(worker int, at time.Duration) float64 // slowdown factor; up to 1: not slow
	linkLoss       func(node int) float64                     // share of requests that fail because of a node's own links
	failsFast      bool                                       // failures show at once, as refused connections do
	noVerdicts     bool                                       // nodes receive no verdicts
	faultStart     time.Duration                              // when faults begin; requests are counted from then on
	runFor         time.Duration                              // duration of the whole run
}

// result is the outcome of a run.
type result struct {
	sent, lost, slowed int                   // requests: all, failed, sent to slow workers
	ejected            map[int]time.Duration // by worker: time of the first ejection
	readmitted         map[int]time.Duration // by worker: time of the last readmission
	trialsFailed       int
	maxEjected         int
	slowReported       map[int]time.Duration // by worker: when it was first reported slow
}

// outcome is a request in flight.
type outcome struct {
	due          time.Duration
	node, worker int
	failed       bool
	slow         float64
}

// names are worker keys.
var names = func() (all [2 * maxWorkers]string) {
	for worker := range all {
		all[worker] = fmt.Sprint("w", worker)
	}
	return all
}()

func key(worker int) string { return names[worker] }

func (f fleet) run(seed uint64) result {
	random := rand.New(rand.NewPCG(seed, 1))
	got := result{ejected: map[int]time.Duration{}, readmitted: map[int]time.Duration{}, slowReported: map[int]time.Duration{}}
	start := time.Unix(1000, 0)
	now := time.Duration(0)
	out := map[string]bool{}
	detector := New(func(change Change) {
		var worker int
		_, _ = fmt.Sscanf(change.Worker, "w%d", &worker)
		if change.Ejected && change.Reason == TooManyFailures {
			if _, ok := got.ejected[worker]; !ok {
				got.ejected[worker] = now
			}
		}
		if !change.Ejected {
			got.readmitted[worker] = now
			delete(out, change.Worker)
		} else {
			out[change.Worker] = true
		}
		got.maxEjected = max(got.maxEjected, len(out))
	})
	detector.SetUtilization(f.utilization)
	keys := names[:f.workers]
	seen := make([]map[int]*Sample, f.nodes)
	verdicts := make([]map[string]Verdict, f.nodes)
	var inFlight []outcome
	for ; now < f.runFor; now += tick {
		inFlight = slices.DeleteFunc(inFlight, func(o outcome) bool {
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
				sample.Pace, sample.Paced = time.Duration(max(1, o.slow)*float64(healthyTokenTime)), sample.Paced+3
			}
			return true
		})
		for range f.arrivals(random) {
			node := random.IntN(f.nodes)
			worker, trial := f.choose(random, verdicts[node])
			failed := random.Float64() < f.fails(worker, now)
			if f.linkLoss != nil && random.Float64() < f.linkLoss(node) {
				failed = true
			}
			slow := 0.0
			if f.slow != nil {
				slow = f.slow(worker, now)
			}
			if now >= f.faultStart {
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
			took := time.Duration(max(1, slow) * float64(requestDuration))
			if failed && f.failsFast {
				took = tick
			}
			inFlight = append(inFlight, outcome{due: now + took, node: node, worker: worker, failed: failed, slow: slow})
		}
		for node := range f.nodes {
			if (now/tick+time.Duration(node))%(reportInterval/tick) != 0 {
				continue
			}
			var samples []Sample
			for worker := range f.workers {
				if sample, ok := seen[node][worker]; ok {
					samples = append(samples, *sample)
				}
			}
			seen[node] = nil
			if f.noVerdicts {
				continue
			}
			at := start.Add(now)
			detector.Add(fmt.Sprint("n", node), samples, at)
			before := verdicts[node]
			verdicts[node] = map[string]Verdict{}
			for _, verdict := range detector.Verdicts(keys, at) {
				verdict.Trial = verdict.Trial || verdict.Until > 0 && before[verdict.Worker].Trial
				verdicts[node][verdict.Worker] = verdict
				if verdict.Slow > 0 {
					var worker int
					_, _ = fmt.Sscanf(verdict.Worker, "w%d", &worker)
					if _, ok := got.slowReported[worker]; !ok {
						got.slowReported[worker] = now
					}
				}
			}
		}
	}
	return got
}

// arrivals returns the number of requests in one tick, perSecond on average.
func (f fleet) arrivals(random *rand.Rand) int {
	mean := f.perSecond * tick.Seconds()
	count := int(mean)
	if random.Float64() < mean-float64(count) {
		count++
	}
	return count
}

// choose takes a trial if the node was offered one, and otherwise a random unrestricted worker.
func (f fleet) choose(random *rand.Rand, verdicts map[string]Verdict) (worker int, trial bool) {
	if f.noVerdicts {
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

func (r result) lossRate() float64 { return ratio(float64(r.lost), float64(r.sent)) }

// baselineFailureRate is the failure rate of healthy workers.
const baselineFailureRate = 0.01

// largeFleet is 77 nodes with 45 workers at 60% utilization.
func largeFleet() fleet {
	return fleet{
		nodes: 77, workers: 45, perSecond: 1200, utilization: 0.6, faultStart: 3 * time.Second, runFor: 9500 * time.Millisecond,
		fails: func(int, time.Duration) float64 { return baselineFailureRate },
	}
}

// faultActive reports whether the faults are active at a time: for 6.5 s from faultStart.
func (f fleet) faultActive(at time.Duration) bool {
	return at >= f.faultStart && at < f.faultStart+6500*time.Millisecond
}

// forSeeds runs a load for several seeds, with verdicts and without.
func forSeeds(t *testing.T, load fleet, check func(t *testing.T, with, without result)) {
	t.Helper()
	for seed := range uint64(3) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			baseline := load
			baseline.noVerdicts = true
			check(t, load.run(seed), baseline.run(seed))
		})
	}
}

// Guards against slow or failed detection of workers that fail 45% of their requests while their
// health checks succeed. Callers time out after 3 s; detection may take half of that.
func TestPartiallyFailingWorkersAreEjected(t *testing.T) {
	const bad = 6
	load := largeFleet()
	load.fails = func(worker int, at time.Duration) float64 {
		if worker < bad && load.faultActive(at) {
			return 0.45
		}
		return baselineFailureRate
	}
	forSeeds(t, load, func(t *testing.T, with, without result) {
		require.Len(t, with.ejected, bad)
		for worker, at := range with.ejected {
			require.Less(t, worker, bad, "a healthy worker was ejected")
			require.Less(t, at-load.faultStart, 1500*time.Millisecond)
		}
		t.Logf("lost %.4f (without verdicts %.4f), ejected after %v, trials that failed %d", with.lossRate(), without.lossRate(), with.ejected, with.trialsFailed)
		require.Less(t, with.lossRate()-baselineFailureRate, (without.lossRate()-baselineFailureRate)/3)
		require.LessOrEqual(t, with.maxEjected, 13)
	})
}

// Guards against not ejecting workers that alternate between failing all and no requests, and against
// keeping them ejected long after they recover.
func TestFlappingWorkersAreEjectedAndReadmitted(t *testing.T) {
	for _, gap := range []time.Duration{900 * time.Millisecond, 1400 * time.Millisecond} {
		t.Run(gap.String(), func(t *testing.T) {
			const bad = 5
			load := largeFleet()
			load.runFor, load.failsFast = 16*time.Second, true
			load.fails = func(worker int, at time.Duration) float64 {
				if worker < bad && load.faultActive(at) && (at-load.faultStart)/gap%2 == 0 {
					return 1
				}
				return baselineFailureRate
			}
			forSeeds(t, load, func(t *testing.T, with, without result) {
				require.Len(t, with.ejected, bad)
				for worker, at := range with.ejected {
					require.Less(t, worker, bad, "a healthy worker was ejected")
					require.Less(t, at-load.faultStart, gap)
				}
				t.Logf("lost %.4f (without verdicts %.4f), readmitted %v, trials that failed %d", with.lossRate(), without.lossRate(), with.readmitted, with.trialsFailed)
				require.Less(t, with.lossRate()-baselineFailureRate, (without.lossRate()-baselineFailureRate)/2)
				for worker := range bad {
					require.Contains(t, with.readmitted, worker)
					require.Less(t, with.readmitted[worker]-load.faultStart-6500*time.Millisecond, 5*time.Second, "readmitted soon after recovery")
				}
			})
		})
	}
}

// Guards against ejecting slow workers, or not reporting them, when 16% are five times slower.
func TestSlowWorkersAreReportedNotEjected(t *testing.T) {
	const bad = 7
	load := largeFleet()
	load.slow = func(worker int, at time.Duration) float64 {
		if worker < bad && load.faultActive(at) {
			return 5
		}
		return 1
	}
	forSeeds(t, load, func(t *testing.T, with, without result) {
		require.Empty(t, with.ejected)
		require.Len(t, with.slowReported, bad)
		for worker, at := range with.slowReported {
			require.Less(t, worker, bad, "a healthy worker was reported as slow")
			require.Less(t, at-load.faultStart, 1500*time.Millisecond)
		}
		t.Logf("to slow workers %d of %d (without verdicts %d)", with.slowed, with.sent, without.slowed)
		require.Less(t, with.slowed, without.slowed/2)
	})
}

// Guards against ejecting workers because of nodes with lossy links.
func TestLossyNodesEjectNoWorker(t *testing.T) {
	for name, linkLoss := range map[string]func(node int) float64{
		"one node loses everything":           func(node int) float64 { return shareIf(node < 1, 1) },
		"one node loses a third":              func(node int) float64 { return shareIf(node < 1, 0.33) },
		"all nodes of a zone lose everything": func(node int) float64 { return shareIf(node < 19, 1) },
		"all nodes lose a tenth":              func(int) float64 { return 0.1 },
		"all nodes lose everything":           func(int) float64 { return 1 },
	} {
		t.Run(name, func(t *testing.T) {
			load := largeFleet()
			load.linkLoss = linkLoss
			for seed := range uint64(2) {
				require.Empty(t, load.run(seed).ejected)
			}
		})
	}
}

// shareIf returns share if the condition holds, else 0.
func shareIf(condition bool, share float64) float64 {
	if condition {
		return share
	}
	return 0
}

// Guards against ejections at a uniform failure rate of 2%.
func TestBaselineFailuresEjectNoWorker(t *testing.T) {
	load := largeFleet()
	load.runFor = time.Minute
	load.fails = func(int, time.Duration) float64 { return 0.02 }
	got := load.run(1)
	require.Empty(t, got.ejected)
	require.Empty(t, got.slowReported)
}
