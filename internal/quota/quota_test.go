package quota

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cloverwheel/cloverwheel/internal/directory"
	"github.com/cloverwheel/cloverwheel/internal/fault"
	"github.com/cloverwheel/cloverwheel/internal/store/storetest"
	"github.com/cloverwheel/cloverwheel/internal/tenant"
)

// Guards against exceeding a limit while owners crash, alone or all at once, pause, or are
// partitioned from each other or from the store.
func TestLimitHoldsDuringFaults(t *testing.T) {
	var runs []faultRun
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		limit := tenant.Limit{
			PerSecond: rapid.Float64Range(1, 60).Draw(rt, "per second"),
			Burst:     rapid.Float64Range(0, 60).Draw(rt, "burst"),
		}
		random := rand.New(rand.NewPCG(seed, 1))
		runs = append(runs, faultRun{seed: seed, nodes: 3 + random.IntN(8), limit: limit, faults: random, cluster: newTestCluster})
	})
	for _, run := range runs {
		t.Run(fmt.Sprint(run.seed), run.holds)
	}
}

// faultRun is a run with random faults.
type faultRun struct {
	seed    uint64
	nodes   int
	limit   tenant.Limit
	faults  *rand.Rand
	cluster func(nodes int, limit tenant.Limit) *cluster
}

// holds runs load and faults, in parallel with other runs, and checks that the limit was kept.
func (f faultRun) holds(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c := f.cluster(f.nodes, f.limit)
		time.Sleep(6 * time.Second)
		var running sync.WaitGroup
		const length = 30 * time.Second
		running.Go(func() { c.load(rand.New(rand.NewPCG(f.seed, 2)), f.nodes, "hot", f.limit.PerSecond*6, length) })
		running.Go(func() { c.injectFaults(f.faults, f.nodes, length) })
		running.Wait()
		require.LessOrEqual(t, float64(maxInWindow(c.admitted["hot"], testTolerance.Window)), bound(f.limit),
			"seed %d, limit %v, refused %v", f.seed, f.limit, c.refused)
		c.stop()
	})
}

// injectFaults injects random faults.
func (c *cluster) injectFaults(random *rand.Rand, nodes int, duration time.Duration) {
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(time.Duration(200+random.IntN(1500)) * time.Millisecond) {
		address := addressOf(random.IntN(nodes))
		switch random.IntN(8) {
		case 0, 1:
			c.kill(address)
			time.Sleep(time.Duration(random.IntN(2000)) * time.Millisecond)
			c.start(address)
		case 2:
			for index := range nodes {
				c.kill(addressOf(index))
			}
			for index := range nodes {
				c.start(addressOf(index))
			}
		case 3:
			c.kill(address) // other nodes may take over its slots
			time.Sleep(time.Duration(random.IntN(9)) * time.Second)
			c.start(address)
		case 4:
			c.set(func() {
				if n, ok := c.nodes[address]; ok {
					n.paused = time.Now().Add(time.Duration(random.IntN(7000)) * time.Millisecond)
				}
			})
		case 5:
			c.set(func() { c.isolated[address] = !c.isolated[address] })
		case 6:
			c.set(func() { c.storeDown[address] = !c.storeDown[address] })
		default:
			c.set(func() { clear(c.isolated); clear(c.storeDown) })
		}
	}
}

func (c *cluster) set(change func()) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	change()
}

// Guards against refusing usual traffic, or a burst after a pause that stays within the limit
// less what is kept for running programs.
func TestTrafficWithinLimitIsServed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limit := tenant.Limit{PerSecond: 30, Burst: 30}
		c := newSettledCluster(8, limit)
		c.load(rand.New(rand.NewPCG(1, 1)), 8, "calm", limit.PerSecond/1.6, 20*time.Second)
		require.Empty(t, c.refused)
		time.Sleep(10 * time.Second)
		c.admitted = map[string][]time.Time{}
		whole := limit.PerSecond*5 + limit.Burst
		for request := range int(whole) {
			_ = c.send(addressOf(request%8), "calm", "one program")
			time.Sleep(5 * time.Millisecond)
		}
		require.GreaterOrEqual(t, len(c.admitted["calm"]), int(whole*0.95))
		c.stop()
	})
}

// Guards against refusing most of the usual traffic once successors have replaced a loss of
// all nodes.
func TestUsualTrafficAfterLossOfAllNodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limit := tenant.Limit{PerSecond: 30, Burst: 30}
		c := newSettledCluster(8, limit)
		c.load(rand.New(rand.NewPCG(1, 1)), 8, "calm", limit.PerSecond/1.6, 10*time.Second)
		for index := range 8 {
			c.kill(addressOf(index))
		}
		for index := range 8 {
			c.start(addressOf(index))
		}
		time.Sleep(2 * time.Second)
		c.admitted, c.refused = map[string][]time.Time{}, map[fault.Code]int{}
		c.load(rand.New(rand.NewPCG(2, 1)), 8, "calm", limit.PerSecond/1.6, 4*time.Second)
		served, refused := len(c.admitted["calm"]), c.refused[fault.RateLimited]+c.refused[fault.Unavailable]
		require.Greater(t, served, 3*refused, "%v", c.refused)
		c.stop()
	})
}

