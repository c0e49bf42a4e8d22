package warmup

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cloverwheel/cloverwheel/internal/budget"
	"github.com/cloverwheel/cloverwheel/internal/directory"
	"github.com/cloverwheel/cloverwheel/internal/forward"
)

var errUnreachable = errors.New("node is not reachable")

// cluster is a set of nodes that issue and request permits for one cold worker.
type cluster struct {
	coldCapacity ColdCapacity

	mutex   sync.Mutex
	owner   *node // of the worker's slot, in the store
	claims  uint64
	nodes   []*node
	arrived []time.Time
	refused int
}

// node is one process. A process that is started in its place replaces it.
type node struct {
	cluster   *cluster
	process   string
	client    *Client
	allocator *Allocator

	dead      bool
	isolated  bool      // partitioned from other nodes
	storeDown bool      // partitioned from the store
	paused    time.Time // end of the pause

	leaseNumber uint64 // of its lease
	since       time.Time
	// unsettled is set if an owner before the predecessor may still have issued permits.
	unsettled  bool
	renewed    time.Time
	knownOwner *node // owner of the slot in the last state that the node read
}

func newTestCluster(nodes int, coldCapacity ColdCapacity) *cluster {
	c := &cluster{coldCapacity: coldCapacity, nodes: make([]*node, nodes)}
	for index := range nodes {
		c.start(index)
	}
	c.claim(c.nodes[0], time.Now())
	return c
}

func (c *cluster) start(index int) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.claims++
	n := &node{cluster: c, process: fmt.Sprint("p", c.claims)}
	n.allocator = NewAllocator(n, Slots{}, func(string) ColdCapacity { return c.coldCapacity })
	n.client = NewClient(ClientOptions{
		Self: budget.Holder{Process: n.process, Address: n.process}, Owners: n, Peers: n, Allocator: n.allocator, OnOutcome: func(Outcome) {},
	})
	if before := c.nodes[index]; before != nil {
		before.dead = true
	}
	c.nodes[index] = n
	go n.renew()
}

// claim makes a node the owner of the slot. since is when earlier owners' leases have ended.
func (c *cluster) claim(n *node, since time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.claims++
	before := c.owner
	n.unsettled = before != nil && time.Since(before.since) <= UnsettledPeriod
	c.owner, n.knownOwner = n, n
	n.leaseNumber, n.since, n.renewed = c.claims, since, time.Now()
}

// renew renews the node's lease, and reads which node owns the slot.
func (n *node) renew() {
	for !n.isDead() {
		n.waitWhilePaused()
		sent := time.Now()
		time.Sleep(4 * time.Millisecond)
		n.cluster.mutex.Lock()
		if !n.storeDown {
			n.knownOwner = n.cluster.owner
		}
		if n.knownOwner == n && !n.storeDown {
			n.renewed = sent
		}
		n.cluster.mutex.Unlock()
		time.Sleep(time.Second)
	}
}

func (n *node) isDead() bool {
	n.cluster.mutex.Lock()
	defer n.cluster.mutex.Unlock()
	return n.dead
}

func (n *node) waitWhilePaused() {
	n.cluster.mutex.Lock()
	until := n.paused
	n.cluster.mutex.Unlock()
	time.Sleep(time.Until(until))
}

// Lease implements Leases.
func (n *node) Lease(int) (directory.Lease, bool) {
	n.cluster.mutex.Lock()
	defer n.cluster.mutex.Unlock()
	lease := directory.Lease{Number: n.leaseNumber, Since: n.since, Until: n.renewed.Add(directory.MaxLeaseDuration)}
	lease.Prior.All = n.unsettled
	return lease, n.knownOwner == n
}

// Owner implements Owners.
func (n *node) Owner(int) (budget.Holder, bool) {
	n.cluster.mutex.Lock()
	defer n.cluster.mutex.Unlock()
	if n.knownOwner == nil {
		return budget.Holder{}, false
	}
	return budget.Holder{Process: n.knownOwner.process, Address: n.knownOwner.process}, true
}

// RecordAnswer implements Owners.
func (n *node) RecordAnswer(int) {}

// RecordNoAnswer implements Owners.
func (n *node) RecordNoAnswer(int, budget.Holder) {}

