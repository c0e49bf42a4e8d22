package directory

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/stretchr/testify/require"

	"github.com/cloverwheel/cloverwheel/internal/budget"
	"github.com/cloverwheel/cloverwheel/internal/locality"
	"github.com/cloverwheel/cloverwheel/internal/store"
	"github.com/cloverwheel/cloverwheel/internal/store/storetest"
)

var errDown = errors.New("no process at this address")

// cluster is a set of nodes whose directories share one store.
type cluster struct {
	table             *storetest.Table
	mutex             sync.Mutex
	nodes             map[string]*Directory // by address
	cancels           map[string]context.CancelFunc
	isolated          map[string]bool // nodes whose messages are dropped
	slow              map[string]bool // nodes whose messages are delayed by slowMessage
	zoneMap           *locality.ZoneMap
	zones             map[string]string // by node address
	partitionedRegion string            // region that is partitioned from the others; empty if none
	starts            int
}

// slowMessage exceeds the timeout of a request to an owner.
const slowMessage = 5 * minLocateTimeout

func newCluster(nodes int) *cluster {
	c := &cluster{table: storetest.New(), nodes: map[string]*Directory{}, cancels: map[string]context.CancelFunc{}, isolated: map[string]bool{}, slow: map[string]bool{}}
	for index := range nodes {
		c.start(address(index))
	}
	return c
}

func address(index int) string { return fmt.Sprintf("10.0.0.%d:1", index) }

func (c *cluster) start(address string) *Directory {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.starts++
	d := New(Options{
		Store:    c.table,
		Self:     budget.Holder{Process: fmt.Sprintf("p%d", c.starts), Address: address},
		Peers:    clusterPeers{c, address},
		Grants:   clusterPeers{c, address},
		Location: locality.Location{Zones: c.zoneMap, Zone: c.zones[address]},
		Logger:   &log.Logger{Handler: discard.New()},
	})
	ctx, cancel := context.WithCancel(context.Background())
	c.nodes[address], c.cancels[address] = d, cancel
	go d.Run(ctx)
	return d
}

// kill stops a process; requests to its address fail.
func (c *cluster) kill(address string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.cancels[address]()
	delete(c.nodes, address)
}

func (c *cluster) stop() {
	for _, cancel := range c.cancels {
		cancel()
	}
	synctest.Wait()
}

func (c *cluster) node(index int) *Directory {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.nodes[address(index)]
}

// owners counts the slots that each process owns according to its own view.
func (c *cluster) owners() (owned map[string]int, total int) {
	owned = map[string]int{}
	for _, d := range c.nodes {
		for slot := range slotsPerRegion {
			if d.owns(slot) {
				owned[d.options.Self.Process]++
				total++
			}
		}
	}
	return owned, total
}

type clusterPeers struct {
	cluster *cluster
	from    string
}

// Locate implements Peers.
func (p clusterPeers) Locate(ctx context.Context, address string, request Request) (Answer, error) {
	p.cluster.mutex.Lock()
	d, ok := p.cluster.nodes[address]
	partitioned := p.cluster.isolated[address] || p.cluster.isolated[p.from] || p.cluster.regionsPartitioned(address, p.from)
	slow := p.cluster.slow[address] || p.cluster.slow[p.from]
	p.cluster.mutex.Unlock()
	if slow {
		select {
		case <-time.After(slowMessage):
		case <-ctx.Done():
			return Answer{}, ctx.Err()
		}
	}
	if !ok || partitioned {
		return Answer{}, errDown
	}
	return d.HandleRequest(request), nil
}

func programOf(index int) string { return fmt.Sprintf("program-%d", index) }

// Nodes that start together must not leave a slot vacant or disagree on its owner.
func TestEverySlotIsOwnedOnceAndAllNodesAgree(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(12)
		defer c.stop()
		time.Sleep(8 * time.Second)
		owned, total := c.owners()
		require.Equal(t, slotsPerRegion, total)
		for process, count := range owned {
			require.Less(t, count, 16, "process %s owns too much", process)
		}
		for program := range 200 {
			first, second := c.node(program%12), c.node((program+5)%12)
			require.Empty(t, first.Locate(t.Context(), programOf(program)).Holders)
			require.Equal(t, []budget.Holder{first.options.Self}, second.Locate(t.Context(), programOf(program)).Holders)
			require.Equal(t, []budget.Holder{second.options.Self}, first.Locate(t.Context(), programOf(program)).Holders, "newest first, without the requester")
		}
	})
}

// Lookups must not call the store, and an idle node must read the slots rarely.
func TestIdleDirectoryHardlyCallsTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(12)
		defer c.stop()
		time.Sleep(10 * time.Second)
		commits, reads := c.table.Calls()
		watches := c.table.Watches()
		for program := range 1000 {
			c.node(program%12).Locate(t.Context(), programOf(program))
		}
		time.Sleep(60 * time.Second)
		commitsAfter, readsAfter := c.table.Calls()
		require.Equal(t, []int{commits, reads}, []int{commitsAfter, readsAfter})
		require.LessOrEqual(t, c.table.Watches()-watches, 12*6, "at most one read in 10 s per node")
		require.Greater(t, c.table.Watches(), watches)
	})
}

