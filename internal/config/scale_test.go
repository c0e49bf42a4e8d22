package config

import (
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cloverwheel/cloverwheel/internal/fault"
	"github.com/cloverwheel/cloverwheel/internal/peer"
)

// everywhereIn returns the longest time from acceptance until every node outside
// the dead zone has a version, over some changes, and the messages that a node
// sent each second meanwhile, on a network with loss.
func everywhereIn(t *testing.T, count int, loss float64, deadZone string) (worst time.Duration, messages float64) {
	run(t, count, func(c *cluster) {
		random := rand.New(rand.NewPCG(1, 2))
		var sent atomic.Int64
		dead := map[peer.Address]bool{}
		for _, n := range c.nodes {
			dead[n.member.Address] = n.member.Zone == deadZone
		}
		c.network.SetFaultInjector(func(from, to peer.Address, method string) peer.InjectedFault {
			sent.Add(1)
			c.mutex.Lock()
			lost := random.Float64() < loss
			c.mutex.Unlock()
			return peer.InjectedFault{Delay: 2 * time.Millisecond, Drop: dead[from] || dead[to] || lost}
		})
		began := time.Now()
		for i := range 5 {
			accepted := applyOverLoss(t, c, ApplyRequest{ChangeID: fmt.Sprint("change-", i), Base: AnyBase, Change: marketTemplate(i)})
			for !c.allAt(uint64(i+1), dead) {
				time.Sleep(5 * time.Millisecond)
			}
			worst = max(worst, time.Since(accepted))
			time.Sleep(time.Second)
		}
		messages = float64(sent.Load()) / time.Since(began).Seconds() / float64(count)
	})
	return worst, messages
}

// applyOverLoss repeats a change whose answer was lost, under its change id, and
// returns when the first try ended: it may have been accepted by then.
func applyOverLoss(t *testing.T, c *cluster, request ApplyRequest) (accepted time.Time) {
	for range 10 {
		_, err := c.apply(c.nodes[0], request)
		if accepted.IsZero() {
			accepted = time.Now()
		}
		if err == nil {
			return accepted
		}
		require.Equal(t, fault.Unavailable, fault.CodeOf(err))
		require.Equal(t, fault.RanUnknown, fault.From(err).Ran)
	}
	require.Fail(t, "the change is lost every time")
	return accepted
}

func (c *cluster) allAt(version uint64, dead map[peer.Address]bool) bool {
	for _, n := range c.nodes {
		if !dead[n.member.Address] && n.Current().Version < version {
			return false
		}
	}
	return true
}

func TestInForceEverywhereWithin3Seconds(t *testing.T) {
	const bound = 3 * time.Second
	worst, messages := everywhereIn(t, 60, 0.01, "z1")
	t.Logf("60 nodes, 1%% loss and a dead zone: worst %s, %.1f messages a second and node", worst, messages)
	require.LessOrEqual(t, worst, bound)
}

func TestWithoutLeaderFewNodesAskTheTableForAll(t *testing.T) {
	const nodes, seconds = 120, 10
	run(t, nodes, func(c *cluster) {
		_, err := c.apply(c.nodes[0], ApplyRequest{Change: marketTemplate(1)})
		require.NoError(t, err)
		c.lead("")
		time.Sleep(2 * time.Second)
		c.table.set(func(f *fakeTable) { f.gets = 0 })
		for range seconds {
			time.Sleep(time.Second)
			c.requireEverywhere(1)
		}
		c.table.set(func(f *fakeTable) {
			t.Logf("%d nodes without a leader: %.1f reads of the table a second", nodes, float64(f.gets)/seconds)
			require.Less(t, f.gets, nodes*seconds/3, "each node by itself would ask twice a second")
		})
	})
}