// RequestColdPermit implements Peers.
func (n *node) RequestColdPermit(_ context.Context, owner budget.Holder, request Request) (Answer, error) {
	time.Sleep(2 * time.Millisecond)
	n.cluster.mutex.Lock()
	index := slices.IndexFunc(n.cluster.nodes, func(other *node) bool { return other.process == owner.Address })
	if index < 0 || n.isolated || n.cluster.nodes[index].isolated {
		n.cluster.mutex.Unlock()
		return Answer{}, errUnreachable
	}
	asked := n.cluster.nodes[index]
	n.cluster.mutex.Unlock()
	asked.waitWhilePaused()
	if asked.isDead() {
		return Answer{}, errUnreachable
	}
	answer := asked.allocator.Answer(request)
	asked.waitWhilePaused()
	time.Sleep(2 * time.Millisecond)
	return answer, nil
}

// send has a node send one request to the worker if it gets a permit. The request arrives
// after delay.
func (c *cluster) send(index int, delay time.Duration) forward.WarmupPermit {
	c.mutex.Lock()
	n := c.nodes[index]
	c.mutex.Unlock()
	n.waitWhilePaused()
	permit := n.client.Acquire(context.Background(), forward.WarmupRequest{Worker: "w", Service: "s"})
	n.waitWhilePaused()
	if n.isDead() {
		return forward.WarmupPermit{}
	}
	if !time.Now().Before(permit.ExpiresAt) {
		c.set(func() { c.refused++ })
		return permit
	}
	time.Sleep(delay)
	c.recordArrival()
	return permit
}

func (c *cluster) recordArrival() { c.set(func() { c.arrived = append(c.arrived, time.Now()) }) }

func (c *cluster) set(change func()) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	change()
}

// load requests permits through random nodes at a rate far above the limit.
func (c *cluster) load(random *rand.Rand, perSecond float64, duration time.Duration) {
	var sends sync.WaitGroup
	for end := time.Now().Add(duration); time.Now().Before(end); {
		index, delay := random.IntN(len(c.nodes)), rand.N(maxSendDelay)
		sends.Go(func() { c.send(index, delay) })
		time.Sleep(time.Duration(random.ExpFloat64() / perSecond * float64(time.Second)))
	}
	sends.Wait()
}

// sendUnpermitted sends requests to the worker without permits, as nodes do that treat it as warm.
func (c *cluster) sendUnpermitted(perSecond float64, duration time.Duration) {
	for end := time.Now().Add(duration); time.Now().Before(end); {
		c.recordArrival()
		time.Sleep(time.Duration(float64(time.Second) / perSecond))
	}
}

// injectFaults injects random faults.
func (c *cluster) injectFaults(random *rand.Rand, duration time.Duration) {
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(time.Duration(random.IntN(1500)) * time.Millisecond) {
		index := random.IntN(len(c.nodes))
		n := c.nodes[index]
		switch random.IntN(8) {
		case 0: // a process restarts at the same address and claims its slot again
			owned := c.isOwner(n)
			c.start(index)
			if owned {
				c.claim(c.nodes[index], time.Now())
			}
		case 1, 2: // another node claims the slot while its owner may be alive
			c.claim(n, time.Now().Add(directory.MaxLeaseDuration))
		case 3:
			c.set(func() { c.owner.paused = time.Now().Add(time.Duration(random.IntN(7000)) * time.Millisecond) })
		case 4:
			c.set(func() { n.paused = time.Now().Add(time.Duration(random.IntN(7000)) * time.Millisecond) })
		case 5:
			c.set(func() { n.isolated = !n.isolated })
		case 6:
			c.set(func() { n.storeDown = !n.storeDown })
		default:
			c.set(func() {
				for _, other := range c.nodes {
					other.isolated, other.storeDown = false, false
				}
			})
		}
	}
}

func (c *cluster) isOwner(n *node) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.owner == n
}

func (c *cluster) stop() {
	c.set(func() {
		for _, n := range c.nodes {
			n.dead = true
		}
	})
	time.Sleep(time.Minute)
}

// maxInSecond returns the largest number of times in any second. It sorts times.
func maxInSecond(times []time.Time) int {
	slices.SortFunc(times, time.Time.Compare)
	most, first := 0, 0
	for last := range times {
		for times[last].Sub(times[first]) > time.Second {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}