// Guards against successors that issue what predecessors already issued: with the store down,
// owners issue just the base allowance, and their successors only the rest.
func TestSuccessorsIssueOnlyTheRest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limit := tenant.Limit{PerSecond: 100, Burst: 100}
		c := newTestCluster(6, limit)
		time.Sleep(40 * time.Second) // all slots are settled, at one per node and second
		c.table.SetFault(func(string, bool) storetest.Fault { return storetest.Refused })
		burst := func() {
			for request := range int(bound(limit)) {
				_ = c.send(addressOf(request%6), "hot", "p")
			}
		}
		burst()
		require.LessOrEqual(t, float64(len(c.admitted["hot"])), basePart*600+1)
		c.table.SetFault(nil)
		for index := range 6 {
			c.kill(addressOf(index))
			c.start(addressOf(index))
		}
		time.Sleep(1500 * time.Millisecond)
		burst()
		require.LessOrEqual(t, float64(maxInWindow(c.admitted["hot"], testTolerance.Window)), bound(limit))
		require.Greater(t, len(c.admitted["hot"]), 500, "successors issue the rest")
		c.stop()
	})
}

// findSingleShareOwner returns a tenant of whose limit some node owns just one share, and the
// address of that node. Ownership is random, so several tenants are tried.
func (c *cluster) findSingleShareOwner(t *testing.T) (name, address string) {
	for index := range 100 {
		name = fmt.Sprint("calm", index)
		owned := map[string]int{}
		for share := range shares {
			owner, ok := c.nodes[addressOf(0)].directory.Owner(slotOf(directory.Layout{}, name, share))
			require.True(t, ok)
			owned[owner.Address]++
		}
		for address, count := range owned {
			if count == 1 {
				return name, address
			}
		}
	}
	t.Fatal("no node owns just one share of a tenant's limit; create the cluster with more nodes")
	return "", ""
}

// Guards against refusing usual traffic while one share has no owner.
func TestUsualTrafficAfterLossOfOneOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limit := tenant.Limit{PerSecond: 30, Burst: 30}
		c := newSettledCluster(8, limit)
		name, owner := c.findSingleShareOwner(t)
		c.kill(owner)
		c.load(rand.New(rand.NewPCG(1, 1)), 8, name, limit.PerSecond/1.6, 8*time.Second)
		require.Zero(t, c.refused[fault.RateLimited], "%v", c.refused)
		require.Zero(t, c.refused[fault.Unavailable])
		c.stop()
	})
}

// Guards against cutting off running programs when more programs begin than the limit allows.
func TestRunningProgramsTakePrecedence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limit := tenant.Limit{PerSecond: 20, Burst: 20}
		c := newSettledCluster(6, limit)
		random := rand.New(rand.NewPCG(1, 1))
		var completed, interrupted, notAdmitted int
		var programs sync.WaitGroup
		for program := range 120 {
			time.Sleep(time.Duration(random.IntN(200)) * time.Millisecond)
			programs.Go(func() {
				for turn := range 8 {
					err := c.send(addressOf((program+turn)%6), "hot", fmt.Sprint("program", program))
					c.set(func() {
						switch {
						case err != nil && turn == 0:
							notAdmitted++
						case err != nil:
							interrupted++
						case turn == 7:
							completed++
						}
					})
					if err != nil {
						return
					}
					time.Sleep(300 * time.Millisecond)
				}
			})
		}
		programs.Wait()
		require.Greater(t, completed, 2*interrupted, "%d programs completed, %d were cut off, %d were not admitted", completed, interrupted, notAdmitted)
		require.Positive(t, notAdmitted, "the load must exceed the limit")
		c.stop()
	})
}

// Guards against a lowered limit that is still exceeded one window later.
func TestLoweredLimitHoldsAfterOneWindow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newSettledCluster(6, tenant.Limit{PerSecond: 100, Burst: 100})
		lower := tenant.Limit{PerSecond: 5, Burst: 5}
		var loading sync.WaitGroup
		loading.Go(func() { c.load(rand.New(rand.NewPCG(1, 1)), 6, "hot", 80, 20*time.Second) })
		time.Sleep(8 * time.Second)
		c.set(func() { c.limit = lower })
		time.Sleep(testTolerance.Window)
		c.set(func() { c.admitted = map[string][]time.Time{} })
		loading.Wait()
		require.LessOrEqual(t, float64(maxInWindow(c.admitted["hot"], testTolerance.Window)), bound(lower))
		require.NotEmpty(t, c.admitted["hot"])
		c.stop()
	})
}

// Guards against a retry delay after which there is still no permit.
func TestRefusalHasUsableRetryAfter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newSettledCluster(4, tenant.Limit{PerSecond: 2, Burst: 2})
		var refusal error
		for request := range 60 {
			if err := c.send(addressOf(request%4), "hot", "p"); err != nil {
				refusal = err
			}
		}
		require.True(t, fault.Is(refusal, fault.RateLimited))
		time.Sleep(fault.From(refusal).RetryAfter)
		require.NoError(t, c.send(addressOf(0), "hot", "p"), "a permit is free after the retry delay")
		c.stop()
	})
}