// A slow owner must keep its slots, and a slow node that gets no answers in time must not take
// over any.
func TestSlowNodesChangeNoOwners(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(8)
		defer c.stop()
		time.Sleep(8 * time.Second)
		before, _ := c.owners()
		c.mutex.Lock()
		for index := range 3 {
			c.slow[address(index)] = true
		}
		c.mutex.Unlock()
		for program := range 4000 { // in 20 s
			c.node(program%8).Locate(t.Context(), programOf(program))
			time.Sleep(5 * time.Millisecond)
		}
		after, _ := c.owners()
		require.Equal(t, before, after)
	})
}

// Nodes that fail to read the slots must back off.
func TestFailedReadsBackOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(6)
		defer c.stop()
		time.Sleep(10 * time.Second)
		c.table.SetFault(func(string, bool) storetest.Fault { return storetest.Refused })
		watches := c.table.Watches()
		c.kill(address(0))
		for range 60 {
			c.lookUpAll(t.Context())
			time.Sleep(500 * time.Millisecond)
		}
		require.LessOrEqual(t, c.table.Watches()-watches, 5*30, "at most one read per second and node, for 30 s")
		require.Greater(t, c.table.Watches(), watches)
	})
}

// lookUpAll makes all nodes look up programs of all slots.
func (c *cluster) lookUpAll(ctx context.Context) {
	c.mutex.Lock()
	nodes := make([]*Directory, 0, len(c.nodes))
	for _, d := range c.nodes {
		nodes = append(nodes, d)
	}
	c.mutex.Unlock()
	for _, d := range nodes {
		for program := range 300 {
			d.Locate(ctx, programOf(program))
		}
	}
}

// Slots of a failed owner must not stay without a live one.
func TestSlotsOfAFailedOwnerAreTakenOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(6)
		defer c.stop()
		time.Sleep(10 * time.Second)
		c.kill(address(0))
		for range 60 {
			c.lookUpAll(t.Context())
			time.Sleep(500 * time.Millisecond)
		}
		_, total := c.owners()
		require.Equal(t, slotsPerRegion, total)
	})
}

// A node that reaches no other node must not take over their slots.
func TestPartitionedNodeTakesNothingOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(6)
		defer c.stop()
		time.Sleep(10 * time.Second)
		before, _ := c.owners()
		alone := c.node(0)
		c.mutex.Lock()
		c.isolated[address(0)] = true
		c.mutex.Unlock()
		for range 40 {
			for program := range 300 {
				alone.Locate(t.Context(), programOf(program))
			}
			time.Sleep(500 * time.Millisecond)
		}
		after, _ := c.owners()
		require.Equal(t, before, after)
	})
}

// Slots must not stay vacant after all nodes have restarted.
func TestRestartedNodesReclaimTheirSlots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(6)
		defer c.stop()
		time.Sleep(10 * time.Second)
		for index := range 6 {
			c.kill(address(index))
		}
		for index := range 6 {
			c.start(address(index))
		}
		time.Sleep(12 * time.Second)
		_, total := c.owners()
		require.Equal(t, slotsPerRegion, total)
	})
}

// Slots of a node that shuts down must pass to other nodes.
func TestLeavingNodeMakesItsSlotsVacant(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(6)
		defer c.stop()
		time.Sleep(10 * time.Second)
		leaving := c.node(0)
		leaving.Leave(t.Context())
		for slot := range slotsPerRegion {
			require.False(t, leaving.owns(slot))
		}
		c.kill(address(0))
		for range 30 {
			c.lookUpAll(t.Context())
			time.Sleep(500 * time.Millisecond)
		}
		_, total := c.owners()
		require.Equal(t, slotsPerRegion, total)
	})
}

// Lost responses to claims must not leave a slot without an owner or with two.
func TestClaimsWithLostResponsesEndWithOneOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(4)
		defer c.stop()
		var count atomic.Int64 // several nodes call at once
		c.table.SetFault(func(_ string, write bool) storetest.Fault {
			if count.Add(1)%3 == 0 && write {
				return storetest.AppliedThenReset
			}
			return storetest.None
		})
		time.Sleep(40 * time.Second)
		c.table.SetFault(func(string, bool) storetest.Fault { return storetest.None })
		time.Sleep(60 * time.Second)
		_, total := c.owners()
		require.Equal(t, slotsPerRegion, total, "a claim whose response was lost is noticed")
	})
}

// A refusal must reach other nodes, until tokens are returned to the store.
func TestOwnerRecordsARefusedTurn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(3)
		defer c.stop()
		time.Sleep(10 * time.Second)
		c.node(0).RecordRefusal("p", 580)
		time.Sleep(300 * time.Millisecond)
		located := c.node(1).Locate(t.Context(), "p")
		require.Equal(t, 580, located.Spent)
		require.Equal(t, 300*time.Millisecond, located.SpentAgo)
		c.node(2).RecordReturned(t.Context(), "p")
		require.Zero(t, c.node(1).Locate(t.Context(), "p").Spent)
	})
}

// A row that cannot be decoded must not make its slot unusable.
func TestUnreadableSlotIsVacant(t *testing.T) {
	d := New(Options{Self: budget.Holder{Process: "p"}, Logger: &log.Logger{Handler: discard.New()}})
	d.applyRow(store.Row{Key: store.Key{Name: "07"}, Value: []byte("?"), Version: 5})
	d.applyRow(store.Row{Key: store.Key{Name: "99"}, Value: []byte("?"), Version: 5})
	require.Contains(t, d.claimable(), 7)
	require.Empty(t, d.Locate(t.Context(), programOf(1)))
}
